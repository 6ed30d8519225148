// Makes the answers to callers and ends exchanges.

#include "tanagerspur/common/http_status.hpp"
#include "tanagerspur/forwarding/forwarder.hpp"
#include "tanagerspur/forwarding/record_merge.hpp"

#include <algorithm>

namespace tanagerspur
{

namespace
{

// Range of a refusal's Retry-After, in latency objectives. The value is random, so that callers do
// not retry all at the same time.
constexpr double min_retry_after = 0.5;
constexpr double max_retry_after = 1.5;

} // namespace

caller_answer forwarder::make_refusal(const exchange& current)
{
    const double objectives =
        std::uniform_real_distribution<>{min_retry_after, max_retry_after}(m_random);
    caller_answer refusal{.status = status_unavailable};
    refusal.retry_after = duration{static_cast<duration::rep>(
        objectives * static_cast<double>(current.matched_route->latency_objective.count()))};
    return refusal;
}

caller_answer forwarder::make_scatter_answer(const exchange& current) const
{
    caller_answer made{.status = status_ok};
    std::vector<std::string_view> parts;
    for (const leg& each : current.legs)
    {
        if (each.current_state != leg::state::done)
            continue;
        parts.push_back(each.answer->body);
        made.part_signatures.push_back(each.answer->signature);
    }
    made.missing_parts = current.legs.size() - parts.size();
    made.body = merge_greatest(parts, current.matched_route->scatter->top_records);
    return made;
}

bool forwarder::withdraw_all(exchange& current, time_point now)
{
    for (const leg& each : current.legs)
        if (each.may_have_run || each.current_state == leg::state::done)
            return false;
    for (leg& each : current.legs)
        std::erase_if(each.attempts_in_flight,
                      [this, now](std::uint64_t number)
                      {
                          if (!m_environment.withdraw(number))
                              return false;
                          const auto found = m_attempts.find(number);
                          found->second.to->estimate.attempt_abandoned(number, now);
                          m_attempts.erase(found);
                          return true;
                      });
    return std::all_of(current.legs.begin(), current.legs.end(),
                       [](const leg& each) { return each.attempts_in_flight.empty(); });
}

caller_answer forwarder::make_answer(exchange& current, time_point now, std::string_view& cause)
{
    std::size_t done = 0;
    const leg* failed = nullptr;
    for (const leg& each : current.legs)
    {
        done += each.current_state == leg::state::done ? 1 : 0;
        if (each.current_state == leg::state::failed && each.cause != cause_not_asked)
            failed = &each;
    }
    if (current.matched_route->scatter && done >= needed_parts(current))
    {
        cause = done == current.legs.size() ? "complete" : "partial";
        return make_scatter_answer(current);
    }
    if (!current.matched_route->scatter && current.legs.front().answer)
    {
        const replica_answer& from = *current.legs.front().answer;
        cause = from.is_success() ? "complete" : "replica_error";
        return {
            .status = from.status, .reason = from.reason, .fields = from.fields, .body = from.body};
    }
    if (withdraw_all(current, now))
    {
        cause = failed != nullptr ? failed->cause : "deadline";
        return make_refusal(current);
    }
    if (now >= current.deadline)
    {
        cause = "deadline";
        return {.status = status_gateway_timeout};
    }
    cause = failed != nullptr ? failed->cause : "failed";
    return {.status = status_bad_gateway};
}

void forwarder::answer_exchange(exchange& current, time_point now)
{
    std::string_view cause;
    caller_answer answer = make_answer(current, now, cause);
    if (answer.status == status_unavailable && answer.retry_after)
        ++m_counters.refused;
    else if (answer.status == status_gateway_timeout)
        ++m_counters.timed_out;
    else if (answer.status >= 200 && answer.status < 300)
        ++(cause == "partial" ? m_counters.partial : m_counters.succeeded);
    else
        ++m_counters.failed;
    finish(current, &answer, cause, now);
}

void forwarder::expire_all(time_point now)
{
    for_each_exchange([](const exchange&) { return true; },
                      [this, now](exchange& current)
                      {
                          current.deadline = std::min(current.deadline, now);
                          answer_exchange(current, now);
                      });
}

void forwarder::cancel(exchange_id id, time_point now)
{
    const auto found = m_exchanges.find(id.value());
    if (found == m_exchanges.end())
        return;
    ++m_counters.cancelled_by_caller;
    finish(*found->second, nullptr, "caller_left", now);
}

// Ends the exchange and destroys it. Attempts that are still in flight may go on for a while,
// since closing their connections would cost more than their answers. If the caller has cancelled
// an idempotent request, or if it crashes replicas, they are aborted.
void forwarder::finish(exchange& current, caller_answer* answer, std::string_view cause,
                       time_point now)
{
    exchange_summary summary{.id = current.id,
                             .request = current.request.get(),
                             .matched_route = current.matched_route,
                             .version = current.table->version(),
                             .status = answer != nullptr ? answer->status : 0,
                             .cause = cause,
                             .took = now - current.begun,
                             .expected_parts = current.legs.size(),
                             .attempts = current.attempts,
                             .extra_attempts = current.extra_attempts};
    std::vector<std::uint64_t> remaining;
    for (leg& each : current.legs)
    {
        stop_waiting(each);
        remaining.insert(remaining.end(), each.attempts_in_flight.begin(),
                         each.attempts_in_flight.end());
        if (each.current_state == leg::state::done)
        {
            ++summary.parts;
            if (each.answered_at - current.begun >= summary.last_part_after)
            {
                summary.last_part = each.service;
                summary.last_part_after = each.answered_at - current.begun;
            }
        }
        else if (each.cause != cause_not_asked)
            summary.missing += (summary.missing.empty() ? "" : ",") + each.service.value() + ":" +
                               std::string{each.cause};
    }
    const bool may_continue =
        (answer != nullptr && !current.is_suspect) || !current.matched_route->is_idempotent;
    const std::unique_ptr<exchange> ended = std::move(m_exchanges[current.id.value()]);
    m_exchanges.erase(current.id.value());
    m_environment.on_exchange_finished(summary);
    if (answer != nullptr)
        m_environment.answer(ended->id, std::move(*answer));
    for (const std::uint64_t number : remaining)
    {
        const auto known = m_attempts.find(number);
        if (ended->has_answer && known != m_attempts.end())
            known->second.request = nullptr;
        if (!may_continue)
            m_environment.abort(number);
        else if (ended->matched_route->is_idempotent)
            m_environment.abort_at(number, now + m_options.leftover_attempt_timeout);
    }
}

} // namespace tanagerspur
