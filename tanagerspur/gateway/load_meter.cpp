#include "tanagerspur/gateway/load_meter.hpp"

#include <algorithm>
#include <ctime>

namespace tanagerspur
{

load_meter::load_meter(std::uint32_t capacity, load_meter_options options)
    : m_options(options)
    , m_cores(std::max(1U, capacity) / 1000.0)
{
}

bool load_meter::measure(time_point now, duration processor_time)
{
    const duration passed = now - m_since;
    if (passed < m_options.interval)
        return false;
    const duration used = processor_time - m_used_before;
    const bool is_first = m_since == time_point{};
    m_since = now;
    m_used_before = processor_time;
    if (is_first)
        return false;
    m_share = static_cast<double>(used.count()) / (static_cast<double>(passed.count()) * m_cores);
    m_calm = m_share < m_options.idle_below ? m_calm + 1 : 0;
    const bool before = m_is_busy;
    if (m_share > m_options.busy_above)
        m_is_busy = true;
    else if (m_calm >= m_options.calm_intervals)
        m_is_busy = false;
    return m_is_busy != before;
}

duration processor_time()
{
    timespec value{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &value);
    return std::chrono::duration_cast<duration>(std::chrono::seconds{value.tv_sec} +
                                                std::chrono::nanoseconds{value.tv_nsec});
}

} // namespace tanagerspur
