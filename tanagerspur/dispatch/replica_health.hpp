// Passive health check of a replica: a state machine with hysteresis. Several failures in a row
// eject the replica. After an ejection time that doubles with each ejection in a row, it is probed
// with one attempt at a time; several successes in a row admit it again, with a limit that ramps
// up.

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
    // Failures in a row that eject the replica.
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

    // Returns the state at the given time. The end of the ejection time turns ejected into probing.
    health_state state(time_point now);

    // Returns how many of the allowed requests may be in flight: all if active, one if probing,
    // none if ejected, and a growing part after the replica was admitted again.
    std::uint32_t limit(time_point now, std::uint32_t allowed);

private:
    struct machine;
    std::unique_ptr<machine> m_machine;
};

} // namespace tanagerspur

#endif
