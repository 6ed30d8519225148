// Health of a replica as its answers show it: a state machine with hysteresis. Several failures
// in a row eject the replica; after a pause that doubles, one attempt probes it, and further
// successes let it back in, with little work at first.

#ifndef TANAGERSPUR_DISPATCH_REPLICA_HEALTH_HPP
#define TANAGERSPUR_DISPATCH_REPLICA_HEALTH_HPP

#include "tanagerspur/common/time.hpp"

#include <cstdint>
#include <memory>
#include <string_view>

namespace tanagerspur
{

enum class health_state
{
    active,
    ejected,
    probing
};

std::string_view to_string(health_state state);

struct health_options
{
    // Failures in a row that eject.
    std::uint32_t failures_to_eject = 3;
    // Successes in a row that end probing.
    std::uint32_t successes_to_admit = 3;
    duration initial_ejection_time = std::chrono::milliseconds{500};
    duration max_ejection_time = std::chrono::seconds{10};
    // Time over which a replica that comes back, or is new, is given its full share.
    duration ramp = std::chrono::seconds{2};
};

class replica_health
{
public:
    explicit replica_health(health_options options);
    ~replica_health();
    replica_health(replica_health&&) noexcept;
    replica_health& operator=(replica_health&&) noexcept;

    void on_success(time_point now);
    void on_failure(time_point now);

    // The state at a time; the end of a pause turns ejected into probing.
    health_state state(time_point now);

    // Requests that may be in flight, of the allowed ones: all when active, one when probing,
    // none when ejected, and a growing part after coming back.
    std::uint32_t limit(time_point now, std::uint32_t allowed);

private:
    struct machine;
    std::unique_ptr<machine> m_machine;
};

} // namespace tanagerspur

#endif
