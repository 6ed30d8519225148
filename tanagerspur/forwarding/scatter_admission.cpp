#include "tanagerspur/forwarding/scatter_admission.hpp"

#include <algorithm>

namespace tanagerspur
{

// A replica that is slow without a queue is no reason to reject requests: fewer requests would not
// make it faster, and a late answer is better than none.
bool scatter_admission::answers_in_time(const replica& candidate, const admission_request& request,
                                        time_point now) const
{
    const double typical = static_cast<double>(request.typical.count());
    const double expected =
        typical * candidate.estimate.expected_latency_ratio(now, candidate.record.slots) +
        static_cast<double>(candidate.estimate.overdue(now).count());
    if (expected > static_cast<double>(request.time_left.count()))
        return false;
    const auto objective = static_cast<double>(request.objective_left.count());
    const bool would_wait =
        candidate.estimate.expected_queue_delay(now, candidate.record.slots) > 0;
    const bool is_slow_when_idle =
        typical * candidate.estimate.slowdown(now) > m_options.idle_lateness_ratio * objective;
    return !would_wait || is_slow_when_idle || expected <= m_options.lateness_ratio * objective;
}

bool scatter_admission::has_connection_in_time(const admission_request& request,
                                               std::size_t shard) const
{
    if (request.connection_waits.empty())
        return true;
    const auto longest = static_cast<double>(request.max_connection_wait.count());
    return static_cast<double>(request.connection_waits[shard].count()) <=
           m_options.connection_wait_ratio * longest;
}

shard_prospect scatter_admission::prospect_of(const admission_request& request, std::size_t shard,
                                              time_point now) const
{
    shard_prospect best = shard_prospect::no_replica;
    for (const replica_ref& each : *request.shards[shard])
    {
        if (!each->may_get_work(now))
        {
            if (each->is_held_back(now) && best == shard_prospect::no_replica)
                best = shard_prospect::held_back;
            continue;
        }
        if (!has_connection_in_time(request, shard))
            return shard_prospect::no_free_connection;
        if (answers_in_time(*each, request, now))
            return shard_prospect::in_time;
        best = shard_prospect::too_busy;
    }
    return best;
}

admission_verdict scatter_admission::decide(const admission_request& request, time_point now) const
{
    admission_verdict verdict;
    verdict.shards.reserve(request.shards.size());
    for (std::size_t i = 0; i < request.shards.size(); ++i)
        verdict.shards.push_back(prospect_of(request, i, now));
    const auto count = [&verdict](shard_prospect of) {
        return static_cast<std::size_t>(
            std::count(verdict.shards.begin(), verdict.shards.end(), of));
    };
    const std::size_t max_missing = request.shards.size() - request.needed;
    const std::size_t unreachable = count(shard_prospect::no_replica);
    if (unreachable > max_missing)
        verdict.outcome = admission::no_replica;
    else if (unreachable + count(shard_prospect::held_back) + count(shard_prospect::too_busy) +
                 count(shard_prospect::no_free_connection) >
             max_missing)
        verdict.outcome = admission::overloaded;
    return verdict;
}

} // namespace tanagerspur
