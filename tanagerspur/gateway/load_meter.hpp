// Tells whether a host uses most of its processor share, with hysteresis, so that a short burst
// or a short lull changes nothing.

#ifndef TANAGERSPUR_GATEWAY_LOAD_METER_HPP
#define TANAGERSPUR_GATEWAY_LOAD_METER_HPP

#include "tanagerspur/common/time.hpp"

#include <cstdint>

namespace tanagerspur
{

struct load_meter_options
{
    // Length of one measurement.
    duration interval = std::chrono::seconds{1};
    // Share of the capacity above which a host is busy, and below which it no longer is.
    double busy_above = 0.5;
    double idle_below = 0.2;
    // Measurements below the lower share before a host counts as idle again.
    std::uint32_t calm_intervals = 10;
};

class load_meter
{
public:
    // capacity: thousandths of a core.
    explicit load_meter(std::uint32_t capacity, load_meter_options options = {});

    // Takes the processor time that the process has used so far; true if the verdict changed.
    bool measure(time_point now, duration processor_time);

    bool is_busy() const { return m_is_busy; }
    // Share of the capacity in the last interval.
    double share() const { return m_share; }

private:
    load_meter_options m_options;
    double m_cores;
    time_point m_since{};
    duration m_used_before{0};
    double m_share = 0;
    std::uint32_t m_calm = 0;
    bool m_is_busy = false;
};

// Processor time of this process, of all its threads.
duration processor_time();

} // namespace tanagerspur

#endif
