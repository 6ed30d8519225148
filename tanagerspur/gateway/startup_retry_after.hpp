// When a caller should return to a host that knows no configuration yet.

#ifndef TANAGERSPUR_GATEWAY_STARTUP_RETRY_AFTER_HPP
#define TANAGERSPUR_GATEWAY_STARTUP_RETRY_AFTER_HPP

#include "tanagerspur/common/time.hpp"

#include <optional>

namespace tanagerspur
{

// The load that this answers is that of all callers while hosts start: they return once a start
// is over, or, while the store fails, as late as they can, since outages last for seconds and a
// caller has few tries. patience is how long the caller waits, if it said so.
duration startup_retry_after(bool is_store_failing, std::optional<duration> caller_timeout);

} // namespace tanagerspur

#endif
