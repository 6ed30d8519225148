#include "tanagerspur/gateway/advertised_host_count.hpp"

#include <algorithm>
#include <limits>

namespace tanagerspur
{

namespace
{

constexpr double millicores_per_core = 1'000;
constexpr double infinite = std::numeric_limits<double>::infinity();

// Relative response time of one host with its share of the load.
double response_time(std::uint32_t capacity, double host_load, const host_count_options& options)
{
    const double millicores = std::max(1U, capacity);
    const double utilization = host_load / millicores;
    if (utilization > options.max_utilization)
        return infinite;
    return millicores_per_core / millicores * (1 + utilization / (2 * (1 - utilization)));
}

} // namespace

double relative_response_time(const std::vector<std::uint32_t>& capacities, double load,
                              const host_count_options& options)
{
    const double hosts = static_cast<double>(capacities.size());
    double sum = 0;
    for (const std::uint32_t each : capacities)
        sum += response_time(each, options.headroom * load / hosts, options);
    return sum / hosts;
}

std::size_t advertised_host_count(const std::vector<std::uint32_t>& capacities, double load,
                                  const host_count_options& options)
{
    const std::size_t min_hosts_used = std::min(options.min_hosts, capacities.size());
    std::vector<double> times;
    std::vector<std::uint32_t> hosts_used;
    for (const std::uint32_t each : capacities)
    {
        hosts_used.push_back(each);
        if (hosts_used.size() >= min_hosts_used)
            times.push_back(relative_response_time(hosts_used, load, options));
    }
    if (times.empty())
        return 0;
    const double min_time = *std::min_element(times.begin(), times.end());
    if (min_time == infinite)
        return capacities.size();
    const double max_time = min_time / (1 - options.min_improvement);
    const auto first = std::find_if(times.begin(), times.end(),
                                    [max_time](double each) { return each <= max_time; });
    return min_hosts_used + static_cast<std::size_t>(first - times.begin());
}

} // namespace tanagerspur
