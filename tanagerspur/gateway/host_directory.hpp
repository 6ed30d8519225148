// The hosts that callers can be sent to, as the store lists them.

#ifndef TANAGERSPUR_GATEWAY_HOST_DIRECTORY_HPP
#define TANAGERSPUR_GATEWAY_HOST_DIRECTORY_HPP

#include "tanagerspur/common/endpoint.hpp"
#include "tanagerspur/common/ids.hpp"
#include "tanagerspur/common/time.hpp"

#include <map>
#include <vector>

namespace tanagerspur
{

// A host's own entry.
struct host_record
{
    host_id id;
    zone_id zone;
    // Where it takes callers' requests, and where it tells other hosts about changes.
    endpoint callers;
    endpoint peers;
    // Processor share in thousandths of a core.
    std::uint32_t capacity = 0;
    // It is ready for requests; not while it starts or leaves.
    bool is_ready = false;
    // It uses most of its processor share.
    bool is_busy = false;
};

struct directory_options
{
    // Share of a zone's capacity that callers are sent to while no host is busy. Few hosts with
    // more traffic each keep their connections to replicas warm, learn of slow replicas sooner,
    // and leave room in what replicas accept.
    double used_share = 0.25;
    // Hosts of a zone that are used at least, so that the loss of one is no burden to the rest.
    std::size_t least_of_zone = 2;
};

class host_directory
{
public:
    explicit host_directory(host_record self, directory_options options = {});

    void put(const host_record& record);
    // The entry vanished. While the store was away, entries of living hosts vanish too, so it is
    // kept until then.
    void remove(const host_id& id, time_point keep_until);
    // Entries that a full read lacks are removed.
    void keep_only(const std::vector<host_id>& listed, time_point keep_until);
    void set_self(bool is_ready, bool is_busy);
    void tick(time_point now);

    // The ready hosts that callers are sent to: those of each zone with the most capacity, or all
    // while one of them is busy.
    std::vector<host_record> used_hosts() const;

    // Addresses for a caller in the zone, never more than most: the used hosts of its zone, or of
    // all zones if it has fewer than two.
    std::vector<endpoint> addresses(const zone_id& caller_zone, std::size_t most) const;

    // Ready hosts, this one included.
    std::size_t ready_hosts() const;
    // Hosts that are known, ready or not, this one included.
    std::size_t known_hosts() const { return m_others.size() + 1; }
    std::vector<host_record> all_hosts() const;
    const host_record& self() const { return m_self; }

private:
    struct known_host
    {
        host_record record;
        time_point keep_until = never;
    };

    directory_options m_options;
    host_record m_self;
    std::map<host_id, known_host> m_others;
};

} // namespace tanagerspur

#endif
