#include "tanagerspur/gateway/pause_detector.hpp"

namespace tanagerspur
{

void pause_detector::timer_fired(time_point due, time_point now)
{
    if (now - due < m_options.min_pause)
        return;
    m_paused_from = due;
    m_resumed_at = now;
}

time_point pause_detector::earliest_signal_time(time_point now, time_point next_due) const
{
    if (now - next_due >= m_options.min_pause)
        return next_due;
    const bool is_settling =
        m_resumed_at != time_point{} && now - m_resumed_at < m_options.settle_time;
    return is_settling ? m_paused_from : now;
}

} // namespace tanagerspur
