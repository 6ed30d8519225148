#include "tanagerspur/gateway/host_directory.hpp"

#include "tanagerspur/gateway/limit_share.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace tanagerspur
{

namespace
{

// Callers of a zone with fewer advertised hosts also get those of other zones, so that they still
// have a host after one fails.
constexpr std::size_t min_hosts_per_zone = 2;
// Share of a replica's request limit for a host that is not advertised, as a part of an even share.
constexpr double unadvertised_limit_share = 0.25;

bool contains(const std::vector<host_record>& hosts, const host_id& id)
{
    return std::any_of(hosts.begin(), hosts.end(),
                       [&id](const host_record& each) { return each.id == id; });
}

} // namespace

host_directory::host_directory(host_record self, directory_options options)
    : m_options(options)
    , m_self(std::move(self))
{
}

void host_directory::put(const host_record& record)
{
    if (record.id == m_self.id)
        m_published_load = record.load;
    else
        m_others[record.id] = {.record = record};
}

void host_directory::remove(const host_id& id, time_point expires_at)
{
    const auto found = m_others.find(id);
    if (found != m_others.end() && found->second.expires_at == never)
        found->second.expires_at = expires_at;
}

void host_directory::remove_unlisted(const std::vector<host_id>& registered, time_point expires_at)
{
    for (auto& [id, known] : m_others)
        if (std::find(registered.begin(), registered.end(), id) == registered.end())
            remove(id, expires_at);
}

void host_directory::set_own_state(const host_state& state)
{
    m_self.is_ready = state.is_ready;
    m_self.is_busy = state.is_busy;
    m_self.is_leaving = state.is_leaving;
    m_self.load = state.load;
}

void host_directory::tick(time_point now)
{
    std::erase_if(m_others, [now](const auto& each) { return now >= each.second.expires_at; });
}

std::vector<host_record> host_directory::all_hosts() const
{
    std::vector<host_record> hosts{m_self};
    for (const auto& [id, known] : m_others)
        hosts.push_back(known.record);
    return hosts;
}

std::uint32_t host_directory::expected_capacity(const host_record& host) const
{
    if (!host.is_busy)
        return host.capacity;
    const auto min_capacity = static_cast<std::uint32_t>(m_options.min_busy_capacity_share *
                                                         static_cast<double>(host.capacity));
    return std::clamp(host.load, min_capacity, std::max(min_capacity, host.capacity));
}

std::size_t host_directory::sort_and_count_advertised(std::vector<host_record>& hosts) const
{
    std::sort(hosts.begin(), hosts.end(),
              [this](const host_record& left, const host_record& right)
              {
                  return std::tuple{expected_capacity(right), left.id} <
                         std::tuple{expected_capacity(left), right.id};
              });
    std::vector<std::uint32_t> capacities;
    double load = 0;
    for (const host_record& each : hosts)
    {
        capacities.push_back(expected_capacity(each));
        load += each.load;
    }
    return advertised_host_count(capacities, load, m_options.host_count);
}

template<class Condition>
std::vector<host_record> host_directory::choose_advertised(Condition may_advertise) const
{
    std::map<zone_id, std::vector<host_record>> zones;
    for (host_record& each : all_hosts())
        if (each.is_ready && may_advertise(each))
            zones[each.zone].push_back(std::move(each));
    std::vector<host_record> advertised;
    for (auto& [zone, hosts] : zones)
    {
        const std::size_t advertised_count = sort_and_count_advertised(hosts);
        std::move(hosts.begin(), hosts.begin() + static_cast<std::ptrdiff_t>(advertised_count),
                  std::back_inserter(advertised));
    }
    return advertised;
}

std::vector<host_record> host_directory::advertised_hosts() const
{
    return choose_advertised([](const host_record&) { return true; });
}

std::vector<host_record> host_directory::advertised_hosts(const reachability_source& hosts) const
{
    return choose_advertised(
        [&](const host_record& each)
        { return each.id == m_self.id || hosts.of(each.id) != reachability::unreachable; });
}

// A host that replaces an unreachable one has no load that others know of yet.
double host_directory::share_of_limits(const std::vector<host_record>& registered,
                                       const std::vector<host_record>& running) const
{
    const std::vector<host_record>& sharing =
        running.size() > registered.size() ? running : registered;
    const double even = 1 / static_cast<double>(std::max<std::size_t>(1, sharing.size()));
    if (!contains(registered, m_self.id) && !contains(running, m_self.id))
        return unadvertised_limit_share * even;
    if (!contains(sharing, m_self.id))
        return even;
    double total_load = 0;
    for (const host_record& each : sharing)
        total_load += each.id == m_self.id ? m_published_load : each.load;
    return limit_share(m_published_load, total_load, sharing.size());
}

bool host_directory::should_register() const
{
    std::vector<host_record> hosts;
    for (const host_record& each : all_hosts())
        if (each.zone == m_self.zone && !each.is_leaving)
            hosts.push_back(each);
    const std::size_t wanted =
        std::max(m_options.min_registered,
                 m_options.registered_per_advertised * sort_and_count_advertised(hosts));
    // Hosts of equal capacity take precedence, because they are already registered.
    const auto preferred_hosts =
        std::count_if(hosts.begin(), hosts.end(),
                      [this](const host_record& each) {
                          return each.id != m_self.id && expected_capacity(each) >= m_self.capacity;
                      });
    return static_cast<std::size_t>(preferred_hosts) < wanted;
}

std::vector<endpoint> host_directory::addresses(const zone_id& caller_zone, std::size_t max_count,
                                                const reachability_source& hosts) const
{
    std::vector<endpoint> same_zone;
    std::vector<endpoint> all;
    for (const host_record& each : advertised_hosts(hosts))
    {
        if (each.id != m_self.id && hosts.of(each.id) != reachability::reachable)
            continue;
        all.push_back(each.callers);
        if (each.zone == caller_zone)
            same_zone.push_back(each.callers);
    }
    std::vector<endpoint>& chosen = same_zone.size() >= min_hosts_per_zone ? same_zone : all;
    if (chosen.size() > max_count)
        chosen.resize(max_count);
    return chosen;
}

// Hosts that are unreachable stay watched while the store lists them, so that their return is
// noticed.
std::vector<host_record> host_directory::hosts_to_watch(const std::set<zone_id>& caller_zones,
                                                        const reachability_source& hosts) const
{
    std::vector<host_record> candidates = advertised_hosts(hosts);
    const bool has_small_zone =
        std::any_of(caller_zones.begin(), caller_zones.end(),
                    [&](const zone_id& zone)
                    {
                        const auto in_zone =
                            std::count_if(candidates.begin(), candidates.end(),
                                          [&](const auto& each) { return each.zone == zone; });
                        return static_cast<std::size_t>(in_zone) < min_hosts_per_zone;
                    });
    const std::vector<host_record> registered = advertised_hosts();
    candidates.insert(candidates.end(), registered.begin(), registered.end());
    std::erase_if(
        candidates, [&](const host_record& each)
        { return each.id == m_self.id || (!has_small_zone && !caller_zones.contains(each.zone)); });
    return candidates;
}

std::size_t host_directory::ready_hosts() const
{
    std::size_t ready = m_self.is_ready ? 1 : 0;
    for (const auto& [id, known] : m_others)
        ready += known.record.is_ready ? 1 : 0;
    return ready;
}

} // namespace tanagerspur
