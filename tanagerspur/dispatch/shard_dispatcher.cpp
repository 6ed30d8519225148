// Submission, the queue, and load reports. attempts.cpp holds the life cycle of an attempt, and
// replica_choice.cpp the choice of a replica and hedging.

#include "tanagerspur/dispatch/shard_dispatcher.hpp"

#include <algorithm>

namespace tanagerspur
{

namespace
{

// Share of the extra load that hedges may use. The rest is reserved for repeats of lost attempts,
// which coverage depends on.
constexpr double hedge_share = 0.9;
constexpr double repeat_burst = 10;

} // namespace

shard_dispatcher::shard_dispatcher(dispatcher_options options, dispatch_actions& actions)
    : m_options(options)
    , m_actions(actions)
    , m_hedge_budget(m_options.limits.extra_load_budget * hedge_share)
    , m_repeat_budget(m_options.limits.extra_load_budget * (1 - hedge_share), repeat_burst)
    , m_hedge_latency(m_options.hedge_quantile)
    , m_next_attempt(m_options.first_attempt.value())
{
    m_replicas.reserve(m_options.replica_count);
    for (std::size_t i = 0; i < m_options.replica_count; ++i)
        m_replicas.push_back({.health = replica_health{m_options.health}});
}

void shard_dispatcher::submit(time_point now, sub_request request)
{
    ++m_counts.submitted;
    const sub_request_id id = request.id;
    const queue_key position{.deadline = request.deadline, .sequence = m_next_sequence++};
    auto [found, is_new] = m_pending.try_emplace(id.value());
    if (!is_new)
        return;
    pending& entry = found->second;
    entry.request = std::move(request);
    entry.position = position;
    if (entry.request.deadline <= now)
        return fail(entry, reason::deadline_passed, "the deadline had passed on arrival");
    const bool is_full = m_queue.size() >= m_options.limits.queue_limit;
    if (is_full || now + estimated_wait() >= entry.request.deadline)
    {
        ++m_counts.refused_early;
        return fail(entry, reason::overloaded, "the shard's queue is too long for the deadline");
    }
    entry.is_queued = true;
    m_queue.emplace(position, id);
    start_queued(now);
}

void shard_dispatcher::start_queued(time_point now)
{
    enforce_min_in_use(now);
    while (!m_queue.empty() && start_next(now))
    {
    }
}

// Starts the first queued sub-request that some replica can take. Looks past a few sub-requests
// that wait for a version, to avoid head-of-line blocking.
bool shard_dispatcher::start_next(time_point now)
{
    constexpr std::size_t look_ahead = 8;
    std::size_t seen = 0;
    for (auto position = m_queue.begin(); position != m_queue.end() && seen < look_ahead; ++seen)
    {
        pending& entry = m_pending.at(position->second.value());
        if (entry.request.deadline <= now)
        {
            ++m_counts.expired_in_queue;
            entry.is_queued = false;
            m_queue.erase(position);
            fail(entry, reason::deadline_passed, "the deadline passed in the shard's queue");
            return true;
        }
        if (has_no_eligible_replica(entry))
        {
            entry.is_queued = false;
            m_queue.erase(position);
            fail(entry,
                 lacks_version(entry) ? reason::version_unavailable : reason::replicas_unavailable,
                 "no replica of the shard can serve the request");
            return true;
        }
        if (const auto replica = choose(now, entry, false))
        {
            entry.is_queued = false;
            m_queue.erase(position);
            start_attempt(now, entry, *replica, false);
            return true;
        }
        ++position;
    }
    return false;
}

void shard_dispatcher::on_load_report(time_point now, std::size_t replica,
                                      const load_report& report)
{
    replica_state& state = m_replicas[replica];
    state.reported_slots = report.slots;
    set_versions(state, report.versions);
    state.draining = report.draining;
    start_queued(now);
}

void shard_dispatcher::set_versions(replica_state& state,
                                    const std::vector<index_version>& versions)
{
    state.has_reported = true;
    state.versions = versions;
    std::sort(state.versions.begin(), state.versions.end(), std::greater<>{});
}

void shard_dispatcher::set_draining(time_point now, std::size_t replica, bool draining)
{
    m_replicas[replica].draining = draining;
    start_queued(now);
}

void shard_dispatcher::cancel(time_point now, sub_request_id id)
{
    const auto found = m_pending.find(id.value());
    if (found == m_pending.end())
        return;
    if (found->second.is_queued)
        m_queue.erase(found->second.position);
    m_pending.erase(found);
    abandon_attempts(id);
    start_queued(now);
}

void shard_dispatcher::set_allowed_in_flight(time_point now, std::uint32_t allowed)
{
    if (allowed == m_allowed_in_flight)
        return;
    m_allowed_in_flight = allowed;
    start_queued(now);
}

void shard_dispatcher::set_limits(time_point now, const service_limits& limits)
{
    m_options.limits = limits;
    m_hedge_budget.set_fraction(limits.extra_load_budget * hedge_share);
    m_repeat_budget.set_fraction(limits.extra_load_budget * (1 - hedge_share));
    start_queued(now);
}

void shard_dispatcher::refuse_queued(reason why, const std::string& message)
{
    while (!m_queue.empty())
    {
        pending& entry = m_pending.at(m_queue.begin()->second.value());
        entry.is_queued = false;
        m_queue.erase(m_queue.begin());
        fail(entry, why, message);
    }
}

void shard_dispatcher::on_timer(time_point now)
{
    expire(now);
    start_queued(now);
    hedge(now);
}

// Drops what expired in the queue, and forgets lost attempts whose deadline has passed.
void shard_dispatcher::expire(time_point now)
{
    while (!m_queue.empty() && m_queue.begin()->first.deadline <= now)
    {
        pending& entry = m_pending.at(m_queue.begin()->second.value());
        ++m_counts.expired_in_queue;
        entry.is_queued = false;
        m_queue.erase(m_queue.begin());
        fail(entry, reason::deadline_passed, "the deadline passed in the shard's queue");
    }
    std::erase_if(m_attempts,
                  [&](const attempt& each)
                  {
                      const bool is_expired = each.id.value() == 0 && each.deadline <= now;
                      if (is_expired)
                      {
                          --m_replicas[each.replica].in_flight;
                          --m_in_flight;
                      }
                      return is_expired;
                  });
}

time_point shard_dispatcher::next_timer() const
{
    time_point next = never;
    if (!m_queue.empty())
        next = m_queue.begin()->first.deadline;
    const bool can_hedge = m_queue.empty() && m_hedge_budget.balance() >= 1;
    for (const attempt& each : m_attempts)
    {
        if (each.id.value() == 0)
            next = std::min(next, each.deadline);
        if (!can_hedge || each.is_abandoned || each.is_hedge)
            continue;
        const auto found = m_pending.find(each.parent_id.value());
        const time_point due = each.started + hedge_delay();
        if (due > m_hedges_checked_at && found != m_pending.end() && !found->second.is_hedged &&
            found->second.request.idempotent)
            next = std::min(next, due);
    }
    return next;
}

bool shard_dispatcher::has_version_reports() const
{
    return std::any_of(m_replicas.begin(), m_replicas.end(),
                       [](const replica_state& each) { return each.has_reported; });
}

std::vector<index_version> shard_dispatcher::versions() const
{
    std::vector<index_version> all;
    for (const replica_state& each : m_replicas)
        if (!each.draining)
            all.insert(all.end(), each.versions.begin(), each.versions.end());
    std::sort(all.begin(), all.end(), std::greater<>{});
    all.erase(std::unique(all.begin(), all.end()), all.end());
    return all;
}

duration shard_dispatcher::estimated_wait() const
{
    if (m_queue.empty() || m_mean_latency.is_empty())
        return duration{0};
    std::uint32_t slots = 0;
    for (std::size_t i = 0; i < m_replicas.size(); ++i)
        if (!m_replicas[i].draining)
            slots += std::min(slots_of(i), std::max(m_allowed_in_flight, 1U));
    const double rounds = static_cast<double>(m_queue.size()) / std::max(slots, 1U);
    return duration{static_cast<duration::rep>(rounds * m_mean_latency.mean_us())};
}

std::uint32_t shard_dispatcher::max_in_flight() const
{
    std::uint32_t most = 0;
    for (const replica_state& each : m_replicas)
        most = std::max(most, each.in_flight);
    return most;
}

std::vector<replica_view> shard_dispatcher::replicas(time_point now)
{
    std::vector<replica_view> views;
    for (replica_state& each : m_replicas)
        views.push_back({.in_flight = each.in_flight,
                         .health = each.health.state(now),
                         .draining = each.draining,
                         .mean_latency_us = each.latency.mean_us(),
                         .versions = each.versions});
    return views;
}

} // namespace tanagerspur
