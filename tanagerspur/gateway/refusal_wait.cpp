#include "tanagerspur/gateway/refusal_wait.hpp"

#include <algorithm>

namespace tanagerspur
{

namespace
{

// A start takes some tenths of a second.
constexpr duration usual_start = std::chrono::milliseconds{200};
// Callers keep to a wait of up to this part of the time that they have left.
constexpr int longest_part = 3;
// Assumed for callers that do not say how long they wait.
constexpr duration usual_patience = std::chrono::milliseconds{1'500};

} // namespace

duration starting_refusal_wait(bool store_fails, std::optional<duration> caller_timeout)
{
    if (!store_fails)
        return usual_start;
    return std::max(usual_start, caller_timeout.value_or(usual_patience) / longest_part);
}

} // namespace tanagerspur
