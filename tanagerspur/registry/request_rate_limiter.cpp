#include "tanagerspur/registry/request_rate_limiter.hpp"

#include <algorithm>

namespace tanagerspur
{

namespace
{

// Bounds of the time between two permits.
constexpr duration min_interval = std::chrono::microseconds{1};
constexpr duration max_interval = std::chrono::minutes{5};

duration interval_of(request_rate rate)
{
    const std::chrono::duration<double> seconds{1 / std::max(rate.per_second, 1e-9)};
    return std::clamp(std::chrono::duration_cast<duration>(
                          std::min(seconds, std::chrono::duration<double>{max_interval})),
                      min_interval, max_interval);
}

} // namespace

request_rate_limiter::request_rate_limiter(request_rate rate, double first_permit, time_point now)
    : m_rate(rate)
    , m_interval(interval_of(rate))
    , m_next(now + std::chrono::duration_cast<duration>(first_permit * m_interval))
{
}

void request_rate_limiter::set_rate(request_rate rate, time_point now)
{
    if (rate == m_rate)
        return;
    const duration interval = interval_of(rate);
    const double permits_until_next = static_cast<double>((oldest_permit(now) - now).count()) /
                                      static_cast<double>(m_interval.count());
    m_next = now + std::chrono::duration_cast<duration>(permits_until_next * interval);
    m_interval = interval;
    m_rate = rate;
}

time_point request_rate_limiter::oldest_permit(time_point now) const
{
    const duration lapsed = now - permit_lifetime - m_next;
    if (lapsed <= duration{0})
        return m_next;
    const auto lapsed_permits = (lapsed + m_interval - duration{1}) / m_interval;
    return m_next + lapsed_permits * m_interval;
}

void request_rate_limiter::sent(time_point now)
{
    m_next = oldest_permit(now) + m_interval;
}

} // namespace tanagerspur
