#include "tanagerspur/forwarding/scatter_admission.hpp"

#include <algorithm>

namespace tanagerspur
{

// A replica that is slow without a queue is no reason to turn requests away: fewer requests would
// not make it faster, and a late answer is better than none.
bool scatter_admission::is_soon_enough(const replica& candidate, const admission_request& request,
                                       time_point now) const
{
    const double usual = static_cast<double>(request.usual.count());
    const double expected =
        usual * candidate.estimate.expected_latency_ratio(now, candidate.record.slots) +
        static_cast<double>(candidate.estimate.overdue(now).count());
    if (expected > static_cast<double>(request.time_left.count()))
        return false;
    const auto objective = static_cast<double>(request.objective_left.count());
    const bool would_wait = candidate.estimate.expected_queue(now, candidate.record.slots) > 0;
    const bool is_slow_when_idle =
        usual * candidate.estimate.slowness(now) > m_options.idle_lateness * objective;
    return !would_wait || is_slow_when_idle || expected <= m_options.lateness * objective;
}

bool scatter_admission::has_room(const admission_request& request, std::size_t shard) const
{
    if (request.room_waits.empty())
        return true;
    const auto longest = static_cast<double>(request.longest_room_wait.count());
    return static_cast<double>(request.room_waits[shard].count()) <= m_options.room_wait * longest;
}

shard_prospect scatter_admission::prospect_of(const admission_request& request, std::size_t shard,
                                              time_point now) const
{
    shard_prospect best = shard_prospect::no_replica;
    for (const replica_ref& each : *request.shards[shard])
    {
        if (!each->estimate.is_reachable(now))
            continue;
        if (!has_room(request, shard))
            return shard_prospect::no_room;
        if (is_soon_enough(*each, request, now))
            return shard_prospect::in_time;
        best = shard_prospect::too_busy;
    }
    return best;
}

admission_verdict scatter_admission::judge(const admission_request& request, time_point now) const
{
    admission_verdict verdict;
    verdict.shards.reserve(request.shards.size());
    for (std::size_t i = 0; i < request.shards.size(); ++i)
        verdict.shards.push_back(prospect_of(request, i, now));
    const auto count = [&verdict](shard_prospect of) {
        return static_cast<std::size_t>(
            std::count(verdict.shards.begin(), verdict.shards.end(), of));
    };
    const std::size_t spare = request.shards.size() - request.needed;
    const std::size_t absent = count(shard_prospect::no_replica);
    if (absent > spare)
        verdict.outcome = admission::no_replica;
    else if (absent + count(shard_prospect::too_busy) + count(shard_prospect::no_room) > spare)
        verdict.outcome = admission::overloaded;
    return verdict;
}

} // namespace tanagerspur
