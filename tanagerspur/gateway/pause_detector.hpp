// When a signal may have been sent that a process sees now. While a process stands still, signals
// wait for it, but the time that it was given counts from when they were sent.

#ifndef TANAGERSPUR_GATEWAY_PAUSE_DETECTOR_HPP
#define TANAGERSPUR_GATEWAY_PAUSE_DETECTOR_HPP

#include "tanagerspur/common/time.hpp"

namespace tanagerspur
{

struct pause_detector_options
{
    // A timer that fires later than this shows a pause; those of a busy host are late by some
    // hundredths of a second.
    duration min_pause = std::chrono::milliseconds{300};
    // After a pause, timers and signals that waited are handled within this time, in any order.
    duration settle_time = std::chrono::milliseconds{200};
};

class pause_detector
{
public:
    explicit pause_detector(pause_detector_options options = {})
        : m_options(options)
    {
    }

    // A regular timer has fired; times are on a clock that runs through a suspension.
    void timer_fired(time_point due, time_point now);

    // The earliest time at which a signal that is seen now may have been sent. next_due is when the
    // regular timer fires next, or should have fired.
    time_point earliest_signal_time(time_point now, time_point next_due) const;

private:
    pause_detector_options m_options;
    time_point m_paused_from{};
    time_point m_resumed_at{};
};

} // namespace tanagerspur

#endif
