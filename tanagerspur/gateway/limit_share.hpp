// Divides the limit of requests that a replica names among the hosts that send to it.
//
// Callers are spread over availability zones unevenly and move between them, so even shares would
// leave the part of hosts with few callers unused while others refuse requests. Hosts use the loads
// that all of them read from the store, so that their shares add up to the limit.

#ifndef TANAGERSPUR_GATEWAY_LIMIT_SHARE_HPP
#define TANAGERSPUR_GATEWAY_LIMIT_SHARE_HPP

#include <cstddef>

namespace tanagerspur
{

struct limit_share_options
{
    // Part of the limit that is divided evenly: a load is known to others only after a while, and
    // says nothing about how the requests are spread over services. The rest is divided by load.
    double even_part = 0.25;
};

// Returns the share of one of a number of hosts, 0 to 1. The loads may be in any unit, and
// total_load is the sum over all hosts, this one included. Even if no host has a load.
double limit_share(double load, double total_load, std::size_t hosts,
                   const limit_share_options& options = {});

} // namespace tanagerspur

#endif
