// Time for the classes that make decisions: a monotonic count of microseconds that is passed in, so
// that the same classes run on a real clock and on virtual time.

#ifndef TANAGERSPUR_COMMON_TIME_HPP
#define TANAGERSPUR_COMMON_TIME_HPP

#include <chrono>

namespace tanagerspur
{

using duration = std::chrono::microseconds;

// Clock type of time_point. It has no now(): only the adapters read a real clock.
struct monotonic_time_line
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_time_line, duration>;
    static constexpr bool is_steady = true;
};

using time_point = monotonic_time_line::time_point;

// A time that is never reached.
inline constexpr time_point never = time_point::max();

// The machine's steady clock, as a time_point.
time_point steady_now();

// A monotonic clock that also counts the time in which the machine was suspended, so that
// deadlines and epoch confirmations expire meanwhile. Not comparable with steady_now().
time_point boot_now();

// Converts to milliseconds with a fraction, for reports.
inline double to_ms(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

} // namespace tanagerspur

#endif
