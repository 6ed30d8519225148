#include "tanagerspur/gateway/startup_retry_after.hpp"

#include <algorithm>

namespace tanagerspur
{

namespace
{

// A start takes a few tenths of a second.
constexpr duration typical_start_time = std::chrono::milliseconds{200};
// Callers honour a Retry-After of up to 1 / caller_timeout_divisor of their remaining time.
constexpr int caller_timeout_divisor = 3;
// Assumed for callers that do not send their timeout.
constexpr duration default_caller_timeout = std::chrono::milliseconds{1'500};

} // namespace

duration startup_retry_after(bool is_store_failing, std::optional<duration> caller_timeout)
{
    if (!is_store_failing)
        return typical_start_time;
    return std::max(typical_start_time,
                    caller_timeout.value_or(default_caller_timeout) / caller_timeout_divisor);
}

} // namespace tanagerspur
