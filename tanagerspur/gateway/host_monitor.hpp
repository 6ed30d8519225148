// Finds out which other hosts run, from connections that this host keeps open to them. An entry in
// the store outlives its host by the length of its lease, and is not updated while the store is
// unavailable.

#ifndef TANAGERSPUR_GATEWAY_HOST_MONITOR_HPP
#define TANAGERSPUR_GATEWAY_HOST_MONITOR_HPP

#include "tanagerspur/common/endpoint.hpp"
#include "tanagerspur/common/ids.hpp"
#include "tanagerspur/common/time.hpp"

#include <map>
#include <string_view>

namespace tanagerspur
{

enum class reachability
{
    unknown,    // no connection has been opened yet, and none has failed
    reachable,  // a connection is open, or was open and is being replaced
    unreachable // the latest connection could not be opened
};

std::string_view to_string(reachability value);

class reachability_source
{
public:
    virtual ~reachability_source() = default;
    virtual reachability of(const host_id& id) const = 0;
};

struct host_monitor_options
{
    // Delay before the next connection after one that could not be opened or did not last.
    duration retry_delay = std::chrono::seconds{1};
    // A connection that ends sooner than this did not last.
    duration min_lifetime = std::chrono::seconds{1};
};

// Opens and closes the connections. Results are passed to the host_monitor, never from within a
// call.
class host_connector
{
public:
    virtual ~host_connector() = default;
    virtual void open(const host_id& id, const endpoint& at) = 0;
    // Closes the connection to the host, if there is one; no result follows.
    virtual void close(const host_id& id) = 0;
};

class reachability_observer
{
public:
    virtual ~reachability_observer() = default;
    virtual void reachability_changed(const host_id& id, reachability current) = 0;
};

class host_monitor final : public reachability_source
{
public:
    host_monitor(host_monitor_options options, host_connector& connector,
                 reachability_observer& observer);

    // Sets the hosts to which connections are kept, with their addresses. Other hosts become
    // unknown, without a notification.
    void watch(const std::map<host_id, endpoint>& hosts, time_point now);

    // Results of host_connector::open, and the end of an open connection.
    void opened(const host_id& id, time_point now);
    void open_failed(const host_id& id, time_point now);
    void connection_lost(const host_id& id, time_point now);

    // Opens the connections that are due.
    void tick(time_point now);

    reachability of(const host_id& id) const override;
    std::size_t watched() const { return m_hosts.size(); }
    std::size_t unreachable() const;

private:
    struct watched_host
    {
        endpoint at;
        reachability current = reachability::unknown;
        // When the next connection is opened; never while there is one.
        time_point open_at = never;
        time_point opened_at{};
    };

    void open(const host_id& id, watched_host& host);
    void set(const host_id& id, watched_host& host, reachability current);

    host_monitor_options m_options;
    host_connector& m_connector;
    reachability_observer& m_observer;
    std::map<host_id, watched_host> m_hosts;
};

} // namespace tanagerspur

#endif
