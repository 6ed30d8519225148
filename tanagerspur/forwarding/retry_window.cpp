#include "tanagerspur/forwarding/retry_window.hpp"

#include <algorithm>

namespace tanagerspur
{

void slack_share::set(double share, time_point now)
{
    if (share == m_share)
        return;
    m_previous_share = std::min(share, at(now));
    m_share = share;
    m_since = now;
}

double slack_share::at(time_point now) const
{
    const double passed =
        static_cast<double>((now - m_since).count()) / static_cast<double>(m_window.count());
    return m_previous_share + (m_share - m_previous_share) * std::clamp(passed, 0.0, 1.0);
}

std::uint64_t retry_window::number_at(time_point now) const
{
    const duration length = m_options.length / static_cast<int>(slot_count);
    return static_cast<std::uint64_t>(now.time_since_epoch() / length);
}

retry_window::slot& retry_window::slot_at(time_point now)
{
    const std::uint64_t number = number_at(now);
    slot& found = m_slots[number % m_slots.size()];
    if (found.number != number)
        found = {.number = number};
    return found;
}

void retry_window::count_request(time_point now)
{
    ++slot_at(now).requests;
}

double retry_window::left(time_point now, double slack) const
{
    const std::uint64_t number = number_at(now);
    double requests = 0;
    double extras = 0;
    for (const slot& each : m_slots)
    {
        if (each.number + slot_count < number || each.number > number)
            continue;
        extras += each.extras;
        // The oldest slot lies partly before the window, so its requests earn no extra attempts.
        if (each.number + slot_count > number)
            requests += each.requests;
    }
    return m_options.ratio * requests + slack - extras;
}

void retry_window::spend(time_point now)
{
    ++slot_at(now).extras;
}

} // namespace tanagerspur
