// Chooses how many hosts of an availability zone are advertised to callers.
//
// Callers pick an advertised host at random, so each gets the same share of the load regardless of
// its size; adding a small host to large ones makes responses slower, not faster. The input is the
// total load of the zone's hosts. It ranges from light load, where a few large hosts keep their
// connections to replicas warm, to a load that fills the whole zone.

#ifndef TANAGERSPUR_GATEWAY_ADVERTISED_HOST_COUNT_HPP
#define TANAGERSPUR_GATEWAY_ADVERTISED_HOST_COUNT_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

namespace tanagerspur
{

struct host_count_options
{
    // Multiple of the present load that the advertised hosts must be able to carry, since callers
    // may arrive in a burst or a host may fail before the next measurement.
    double headroom = 1.5;
    // Utilization above which a host's queue is assumed to grow without bound.
    double max_utilization = 0.85;
    // More hosts are advertised only if that reduces the response time by more than this share.
    double min_improvement = 0.1;
    // With two hosts, callers still have one after the loss of the other.
    std::size_t min_hosts = 2;
};

// Returns the mean response time of a request on hosts that share the load equally, as a multiple
// of its processor time on a whole core. Infinite if a host cannot carry its share of the load.
// Waiting times are those of an M/D/1 queue. Capacities and load are in thousandths of a core.
double relative_response_time(const std::vector<std::uint32_t>& capacities, double load,
                              const host_count_options& options);

// Returns how many of the hosts, sorted by decreasing capacity, to advertise: the smallest number
// whose response time is within min_improvement of the best, or all if no number can carry the
// load.
std::size_t advertised_host_count(const std::vector<std::uint32_t>& capacities, double load,
                                  const host_count_options& options = {});

} // namespace tanagerspur

#endif
