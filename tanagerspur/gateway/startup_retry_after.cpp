#include "tanagerspur/gateway/startup_retry_after.hpp"

#include <algorithm>

namespace tanagerspur
{

namespace
{

// A start takes some tenths of a second.
constexpr duration typical_start_time = std::chrono::milliseconds{200};
// Callers keep to a wait of up to this part of the time that they have left.
constexpr int caller_timeout_divisor = 3;
// Assumed for callers that do not say how long they wait.
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
