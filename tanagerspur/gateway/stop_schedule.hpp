// What a host that stops does at which time, so that each request that it has read is answered
// before the process is killed.

#ifndef TANAGERSPUR_GATEWAY_STOP_SCHEDULE_HPP
#define TANAGERSPUR_GATEWAY_STOP_SCHEDULE_HPP

#include "tanagerspur/common/time.hpp"

namespace tanagerspur
{

struct stop_options
{
    // From the signal to the kill.
    duration time_to_stop{0};
    // How long callers keep an answer about addresses.
    duration address_validity{0};
};

enum class stop_phase
{
    accepting, // callers that still know the address are served
    draining,  // no new connections; requests under way go on
    expiring,  // what is under way is answered with what there is
    done       // the process ends
};

// The phase at the time since the signal. is_quiet: no request is under way nor being answered.
stop_phase stop_phase_at(const stop_options& options, duration since, bool is_idle);

} // namespace tanagerspur

#endif
