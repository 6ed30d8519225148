#include "tanagerspur/host/target_pool.hpp"

#include <algorithm>

namespace tanagerspur
{

namespace
{

constexpr std::size_t max_reply_bytes = std::size_t{1} * 1024 * 1024;
// The target ends the work at its deadline; its answer then needs a little to arrive.
constexpr duration answer_grace = std::chrono::milliseconds{5};
constexpr duration control_timeout = std::chrono::milliseconds{500};
// Reports and cancellations that may wait for the control connection.
constexpr std::size_t max_control_calls = 64;

http_call make_call(const target_attempt& attempt)
{
    const duration left = attempt.deadline - steady_now();
    http_call call{.method = "POST", .path = "/search", .body = attempt.body};
    call.fields["request-id"] = attempt.request.value();
    call.fields["attempt-id"] = attempt.key;
    call.fields["shard"] = to_string(attempt.shard);
    call.fields["index-version"] = std::to_string(attempt.version.value());
    call.fields["deadline-us"] = std::to_string(left.count());
    call.fields["idempotent"] = attempt.idempotent ? "true" : "false";
    return call;
}

} // namespace

struct target_pool::target
{
    endpoint where;
    std::size_t max_connections = 0;
    duration connect_timeout{};
    std::size_t open_count = 0;
    std::vector<std::shared_ptr<http_connection>> idle;
    std::deque<target_attempt> waiting;
    std::shared_ptr<http_connection> control;
    std::deque<http_call> control_calls;
    bool control_busy = false;
};

target_pool::target_pool(boost::asio::io_context& io, target_listener& listener)
    : m_io(io)
    , m_listener(listener)
{
}

target_pool::~target_pool() = default;

target_pool::target& target_pool::find(const endpoint& where)
{
    auto& found = m_targets[where];
    if (found == nullptr)
    {
        found = std::make_unique<target>();
        found->where = where;
    }
    return *found;
}

void target_pool::handle(target_command command)
{
    if (auto* attempt = std::get_if<target_attempt>(&command))
    {
        target& to = find(attempt->target);
        start(to, std::move(*attempt));
    }
    else if (const auto* cancelled = std::get_if<target_cancel>(&command))
    {
        control(cancelled->target, {.method = "DELETE", .path = "/attempts/" + cancelled->key});
    }
    else if (const auto* poll = std::get_if<target_poll>(&command))
    {
        control(poll->target, {.path = "/load"});
    }
    else if (const auto* limit = std::get_if<target_limit>(&command))
    {
        target& to = find(limit->target);
        to.max_connections = limit->max_connections;
        to.connect_timeout = limit->connect_timeout;
        const std::size_t most_idle = limit->max_connections;
        while (!to.idle.empty() && to.open_count > most_idle)
        {
            to.idle.back()->close();
            to.idle.pop_back();
            --to.open_count;
        }
        if (limit->max_connections == 0 && to.control != nullptr)
            to.control->close();
    }
}

void target_pool::start(target& to, target_attempt call)
{
    ++m_calls;
    while (!to.idle.empty())
    {
        auto connection = std::move(to.idle.back());
        to.idle.pop_back();
        if (connection->is_open())
            return send(to, std::move(connection), true, std::move(call));
        --to.open_count;
    }
    // One connection is kept for reports and cancellations.
    if (to.open_count + 1 < to.max_connections)
        return open(to, std::move(call));
    to.waiting.push_back(std::move(call));
}

void target_pool::open(target& to, target_attempt call)
{
    ++to.open_count;
    ++m_opened;
    auto connection = http_connection::make(m_io, to.where, max_reply_bytes);
    const duration timeout =
        std::clamp<duration>(call.deadline - steady_now(), duration{1}, to.connect_timeout);
    auto* raw = connection.get();
    raw->open(timeout,
              [this, &to, connection, call = std::move(call)](bool is_open) mutable
              {
                  if (is_open)
                      return send(to, std::move(connection), false, std::move(call));
                  ++m_open_failures;
                  --to.open_count;
                  m_listener.on_attempt_end(
                      call.shard, call.attempt,
                      {.end = attempt_end::not_connected,
                       .message = "no connection to target " + to_string(to.where)});
                  start_waiting(to);
              });
}

void target_pool::send(target& to, std::shared_ptr<http_connection> connection, bool reused,
                       target_attempt call)
{
    const duration left = call.deadline - steady_now();
    if (left.count() <= 0)
    {
        to.idle.push_back(std::move(connection));
        m_listener.on_attempt_end(call.shard, call.attempt,
                                  {.end = attempt_end::not_connected,
                                   .message = "the deadline passed before the attempt was sent"});
        return start_waiting(to);
    }
    http_call message = make_call(call);
    auto* raw = connection.get();
    raw->send(std::move(message), left + answer_grace,
              [this, &to, connection, reused, call = std::move(call)](const call_outcome& outcome)
              { finish(to, connection, reused, call, outcome); });
}

void target_pool::finish(target& to, const std::shared_ptr<http_connection>& connection,
                         bool reused, const target_attempt& call, const call_outcome& outcome)
{
    if (to.open_count > to.max_connections)
        connection->close();
    if (connection->is_open())
        to.idle.push_back(connection);
    else
        --to.open_count;
    if (outcome.stage == call_stage::not_sent && reused)
    {
        // The peer had closed an idle connection; nothing was sent, so another may be tried.
        distrust_idle(to);
        return start(to, call);
    }
    if (outcome.stage == call_stage::sent)
    {
        ++m_lost;
        distrust_idle(to);
    }
    attempt_result result = read_attempt_result(outcome);
    result.reused_connection = reused;
    m_listener.on_attempt_end(call.shard, call.attempt, std::move(result));
    start_waiting(to);
}

void target_pool::start_waiting(target& to)
{
    if (to.waiting.empty())
        return;
    target_attempt next = std::move(to.waiting.front());
    to.waiting.pop_front();
    start(to, std::move(next));
}

// Whatever lost one connection may have lost the others: the next call opens a new one.
void target_pool::distrust_idle(target& to)
{
    for (const auto& connection : to.idle)
        connection->close();
    to.open_count -= to.idle.size();
    to.idle.clear();
}

void target_pool::control(const endpoint& where, http_call call)
{
    target& to = find(where);
    if (to.max_connections == 0 || to.control_calls.size() >= max_control_calls)
        return;
    to.control_calls.push_back(std::move(call));
    if (!to.control_busy)
        send_control(to);
}

void target_pool::send_control(target& to)
{
    if (to.control_calls.empty())
        return;
    to.control_busy = true;
    if (to.control == nullptr || !to.control->is_open())
    {
        to.control = http_connection::make(m_io, to.where, max_reply_bytes);
        to.control->open(control_timeout,
                         [this, &to](bool is_open)
                         {
                             to.control_busy = false;
                             if (is_open)
                                 return send_control(to);
                             to.control_calls.clear();
                         });
        return;
    }
    http_call call = std::move(to.control_calls.front());
    to.control_calls.pop_front();
    const bool is_poll = call.method == "GET";
    to.control->send(std::move(call), control_timeout,
                     [this, &to, is_poll](const call_outcome& outcome)
                     {
                         to.control_busy = false;
                         if (is_poll && outcome.stage == call_stage::answered)
                             if (auto report = parse_load_report(outcome.reply.body))
                                 m_listener.on_load_report(to.where, std::move(*report));
                         send_control(to);
                     });
}

void target_pool::close()
{
    for (auto& [where, each] : m_targets)
    {
        distrust_idle(*each);
        if (each->control != nullptr)
            each->control->close();
    }
}

target_counts target_pool::counts() const
{
    return {.opened = m_opened, .open_failures = m_open_failures, .calls = m_calls, .lost = m_lost};
}

} // namespace tanagerspur
