#include "tanagerspur/forwarding/scatter_admission.hpp"

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
    const double idle = usual * candidate.estimate.slowness(now);
    const bool has_queue = candidate.estimate.expected_queue(now, candidate.record.slots) > 0;
    return !has_queue || idle > m_options.idle_lateness * objective ||
           expected <= m_options.lateness * objective;
}

scatter_admission::prospect scatter_admission::prospect_of(const std::vector<replica_ref>& replicas,
                                                           const admission_request& request,
                                                           time_point now) const
{
    prospect best = prospect::no_replica;
    for (const replica_ref& each : replicas)
    {
        if (!each->estimate.is_reachable(now))
            continue;
        if (is_soon_enough(*each, request, now))
            return prospect::in_time;
        best = prospect::too_busy;
    }
    return best;
}

admission scatter_admission::judge(const admission_request& request, time_point now) const
{
    const std::size_t spare = request.shards.size() - request.needed;
    std::size_t busy = 0;
    std::size_t absent = 0;
    for (const std::vector<replica_ref>* each : request.shards)
    {
        const prospect of = prospect_of(*each, request, now);
        busy += of == prospect::too_busy ? 1 : 0;
        absent += of == prospect::no_replica ? 1 : 0;
    }
    if (absent > spare)
        return admission::no_replica;
    return absent + busy > spare ? admission::overloaded : admission::admitted;
}

} // namespace tanagerspur
