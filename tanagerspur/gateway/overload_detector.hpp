// Detects that a host has too little processor time for its work from the lateness of its timers.
// This works also under a CPU quota that is enforced from outside, where the process cannot read
// the time that it is charged. Hysteresis keeps a short burst or lull from changing the state.

#ifndef TANAGERSPUR_GATEWAY_OVERLOAD_DETECTOR_HPP
#define TANAGERSPUR_GATEWAY_OVERLOAD_DETECTOR_HPP

#include "tanagerspur/common/time.hpp"

#include <cstdint>

namespace tanagerspur
{

struct overload_detector_options
{
    // Length of one measurement.
    duration interval = std::chrono::seconds{1};
    // Mean lateness above which a host is busy, and below which it no longer is. An idle host's
    // timers are late by well under a millisecond.
    duration busy_above = std::chrono::milliseconds{12};
    duration clear_below = std::chrono::milliseconds{3};
    // Number of consecutive measurements that change the state.
    std::uint32_t busy_intervals = 2;
    std::uint32_t clear_intervals = 10;
};

class overload_detector
{
public:
    explicit overload_detector(overload_detector_options options = {})
        : m_options(options)
    {
    }

    // Records the lateness of a timer; returns true if the state changed.
    bool timer_fired(time_point now, duration lateness);

    bool is_busy() const { return m_is_busy; }
    // Mean lateness in the last completed interval.
    duration lateness() const { return m_mean_lateness; }

private:
    bool update_state();

    overload_detector_options m_options;
    time_point m_since{};
    duration m_lateness_sum{0};
    std::uint32_t m_timer_count = 0;
    duration m_mean_lateness{0};
    std::uint32_t m_busy_intervals = 0;
    std::uint32_t m_clear_intervals = 0;
    bool m_is_busy = false;
};

} // namespace tanagerspur

#endif
