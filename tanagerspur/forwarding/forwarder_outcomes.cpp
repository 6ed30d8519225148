// Handles the outcomes of attempts: updates the estimates of replicas, sends retries and hedges,
// and decides when a request can be answered.

#include "tanagerspur/forwarding/forwarder.hpp"

#include <algorithm>

namespace tanagerspur
{

namespace
{

// Number of connections that may fail to open before a leg fails. They cost the replicas nothing,
// so they do not count as attempts.
constexpr std::uint32_t max_connect_failures = 4;

} // namespace

std::string_view to_string(attempt_result value)
{
    switch (value)
    {
    case attempt_result::not_sent:
        return "not_sent";
    case attempt_result::refused:
        return "refused";
    case attempt_result::answered:
        return "answered";
    case attempt_result::failed:
        return "failed";
    case attempt_result::abandoned:
        return "abandoned";
    }
    return "unknown";
}

void forwarder::count_outcome(const service_id& service, const attempt_outcome& outcome)
{
    service_counters& counts = state_of(service).counts;
    if (outcome.result == attempt_result::refused)
        ++counts.refused;
    else if (outcome.result == attempt_result::answered && outcome.answer.is_success())
        ++counts.succeeded;
    else if (outcome.result == attempt_result::answered || outcome.result == attempt_result::failed)
        ++counts.failed;
}

void forwarder::record_outcome(const attempt& ended, std::uint64_t number,
                               const attempt_outcome& outcome, time_point now)
{
    replica_estimate& estimate = ended.to->estimate;
    if (outcome.is_misdirected)
        estimate.misdirected(now);
    else if (outcome.load)
        estimate.load_reported(*outcome.load, now);
    const bool is_answer =
        outcome.result == attempt_result::answered || outcome.result == attempt_result::refused;
    if (is_answer && !outcome.is_misdirected)
        m_registry.heard(*ended.to, outcome.notice, now);
    switch (outcome.result)
    {
    case attempt_result::not_sent:
        estimate.attempt_abandoned(number, now);
        return;
    case attempt_result::refused:
        return estimate.attempt_refused(number, now);
    case attempt_result::failed:
        return estimate.attempt_failed(number, now);
    case attempt_result::abandoned:
        return estimate.attempt_abandoned(number, now);
    case attempt_result::answered:
        break;
    }
    if (!outcome.answer.is_success())
        return estimate.attempt_failed(number, now);
    const duration took = now - ended.sent;
    estimate.attempt_answered(number, now, took, ended.typical);
    const auto known = m_latencies.find(ended.route);
    if (known == m_latencies.end())
        return;
    known->second.median.record(took);
    known->second.hedge.record(took);
}

void forwarder::attempt_ended(std::uint64_t number, attempt_outcome outcome, time_point now)
{
    const auto found = m_attempts.find(number);
    if (found == m_attempts.end())
        return;
    const attempt ended = found->second;
    m_attempts.erase(found);
    record_outcome(ended, number, outcome, now);
    count_outcome(ended.to->record.service, outcome);
    const auto owner = m_exchanges.find(ended.exchange.value());
    if (owner != m_exchanges.end())
    {
        exchange& current = *owner->second;
        std::erase(current.legs[ended.leg].attempts_in_flight, number);
        report_attempt(current, ended, outcome, now);
        leg_attempt_ended(current, ended.leg, std::move(outcome), now);
        answer_if_due(current, now);
    }
    serve_waiting_leg(ended.to->record.service, now);
}

void forwarder::report_attempt(const exchange& current, const attempt& ended,
                               const attempt_outcome& outcome, time_point now)
{
    const bool is_answer = outcome.result == attempt_result::answered;
    if (is_answer && outcome.answer.is_success())
        return;
    m_environment.on_attempt_event({.request = current.request.get(),
                                    .to = ended.to.get(),
                                    .result = to_string(outcome.result),
                                    .detail = outcome.detail,
                                    .status = outcome.answer.status,
                                    .took = now - ended.sent,
                                    .failure_share = ended.to->estimate.failure_share(now),
                                    .in_flight = ended.to->estimate.in_flight()});
}

void forwarder::fail_leg(leg& current_leg, std::string_view cause)
{
    current_leg.current_state = leg::state::failed;
    current_leg.cause = cause;
    current_leg.hedge_at = never;
}

void forwarder::leg_attempt_ended(exchange& current, std::size_t leg_index, attempt_outcome outcome,
                                  time_point now)
{
    leg& current_leg = current.legs[leg_index];
    if (current_leg.current_state != leg::state::pending)
        return;
    const bool is_answer = outcome.result == attempt_result::answered;
    if (is_answer && (outcome.answer.is_success() || !current.matched_route->is_idempotent))
    {
        current_leg.answer = std::move(outcome.answer);
        current_leg.current_state = leg::state::done;
        current_leg.cause = "answered";
        current_leg.answered_at = now;
        return;
    }
    if (outcome.result == attempt_result::not_sent)
    {
        // Nothing reached a replica: the attempt does not count and costs no retry budget.
        --current_leg.attempts_sent;
        if (++current_leg.connect_failures < max_connect_failures && now < current.deadline &&
            send_next(current, leg_index, attempt_kind::first, now) == sending::sent)
            return;
        if (current_leg.attempts_in_flight.empty())
            fail_leg(current_leg, "no_connection");
        return;
    }
    if (outcome.result != attempt_result::refused)
        current_leg.may_have_run = true;
    if (is_answer)
        current_leg.answer = std::move(outcome.answer);
    const bool may_repeat =
        current.matched_route->is_idempotent || outcome.result == attempt_result::refused;
    if (may_repeat && current_leg.attempts_in_flight.empty() && now < current.deadline &&
        send_again(current, leg_index, attempt_kind::repeat, now))
    {
        ++m_counters.retries;
        return;
    }
    if (current_leg.attempts_in_flight.empty())
        fail_leg(current_leg, to_string(outcome.result));
}

void forwarder::send_due_hedges(exchange& current, time_point now)
{
    for (std::size_t i = 0; i < current.legs.size(); ++i)
    {
        leg& current_leg = current.legs[i];
        if (current_leg.current_state != leg::state::pending || now < current_leg.hedge_at)
            continue;
        current_leg.hedge_at = never;
        // Free connections are left to the first attempts that wait for them.
        if (m_waiting.contains(current_leg.service))
            continue;
        if (!send_again(current, i, attempt_kind::hedge, now))
            continue;
        ++m_counters.hedges;
    }
}

void forwarder::wake(exchange_id id, time_point now)
{
    const auto found = m_exchanges.find(id.value());
    if (found == m_exchanges.end())
        return;
    exchange& current = *found->second;
    current.timer = never;
    if (now < current.deadline)
        send_due_hedges(current, now);
    expire_waits(current, now);
    answer_if_due(current, now);
}

void forwarder::expire_waits(exchange& current, time_point now)
{
    for (leg& each : current.legs)
    {
        if (each.current_state != leg::state::pending || now < each.wait_until)
            continue;
        stop_waiting(each);
        fail_leg(each, "no_room");
    }
}

void forwarder::answer_if_due(exchange& current, time_point now)
{
    std::size_t done = 0;
    std::size_t pending = 0;
    time_point next = current.deadline;
    for (const leg& each : current.legs)
    {
        done += each.current_state == leg::state::done ? 1 : 0;
        pending += each.current_state == leg::state::pending ? 1 : 0;
        if (each.current_state == leg::state::pending)
            next = std::min({next, each.hedge_at, each.wait_until});
    }
    const std::size_t needed = needed_parts(current);
    const bool cannot_succeed = done + pending < needed;
    const bool is_partial_due = current.matched_route->scatter &&
                                current.partial.is_due(done, current.legs.size(), needed, now);
    if (pending == 0 || cannot_succeed || is_partial_due || now >= current.deadline)
        return answer_exchange(current, now);
    if (current.matched_route->scatter)
        next = std::min(next, current.partial.next_check(now));
    // A timer that fires too early only repeats this check; resetting it after every answer would
    // cost more.
    if (next >= current.timer)
        return;
    current.timer = next;
    m_environment.wake_at(current.id, next);
}

} // namespace tanagerspur
