#include "tanagerspur/forwarding/forwarder.hpp"

#include <algorithm>
#include <cmath>

namespace tanagerspur
{

namespace
{

// Bounds of the delay before a hedged attempt. Delays below the minimum are dominated by the
// resolution of timers and wake-ups; after the maximum, a share of the latency objective, the
// hedge would answer too late.
constexpr duration min_hedge_delay = std::chrono::milliseconds{4};
constexpr double max_hedge_share = 0.45;
constexpr double coverage_rounding = 1e-9;

// Text of the cause in log lines.
std::string_view to_cause(shard_prospect current)
{
    switch (current)
    {
    case shard_prospect::too_busy:
        return "overloaded";
    case shard_prospect::no_free_connection:
        return "no_room";
    case shard_prospect::held_back:
        return "held_back";
    case shard_prospect::no_replica:
        return "no_replica";
    case shard_prospect::in_time:
        break;
    }
    return cause_not_asked;
}

} // namespace

forwarder::forwarder(const forwarder_options& options, replica_registry& registry,
                     forwarder_environment& environment)
    : m_options(options)
    , m_registry(registry)
    , m_environment(environment)
    , m_choice({.own_zone = options.own_zone}, options.seed)
    , m_admission(options.admission)
    , m_crashes(options.crashes)
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

forwarder::route_latency& forwarder::latency_of(const route& matched_route)
{
    const auto [found, is_new] = m_latencies.try_emplace(
        matched_route.name, route_latency{.hedge = quantile_estimator{m_options.hedge_quantile}});
    if (is_new)
    {
        const auto first = duration{static_cast<duration::rep>(
            m_options.initial_latency_share *
            static_cast<double>(matched_route.latency_objective.count()))};
        found->second.median.record(first);
        found->second.hedge.record(first);
    }
    return found->second;
}

duration forwarder::typical_latency(const route& matched_route)
{
    return latency_of(matched_route).median.value();
}

duration forwarder::hedge_delay(const route& matched_route)
{
    const auto max_delay = duration{static_cast<duration::rep>(
        max_hedge_share * static_cast<double>(matched_route.latency_objective.count()))};
    return std::clamp(latency_of(matched_route).hedge.value(), min_hedge_delay,
                      std::max(min_hedge_delay, max_delay));
}

forwarder::service_state& forwarder::state_of(const service_id& service)
{
    return m_services.try_emplace(service, service_state{.budget = retry_window{m_options.retries}})
        .first->second;
}

std::map<service_id, service_counters> forwarder::service_counts() const
{
    std::map<service_id, service_counters> counts;
    for (const auto& [service, state] : m_services)
        counts[service] = state.counts;
    return counts;
}

double forwarder::budget_left(const service_id& service, time_point now) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? m_slack.at(now)
                                     : found->second.budget.left(now, m_slack.at(now));
}

std::size_t forwarder::needed_parts(const exchange& current) const
{
    if (!current.matched_route->scatter)
        return 1;
    const double wanted =
        current.matched_route->scatter->min_coverage * static_cast<double>(current.legs.size()) -
        coverage_rounding;
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(wanted)));
}

void forwarder::begin(exchange_id id, std::shared_ptr<const caller_request> request,
                      std::shared_ptr<const route_table> table, const route& matched_route,
                      time_point now)
{
    ++m_counters.begun;
    auto made = std::make_unique<exchange>();
    made->id = id;
    made->matched_route = &matched_route;
    made->begun = now;
    made->deadline = now + std::min(request->caller_timeout.value_or(matched_route.timeout),
                                    matched_route.timeout);
    made->partial = {{.begun = now,
                      .answer_at = std::min(made->deadline, now + matched_route.latency_objective) -
                                   request->network_time,
                      .lookup_time = request->lookup_time},
                     m_options.partial};
    made->request = std::move(request);
    made->table = std::move(table);
    if (matched_route.scatter)
        for (const service_id& shard : matched_route.scatter->shards)
            made->legs.push_back({.service = shard});
    else
        made->legs.push_back({.service = m_splits.pick(matched_route)});
    exchange& started = *made;
    m_exchanges[id.value()] = std::move(made);
    for (const leg& each : started.legs)
        state_of(each.service).budget.count_request(now);
    if (matched_route.scatter)
        admit(started, now);
    for (std::size_t i = 0; i < started.legs.size(); ++i)
        if (started.legs[i].current_state == leg::state::pending)
            send_first(started, i, now);
    answer_if_due(started, now);
}

void forwarder::admit(exchange& current, time_point now)
{
    admission_request wanted{.needed = needed_parts(current),
                             .typical = typical_latency(*current.matched_route),
                             .objective_left = current.partial.answer_at() - now,
                             .time_left = current.deadline - now};
    wanted.max_connection_wait = max_connection_wait(*current.matched_route);
    wanted.shards.reserve(current.legs.size());
    wanted.connection_waits.reserve(current.legs.size());
    for (const leg& each : current.legs)
    {
        wanted.shards.push_back(&m_registry.of_service(each.service));
        wanted.connection_waits.push_back(
            expected_connection_wait(each.service, *current.matched_route, wanted.typical, now));
    }
    const admission_verdict verdict = m_admission.decide(wanted, now);
    if (verdict.outcome == admission::admitted)
        return;
    ++m_counters.rejected_by_admission;
    for (std::size_t i = 0; i < current.legs.size(); ++i)
        fail_leg(current.legs[i], to_cause(verdict.shards[i]));
}

void forwarder::send_first(exchange& current, std::size_t leg_index, time_point now)
{
    leg& current_leg = current.legs[leg_index];
    const sending result = send_next(current, leg_index, attempt_kind::first, now);
    if (result == sending::sent)
        return;
    if (result != sending::no_free_connection)
        return fail_unsendable_leg(current_leg, result);
    ++m_counters.waited_for_connection;
    current_leg.cause = "no_room";
    current_leg.wait_until = now + max_connection_wait(*current.matched_route);
    current_leg.wait_key = {current.matched_route->priority, m_next_waiting++};
    m_waiting[current_leg.service][current_leg.wait_key] = {.exchange = current.id,
                                                            .leg = leg_index};
}

void forwarder::fail_unsendable_leg(leg& current_leg, sending result)
{
    if (result == sending::held_back)
        ++m_counters.held_back;
    fail_leg(current_leg, result == sending::held_back ? "held_back" : "no_replica");
}

duration forwarder::max_connection_wait(const route& matched_route) const
{
    return duration{
        static_cast<duration::rep>(m_options.connection_wait_share *
                                   static_cast<double>(matched_route.latency_objective.count()))};
}

duration forwarder::unresponsive_after(const route& matched_route) const
{
    return duration{
        static_cast<duration::rep>(m_options.unresponsive_after *
                                   static_cast<double>(matched_route.latency_objective.count()))};
}

// Estimates the rate at which connections in use become free from the expected latency of their
// attempts. Replicas with an attempt that is overdue by more than a typical latency don't count.
duration forwarder::expected_connection_wait(const service_id& service, const route& matched_route,
                                             duration typical, time_point now) const
{
    // Connections that become free per microsecond.
    double rate = 0;
    for (const replica_ref& each : m_registry.of_service(service))
    {
        if (!each->may_get_work(now) ||
            !each->estimate.accepts_another(now, unresponsive_after(matched_route)))
            continue;
        if (m_environment.has_free_connection(*each))
            return duration{0};
        const double expected_latency_us =
            static_cast<double>(typical.count()) *
            each->estimate.expected_latency_ratio(now, each->record.slots);
        if (each->estimate.overdue(now) <= typical)
            rate += static_cast<double>(each->estimate.in_flight()) /
                    std::max(1.0, expected_latency_us);
    }
    if (rate == 0)
        return duration::max();
    const auto found = m_waiting.find(service);
    const std::size_t queue_length = found == m_waiting.end() ? 0 : found->second.size();
    return duration{
        static_cast<duration::rep>(std::ceil(static_cast<double>(queue_length + 1) / rate))};
}

std::size_t forwarder::legs_waiting_for_connection() const
{
    std::size_t legs = 0;
    for (const auto& [service, queue] : m_waiting)
        legs += queue.size();
    return legs;
}

void forwarder::stop_waiting(leg& current_leg)
{
    if (current_leg.wait_until == never)
        return;
    current_leg.wait_until = never;
    const auto found = m_waiting.find(current_leg.service);
    found->second.erase(current_leg.wait_key);
    if (found->second.empty())
        m_waiting.erase(found);
}

void forwarder::serve_waiting_leg(const service_id& service, time_point now)
{
    const auto found = m_waiting.find(service);
    if (found == m_waiting.end())
        return;
    const waiting_leg first = found->second.begin()->second;
    exchange& current = *m_exchanges.at(first.exchange.value());
    const sending result = send_next(current, first.leg, attempt_kind::first, now);
    if (result == sending::no_free_connection)
        return;
    leg& current_leg = current.legs[first.leg];
    stop_waiting(current_leg);
    if (result != sending::sent)
        fail_unsendable_leg(current_leg, result);
    answer_if_due(current, now);
}

forwarder::sending forwarder::send_next(exchange& current, std::size_t leg_index, attempt_kind kind,
                                        time_point now)
{
    leg& current_leg = current.legs[leg_index];
    const duration typical = typical_latency(*current.matched_route);
    const auto failure_cost = duration{static_cast<duration::rep>(
        m_options.failure_cost *
        static_cast<double>(current.matched_route->latency_objective.count()))};
    // A hedge that waits in a queue would delay the first attempts of other requests, and one to a
    // replica with a limit would take what they need.
    const choice_request wanted{.typical = typical,
                                .failure_cost = failure_cost,
                                .tried = &current_leg.tried,
                                .is_hedge = kind == attempt_kind::hedge,
                                .unresponsive_after = unresponsive_after(*current.matched_route)};
    const choice chosen = m_choice.choose(
        m_registry.of_service(current_leg.service), wanted,
        [this](const replica& at) { return m_environment.has_free_connection(at); }, now);
    const replica_ref& to = chosen.to;
    if (to == nullptr)
        return chosen.has_busy_replica        ? sending::no_free_connection
               : chosen.has_held_back_replica ? sending::held_back
                                              : sending::no_replica;
    const std::uint64_t number = m_next_attempt++;
    m_attempts[number] = {.exchange = current.id,
                          .request = current.request,
                          .leg = leg_index,
                          .to = to,
                          .route = current.matched_route->name,
                          .typical = typical,
                          .sent = now};
    to->estimate.attempt_sent(number, now, typical, to->record.slots);
    to->restrictions->sent(now);
    current_leg.tried.push_back(to->number);
    current_leg.attempts_in_flight.push_back(number);
    ++current_leg.attempts_sent;
    ++current.attempts;
    ++m_counters.attempts;
    ++state_of(current_leg.service).counts.sent;
    const bool may_hedge = current.matched_route->is_idempotent &&
                           current_leg.attempts_sent < current.matched_route->max_attempts;
    current_leg.hedge_at = may_hedge ? now + hedge_delay(*current.matched_route) : never;
    m_environment.send({.number = number,
                        .to = to,
                        .request = current.request,
                        .deadline = current.deadline,
                        .is_idempotent = current.matched_route->is_idempotent,
                        .wants_fields = !current.matched_route->scatter});
    return sending::sent;
}

bool forwarder::send_again(exchange& current, std::size_t leg_index, attempt_kind kind,
                           time_point now)
{
    leg& current_leg = current.legs[leg_index];
    if (current_leg.attempts_sent >= current.matched_route->max_attempts)
        return false;
    service_state& state = state_of(current_leg.service);
    const double reserve =
        kind == attempt_kind::hedge ? m_options.hedge_reserve * m_slack.full_share() : 0;
    if (state.budget.left(now, m_slack.at(now)) < 1 + reserve)
    {
        ++m_counters.budget_denied;
        return false;
    }
    if (send_next(current, leg_index, kind, now) != sending::sent)
        return false;
    state.budget.spend(now);
    ++state.counts.extra;
    ++current.extra_attempts;
    return true;
}

} // namespace tanagerspur
