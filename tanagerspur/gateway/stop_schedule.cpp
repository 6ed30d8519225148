#include "tanagerspur/gateway/stop_schedule.hpp"

#include <algorithm>

namespace tanagerspur
{

namespace
{

// For address answers that were in flight when the host stopped being advertised.
constexpr duration address_margin = std::chrono::milliseconds{500};
// Time left before the kill when the last requests are answered, and when the process exits.
// Answers have to be written, and timers fire late.
constexpr duration expiring_margin = std::chrono::milliseconds{1'000};
constexpr duration exit_margin = std::chrono::milliseconds{500};
// A request needs at least this multiple of its route's latency objective.
constexpr int min_objectives_left = 2;
// Minimum time to answer the last request that is accepted.
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

bool may_start_request(const stop_options& options, duration since, duration latency_objective)
{
    return options.time_to_stop - expiring_margin - since >=
           min_objectives_left * latency_objective;
}

} // namespace tanagerspur
