// Distributes the requests of a route over its weighted services. The shares hold over any short
// sequence of requests, not only on average: after any number n of requests, a service's count
// differs from its exact share by less than one request per competing service.

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
    // The seed sets the initial position in a route's cycle, so that hosts are not synchronized.
    explicit split_picker(std::uint64_t seed)
        : m_random(seed)
    {
    }

    // Returns the service for the next request. The route must have at least one.
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
