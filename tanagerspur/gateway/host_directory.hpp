// The hosts that callers can be sent to, as the store lists them.

#ifndef TANAGERSPUR_GATEWAY_HOST_DIRECTORY_HPP
#define TANAGERSPUR_GATEWAY_HOST_DIRECTORY_HPP

#include "tanagerspur/common/endpoint.hpp"
#include "tanagerspur/common/ids.hpp"
#include "tanagerspur/common/time.hpp"
#include "tanagerspur/gateway/advertised_host_count.hpp"

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
    // What its requests take of it, in thousandths of a core.
    std::uint32_t load = 0;
    // It is ready for requests; not while it starts or leaves.
    bool is_ready = false;
    // It uses most of its processor share.
    bool is_busy = false;
    // It will end soon.
    bool is_leaving = false;
};

// What of a host's entry changes while it runs.
struct host_state
{
    bool is_ready = false;
    bool is_busy = false;
    bool is_leaving = false;
    std::uint32_t load = 0;
};

struct directory_options
{
    // How many hosts of a zone are used.
    host_count_options host_count;
    // What a busy host is expected to manage at least, as a share of its capacity: its load tells
    // that it is slow, but not how slow once it has lost its callers.
    double min_busy_capacity_share = 0.1;
    // Hosts of a zone that have an entry: at least so many, and a multiple of those that are used,
    // so that others are known when one of them is lost. Each entry has to be written and renewed.
    std::size_t min_registered = 6;
    std::size_t registered_per_advertised = 3;
};

class host_directory
{
public:
    explicit host_directory(host_record self, directory_options options = {});

    void put(const host_record& record);
    // The entry vanished. While the store was away, entries of living hosts vanish too, so it is
    // kept until then.
    void remove(const host_id& id, time_point expires_at);
    // Entries that a full read lacks are removed.
    void remove_unlisted(const std::vector<host_id>& registered, time_point expires_at);
    void set_own_state(const host_state& state);
    void tick(time_point now);

    // The ready hosts that callers are sent to: of each zone those with the most capacity, as many
    // as the load of the zone asks for.
    std::vector<host_record> advertised_hosts() const;

    // Addresses for a caller in the zone, never more than most: the used hosts of its zone, or of
    // all zones if it has fewer than two.
    std::vector<endpoint> addresses(const zone_id& caller_zone, std::size_t max_count) const;

    // Whether this host should have an entry: it is one of the largest of its zone, as far as they
    // are listed. The others serve whoever connects, but callers are not sent to them.
    bool should_register() const;

    // Ready hosts, this one included.
    std::size_t ready_hosts() const;
    // Hosts that are known, ready or not, this one included.
    std::size_t known_hosts() const { return m_others.size() + 1; }
    std::vector<host_record> all_hosts() const;
    const host_record& self() const { return m_self; }

private:
    // What the host can be expected to manage, in thousandths of a core.
    std::uint32_t expected_capacity(const host_record& host) const;
    // The part of one zone's hosts that is used: the first of those that remain in order.
    std::size_t sort_and_count_advertised(std::vector<host_record>& hosts) const;

    struct known_host
    {
        host_record record;
        time_point expires_at = never;
    };

    directory_options m_options;
    host_record m_self;
    std::map<host_id, known_host> m_others;
};

} // namespace tanagerspur

#endif
