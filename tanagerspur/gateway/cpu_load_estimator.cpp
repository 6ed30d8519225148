#include "tanagerspur/gateway/cpu_load_estimator.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tanagerspur
{

namespace
{

constexpr double millicores_per_core = 1'000;

double in_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

std::uint32_t cpu_load_estimator::round_up_to_step(double millicores) const
{
    if (millicores < m_options.first_step_millicores)
        return 0;
    const double steps = std::ceil(std::log(millicores / m_options.first_step_millicores) /
                                   std::log(m_options.step_ratio));
    return static_cast<std::uint32_t>(
        std::lround(m_options.first_step_millicores * std::pow(m_options.step_ratio, steps)));
}

bool cpu_load_estimator::update(time_point now, std::uint64_t attempts)
{
    if (m_since == time_point{})
        m_since = now;
    const duration elapsed = now - m_since;
    if (elapsed < m_options.interval)
        return false;
    m_since = now;
    const double sent = static_cast<double>(attempts - std::exchange(m_attempts, attempts));
    const double measured = sent * in_seconds(m_options.cpu_time_per_attempt) /
                            in_seconds(elapsed) * millicores_per_core;
    const std::uint32_t lower_step = round_up_to_step(measured * m_options.decrease_margin);
    if (lower_step >= m_load)
    {
        m_decrease_intervals = 0;
        m_max_lower_step = 0;
        const std::uint32_t new_load = std::max(m_load, round_up_to_step(measured));
        return std::exchange(m_load, new_load) != new_load;
    }
    m_max_lower_step = std::max(m_max_lower_step, lower_step);
    if (++m_decrease_intervals < m_options.decrease_intervals)
        return false;
    m_decrease_intervals = 0;
    m_load = std::exchange(m_max_lower_step, 0);
    return true;
}

} // namespace tanagerspur
