// Chooses the replica for the next attempt, and decides when to hedge.

#include "tanagerspur/dispatch/shard_dispatcher.hpp"

#include <algorithm>

namespace tanagerspur
{

std::uint32_t shard_dispatcher::slots_of(std::size_t replica) const
{
    const std::uint32_t reported = m_replicas[replica].reported_slots;
    return reported == 0 ? m_options.limits.slots : std::min(reported, m_options.limits.slots);
}

std::uint32_t shard_dispatcher::limit_of(time_point now, std::size_t replica)
{
    replica_state& state = m_replicas[replica];
    if (state.draining)
        return 0;
    const std::uint32_t most = slots_of(replica) + m_options.limits.waiting;
    const std::uint32_t allowed = std::min(m_allowed_in_flight, most);
    return m_ignore_ejection ? allowed : state.health.limit(now, allowed);
}

// Returns the expected time until a new attempt at the replica is answered, in microseconds.
double shard_dispatcher::expected_latency_us(std::size_t replica) const
{
    const replica_state& state = m_replicas[replica];
    const double latency =
        state.latency.is_empty() ? m_mean_latency.mean_us() : state.latency.mean_us();
    const double rounds = static_cast<double>(state.in_flight + 1) / slots_of(replica);
    return std::max(1.0, latency) * std::max(1.0, rounds) + 0.01 * state.in_flight;
}

bool shard_dispatcher::holds_version(std::size_t replica, index_version version) const
{
    const auto& held = m_replicas[replica].versions;
    return std::find(held.begin(), held.end(), version) != held.end();
}

// True if the replica reported the version, has not reported yet, or reported only older versions
// and may have loaded this one since. Trying it costs little: a replica that lacks the version
// refuses without running the request.
bool shard_dispatcher::may_hold_version(std::size_t replica, index_version version) const
{
    const replica_state& state = m_replicas[replica];
    return !state.has_reported || holds_version(replica, version) ||
           (!state.versions.empty() && version > state.versions.front());
}

// True if some replica in use is known to hold the version, so that those not known to hold it
// need not be tried.
bool shard_dispatcher::is_held_by_any_replica(index_version version) const
{
    for (std::size_t i = 0; i < m_replicas.size(); ++i)
        if (!m_replicas[i].draining && holds_version(i, version))
            return true;
    return false;
}

std::optional<std::size_t> shard_dispatcher::choose(time_point now, const pending& entry,
                                                    bool idle_only)
{
    std::optional<std::size_t> best;
    double best_latency_us = 0;
    const index_version version = entry.request.version;
    const bool is_known = is_held_by_any_replica(version);
    for (std::size_t i = 0; i < m_replicas.size(); ++i)
    {
        const bool fits = is_known && m_replicas[i].has_reported ? holds_version(i, version)
                                                                 : may_hold_version(i, version);
        if ((entry.excluded >> i & 1U) != 0 || !fits)
            continue;
        const std::uint32_t limit =
            idle_only ? std::min(limit_of(now, i), slots_of(i)) : limit_of(now, i);
        if (m_replicas[i].in_flight >= limit)
            continue;
        const double latency_us = expected_latency_us(i);
        if (best && latency_us >= best_latency_us)
            continue;
        best = i;
        best_latency_us = latency_us;
    }
    return best;
}

// True if every replica is excluded, draining, or lacks the version, so that waiting cannot help.
bool shard_dispatcher::has_no_eligible_replica(const pending& entry) const
{
    for (std::size_t i = 0; i < m_replicas.size(); ++i)
        if ((entry.excluded >> i & 1U) == 0 && !m_replicas[i].draining &&
            may_hold_version(i, entry.request.version))
            return false;
    return true;
}

// True if some replica can serve the shard, but not this version of it.
bool shard_dispatcher::lacks_version(const pending& entry) const
{
    for (std::size_t i = 0; i < m_replicas.size(); ++i)
        if (!m_replicas[i].draining && !may_hold_version(i, entry.request.version))
            return true;
    return entry.lacking_version != 0;
}

// Ejection must not make the shard unavailable. If it leaves too few replicas, the failures are
// more likely a problem of this host than of the replicas, and all replicas are used again.
void shard_dispatcher::enforce_min_in_use(time_point now)
{
    std::size_t in_use = 0;
    std::size_t present = 0;
    for (replica_state& each : m_replicas)
    {
        if (each.draining)
            continue;
        ++present;
        if (each.health.state(now) != health_state::ejected)
            ++in_use;
    }
    m_ignore_ejection =
        static_cast<double>(in_use) < m_options.min_in_use * static_cast<double>(present) - 0.5;
}

duration shard_dispatcher::hedge_delay() const
{
    return std::max(m_hedge_latency.value(), duration{1});
}

bool shard_dispatcher::may_hedge(time_point now, const attempt& each, const pending& entry) const
{
    return !each.is_abandoned && !entry.is_hedged && entry.request.idempotent &&
           entry.attempts < m_options.max_attempts && now - each.started >= hedge_delay() &&
           entry.request.deadline > now;
}

// Hedges attempts, oldest first, onto idle slots only, while the queue is empty and the budget is
// not exhausted.
void shard_dispatcher::hedge(time_point now)
{
    m_hedges_checked_at = now;
    for (std::size_t i = 0; i < m_attempts.size() && m_queue.empty(); ++i)
    {
        const attempt each = m_attempts[i];
        const auto found = m_pending.find(each.parent_id.value());
        if (each.id.value() == 0 || found == m_pending.end() ||
            !may_hedge(now, each, found->second))
            continue;
        pending trial = found->second;
        trial.excluded |= std::uint64_t{1} << each.replica;
        const auto replica = choose(now, trial, true);
        if (!replica)
            continue;
        if (!m_hedge_budget.try_withdraw())
            return;
        found->second.is_hedged = true;
        ++m_counts.hedges;
        start_attempt(now, found->second, *replica, true);
    }
}

// Updates the moving average of the share of slots in use, sampled at first attempts.
void shard_dispatcher::update_utilisation()
{
    constexpr double weight = 0.01;
    std::uint32_t slots = 0;
    for (std::size_t i = 0; i < m_replicas.size(); ++i)
        if (!m_replicas[i].draining)
            slots += slots_of(i);
    const double now = slots == 0 ? 1.0 : std::min(1.0, static_cast<double>(m_in_flight) / slots);
    m_utilisation += weight * (now - m_utilisation);
}

} // namespace tanagerspur
