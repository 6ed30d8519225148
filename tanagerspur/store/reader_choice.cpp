#include "tanagerspur/store/reader_choice.hpp"

#include <boost/container_hash/hash.hpp>

#include <algorithm>
#include <map>
#include <tuple>

namespace tanagerspur
{

namespace
{

std::size_t preference_hash(const host_id& first, const host_id& second)
{
    std::size_t seed = 0;
    boost::hash_combine(seed, first.value());
    boost::hash_combine(seed, second.value());
    return seed;
}

} // namespace

std::vector<reader_candidate> choose_readers(std::vector<reader_candidate> hosts,
                                             const reader_options& options)
{
    std::map<zone_id, std::size_t> hosts_of_zone;
    for (const reader_candidate& each : hosts)
        ++hosts_of_zone[each.zone];
    const auto large_zones = static_cast<std::size_t>(std::count_if(
        hosts_of_zone.begin(), hosts_of_zone.end(),
        [&options](const auto& each) { return each.second >= options.min_hosts_for_zone_reader; }));
    const std::size_t wanted = std::max(
        {options.min_readers, large_zones, hosts.size() / options.followers_per_reader + 1});
    std::sort(hosts.begin(), hosts.end(),
              [](const reader_candidate& left, const reader_candidate& right)
              {
                  return std::tie(right.capacity, left.is_advertised, left.id) <
                         std::tie(left.capacity, right.is_advertised, right.id);
              });
    // Ranks each host within its zone, so that one host of each zone is chosen before a second one
    // of any zone.
    std::map<zone_id, std::size_t> hosts_ranked;
    std::vector<std::pair<std::size_t, reader_candidate>> ranked;
    for (reader_candidate& each : hosts)
    {
        const std::size_t rank = hosts_ranked[each.zone]++;
        ranked.emplace_back(rank, std::move(each));
    }
    std::stable_sort(ranked.begin(), ranked.end(),
                     [](const auto& left, const auto& right) { return left.first < right.first; });
    std::vector<reader_candidate> chosen;
    for (auto& [rank, each] : ranked)
        if (chosen.size() < wanted)
            chosen.push_back(std::move(each));
    return chosen;
}

void sort_by_preference(const host_id& self, const zone_id& zone,
                        std::vector<reader_candidate>& readers)
{
    std::sort(readers.begin(), readers.end(),
              [&](const reader_candidate& left, const reader_candidate& right)
              {
                  return std::tuple{left.zone != zone, preference_hash(self, left.id)} <
                         std::tuple{right.zone != zone, preference_hash(self, right.id)};
              });
}

} // namespace tanagerspur
