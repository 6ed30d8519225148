#include "tanagerspur/registry/replica_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace tanagerspur
{

namespace
{

// Weight of a new sample in the running means. With some 8 requests a second from one host to a
// replica, a slowdown counts for most of the estimate after two samples.
constexpr double sample_weight = 0.4;
// Time constant with which an estimate returns to ordinary when there are no samples, so that a
// replica that was avoided is tried again.
constexpr duration estimate_fade = std::chrono::seconds{3};
// A told load says nothing any more after about this time: a few service times.
constexpr duration load_fade = std::chrono::milliseconds{60};
// One sample counts as this many usual latencies at most; a single straggler on a good replica
// must not bar it for seconds.
constexpr double max_sample_ratio = 12;
// A started replica needs up to twice the usual time until it is warm.
constexpr double warming_factor = 1.6;
// Share of failures above which a replica gets one attempt at a time: one failure is enough.
constexpr double max_failures_for_more = 0.35;
// Waits between tries to connect: doubled from the first to the last.
constexpr duration first_connect_backoff = std::chrono::milliseconds{100};
constexpr std::uint32_t max_connect_doublings = 4;
// Longer than the entry of a replica outlives it: three silent heartbeats.
constexpr duration misdirected_rest = std::chrono::seconds{6};

double as_double(duration value)
{
    return static_cast<double>(value.count());
}

} // namespace

double replica_estimate::faded(double value, double rest, time_point since, time_point now) const
{
    return rest + (value - rest) * std::exp(-as_double(now - since) / as_double(estimate_fade));
}

void replica_estimate::learn_slowness(double ratio, time_point now)
{
    const double before = faded(m_slowness, 1, m_slowness_at, now);
    m_slowness = before + sample_weight * (std::clamp(ratio, 0.3, max_sample_ratio) - before);
    m_slowness_at = now;
}

void replica_estimate::learn_failure(double failed, time_point now)
{
    const double before = faded(m_failures, 0, m_failures_at, now);
    m_failures = before + sample_weight * (failed - before);
    m_failures_at = now;
}

void replica_estimate::attempt_sent(std::uint64_t attempt, time_point now, duration usual,
                                    std::uint32_t slots)
{
    m_under_way[attempt] = {.sent = now, .usual = usual, .queued = expected_queue(now, slots)};
}

void replica_estimate::attempt_answered(std::uint64_t attempt, time_point now, duration latency,
                                        duration usual)
{
    const auto found = m_under_way.find(attempt);
    // Time in the queue says nothing of the replica's speed, and the queue is counted apart.
    const double queued = found == m_under_way.end() ? 0 : found->second.queued;
    end_attempt(attempt);
    learn_slowness(as_double(latency) / std::max(1.0, as_double(usual)) / (1 + queued), now);
    learn_failure(0, now);
}

void replica_estimate::attempt_refused(std::uint64_t attempt, time_point now)
{
    end_attempt(attempt);
    learn_failure(0.5, now);
}

void replica_estimate::attempt_failed(std::uint64_t attempt, time_point now)
{
    end_attempt(attempt);
    learn_failure(1, now);
}

void replica_estimate::attempt_abandoned(std::uint64_t attempt, time_point now)
{
    const auto found = m_under_way.find(attempt);
    if (found == m_under_way.end())
        return;
    const double ratio =
        as_double(now - found->second.sent) / std::max(1.0, as_double(found->second.usual));
    if (ratio > 2)
        learn_slowness(ratio, now);
    m_under_way.erase(found);
    // Far beyond any straggler: it was not going to answer.
    if (ratio > max_sample_ratio)
        learn_failure(1, now);
}

void replica_estimate::misdirected(time_point now)
{
    m_retry_at = now + misdirected_rest;
}

void replica_estimate::connect_failed(time_point now)
{
    m_retry_at =
        now + first_connect_backoff * (1U << std::min(m_connect_failures, max_connect_doublings));
    ++m_connect_failures;
}

void replica_estimate::load_reported(const reported_load& load, time_point now)
{
    m_load = load;
    m_load_at = now;
}

// The replica's slots work in parallel, so only what exceeds them waits. Requests of other hosts
// are known from the told load; it is weighted down as it ages.
double replica_estimate::expected_latency_ratio(time_point now, std::uint32_t slots) const
{
    const double busy = 0.3 * expected_ahead(now) / std::max(1U, slots);
    return slowness(now) * (1 + busy + expected_queue(now, slots));
}

double replica_estimate::expected_ahead(time_point now) const
{
    const double age = as_double(now - m_load_at);
    const double told = (m_load.running + m_load.waiting) * std::exp(-age / as_double(load_fade));
    return std::max(told, static_cast<double>(m_under_way.size()));
}

double replica_estimate::expected_queue(time_point now, std::uint32_t slots) const
{
    const double places = std::max(1U, slots);
    return std::max(0.0, expected_ahead(now) - places + 1) / places;
}

double replica_estimate::slowness(time_point now) const
{
    const double learned = std::max(0.3, faded(m_slowness, 1, m_slowness_at, now));
    return now < m_warm_at ? std::max(learned, warming_factor) : learned;
}

duration replica_estimate::overdue(time_point now) const
{
    duration longest{0};
    for (const auto& [attempt, state] : m_under_way)
        longest = std::max(longest, now - state.sent - 2 * state.usual);
    return longest;
}

bool replica_estimate::takes_more(time_point now, duration hangs_after) const
{
    if (m_under_way.empty())
        return true;
    return overdue(now) <= hangs_after && failure_share(now) <= max_failures_for_more;
}

double replica_estimate::failure_share(time_point now) const
{
    return faded(m_failures, 0, m_failures_at, now);
}

} // namespace tanagerspur
