// How many hosts of an availability zone callers are sent to.
//
// Callers take a host of their list at random, so each host used gets the same share of the load
// whatever its size: a small host beside large ones makes answers slower, not faster. The load
// that this answers is what the hosts of the zone use together, from a calm day, on which few
// large hosts keep their connections to replicas warm, to one that fills the whole zone.

#ifndef TANAGERSPUR_GATEWAY_ADVERTISED_HOST_COUNT_HPP
#define TANAGERSPUR_GATEWAY_ADVERTISED_HOST_COUNT_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

namespace tanagerspur
{

struct host_count_options
{
    // Multiple of the present load that the hosts have to carry: callers may come in a burst, or a
    // host be lost, before the next measurement.
    double headroom = 1.5;
    // Share of a host's capacity beyond which its queue is taken as without end.
    double max_utilization = 0.85;
    // More hosts are used only if requests are served faster by more than this share.
    double min_improvement = 0.1;
    // The loss of one host leaves another one.
    std::size_t min_hosts = 2;
};

// Mean time of a request on hosts that share the load equally, as a multiple of its processor time
// on a whole core; infinite if one of them can't carry its part. Waits are those of an M/D/1 queue.
// capacities and load in thousandths of a core.
double relative_response_time(const std::vector<std::uint32_t>& capacities, double load,
                              const host_count_options& options);

// How many of the hosts, the largest first, callers are sent to: the fewest that serve requests
// about as fast as any other number would, or all if the load is too high for any number.
std::size_t advertised_host_count(const std::vector<std::uint32_t>& capacities, double load,
                                  const host_count_options& options = {});

} // namespace tanagerspur

#endif
