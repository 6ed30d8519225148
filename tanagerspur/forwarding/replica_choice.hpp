// Which replica gets the next attempt of a request: the one that is expected to answer first,
// with a price on crossing availability zones, on recent failures and on attempts that hang.

#ifndef TANAGERSPUR_FORWARDING_REPLICA_CHOICE_HPP
#define TANAGERSPUR_FORWARDING_REPLICA_CHOICE_HPP

#include "tanagerspur/registry/replica_registry.hpp"

#include <functional>
#include <random>

namespace tanagerspur
{

struct choice_options
{
    zone_id own_zone;
    // Added to the expected latency of a replica in another zone: the longer round trip, and the
    // transfer between zones, which is paid for.
    duration other_zone_cost = std::chrono::milliseconds{25};
    // Relative spread of the random factor that keeps hosts from choosing in step.
    double jitter = 0.15;
};

// What is being sent.
struct choice_request
{
    // Latency that is usual for the request's route on an idle replica.
    duration typical{0};
    // Latency that a failure costs the caller.
    duration failure_cost{0};
    // Numbers of the replicas that this request was sent to already.
    const std::vector<std::uint64_t>* tried = nullptr;
    // Only a replica at which nobody waits will do.
    bool avoids_queues = false;
    // A replica with an attempt that is overdue by more than this gets no other one.
    duration unresponsive_after = duration::max();
};

// The replica to use, or why there is none.
struct choice
{
    replica_ref to;
    // A replica could take the request, but this host may open no further connection to it, or
    // has an attempt there that hangs.
    bool has_busy_replica = false;
};

class replica_choice
{
public:
    // Tells whether a connection to the replica is free or may be opened.
    using connection_check = std::function<bool(const replica&)>;

    replica_choice(choice_options options, std::uint64_t seed);

    // The best replica that was not tried. Unreachable ones are left out.
    choice choose(const std::vector<replica_ref>& replicas, const choice_request& request,
                  const connection_check& has_free_connection, time_point now);

private:
    double expected_us(const replica& candidate, const choice_request& request, time_point now);

    choice_options m_options;
    std::mt19937_64 m_random;
};

} // namespace tanagerspur

#endif
