// Connections to all replicas, and the attempts that are in flight on them. Connections are opened
// on demand and kept for reuse. Their number is limited for each replica, since all hosts share the
// connections that it accepts.

#ifndef TANAGERSPUR_NET_REPLICA_POOL_HPP
#define TANAGERSPUR_NET_REPLICA_POOL_HPP

#include "tanagerspur/forwarding/forwarder.hpp"
#include "tanagerspur/net/replica_connection.hpp"

#include <functional>
#include <unordered_map>

namespace tanagerspur
{

struct pool_counters
{
    std::uint64_t connections_opened = 0;
    std::uint64_t connections_failed = 0;
    std::uint64_t connections_lost = 0;
};

class replica_pool final : public replica_connection::observer
{
public:
    using outcome_handler = std::function<void(std::uint64_t attempt, attempt_outcome outcome)>;

    replica_pool(boost::asio::io_context& io, wire_header_names header_names,
                 outcome_handler handler);
    ~replica_pool() override;

    // Sets the maximum number of connections from this host to each replica of the service.
    void set_limit(const service_id& service, std::size_t connections);

    // See forwarder_environment.
    void send(const attempt_order& order);
    void abort_at(std::uint64_t attempt, time_point end);
    void abort(std::uint64_t attempt);
    bool withdraw(std::uint64_t attempt);
    bool has_free_connection(const replica& at) const;

    // Closes the idle connections of a removed replica at once, and busy ones after their answers.
    void replica_left(const replica& removed);

    // Aborts attempts that are past their end, and closes connections that are past their connect
    // or idle timeout.
    void tick(time_point now);

    const pool_counters& counters() const { return m_counters; }
    std::size_t open_connections() const { return m_connections.size(); }
    // Buffered bytes of incomplete answers on all connections.
    std::size_t buffered_bytes() const { return m_buffered_bytes; }

    void on_opened(replica_connection& which) override;
    void on_request_ended(replica_connection& which, attempt_outcome outcome) override;
    void on_closed(replica_connection& which) override;
    bool may_buffer(replica_connection& which, std::size_t before) override;

private:
    using connection_ref = std::shared_ptr<replica_connection>;

    struct attempt_state
    {
        attempt_order order;
        connection_ref used_connection;
        time_point end;
    };
    // The connections of one replica.
    struct connection_group
    {
        // Connections without a request; the most recently used one is at the end.
        std::vector<connection_ref> idle;
        std::size_t open = 0;
        bool is_removed = false;
    };
    // An open connection and what it is used for.
    struct connection_entry
    {
        connection_ref connection;
        replica_ref to;
        // The attempt that it carries or was opened for; 0 for none.
        std::uint64_t attempt = 0;
    };

    std::size_t limit_of(const service_id& service) const;
    connection_ref take_idle(connection_group& from, const attempt_order& order, time_point now);
    void start(const connection_ref& used_connection, std::uint64_t attempt);
    void release(replica_connection& which);
    std::string encode(const attempt_order& order, time_point now) const;
    // Removes an attempt and posts its outcome to the handler, which must not be called from within
    // a call to the pool.
    void post_outcome(std::uint64_t attempt, attempt_result result, std::string detail);

    boost::asio::io_context& m_io;
    wire_header_names m_header_names;
    outcome_handler m_handler;
    std::map<service_id, std::size_t> m_limits;
    std::unordered_map<std::uint64_t, connection_group> m_groups_by_replica;
    std::unordered_map<replica_connection*, connection_entry> m_connections;
    std::unordered_map<std::uint64_t, attempt_state> m_attempts;
    std::size_t m_buffered_bytes = 0;
    pool_counters m_counters;
};

} // namespace tanagerspur

#endif
