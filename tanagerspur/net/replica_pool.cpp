#include "tanagerspur/net/replica_pool.hpp"

#include "tanagerspur/net/header_fields.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace tanagerspur
{

namespace
{

// A connection that is not established within this time has failed; allows for several round trips
// between zones.
constexpr duration connect_timeout = std::chrono::milliseconds{250};
// Maximum number of connections to a replica if the configuration sets none.
constexpr std::size_t default_connection_limit = 2;
// Idle connections are closed this long before the idle timeout that the replica announced, so that
// a request in transit does not meet the replica's close.
constexpr duration idle_margin = std::chrono::milliseconds{500};
// Idle connections are closed after this time, so that they do not use up the connections that
// replicas accept.
constexpr duration max_idle_time = std::chrono::seconds{20};
// A request that is not idempotent reuses a connection only if it was idle for less than this, else
// it gets a new one if the limit allows: a connection that was idle for longer may be broken
// without any sign of it.
constexpr duration max_idle_before_non_idempotent = std::chrono::milliseconds{1'500};
// Limit of buffered bytes of incomplete answers on all connections: a fifth of the memory of the
// smallest hosts.
constexpr std::size_t max_buffered_bytes = std::size_t{32} * 1024 * 1024;
// Connections that buffer no more than this are not closed when that limit is exceeded.
constexpr std::size_t max_protected_answer_bytes = std::size_t{128} * 1024;

} // namespace

replica_pool::replica_pool(boost::asio::io_context& io, wire_header_names header_names,
                           outcome_handler handler)
    : m_io(io)
    , m_header_names(std::move(header_names))
    , m_handler(std::move(handler))
{
}

replica_pool::~replica_pool()
{
    for (auto& [connection, entry] : m_connections)
        connection->detach();
}

void replica_pool::set_limit(const service_id& service, std::size_t connections)
{
    m_limits[service] = connections;
}

std::size_t replica_pool::limit_of(const service_id& service) const
{
    const auto found = m_limits.find(service);
    return found == m_limits.end() ? default_connection_limit : found->second;
}

bool replica_pool::has_free_connection(const replica& at) const
{
    const auto found = m_groups_by_replica.find(at.number);
    return found == m_groups_by_replica.end() || !found->second.idle.empty() ||
           found->second.open < limit_of(at.record.service);
}

replica_pool::connection_ref replica_pool::take_idle(connection_group& from,
                                                     const attempt_order& order, time_point now)
{
    // A connection that was just closed stays in the list until on_closed() is called.
    std::erase_if(from.idle, [](const connection_ref& each)
                  { return each->current_state() != replica_connection::state::idle; });
    if (from.idle.empty())
        return nullptr;
    connection_ref most_recent = from.idle.back();
    const bool was_used_recently =
        now - most_recent->state_since() < max_idle_before_non_idempotent;
    const bool may_open = from.open < limit_of(order.to->record.service);
    if (!order.is_idempotent && !was_used_recently && may_open)
        return nullptr;
    from.idle.pop_back();
    return most_recent;
}

void replica_pool::send(const attempt_order& order)
{
    const time_point now = boot_now();
    connection_group& group = m_groups_by_replica[order.to->number];
    attempt_state& new_attempt = m_attempts[order.number];
    new_attempt = {
        .order = order, .used_connection = take_idle(group, order, now), .end = order.deadline};
    if (new_attempt.used_connection != nullptr)
        return start(new_attempt.used_connection, order.number);
    if (group.open >= limit_of(order.to->record.service))
        return post_outcome(order.number, attempt_result::not_sent, "no free connection");
    ++group.open;
    ++m_counters.connections_opened;
    new_attempt.used_connection = std::make_shared<replica_connection>(m_io, m_header_names, *this);
    m_connections[new_attempt.used_connection.get()] = {
        .connection = new_attempt.used_connection, .to = order.to, .attempt = order.number};
    new_attempt.used_connection->open(order.to->record.address);
}

void replica_pool::post_outcome(std::uint64_t attempt, attempt_result result, std::string detail)
{
    m_attempts.erase(attempt);
    boost::asio::post(m_io, [this, attempt, result, text = std::move(detail)]
                      { m_handler(attempt, {.result = result, .detail = text}); });
}

void replica_pool::start(const connection_ref& used_connection, std::uint64_t attempt)
{
    const time_point now = boot_now();
    const attempt_order& order = m_attempts.at(attempt).order;
    m_connections.at(used_connection.get()).attempt = attempt;
    used_connection->send(encode(order, now), order.request->id.value(), order.wants_fields, now);
}

std::string replica_pool::encode(const attempt_order& order, time_point now) const
{
    const caller_request& request = *order.request;
    const auto remaining_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(order.deadline - now).count();
    std::string message;
    message.reserve(512 + request.body.size());
    message.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    for (const header_field& each : request.fields)
        append_field(message, each.name, each.value);
    append_field(message, m_header_names.request_id, request.id.value());
    append_field(message, m_header_names.deadline_ms,
                 std::to_string(std::max<long long>(1, remaining_ms)));
    append_field(message, m_header_names.expected_replica, order.to->record.id.value());
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT")
        append_field(message, "Content-Length", std::to_string(request.body.size()));
    message.append("\r\n").append(request.body);
    return message;
}

void replica_pool::on_opened(replica_connection& which)
{
    connection_entry& entry = m_connections.at(&which);
    const auto waiting = m_attempts.find(entry.attempt);
    if (waiting != m_attempts.end() && waiting->second.used_connection.get() == &which)
        return start(waiting->second.used_connection, entry.attempt);
    entry.attempt = 0;
    m_groups_by_replica[entry.to->number].idle.push_back(entry.connection);
}

void replica_pool::on_request_ended(replica_connection& which, attempt_outcome outcome)
{
    connection_entry& entry = m_connections.at(&which);
    const std::uint64_t attempt = std::exchange(entry.attempt, 0);
    // A replica resets connections beyond its limit, also after the handshake. Opening more at once
    // would keep it at its limit.
    if (which.has_answered())
        entry.to->estimate.connected();
    else if (outcome.result == attempt_result::failed)
        entry.to->estimate.connect_failed(boot_now());
    if (which.current_state() == replica_connection::state::closed)
    {
        if (outcome.result == attempt_result::failed)
            ++m_counters.connections_lost;
        release(which);
    }
    else if (m_groups_by_replica[entry.to->number].is_removed)
        which.close(attempt_result::abandoned, "replica was removed");
    else
        m_groups_by_replica[entry.to->number].idle.push_back(entry.connection);
    if (m_attempts.erase(attempt) > 0)
        m_handler(attempt, std::move(outcome));
}

void replica_pool::on_closed(replica_connection& which)
{
    const connection_entry entry = m_connections.at(&which);
    release(which);
    if (entry.attempt == 0)
        return;
    // It was opened for an attempt and was never established.
    ++m_counters.connections_failed;
    entry.to->estimate.connect_failed(boot_now());
    if (m_attempts.erase(entry.attempt) > 0)
        m_handler(entry.attempt, {.result = attempt_result::not_sent, .detail = "cannot connect"});
}

bool replica_pool::may_buffer(replica_connection& which, std::size_t before)
{
    m_buffered_bytes = m_buffered_bytes - before + which.buffered_bytes();
    // Only connections with large buffers are closed: unterminated answers are among them.
    return m_buffered_bytes <= max_buffered_bytes ||
           which.buffered_bytes() <= max_protected_answer_bytes;
}

void replica_pool::release(replica_connection& which)
{
    const auto found = m_connections.find(&which);
    const std::uint64_t number = found->second.to->number;
    connection_group& group = m_groups_by_replica[number];
    std::erase_if(group.idle, [&](const connection_ref& each) { return each.get() == &which; });
    --group.open;
    if (group.open == 0)
        m_groups_by_replica.erase(number);
    m_connections.erase(found);
}

void replica_pool::abort_at(std::uint64_t attempt, time_point end)
{
    const auto found = m_attempts.find(attempt);
    if (found != m_attempts.end())
        found->second.end = std::min(found->second.end, end);
}

bool replica_pool::withdraw(std::uint64_t attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end() ||
        found->second.used_connection->current_state() != replica_connection::state::connecting)
        return false;
    m_attempts.erase(found);
    return true;
}

void replica_pool::abort(std::uint64_t attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end())
        return;
    const connection_ref used_connection = found->second.used_connection;
    if (used_connection->current_state() == replica_connection::state::busy)
        return used_connection->close(attempt_result::abandoned, "attempt aborted");
    // Still connecting: the connection is kept for later requests.
    post_outcome(attempt, attempt_result::abandoned, "attempt aborted");
}

void replica_pool::replica_left(const replica& removed)
{
    const auto found = m_groups_by_replica.find(removed.number);
    if (found == m_groups_by_replica.end())
        return;
    found->second.is_removed = true;
    for (const connection_ref& each : found->second.idle)
        each->close(attempt_result::abandoned, "replica was removed");
    found->second.idle.clear();
}

void replica_pool::tick(time_point now)
{
    std::vector<connection_ref> overdue_connections;
    for (const auto& [connection, entry] : m_connections)
    {
        const duration age = now - connection->state_since();
        const bool cannot_open =
            connection->current_state() == replica_connection::state::connecting &&
            age > connect_timeout;
        const bool is_stale = connection->current_state() == replica_connection::state::idle &&
                              age > std::min(max_idle_time, connection->idle_limit() - idle_margin);
        if (cannot_open || is_stale)
            overdue_connections.push_back(entry.connection);
    }
    for (const connection_ref& each : overdue_connections)
        each->close(attempt_result::not_sent, "connect or idle timeout");
    std::vector<std::uint64_t> overdue_attempts;
    for (const auto& [number, state] : m_attempts)
        if (now > state.end)
            overdue_attempts.push_back(number);
    for (const std::uint64_t number : overdue_attempts)
        abort(number);
}

} // namespace tanagerspur
