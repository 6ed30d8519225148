#include "tanagerspur/forwarding/replica_choice.hpp"

#include <algorithm>
#include <utility>

namespace tanagerspur
{

replica_choice::replica_choice(choice_options options, std::uint64_t seed)
    : m_options(std::move(options))
    , m_random(seed)
{
}

double replica_choice::expected_us(const replica& candidate, const choice_request& request,
                                   time_point now)
{
    const replica_estimate& estimate = candidate.estimate;
    const double jitter = std::uniform_real_distribution<>{1.0, 1.0 + m_options.jitter}(m_random);
    double expected = static_cast<double>(request.typical.count()) *
                      estimate.expected_latency_ratio(now, candidate.record.slots) * jitter;
    if (candidate.record.zone != m_options.own_zone)
        expected += static_cast<double>(m_options.other_zone_cost.count());
    expected += 2 * static_cast<double>(estimate.overdue(now).count());
    expected += estimate.failure_share(now) * static_cast<double>(request.failure_cost.count());
    return expected;
}

choice replica_choice::choose(const std::vector<replica_ref>& replicas,
                              const choice_request& request,
                              const connection_check& has_free_connection, time_point now)
{
    choice best;
    double min_expected_us = 0;
    for (const replica_ref& each : replicas)
    {
        const bool was_tried = std::find(request.tried->begin(), request.tried->end(),
                                         each->number) != request.tried->end();
        if (was_tried)
            continue;
        if (!each->may_get_work(now))
        {
            best.has_held_back_replica |= each->is_held_back(now);
            continue;
        }
        const bool has_room_for_hedge = !each->restrictions->limit() &&
                                        each->estimate.expected_requests(now) <= each->record.slots;
        if (request.is_hedge && !has_room_for_hedge)
            continue;
        if (!has_free_connection(*each) ||
            !each->estimate.accepts_another(now, request.unresponsive_after))
        {
            best.has_busy_replica = true;
            continue;
        }
        const double expected = expected_us(*each, request, now);
        if (best.to == nullptr || std::pair{each->is_leaving(), expected} <
                                      std::pair{best.to->is_leaving(), min_expected_us})
        {
            best.to = each;
            min_expected_us = expected;
        }
    }
    return best;
}

} // namespace tanagerspur
