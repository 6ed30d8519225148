#include "tanagerspur/gateway/pause_watch.hpp"

namespace tanagerspur
{

void pause_watch::timer_fired(time_point due, time_point now)
{
    if (now - due < m_options.shortest)
        return;
    m_paused_from = due;
    m_resumed = now;
}

time_point pause_watch::signal_sent(time_point now, time_point next_due) const
{
    if (now - next_due >= m_options.shortest)
        return next_due;
    const bool is_just_resumed = m_resumed != time_point{} && now - m_resumed < m_options.settling;
    return is_just_resumed ? m_paused_from : now;
}

} // namespace tanagerspur
