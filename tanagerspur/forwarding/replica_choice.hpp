// Chooses the replica for the next attempt of a request: the one with the lowest expected latency,
// with penalties for another availability zone, recent failures and overdue attempts. A replica
// that is leaving is chosen only if there is no other.

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
    // Added to the expected latency of a replica in another zone, for the longer round trip and the
    // price of traffic between zones.
    duration other_zone_cost = std::chrono::milliseconds{25};
    // Range of the random factor on the expected latency, from 1 to 1 + jitter. It prevents hosts
    // from all choosing the same replica.
    double jitter = 0.15;
};

// Constraints on the replica for an attempt.
struct choice_request
{
    // Typical latency of the request's route on an idle replica.
    duration typical{0};
    // Cost of a failure, as a latency.
    duration failure_cost{0};
    // Numbers of the replicas that already got an attempt of this request.
    const std::vector<std::uint64_t>* tried = nullptr;
    // If true, replicas at which requests are expected to wait in a queue are left out, and those
    // that limit the rate of requests.
    bool is_hedge = false;
    // A replica with an attempt that is overdue by more than this gets no further attempt.
    duration unresponsive_after = duration::max();
};

// The chosen replica, or null and the reason why there is none.
struct choice
{
    replica_ref to;
    // True if a replica could take the request, but this host may open no further connection to it,
    // or has an overdue attempt there that counts as unresponsive.
    bool has_busy_replica = false;
    // True if a reachable replica wants no requests at present.
    bool has_held_back_replica = false;
};

class replica_choice
{
public:
    // Returns true if a connection to the replica is idle or may be opened.
    using connection_check = std::function<bool(const replica&)>;

    replica_choice(choice_options options, std::uint64_t seed);

    // Returns the best replica that is reachable and was not tried.
    choice choose(const std::vector<replica_ref>& replicas, const choice_request& request,
                  const connection_check& has_free_connection, time_point now);

private:
    double expected_us(const replica& candidate, const choice_request& request, time_point now);

    choice_options m_options;
    std::mt19937_64 m_random;
};

} // namespace tanagerspur

#endif
