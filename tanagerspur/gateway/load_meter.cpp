#include "tanagerspur/gateway/load_meter.hpp"

namespace tanagerspur
{

bool load_meter::timer_fired(time_point now, duration lateness)
{
    m_sum += lateness;
    ++m_count;
    if (m_since == time_point{})
        m_since = now;
    if (now - m_since < m_options.interval)
        return false;
    m_mean = m_sum / m_count;
    m_since = now;
    m_sum = duration{0};
    m_count = 0;
    return judge();
}

bool load_meter::judge()
{
    m_busy_intervals = m_mean > m_options.busy_above ? m_busy_intervals + 1 : 0;
    m_calm_intervals = m_mean < m_options.calm_below ? m_calm_intervals + 1 : 0;
    const bool before = m_is_busy;
    if (m_busy_intervals >= m_options.busy_intervals)
        m_is_busy = true;
    else if (m_calm_intervals >= m_options.calm_intervals)
        m_is_busy = false;
    return m_is_busy != before;
}

} // namespace tanagerspur
