#include "tanagerspur/gateway/stop_schedule.hpp"

#include <algorithm>

namespace tanagerspur
{

namespace
{

// For answers about addresses that were on their way when the host left the directory.
constexpr duration address_margin = std::chrono::milliseconds{500};
// Left of the time to stop when the last requests are concluded, and when the process ends: answers
// have to be written, and timers fire late.
constexpr duration expiring_margin = std::chrono::milliseconds{1'000};
constexpr duration exit_margin = std::chrono::milliseconds{500};
// Time that the last request that is taken has.
constexpr duration min_request_time = std::chrono::milliseconds{1'000};

} // namespace

stop_phase stop_phase_at(const stop_options& options, duration since, bool is_idle)
{
    const duration expire_at = options.time_to_stop - expiring_margin;
    const duration accept_until =
        std::min(options.address_validity + address_margin, expire_at - min_request_time);
    if (since < accept_until)
        return stop_phase::accepting;
    if (is_idle || since >= options.time_to_stop - exit_margin)
        return stop_phase::done;
    return since < expire_at ? stop_phase::draining : stop_phase::expiring;
}

} // namespace tanagerspur
