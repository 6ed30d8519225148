// What callers are answered, and the end of a request.

#include "tanagerspur/common/http_status.hpp"
#include "tanagerspur/forwarding/forwarder.hpp"
#include "tanagerspur/forwarding/record_merge.hpp"

#include <algorithm>

namespace tanagerspur
{

namespace
{

// Retry-After of a refusal, in latency objectives; drawn between the two so that callers do not
// return together.
constexpr double min_retry_after = 0.5;
constexpr double max_retry_after = 1.5;

} // namespace

caller_answer forwarder::make_refusal(const exchange& of)
{
    const double objectives =
        std::uniform_real_distribution<>{min_retry_after, max_retry_after}(m_random);
    caller_answer refusal{.status = status_unavailable};
    refusal.retry_after = duration{static_cast<duration::rep>(
        objectives * static_cast<double>(of.matched_route->latency_objective.count()))};
    return refusal;
}

caller_answer forwarder::make_scatter_answer(const exchange& of) const
{
    caller_answer made{.status = status_ok};
    std::vector<std::string_view> parts;
    for (const leg& each : of.legs)
    {
        if (each.now != leg::state::done)
            continue;
        parts.push_back(each.answer->body);
        made.part_signatures.push_back(each.answer->signature);
    }
    made.missing_parts = of.legs.size() - parts.size();
    made.body = merge_greatest(parts, of.matched_route->scatter->top_records);
    return made;
}

bool forwarder::withdraw_all(exchange& of, time_point now)
{
    for (const leg& each : of.legs)
        if (each.may_have_run || each.now == leg::state::done)
            return false;
    for (leg& each : of.legs)
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
    return std::all_of(of.legs.begin(), of.legs.end(),
                       [](const leg& each) { return each.attempts_in_flight.empty(); });
}

caller_answer forwarder::make_answer(exchange& of, time_point now, std::string_view& cause)
{
    std::size_t done = 0;
    const leg* failed = nullptr;
    for (const leg& each : of.legs)
    {
        done += each.now == leg::state::done ? 1 : 0;
        if (each.now == leg::state::failed && each.cause != cause_not_asked)
            failed = &each;
    }
    if (of.matched_route->scatter && done >= needed_parts(of))
    {
        cause = done == of.legs.size() ? "complete" : "partial";
        return make_scatter_answer(of);
    }
    if (!of.matched_route->scatter && of.legs.front().answer)
    {
        const replica_answer& from = *of.legs.front().answer;
        cause = from.is_success() ? "complete" : "replica_error";
        return {
            .status = from.status, .reason = from.reason, .fields = from.fields, .body = from.body};
    }
    if (withdraw_all(of, now))
    {
        cause = failed != nullptr ? failed->cause : "deadline";
        return make_refusal(of);
    }
    if (now >= of.deadline)
    {
        cause = "deadline";
        return {.status = status_gateway_timeout};
    }
    cause = failed != nullptr ? failed->cause : "failed";
    return {.status = status_bad_gateway};
}

void forwarder::conclude(exchange& of, time_point now)
{
    std::string_view cause;
    caller_answer answer = make_answer(of, now, cause);
    if (answer.status == status_unavailable && answer.retry_after)
        ++m_counters.refused;
    else if (answer.status == status_gateway_timeout)
        ++m_counters.timed_out;
    else if (answer.status >= 200 && answer.status < 300)
        ++(cause == "partial" ? m_counters.partial : m_counters.succeeded);
    else
        ++m_counters.failed;
    finish(of, &answer, cause, now);
}

void forwarder::expire_all(time_point now)
{
    std::vector<std::uint64_t> ids;
    ids.reserve(m_exchanges.size());
    for (const auto& [id, of] : m_exchanges)
        ids.push_back(id);
    for (const std::uint64_t id : ids)
    {
        // An answer may lead to the end of others.
        const auto found = m_exchanges.find(id);
        if (found == m_exchanges.end())
            continue;
        exchange& of = *found->second;
        of.deadline = std::min(of.deadline, now);
        conclude(of, now);
    }
}

void forwarder::cancel(exchange_id id, time_point now)
{
    const auto found = m_exchanges.find(id.value());
    if (found == m_exchanges.end())
        return;
    ++m_counters.cancelled_by_caller;
    finish(*found->second, nullptr, "caller_left", now);
}

// Ends the exchange: the last use of it. Attempts that are still under way go on for a while,
// because closing their connections would cost more than their answers, unless nobody waits for
// them any more.
void forwarder::finish(exchange& of, caller_answer* answer, std::string_view cause, time_point now)
{
    exchange_summary summary{.id = of.id,
                             .request = of.request.get(),
                             .matched_route = of.matched_route,
                             .version = of.table->version(),
                             .status = answer != nullptr ? answer->status : 0,
                             .cause = cause,
                             .took = now - of.begun,
                             .expected_parts = of.legs.size(),
                             .attempts = of.attempts,
                             .extra_attempts = of.extra_attempts};
    std::vector<std::uint64_t> left;
    for (leg& each : of.legs)
    {
        stop_waiting(each);
        left.insert(left.end(), each.attempts_in_flight.begin(), each.attempts_in_flight.end());
        if (each.now == leg::state::done)
            ++summary.parts;
        else if (each.cause != cause_not_asked)
            summary.missing += (summary.missing.empty() ? "" : ",") + each.service.value() + ":" +
                               std::string{each.cause};
    }
    const bool is_wanted = answer != nullptr || !of.matched_route->is_idempotent;
    const std::unique_ptr<exchange> ended = std::move(m_exchanges[of.id.value()]);
    m_exchanges.erase(of.id.value());
    m_environment.on_exchange_finished(summary);
    if (answer != nullptr)
        m_environment.answer(ended->id, std::move(*answer));
    for (const std::uint64_t number : left)
    {
        if (!is_wanted)
            m_environment.abort(number);
        else if (ended->matched_route->is_idempotent)
            m_environment.abort_at(number, now + m_options.linger);
    }
}

} // namespace tanagerspur
