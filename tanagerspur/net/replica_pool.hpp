// Connections to all replicas, and the attempts that are under way on them. Connections are
// opened when they are needed, kept for later requests, and limited for each replica, since all
// hosts share what it accepts.

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

    // Most connections of this host to a replica of the service.
    void set_limit(const service_id& service, std::size_t connections);

    // See forwarder_environment.
    void send(const attempt_order& order);
    void abort_at(std::uint64_t attempt, time_point end);
    void abort(std::uint64_t attempt);
    bool withdraw(std::uint64_t attempt);
    bool has_free_connection(const replica& at) const;

    // Closes the idle connections of a replica that has left, and busy ones after their answers.
    void replica_left(const replica& left);

    // Ends attempts and connections whose time is over.
    void tick(time_point now);

    const pool_counters& counters() const { return m_counters; }
    std::size_t open_connections() const { return m_owners.size(); }
    // Bytes of unfinished answers on all connections.
    std::size_t buffered_bytes() const { return m_held; }

    void opened(replica_connection& which) override;
    void ended(replica_connection& which, attempt_outcome outcome) override;
    void closed(replica_connection& which) override;
    bool may_buffer(replica_connection& which, std::size_t before) override;

private:
    using connection_ref = std::shared_ptr<replica_connection>;

    struct attempt_state
    {
        attempt_order order;
        connection_ref on;
        time_point end;
    };
    // The connections of one replica.
    struct group
    {
        // Those without a request; the one that was used last is at the end.
        std::vector<connection_ref> idle;
        std::size_t open = 0;
        bool has_left = false;
    };
    // What a connection is for.
    struct owner
    {
        connection_ref connection;
        replica_ref to;
        // The attempt that it carries or is opened for; 0 for none.
        std::uint64_t attempt = 0;
    };

    std::size_t limit_of(const service_id& service) const;
    connection_ref take_idle(group& from, const attempt_order& order, time_point now);
    void start(const connection_ref& on, std::uint64_t attempt);
    void release(replica_connection& which);
    std::string encode(const attempt_order& order, time_point now) const;
    void report_later(std::uint64_t attempt, attempt_result result, std::string detail);

    boost::asio::io_context& m_io;
    wire_header_names m_header_names;
    outcome_handler m_handler;
    std::map<service_id, std::size_t> m_limits;
    std::unordered_map<std::uint64_t, group> m_groups;
    std::unordered_map<replica_connection*, owner> m_owners;
    std::unordered_map<std::uint64_t, attempt_state> m_attempts;
    std::size_t m_held = 0;
    pool_counters m_counters;
};

} // namespace tanagerspur

#endif
