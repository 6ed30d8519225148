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
    // Where it takes callers' requests.
    endpoint callers;
    // It is ready for requests; not while it starts or leaves.
    bool is_ready = false;
};

class host_directory
{
public:
    explicit host_directory(host_record self);

    void put(const host_record& record);
    // The entry vanished. While the store was away, entries of living hosts vanish too, so it is
    // kept until then.
    void remove(const host_id& id, time_point keep_until);
    // Entries that a full read lacks are removed.
    void keep_only(const std::vector<host_id>& listed, time_point keep_until);
    void set_self_ready(bool is_ready);
    void tick(time_point now);

    // Addresses for a caller in the zone, never more than most: the ready hosts of its zone, or of
    // all zones if it has fewer than two.
    std::vector<endpoint> addresses(const zone_id& caller_zone, std::size_t most) const;

    // Ready hosts, this one included.
    std::size_t ready_hosts() const;
    // Hosts that are known, ready or not, this one included.
    std::size_t known_hosts() const { return m_others.size() + 1; }
    const host_record& self() const { return m_self; }

private:
    struct known_host
    {
        host_record record;
        time_point keep_until = never;
    };

    host_record m_self;
    std::map<host_id, known_host> m_others;
};

} // namespace tanagerspur

#endif
