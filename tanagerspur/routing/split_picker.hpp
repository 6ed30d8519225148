// Distributes the requests of a route over its weighted services. The shares hold over any short
// run of requests, not only on average: after n requests a service is less than one request
// per competitor away from its exact share.

#ifndef TANAGERSPUR_ROUTING_SPLIT_PICKER_HPP
#define TANAGERSPUR_ROUTING_SPLIT_PICKER_HPP

#include "tanagerspur/routing/route_table.hpp"

#include <map>
#include <random>

namespace tanagerspur
{

class split_picker
{
public:
    // The seed sets where in its cycle a route starts, so that hosts do not run in step.
    explicit split_picker(std::uint64_t seed)
        : m_random(seed)
    {
    }

    // The service of the next request; the route has at least one.
    const service_id& pick(const route& from);

private:
    struct cycle
    {
        std::vector<weighted_service> services;
        std::vector<double> credits;
    };

    std::mt19937_64 m_random;
    std::map<std::string, cycle> m_cycles;
};

} // namespace tanagerspur

#endif
