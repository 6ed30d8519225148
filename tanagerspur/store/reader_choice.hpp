// Which hosts read the store for the others, and which of them a host follows. Every host works
// it out from the same list of hosts, so nothing has to be agreed on; hosts that see different
// lists for a moment only cost the store a few calls more.

#ifndef TANAGERSPUR_STORE_READER_CHOICE_HPP
#define TANAGERSPUR_STORE_READER_CHOICE_HPP

#include "tanagerspur/common/endpoint.hpp"
#include "tanagerspur/common/ids.hpp"

#include <vector>

namespace tanagerspur
{

// A host that can read for others.
struct reader_candidate
{
    host_id id;
    zone_id zone;
    // Where it tells others about changes.
    endpoint peers;
    // Processor share in thousandths of a core.
    std::uint32_t capacity = 0;
    // Callers are sent to it.
    bool is_advertised = false;
};

struct reader_options
{
    // A second reader stands in when the first is lost.
    std::size_t min_readers = 2;
    // Hosts that may follow one reader: each asks it about once a second.
    std::size_t followers_per_reader = 40;
    // A zone with so many hosts has a reader of its own: whatever is relayed to its other hosts,
    // listed here or not, stays in the zone.
    std::size_t min_hosts_for_zone_reader = 6;
};

// The readers among the hosts: those with the most capacity, from different zones first; among
// equals, those without callers.
std::vector<reader_candidate> choose_readers(std::vector<reader_candidate> hosts,
                                             const reader_options& options = {});

// The order in which a host tries the readers: its own zone first, then spread by its id.
void sort_by_preference(const host_id& self, const zone_id& zone,
                        std::vector<reader_candidate>& readers);

} // namespace tanagerspur

#endif
