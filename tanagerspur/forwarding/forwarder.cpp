#include "tanagerspur/forwarding/forwarder.hpp"

#include "tanagerspur/forwarding/record_merge.hpp"

#include <algorithm>
#include <cmath>

namespace tanagerspur
{

namespace
{

// Connections of one leg that may fail to open before the leg is given up. They cost the replicas
// nothing, so they do not count as attempts.
constexpr std::uint32_t max_connect_failures = 4;
// Bounds of the wait before a second attempt: below the first, timers and wake-ups decide; the
// second is a share of the objective after which a second attempt would come too late.
constexpr duration min_hedge_delay = std::chrono::milliseconds{4};
constexpr double max_hedge_share = 0.45;
// Retry-After of a refusal, in latency objectives; drawn between the two so that callers do not
// return together.
constexpr double min_retry_after = 0.5;
constexpr double max_retry_after = 1.5;
constexpr double coverage_rounding = 1e-9;

constexpr int status_ok = 200;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;

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

forwarder::forwarder(const forwarder_options& options, replica_registry& registry,
                     forwarder_environment& environment)
    : m_options(options)
    , m_registry(registry)
    , m_environment(environment)
    , m_choice({.own_zone = options.own_zone}, options.seed)
    , m_admission(options.admission)
    , m_splits(options.seed + 1)
    , m_random(options.seed + 2)
    , m_slack(options.retries.length)
{
}

forwarder::~forwarder() = default;

void forwarder::set_retry_slack(double slack, time_point now)
{
    m_slack.set(slack, now);
}

forwarder::route_latency& forwarder::latency_of(const route& on)
{
    const auto [found, is_new] = m_latencies.try_emplace(
        on.name, route_latency{.hedge = quantile_estimator{m_options.hedge_quantile}});
    if (is_new)
    {
        const auto first = duration{static_cast<duration::rep>(
            m_options.first_usual_share * static_cast<double>(on.latency_objective.count()))};
        found->second.median.record(first);
        found->second.hedge.record(first);
    }
    return found->second;
}

duration forwarder::usual_latency(const route& on)
{
    return latency_of(on).median.value();
}

duration forwarder::hedge_delay(const route& on)
{
    const auto longest = duration{static_cast<duration::rep>(
        max_hedge_share * static_cast<double>(on.latency_objective.count()))};
    return std::clamp(latency_of(on).hedge.value(), min_hedge_delay,
                      std::max(min_hedge_delay, longest));
}

retry_window& forwarder::budget_of(const service_id& service)
{
    return m_budgets.try_emplace(service, m_options.retries).first->second;
}

std::size_t forwarder::needed_parts(const exchange& of) const
{
    if (!of.on->scatter)
        return 1;
    const double wanted =
        of.on->scatter->min_coverage * static_cast<double>(of.legs.size()) - coverage_rounding;
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(wanted)));
}

void forwarder::begin(exchange_id id, std::shared_ptr<const caller_request> request,
                      std::shared_ptr<const route_table> table, const route& on, time_point now)
{
    ++m_counters.begun;
    auto made = std::make_unique<exchange>();
    made->id = id;
    made->on = &on;
    made->begun = now;
    made->deadline = now + std::min(request->patience.value_or(on.timeout), on.timeout);
    made->answer_at =
        std::min(made->deadline - request->transit, now + on.latency_objective - request->transit);
    made->request = std::move(request);
    made->table = std::move(table);
    if (on.scatter)
        for (const service_id& shard : on.scatter->shards)
            made->legs.push_back({.service = shard});
    else
        made->legs.push_back({.service = m_splits.pick(on)});
    exchange& started = *made;
    m_exchanges[id.value()] = std::move(made);
    for (const leg& each : started.legs)
        budget_of(each.service).count_request(now);
    if (on.scatter)
        admit(started, now);
    for (std::size_t i = 0; i < started.legs.size(); ++i)
        if (started.legs[i].now == leg::state::pending)
            send_first(started, i, now);
    settle(started, now);
}

void forwarder::admit(exchange& of, time_point now)
{
    admission_request wanted{.needed = needed_parts(of),
                             .usual = usual_latency(*of.on),
                             .objective_left = of.answer_at - now,
                             .time_left = of.deadline - now};
    wanted.shards.reserve(of.legs.size());
    for (const leg& each : of.legs)
        wanted.shards.push_back(&m_registry.of_service(each.service));
    const admission judged = m_admission.judge(wanted, now);
    if (judged == admission::admitted)
        return;
    ++m_counters.turned_away;
    for (leg& each : of.legs)
        fail_leg(each, judged == admission::overloaded ? "overloaded" : "no_replica");
}

void forwarder::send_first(exchange& of, std::size_t leg_index, time_point now)
{
    leg& which = of.legs[leg_index];
    const sending done = send_next(of, leg_index, attempt_kind::first, now);
    if (done == sending::no_replica)
        return fail_leg(which, "no_replica");
    if (done == sending::sent)
        return;
    ++m_counters.waited_for_room;
    which.cause = "no_room";
    which.wait_until =
        now + duration{static_cast<duration::rep>(
                  m_options.room_wait * static_cast<double>(of.on->latency_objective.count()))};
    which.wait_key = {of.on->priority, m_next_waiting++};
    m_waiting[which.service][which.wait_key] = {.exchange = of.id, .leg = leg_index};
}

std::size_t forwarder::waiting() const
{
    std::size_t legs = 0;
    for (const auto& [service, queue] : m_waiting)
        legs += queue.size();
    return legs;
}

void forwarder::stop_waiting(leg& which)
{
    if (which.wait_until == never)
        return;
    which.wait_until = never;
    const auto found = m_waiting.find(which.service);
    found->second.erase(which.wait_key);
    if (found->second.empty())
        m_waiting.erase(found);
}

void forwarder::serve_waiting(const service_id& service, time_point now)
{
    const auto found = m_waiting.find(service);
    if (found == m_waiting.end())
        return;
    const waiting_leg first = found->second.begin()->second;
    exchange& of = *m_exchanges.at(first.exchange.value());
    const sending done = send_next(of, first.leg, attempt_kind::first, now);
    if (done == sending::no_room)
        return;
    leg& which = of.legs[first.leg];
    stop_waiting(which);
    if (done == sending::no_replica)
        fail_leg(which, "no_replica");
    settle(of, now);
}

forwarder::sending forwarder::send_next(exchange& of, std::size_t leg_index, attempt_kind kind,
                                        time_point now)
{
    leg& which = of.legs[leg_index];
    const duration usual = usual_latency(*of.on);
    const auto failure_cost = duration{static_cast<duration::rep>(
        m_options.failure_cost * static_cast<double>(of.on->latency_objective.count()))};
    // A hedge must not wait in a queue, before which it would put off the first attempts of others.
    const choice_request wanted{.usual = usual,
                                .failure_cost = failure_cost,
                                .tried = &which.tried,
                                .needs_no_queue = kind == attempt_kind::hedge};
    const choice chosen = m_choice.choose(
        m_registry.of_service(which.service), wanted,
        [this](const replica& at) { return m_environment.has_room(at); }, now);
    const replica_ref& to = chosen.to;
    if (to == nullptr)
        return chosen.is_waiting_for_room ? sending::no_room : sending::no_replica;
    const std::uint64_t number = m_next_attempt++;
    m_attempts[number] = {.exchange = of.id,
                          .leg = leg_index,
                          .to = to,
                          .route = of.on->name,
                          .usual = usual,
                          .sent = now};
    to->estimate.attempt_sent(number, now, usual, to->record.slots);
    which.tried.push_back(to->number);
    which.under_way.push_back(number);
    ++which.sends;
    ++of.attempts;
    ++m_counters.attempts;
    const bool may_hedge = of.on->is_idempotent && which.sends < of.on->max_attempts;
    which.hedge_at = may_hedge ? now + hedge_delay(*of.on) : never;
    m_environment.send({.number = number,
                        .to = to,
                        .request = of.request,
                        .deadline = of.deadline,
                        .is_idempotent = of.on->is_idempotent,
                        .wants_fields = !of.on->scatter});
    return sending::sent;
}

bool forwarder::send_again(exchange& of, std::size_t leg_index, attempt_kind kind, time_point now)
{
    leg& which = of.legs[leg_index];
    if (which.sends >= of.on->max_attempts)
        return false;
    retry_window& budget = budget_of(which.service);
    const double reserve =
        kind == attempt_kind::hedge ? m_options.hedge_reserve * m_slack.full() : 0;
    if (budget.left(now, m_slack.at(now)) < 1 + reserve)
    {
        ++m_counters.budget_denied;
        return false;
    }
    if (send_next(of, leg_index, kind, now) != sending::sent)
        return false;
    budget.spend(now);
    ++of.extra_attempts;
    return true;
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
    const auto owner = m_exchanges.find(ended.exchange.value());
    if (owner != m_exchanges.end())
    {
        exchange& of = *owner->second;
        std::erase(of.legs[ended.leg].under_way, number);
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
    m_environment.attempt_noted({.request = of.request.get(),
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
    if (is_answer && (outcome.answer.is_success() || !of.on->is_idempotent))
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
        if (which.under_way.empty())
            fail_leg(which, "no_connection");
        return;
    }
    if (outcome.result != attempt_result::refused)
        which.may_have_run = true;
    if (is_answer)
        which.answer = std::move(outcome.answer);
    const bool may_repeat = of.on->is_idempotent || outcome.result == attempt_result::refused;
    if (may_repeat && which.under_way.empty() && now < of.deadline &&
        send_again(of, leg_index, attempt_kind::repeat, now))
    {
        ++m_counters.retries;
        return;
    }
    if (which.under_way.empty())
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
    const bool is_partial_due = of.on->scatter && done >= needed && now >= of.answer_at;
    if (pending == 0 || is_hopeless || is_partial_due || now >= of.deadline)
        return conclude(of, now);
    if (of.on->scatter && now < of.answer_at)
        next = std::min(next, of.answer_at);
    // A timer that fires too soon only looks again; setting it for every answer would cost more.
    if (next >= of.timer)
        return;
    of.timer = next;
    m_environment.wake_at(of.id, next);
}

caller_answer forwarder::make_refusal(const exchange& of)
{
    const double objectives =
        std::uniform_real_distribution<>{min_retry_after, max_retry_after}(m_random);
    caller_answer refusal{.status = status_unavailable};
    refusal.retry_after = duration{static_cast<duration::rep>(
        objectives * static_cast<double>(of.on->latency_objective.count()))};
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
    made.body = merge_greatest(parts, of.on->scatter->top_records);
    return made;
}

bool forwarder::withdraw_all(exchange& of, time_point now)
{
    for (const leg& each : of.legs)
        if (each.may_have_run || each.now == leg::state::done)
            return false;
    for (leg& each : of.legs)
        std::erase_if(each.under_way,
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
                       [](const leg& each) { return each.under_way.empty(); });
}

caller_answer forwarder::make_answer(exchange& of, time_point now, std::string_view& cause)
{
    std::size_t done = 0;
    const leg* failed = nullptr;
    for (const leg& each : of.legs)
    {
        done += each.now == leg::state::done ? 1 : 0;
        if (each.now == leg::state::failed)
            failed = &each;
    }
    if (of.on->scatter && done >= needed_parts(of))
    {
        cause = done == of.legs.size() ? "complete" : "partial";
        return make_scatter_answer(of);
    }
    if (!of.on->scatter && of.legs.front().answer)
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

void forwarder::cancel(exchange_id id, time_point now)
{
    const auto found = m_exchanges.find(id.value());
    if (found == m_exchanges.end())
        return;
    ++m_counters.left_by_caller;
    finish(*found->second, nullptr, "caller_left", now);
}

// Ends the exchange: the last use of it. Attempts that are still under way go on for a while,
// because closing their connections would cost more than their answers, unless nobody waits for
// them any more.
void forwarder::finish(exchange& of, caller_answer* answer, std::string_view cause, time_point now)
{
    exchange_summary summary{.id = of.id,
                             .request = of.request.get(),
                             .on = of.on,
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
        left.insert(left.end(), each.under_way.begin(), each.under_way.end());
        if (each.now == leg::state::done)
            ++summary.parts;
        else
            summary.missing += (summary.missing.empty() ? "" : ",") + each.service.value() + ":" +
                               std::string{each.cause};
    }
    const bool is_wanted = answer != nullptr || !of.on->is_idempotent;
    const std::unique_ptr<exchange> ended = std::move(m_exchanges[of.id.value()]);
    m_exchanges.erase(of.id.value());
    m_environment.finished(summary);
    if (answer != nullptr)
        m_environment.answer(ended->id, std::move(*answer));
    for (const std::uint64_t number : left)
    {
        if (!is_wanted)
            m_environment.abort(number);
        else if (ended->on->is_idempotent)
            m_environment.end_by(number, now + m_options.linger);
    }
}

} // namespace tanagerspur
