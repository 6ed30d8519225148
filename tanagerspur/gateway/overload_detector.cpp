#include "tanagerspur/gateway/overload_detector.hpp"

namespace tanagerspur
{

bool overload_detector::timer_fired(time_point now, duration lateness)
{
    m_lateness_sum += lateness;
    ++m_timer_count;
    if (m_since == time_point{})
        m_since = now;
    if (now - m_since < m_options.interval)
        return false;
    m_mean_lateness = m_lateness_sum / m_timer_count;
    m_since = now;
    m_lateness_sum = duration{0};
    m_timer_count = 0;
    return update_state();
}

bool overload_detector::update_state()
{
    m_busy_intervals = m_mean_lateness > m_options.busy_above ? m_busy_intervals + 1 : 0;
    m_clear_intervals = m_mean_lateness < m_options.clear_below ? m_clear_intervals + 1 : 0;
    const bool was_busy = m_is_busy;
    if (m_busy_intervals >= m_options.busy_intervals)
        m_is_busy = true;
    else if (m_clear_intervals >= m_options.clear_intervals)
        m_is_busy = false;
    return m_is_busy != was_busy;
}

} // namespace tanagerspur
