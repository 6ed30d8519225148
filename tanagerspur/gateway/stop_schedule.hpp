// Phases of a graceful shutdown, timed so that every request that was read is answered before the
// process is killed.

#ifndef TANAGERSPUR_GATEWAY_STOP_SCHEDULE_HPP
#define TANAGERSPUR_GATEWAY_STOP_SCHEDULE_HPP

#include "tanagerspur/common/time.hpp"

namespace tanagerspur
{

struct stop_options
{
    // From SIGTERM until the process is killed.
    duration time_to_stop{0};
    // How long callers cache the addresses of hosts.
    duration address_validity{0};
};

enum class stop_phase
{
    accepting, // callers that still have the address cached are served
    draining,  // no new connections; requests in progress continue
    expiring,  // requests in progress are answered with the parts received so far
    done       // the process exits
};

// Returns the phase at the given time since the signal. is_idle: no request is in progress and no
// answer is being written.
stop_phase stop_phase_at(const stop_options& options, duration since, bool is_idle);

// True if a request that arrives at the given time since the signal may be passed on: there is time
// to answer it before all requests in progress are answered. Another host serves it otherwise.
bool may_start_request(const stop_options& options, duration since, duration latency_objective);

} // namespace tanagerspur

#endif
