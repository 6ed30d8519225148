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
    const double expected = usual * candidate.estimate.expected_ratio(now, candidate.record.slots) +
                            static_cast<double>(candidate.estimate.overdue(now).count());
    if (expected > static_cast<double>(request.time_left.count()))
        return false;
    const auto objective = static_cast<double>(request.objective_left.count());
    const bool would_wait = candidate.estimate.expected_queue(now, candidate.record.slots) > 0;
    const bool is_slow_when_idle =
        usual * candidate.estimate.slowness(now) > m_options.idle_lateness * objective;
    return !would_wait || is_slow_when_idle || expected <= m_options.lateness * objective;
}

shard_prospect scatter_admission::prospect_of(const std::vector<replica_ref>& replicas,
                                              const admission_request& request,
                                              time_point now) const
{
    shard_prospect best = shard_prospect::no_replica;
    for (const replica_ref& each : replicas)
    {
        if (!each->estimate.is_reachable(now))
            continue;
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
    for (const std::vector<replica_ref>* each : request.shards)
        verdict.shards.push_back(prospect_of(*each, request, now));
    const auto count = [&verdict](shard_prospect of) {
        return static_cast<std::size_t>(
            std::count(verdict.shards.begin(), verdict.shards.end(), of));
    };
    const std::size_t spare = request.shards.size() - request.needed;
    const std::size_t absent = count(shard_prospect::no_replica);
    if (absent > spare)
        verdict.outcome = admission::no_replica;
    else if (absent + count(shard_prospect::too_busy) > spare)
        verdict.outcome = admission::overloaded;
    return verdict;
}

} // namespace tanagerspur
