// Directory of the hosts registered in the store; selects those that are advertised to callers.

#ifndef TANAGERSPUR_GATEWAY_HOST_DIRECTORY_HPP
#define TANAGERSPUR_GATEWAY_HOST_DIRECTORY_HPP

#include "tanagerspur/common/endpoint.hpp"
#include "tanagerspur/common/ids.hpp"
#include "tanagerspur/common/time.hpp"
#include "tanagerspur/gateway/advertised_host_count.hpp"
#include "tanagerspur/gateway/host_monitor.hpp"

#include <map>
#include <set>
#include <vector>

namespace tanagerspur
{

// The entry that a host publishes about itself.
struct host_record
{
    host_id id;
    zone_id zone;
    // Addresses for callers' requests, and for hosts that follow changes of the store through it.
    endpoint callers;
    endpoint peers;
    // Processor share in thousandths of a core.
    std::uint32_t capacity = 0;
    // Processor load of its requests, in thousandths of a core.
    std::uint32_t load = 0;
    // Ready for requests; false while it starts or stops.
    bool is_ready = false;
    // It uses most of its processor share.
    bool is_busy = false;
    // It is shutting down.
    bool is_leaving = false;
};

// The fields of a host's entry that change while it runs.
struct host_state
{
    bool is_ready = false;
    bool is_busy = false;
    bool is_leaving = false;
    std::uint32_t load = 0;
};

struct directory_options
{
    // Choice of the number of advertised hosts of a zone.
    host_count_options host_count;
    // Lower bound of a busy host's expected capacity, as a share of its capacity. Its load shows
    // that it is slow, but no longer how slow once it has lost its callers.
    double min_busy_capacity_share = 0.1;
    // Number of registered hosts of a zone: at least min_registered, and a multiple of the
    // advertised hosts, so that replacements are known when one is lost. Each entry costs writes
    // and lease renewals at the store.
    std::size_t min_registered = 6;
    std::size_t registered_per_advertised = 3;
};

class host_directory
{
public:
    explicit host_directory(host_record self, directory_options options = {});

    // An entry was written. Of this host's own entry only the load is used, by share_of_limits().
    void put(const host_record& record);
    // Removes the entry at expires_at. It is kept until then because entries of live hosts are
    // removed too while the store is unavailable.
    void remove(const host_id& id, time_point expires_at);
    // Removes each entry that a full read of the store does not contain.
    void remove_unlisted(const std::vector<host_id>& registered, time_point expires_at);
    void set_own_state(const host_state& state);
    void tick(time_point now);

    // Returns the ready hosts that share the callers according to the store: in each zone the hosts
    // with the highest expected capacity, as many as the load of the zone requires.
    std::vector<host_record> advertised_hosts() const;

    // The same choice without the hosts that are known to be unreachable, which others replace.
    std::vector<host_record> advertised_hosts(const reachability_source& hosts) const;

    // Returns this host's share of the limits of replicas, 0 to 1, for the results of both forms of
    // advertised_hosts(). The advertised hosts divide the limits by their loads as the store has
    // them; any other host has a part of an even share, for callers that still use its address.
    double share_of_limits(const std::vector<host_record>& registered,
                           const std::vector<host_record>& running) const;

    // Returns at most max_count addresses for a caller in the zone: the advertised hosts of its
    // zone that are known to be reachable, or those of all zones if its zone has fewer than two.
    std::vector<endpoint> addresses(const zone_id& caller_zone, std::size_t max_count,
                                    const reachability_source& hosts) const;

    // Returns the other hosts whose reachability has to be known in order to answer callers of the
    // zones.
    std::vector<host_record> hosts_to_watch(const std::set<zone_id>& caller_zones,
                                            const reachability_source& hosts) const;

    // True if this host should register: it is among the largest known hosts of its zone. Hosts
    // that are not registered serve any caller that connects, but are not advertised.
    bool should_register() const;

    // Number of ready hosts, including this one.
    std::size_t ready_hosts() const;
    // Number of known hosts, ready or not, including this one.
    std::size_t known_hosts() const { return m_others.size() + 1; }
    std::vector<host_record> all_hosts() const;
    const host_record& self() const { return m_self; }

private:
    // Load that the host is expected to be able to carry, in thousandths of a core.
    std::uint32_t expected_capacity(const host_record& host) const;
    // Returns the advertised hosts of those that satisfy the condition.
    template<class Condition>
    std::vector<host_record> choose_advertised(Condition may_advertise) const;
    // Sorts one zone's hosts by decreasing expected capacity; returns how many of the first are
    // advertised.
    std::size_t sort_and_count_advertised(std::vector<host_record>& hosts) const;

    struct known_host
    {
        host_record record;
        time_point expires_at = never;
    };

    directory_options m_options;
    host_record m_self;
    // The load of this host that the other hosts know.
    std::uint32_t m_published_load = 0;
    std::map<host_id, known_host> m_others;
};

} // namespace tanagerspur

#endif
