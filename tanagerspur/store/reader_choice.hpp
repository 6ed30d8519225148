// Selects the hosts that read the store on behalf of the others (readers), and the order in which a
// host tries them. Every host computes the selection from the same list of hosts, so that no
// agreement protocol is needed. Hosts that briefly see different lists only cause a few more calls
// to the store.

#ifndef TANAGERSPUR_STORE_READER_CHOICE_HPP
#define TANAGERSPUR_STORE_READER_CHOICE_HPP

#include "tanagerspur/common/endpoint.hpp"
#include "tanagerspur/common/ids.hpp"

#include <vector>

namespace tanagerspur
{

// A host that can read the store on behalf of others.
struct reader_candidate
{
    host_id id;
    zone_id zone;
    // Address at which it serves changes to its followers.
    endpoint peers;
    // Processor share in thousandths of a core.
    std::uint32_t capacity = 0;
    // True if its address is given to callers.
    bool is_advertised = false;
};

struct reader_options
{
    // Two, so that a second reader takes over when the first one is lost.
    std::size_t min_readers = 2;
    // Hosts that may follow one reader; each of them calls it about once a second.
    std::size_t followers_per_reader = 40;
    // A zone with so many hosts has a reader of its own: whatever is relayed to its other hosts,
    // listed here or not, stays in the zone.
    std::size_t min_hosts_for_zone_reader = 6;
};

// Chooses the readers: one host of each zone before a second one of any zone, hosts with the most
// capacity first, and among equals those whose addresses are not given to callers.
std::vector<reader_candidate> choose_readers(std::vector<reader_candidate> hosts,
                                             const reader_options& options = {});

// Sorts the readers in the order in which a host tries them: its own zone first, then by a hash of
// both ids, which distributes followers over the readers.
void sort_by_preference(const host_id& self, const zone_id& zone,
                        std::vector<reader_candidate>& readers);

} // namespace tanagerspur

#endif
