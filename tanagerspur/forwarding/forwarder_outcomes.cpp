// What becomes of attempts: what is learned of replicas, when another attempt is sent, and when a
// request has all that it can get.

#include "tanagerspur/forwarding/forwarder.hpp"

#include <algorithm>

namespace tanagerspur
{

namespace
{

// Connections of one leg that may fail to open before the leg is given up. They cost the replicas
// nothing, so they do not count as attempts.
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

void forwarder::count_end(const service_id& service, const attempt_outcome& outcome)
{
    service_counters& counts = state_of(service).counts;
    if (outcome.result == attempt_result::refused)
        ++counts.refused;
    else if (outcome.result == attempt_result::answered && outcome.answer.is_success())
        ++counts.succeeded;
    else if (outcome.result == attempt_result::answered || outcome.result == attempt_result::failed)
        ++counts.failed;
}

void forwarder::learn(const attempt& ended, std::uint64_t number, const attempt_outcome& outcome,
                      time_point now)
{
    replica_estimate& estimate = ended.to->estimate;
    if (outcome.is_misdirected)
        estimate.misdirected(now);
    else if (outcome.load)
        estimate.load_reported(*outcome.load, now);
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
    estimate.attempt_answered(number, now, took, ended.usual);
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
    learn(ended, number, outcome, now);
    count_end(ended.to->record.service, outcome);
    const auto owner = m_exchanges.find(ended.exchange.value());
    if (owner != m_exchanges.end())
    {
        exchange& of = *owner->second;
        std::erase(of.legs[ended.leg].attempts_in_flight, number);
        note(of, ended, outcome, now);
        leg_attempt_ended(of, ended.leg, std::move(outcome), now);
        settle(of, now);
    }
    serve_waiting(ended.to->record.service, now);
}

void forwarder::note(const exchange& of, const attempt& ended, const attempt_outcome& outcome,
                     time_point now)
{
    const bool is_answer = outcome.result == attempt_result::answered;
    if (is_answer && outcome.answer.is_success())
        return;
    m_environment.on_attempt_event({.request = of.request.get(),
                                    .to = ended.to.get(),
                                    .result = to_string(outcome.result),
                                    .detail = outcome.detail,
                                    .status = outcome.answer.status,
                                    .took = now - ended.sent,
                                    .failure_share = ended.to->estimate.failure_share(now),
                                    .in_flight = ended.to->estimate.in_flight()});
}

void forwarder::fail_leg(leg& which, std::string_view cause)
{
    which.now = leg::state::failed;
    which.cause = cause;
    which.hedge_at = never;
}

void forwarder::leg_attempt_ended(exchange& of, std::size_t leg_index, attempt_outcome outcome,
                                  time_point now)
{
    leg& which = of.legs[leg_index];
    if (which.now != leg::state::pending)
        return;
    const bool is_answer = outcome.result == attempt_result::answered;
    if (is_answer && (outcome.answer.is_success() || !of.matched_route->is_idempotent))
    {
        which.answer = std::move(outcome.answer);
        which.now = leg::state::done;
        which.cause = "answered";
        return;
    }
    if (outcome.result == attempt_result::not_sent)
    {
        // Nothing reached a replica: the attempt does not count, nor cost the budget.
        --which.sends;
        if (++which.connect_failures < max_connect_failures && now < of.deadline &&
            send_next(of, leg_index, attempt_kind::first, now) == sending::sent)
            return;
        if (which.attempts_in_flight.empty())
            fail_leg(which, "no_connection");
        return;
    }
    if (outcome.result != attempt_result::refused)
        which.may_have_run = true;
    if (is_answer)
        which.answer = std::move(outcome.answer);
    const bool may_repeat =
        of.matched_route->is_idempotent || outcome.result == attempt_result::refused;
    if (may_repeat && which.attempts_in_flight.empty() && now < of.deadline &&
        send_again(of, leg_index, attempt_kind::repeat, now))
    {
        ++m_counters.retries;
        return;
    }
    if (which.attempts_in_flight.empty())
        fail_leg(which, to_string(outcome.result));
}

void forwarder::hedge_due(exchange& of, time_point now)
{
    for (std::size_t i = 0; i < of.legs.size(); ++i)
    {
        leg& which = of.legs[i];
        if (which.now != leg::state::pending || now < which.hedge_at)
            continue;
        which.hedge_at = never;
        // First attempts wait for its connections.
        if (m_waiting.contains(which.service))
            continue;
        if (!send_again(of, i, attempt_kind::hedge, now))
            continue;
        ++m_counters.hedges;
    }
}

void forwarder::wake(exchange_id id, time_point now)
{
    const auto found = m_exchanges.find(id.value());
    if (found == m_exchanges.end())
        return;
    exchange& of = *found->second;
    of.timer = never;
    if (now < of.deadline)
        hedge_due(of, now);
    end_waits(of, now);
    settle(of, now);
}

void forwarder::end_waits(exchange& of, time_point now)
{
    for (leg& each : of.legs)
    {
        if (each.now != leg::state::pending || now < each.wait_until)
            continue;
        stop_waiting(each);
        fail_leg(each, "no_room");
    }
}

void forwarder::settle(exchange& of, time_point now)
{
    std::size_t done = 0;
    std::size_t pending = 0;
    time_point next = of.deadline;
    for (const leg& each : of.legs)
    {
        done += each.now == leg::state::done ? 1 : 0;
        pending += each.now == leg::state::pending ? 1 : 0;
        if (each.now == leg::state::pending)
            next = std::min({next, each.hedge_at, each.wait_until});
    }
    const std::size_t needed = needed_parts(of);
    const bool is_hopeless = done + pending < needed;
    const bool is_partial_due =
        of.matched_route->scatter && of.partial.is_due(done, of.legs.size(), needed, now);
    if (pending == 0 || is_hopeless || is_partial_due || now >= of.deadline)
        return conclude(of, now);
    if (of.matched_route->scatter)
        next = std::min(next, of.partial.next_look(now));
    // A timer that fires too soon only looks again; setting it for every answer would cost more.
    if (next >= of.timer)
        return;
    of.timer = next;
    m_environment.wake_at(of.id, next);
}

} // namespace tanagerspur
