// When a caller should return to a host that knows no configuration yet.

#ifndef TANAGERSPUR_GATEWAY_REFUSAL_WAIT_HPP
#define TANAGERSPUR_GATEWAY_REFUSAL_WAIT_HPP

#include "tanagerspur/common/time.hpp"

#include <optional>

namespace tanagerspur
{

// The load that this answers is that of all callers while hosts start: they return once a start
// is over, or, while the store fails, as late as they can, since outages last for seconds and a
// caller has few tries. patience is how long the caller waits, if it said so.
duration starting_refusal_wait(bool store_fails, std::optional<duration> caller_timeout);

} // namespace tanagerspur

#endif
