// Estimates when a signal was sent that the process handles now. While a process is paused, signals
// are queued for it, but the time it is given to stop counts from when they were sent.

#ifndef TANAGERSPUR_GATEWAY_PAUSE_DETECTOR_HPP
#define TANAGERSPUR_GATEWAY_PAUSE_DETECTOR_HPP

#include "tanagerspur/common/time.hpp"

namespace tanagerspur
{

struct pause_detector_options
{
    // A timer that fires later than this indicates a pause. Timers of a busy host are late by a few
    // hundredths of a second.
    duration min_pause = std::chrono::milliseconds{300};
    // After a pause, pending timers and signals are handled within this time, in any order.
    duration settle_time = std::chrono::milliseconds{200};
};

class pause_detector
{
public:
    explicit pause_detector(pause_detector_options options = {})
        : m_options(options)
    {
    }

    // Records that the periodic timer has fired. Times are on a clock that keeps running while the
    // machine is suspended.
    void timer_fired(time_point due, time_point now);

    // Returns the earliest time at which a signal handled now may have been sent. next_due is when
    // the periodic timer is due next, or was due.
    time_point earliest_signal_time(time_point now, time_point next_due) const;

private:
    pause_detector_options m_options;
    time_point m_paused_from{};
    time_point m_resumed_at{};
};

} // namespace tanagerspur

#endif
