// Handles the outcomes of attempts: updates the estimates of replicas, sends retries and hedges,
// and decides when a request can be answered.

#include "tanagerspur/forwarding/forwarder.hpp"

#include <algorithm>
#include <utility>

namespace tanagerspur
{

namespace
{

// Number of connections that may fail to open before a leg fails. They cost the replicas nothing,
// so they do not count as attempts.
constexpr std::uint32_t max_connect_failures = 4;
// Number of shards from which on it is unlikely that all of them are slow, or lost, by chance.
constexpr std::size_t min_shards_to_compare = 3;

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
    exchange* const open = owner != m_exchanges.end() ? owner->second.get() : nullptr;
    follow_crashes(ended, open, outcome, now);
    if (open != nullptr)
    {
        exchange& current = *open;
        std::erase(current.legs[ended.leg].attempts_in_flight, number);
        report_attempt(current, ended, outcome, now);
        leg_attempt_ended(current, ended.leg, std::move(outcome), now);
        decide_postponed(current, now);
        answer_if_due(current, now);
    }
    serve_waiting_leg(ended.to->record.service, now);
}

void forwarder::follow_crashes(const attempt& ended, exchange* current,
                               const attempt_outcome& outcome, time_point now)
{
    const bool is_answered =
        outcome.result == attempt_result::answered && outcome.answer.is_success();
    if (is_answered && current != nullptr)
        current->has_answer = true;
    if (ended.request == nullptr || (current != nullptr && current->has_answer && !is_answered))
        return;
    const request_fingerprint& request = ended.request->fingerprint;
    if (is_answered && m_crashes.answered(request))
        m_environment.on_cleared(*ended.request);
    if (outcome.result != attempt_result::failed)
        return;
    m_crashes.lost(request, {ended.to->record.id, ended.to->record.started_ms}, now);
    // An open scatter goes on until its other legs have ended, but no further one is to begin.
    const bool is_open_scatter = current != nullptr && has_shards_to_compare(*current);
    if (is_open_scatter ? m_crashes.is_doubtful(request)
                        : current == nullptr && m_crashes.is_suspect(request))
        m_environment.on_suspect(*ended.request, m_crashes.lost_at(request));
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
    if (!current_leg.attempts_in_flight.empty())
        return;
    if (outcome.result == attempt_result::failed && current.postponed_until == never)
        current.postponed_until = now + hedge_delay(*current.matched_route);
    const bool may_repeat =
        current.matched_route->is_idempotent || outcome.result == attempt_result::refused;
    if (!may_repeat)
        return fail_leg(current_leg, to_string(outcome.result));
    if (outcome.result == attempt_result::failed && may_crash_replicas(current, now))
    {
        ++m_counters.postponed_repeats;
        current_leg.is_postponed = true;
        current_leg.hedge_at = never;
        return;
    }
    repeat_or_fail(current, leg_index, to_string(outcome.result), now);
}

void forwarder::repeat_or_fail(exchange& current, std::size_t leg_index, std::string_view cause,
                               time_point now)
{
    if (now < current.deadline && send_again(current, leg_index, attempt_kind::repeat, now))
        ++m_counters.retries;
    else
        fail_leg(current.legs[leg_index], cause);
}

bool forwarder::has_shards_to_compare(const exchange& current)
{
    return current.legs.size() >= min_shards_to_compare;
}

// The legs of a scatter run at the same time, so that one that harms no replica soon has an answer.
// A request to one replica gives no such sign; it is repeated until it is suspect.
bool forwarder::may_crash_replicas(const exchange& current, time_point now) const
{
    const request_fingerprint& request = current.request->fingerprint;
    if (current.has_answer)
        return false;
    if (m_crashes.is_suspect(request))
        return true;
    return has_shards_to_compare(current) && now < current.postponed_until &&
           !m_crashes.lost_at(request).empty();
}

// While attempts are in flight, one of them may still be answered.
void forwarder::decide_postponed(exchange& current, time_point now)
{
    if (current.postponed_until == never || current.is_suspect)
        return;
    const bool has_attempt_in_flight =
        std::any_of(current.legs.begin(), current.legs.end(),
                    [](const leg& each) { return !each.attempts_in_flight.empty(); });
    const bool is_over = !has_attempt_in_flight || now >= current.postponed_until;
    if (is_over && !current.has_answer && m_crashes.is_suspect(current.request->fingerprint))
    {
        m_environment.on_suspect(*current.request, m_crashes.lost_at(current.request->fingerprint));
        return end_as_suspect(current);
    }
    if (!is_over && may_crash_replicas(current, now))
        return;
    for (std::size_t i = 0; i < current.legs.size(); ++i)
    {
        leg& each = current.legs[i];
        if (!std::exchange(each.is_postponed, false) || each.current_state != leg::state::pending)
            continue;
        repeat_or_fail(current, i, to_string(attempt_result::failed), now);
    }
}

void forwarder::end_as_suspect(exchange& current)
{
    ++m_counters.ended_as_suspect;
    current.is_suspect = true;
    for (leg& each : current.legs)
    {
        if (each.current_state != leg::state::pending)
            continue;
        stop_waiting(each);
        fail_leg(each, cause_crashes_replicas);
    }
}

void forwarder::end_all(const request_fingerprint& request, time_point now)
{
    for_each_exchange([&request](const exchange& each)
                      { return each.request->fingerprint == request; },
                      [this, now](exchange& current)
                      {
                          end_as_suspect(current);
                          answer_if_due(current, now);
                      });
}

// A hedge is for a shard that is slower than the others. Before the first answer it may be the
// request itself that takes long, or that crashes replicas.
bool forwarder::may_hedge(const exchange& current) const
{
    return has_shards_to_compare(current) ? current.has_answer
                                          : !m_crashes.is_suspect(current.request->fingerprint);
}

void forwarder::send_due_hedges(exchange& current, time_point now)
{
    if (!may_hedge(current))
        return;
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
    decide_postponed(current, now);
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
            next = std::min({next, may_hedge(current) ? each.hedge_at : never, each.wait_until,
                             each.is_postponed ? current.postponed_until : never});
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
