#include "tanagerspur/registry/replica_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace tanagerspur
{

namespace
{

// Weight of a new sample in the exponentially weighted means. A host sends about 8 requests per
// second to a replica; after two samples, a slowdown makes up most of the estimate.
constexpr double sample_weight = 0.4;
// Time constant of the exponential decay of an estimate to its baseline when there are no samples,
// so that a replica that was avoided is tried again.
constexpr duration estimate_decay_time = std::chrono::seconds{3};
// Time constant of the decay of a reported load: a few service times.
constexpr duration load_decay_time = std::chrono::milliseconds{60};
// Upper limit of one sample, in typical latencies, so that a single straggler on a good replica
// does not exclude it for seconds.
constexpr double max_sample_ratio = 12;
// Slowdown assumed during warm-up, when a replica takes up to twice the typical time.
constexpr double warm_up_factor = 1.6;
// Failure share above which a replica gets only one attempt at a time. One failure exceeds it.
constexpr double max_failure_share_for_concurrency = 0.35;
// Exponential backoff between attempts to connect: the delay doubles with each failure.
constexpr duration min_connect_backoff = std::chrono::milliseconds{100};
constexpr std::uint32_t max_connect_doublings = 4;
// Longer than the store keeps the entry of a dead replica: three missed heartbeats.
constexpr duration misdirected_backoff = std::chrono::seconds{6};

double as_double(duration value)
{
    return static_cast<double>(value.count());
}

} // namespace

double replica_estimate::decayed(double value, double baseline, time_point since,
                                 time_point now) const
{
    return baseline +
           (value - baseline) * std::exp(-as_double(now - since) / as_double(estimate_decay_time));
}

void replica_estimate::record_slowdown(double ratio, time_point now)
{
    const double before = decayed(m_slowdown, 1, m_slowdown_at, now);
    m_slowdown = before + sample_weight * (std::clamp(ratio, 0.3, max_sample_ratio) - before);
    m_slowdown_at = now;
}

void replica_estimate::record_failure(double failed, time_point now)
{
    const double before = decayed(m_failures, 0, m_failures_at, now);
    m_failures = before + sample_weight * (failed - before);
    m_failures_at = now;
}

void replica_estimate::attempt_sent(std::uint64_t attempt, time_point now, duration typical,
                                    std::uint32_t slots)
{
    m_in_flight[attempt] = {
        .sent = now, .typical = typical, .queue_delay = expected_queue_delay(now, slots)};
}

void replica_estimate::attempt_answered(std::uint64_t attempt, time_point now, duration latency,
                                        duration typical)
{
    const auto found = m_in_flight.find(attempt);
    // Queueing delay is excluded: it is not caused by the replica's speed and is estimated
    // separately.
    const double queue_delay = found == m_in_flight.end() ? 0 : found->second.queue_delay;
    end_attempt(attempt);
    record_slowdown(as_double(latency) / std::max(1.0, as_double(typical)) / (1 + queue_delay),
                    now);
    record_failure(0, now);
}

void replica_estimate::attempt_refused(std::uint64_t attempt, time_point now)
{
    end_attempt(attempt);
    record_failure(0.5, now);
}

void replica_estimate::attempt_failed(std::uint64_t attempt, time_point now)
{
    end_attempt(attempt);
    record_failure(1, now);
}

void replica_estimate::attempt_abandoned(std::uint64_t attempt, time_point now)
{
    const auto found = m_in_flight.find(attempt);
    if (found == m_in_flight.end())
        return;
    const double ratio =
        as_double(now - found->second.sent) / std::max(1.0, as_double(found->second.typical));
    if (ratio > 2)
        record_slowdown(ratio, now);
    m_in_flight.erase(found);
    // The wait was longer than any straggler's, so the attempt counts as failed.
    if (ratio > max_sample_ratio)
        record_failure(1, now);
}

void replica_estimate::misdirected(time_point now)
{
    m_retry_at = now + misdirected_backoff;
}

void replica_estimate::connect_failed(time_point now)
{
    m_retry_at =
        now + min_connect_backoff * (1U << std::min(m_connect_failures, max_connect_doublings));
    ++m_connect_failures;
}

void replica_estimate::load_reported(const reported_load& load, time_point now)
{
    m_load = load;
    m_load_at = now;
}

// The replica's slots work in parallel, so only requests beyond them wait. Requests of other hosts
// are included through the reported load, whose weight decays with its age.
double replica_estimate::expected_latency_ratio(time_point now, std::uint32_t slots) const
{
    const double busy = 0.3 * expected_requests(now) / std::max(1U, slots);
    return slowdown(now) * (1 + busy + expected_queue_delay(now, slots));
}

double replica_estimate::expected_requests(time_point now) const
{
    const double age = as_double(now - m_load_at);
    const double reported =
        (m_load.running + m_load.waiting) * std::exp(-age / as_double(load_decay_time));
    return std::max(reported, static_cast<double>(m_in_flight.size()));
}

double replica_estimate::expected_queue_delay(time_point now, std::uint32_t slots) const
{
    const double parallel_slots = std::max(1U, slots);
    return std::max(0.0, expected_requests(now) - parallel_slots + 1) / parallel_slots;
}

double replica_estimate::slowdown(time_point now) const
{
    const double estimated = std::max(0.3, decayed(m_slowdown, 1, m_slowdown_at, now));
    return now < m_warm_up_end ? std::max(estimated, warm_up_factor) : estimated;
}

duration replica_estimate::overdue(time_point now) const
{
    duration longest{0};
    for (const auto& [attempt, state] : m_in_flight)
        longest = std::max(longest, now - state.sent - 2 * state.typical);
    return longest;
}

bool replica_estimate::accepts_another(time_point now, duration unresponsive_after) const
{
    if (m_in_flight.empty())
        return true;
    return overdue(now) <= unresponsive_after &&
           failure_share(now) <= max_failure_share_for_concurrency;
}

double replica_estimate::failure_share(time_point now) const
{
    return decayed(m_failures, 0, m_failures_at, now);
}

} // namespace tanagerspur
