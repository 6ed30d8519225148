#include "tanagerspur/routing/split_picker.hpp"

#include <algorithm>

namespace tanagerspur
{

// Smooth weighted round robin: each request adds every service's weight to its credit, picks the
// service with the highest credit and subtracts the sum of the weights from it.
const service_id& split_picker::pick(const route& from)
{
    if (from.services.size() == 1)
        return from.services.front().service;
    cycle& at = m_cycles[from.name];
    if (at.services != from.services)
    {
        at.services = from.services;
        at.credits.clear();
        for (const weighted_service& each : from.services)
            at.credits.push_back(
                std::uniform_real_distribution<>{0.0, static_cast<double>(each.weight)}(m_random));
    }
    double total = 0;
    for (std::size_t i = 0; i < at.credits.size(); ++i)
    {
        at.credits[i] += from.services[i].weight;
        total += from.services[i].weight;
    }
    const auto most = std::max_element(at.credits.begin(), at.credits.end());
    *most -= total;
    return from.services[static_cast<std::size_t>(most - at.credits.begin())].service;
}

} // namespace tanagerspur
