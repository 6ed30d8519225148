// Retry-After of a host that has no configuration yet.

#ifndef TANAGERSPUR_GATEWAY_STARTUP_RETRY_AFTER_HPP
#define TANAGERSPUR_GATEWAY_STARTUP_RETRY_AFTER_HPP

#include "tanagerspur/common/time.hpp"

#include <optional>

namespace tanagerspur
{

// Returns how long a refused caller should wait before it retries. All callers retry while hosts
// start, so the wait is the typical start time, or, while the store is failing, the longest
// that the caller accepts, since outages last for seconds and a caller has few tries.
// caller_timeout is how long the caller waits for its answer, if it has said so.
duration startup_retry_after(bool is_store_failing, std::optional<duration> caller_timeout);

} // namespace tanagerspur

#endif
