#include "tanagerspur/net/replica_pool.hpp"

#include "tanagerspur/net/header_fields.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace tanagerspur
{

namespace
{

// A connection that takes longer is taken as failed; several round trips between zones.
constexpr duration connect_timeout = std::chrono::milliseconds{250};
// Connections to a replica when the configuration tells no limit.
constexpr std::size_t default_limit = 2;
// Before the idle time that the replica announced, for what is on its way.
constexpr duration idle_margin = std::chrono::milliseconds{500};
// Unused connections are closed after this time, so that they do not use up what replicas accept.
constexpr duration max_idle = std::chrono::seconds{20};
// A request that can't be repeated goes on a connection that answered this recently, else on a new
// one: an older one may be broken without a sign.
constexpr duration trusted_idle = std::chrono::milliseconds{1'500};
// Bytes of unfinished answers on all connections: a fifth of the memory of the smallest hosts. An
// answer of up to the second figure is not given up for it.
constexpr std::size_t max_held_bytes = std::size_t{32} * 1024 * 1024;
constexpr std::size_t small_answer_bytes = std::size_t{128} * 1024;

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
    for (auto& [connection, owner] : m_owners)
        connection->detach();
}

void replica_pool::set_limit(const service_id& service, std::size_t connections)
{
    m_limits[service] = connections;
}

std::size_t replica_pool::limit_of(const service_id& service) const
{
    const auto found = m_limits.find(service);
    return found == m_limits.end() ? default_limit : found->second;
}

bool replica_pool::has_free_connection(const replica& at) const
{
    const auto found = m_groups.find(at.number);
    return found == m_groups.end() || !found->second.idle.empty() ||
           found->second.open < limit_of(at.record.service);
}

replica_pool::connection_ref replica_pool::take_idle(group& from, const attempt_order& order,
                                                     time_point now)
{
    // A connection that was just closed leaves the list only when its observer hears of it.
    std::erase_if(from.idle, [](const connection_ref& each)
                  { return each->current() != replica_connection::state::idle; });
    if (from.idle.empty())
        return nullptr;
    connection_ref last = from.idle.back();
    const bool is_trusted = now - last->since() < trusted_idle;
    const bool may_open = from.open < limit_of(order.to->record.service);
    if (!order.is_idempotent && !is_trusted && may_open)
        return nullptr;
    from.idle.pop_back();
    return last;
}

void replica_pool::send(const attempt_order& order)
{
    const time_point now = boot_now();
    group& of = m_groups[order.to->number];
    attempt_state& made = m_attempts[order.number];
    made = {.order = order, .on = take_idle(of, order, now), .end = order.deadline};
    if (made.on != nullptr)
        return start(made.on, order.number);
    if (of.open >= limit_of(order.to->record.service))
        return report_later(order.number, attempt_result::not_sent, "no free connection");
    ++of.open;
    ++m_counters.connections_opened;
    made.on = std::make_shared<replica_connection>(m_io, m_header_names, *this);
    m_owners[made.on.get()] = {.connection = made.on, .to = order.to, .attempt = order.number};
    made.on->open(order.to->record.address);
}

void replica_pool::report_later(std::uint64_t attempt, attempt_result result, std::string detail)
{
    m_attempts.erase(attempt);
    boost::asio::post(m_io, [this, attempt, result, text = std::move(detail)]
                      { m_handler(attempt, {.result = result, .detail = text}); });
}

void replica_pool::start(const connection_ref& on, std::uint64_t attempt)
{
    const time_point now = boot_now();
    const attempt_order& order = m_attempts.at(attempt).order;
    m_owners.at(on.get()).attempt = attempt;
    on->send(encode(order, now), order.request->id.value(), order.wants_fields, now);
}

std::string replica_pool::encode(const attempt_order& order, time_point now) const
{
    const caller_request& request = *order.request;
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(order.deadline - now).count();
    std::string message;
    message.reserve(512 + request.body.size());
    message.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    for (const header_field& each : request.fields)
        append_field(message, each.name, each.value);
    append_field(message, m_header_names.request_id, request.id.value());
    append_field(message, m_header_names.deadline_ms, std::to_string(std::max<long long>(1, left)));
    append_field(message, m_header_names.expected_replica, order.to->record.id.value());
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT")
        append_field(message, "Content-Length", std::to_string(request.body.size()));
    message.append("\r\n").append(request.body);
    return message;
}

void replica_pool::opened(replica_connection& which)
{
    owner& of = m_owners.at(&which);
    const auto waiting = m_attempts.find(of.attempt);
    if (waiting != m_attempts.end() && waiting->second.on.get() == &which)
        return start(waiting->second.on, of.attempt);
    of.attempt = 0;
    m_groups[of.to->number].idle.push_back(of.connection);
}

void replica_pool::ended(replica_connection& which, attempt_outcome outcome)
{
    owner& of = m_owners.at(&which);
    const std::uint64_t attempt = std::exchange(of.attempt, 0);
    // A replica resets connections beyond what it accepts, also after the handshake. Opening more
    // of them at once would keep it at its limit.
    if (which.has_answered())
        of.to->estimate.connected();
    else if (outcome.result == attempt_result::failed)
        of.to->estimate.connect_failed(boot_now());
    if (which.current() == replica_connection::state::closed)
    {
        if (outcome.result == attempt_result::failed)
            ++m_counters.connections_lost;
        release(which);
    }
    else if (m_groups[of.to->number].has_left)
        which.close(attempt_result::abandoned, "replica has left");
    else
        m_groups[of.to->number].idle.push_back(of.connection);
    if (m_attempts.erase(attempt) > 0)
        m_handler(attempt, std::move(outcome));
}

void replica_pool::closed(replica_connection& which)
{
    const owner of = m_owners.at(&which);
    release(which);
    if (of.attempt == 0)
        return;
    // It was opened for an attempt and never came up.
    ++m_counters.connections_failed;
    of.to->estimate.connect_failed(boot_now());
    if (m_attempts.erase(of.attempt) > 0)
        m_handler(of.attempt, {.result = attempt_result::not_sent, .detail = "cannot connect"});
}

bool replica_pool::may_buffer(replica_connection& which, std::size_t before)
{
    m_held = m_held - before + which.buffered_bytes();
    // The largest ones make room: answers without end are among them.
    return m_held <= max_held_bytes || which.buffered_bytes() <= small_answer_bytes;
}

void replica_pool::release(replica_connection& which)
{
    const auto found = m_owners.find(&which);
    const std::uint64_t number = found->second.to->number;
    group& of = m_groups[number];
    std::erase_if(of.idle, [&](const connection_ref& each) { return each.get() == &which; });
    --of.open;
    if (of.open == 0)
        m_groups.erase(number);
    m_owners.erase(found);
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
        found->second.on->current() != replica_connection::state::connecting)
        return false;
    m_attempts.erase(found);
    return true;
}

void replica_pool::abort(std::uint64_t attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end())
        return;
    const connection_ref on = found->second.on;
    if (on->current() == replica_connection::state::busy)
        return on->close(attempt_result::abandoned, "given up");
    // Still connecting: the connection is kept for later requests.
    report_later(attempt, attempt_result::abandoned, "given up");
}

void replica_pool::replica_left(const replica& left)
{
    const auto found = m_groups.find(left.number);
    if (found == m_groups.end())
        return;
    found->second.has_left = true;
    for (const connection_ref& each : found->second.idle)
        each->close(attempt_result::abandoned, "replica has left");
    found->second.idle.clear();
}

void replica_pool::tick(time_point now)
{
    std::vector<connection_ref> overdue;
    for (const auto& [connection, of] : m_owners)
    {
        const duration age = now - connection->since();
        const bool cannot_open =
            connection->current() == replica_connection::state::connecting && age > connect_timeout;
        const bool is_stale = connection->current() == replica_connection::state::idle &&
                              age > std::min(max_idle, connection->idle_limit() - idle_margin);
        if (cannot_open || is_stale)
            overdue.push_back(of.connection);
    }
    for (const connection_ref& each : overdue)
        each->close(attempt_result::not_sent, "time is over");
    std::vector<std::uint64_t> ended;
    for (const auto& [number, state] : m_attempts)
        if (now > state.end)
            ended.push_back(number);
    for (const std::uint64_t number : ended)
        abort(number);
}

} // namespace tanagerspur
