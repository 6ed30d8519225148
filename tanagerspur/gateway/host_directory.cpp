#include "tanagerspur/gateway/host_directory.hpp"

#include <algorithm>
#include <tuple>

namespace tanagerspur
{

namespace
{

// A zone with fewer ready hosts shares the others', so that one failure leaves a caller another.
constexpr std::size_t min_hosts_of_zone = 2;

} // namespace

host_directory::host_directory(host_record self, directory_options options)
    : m_options(options)
    , m_self(std::move(self))
{
}

void host_directory::put(const host_record& record)
{
    if (record.id != m_self.id)
        m_others[record.id] = {.record = record};
}

void host_directory::remove(const host_id& id, time_point keep_until)
{
    const auto found = m_others.find(id);
    if (found != m_others.end() && found->second.keep_until == never)
        found->second.keep_until = keep_until;
}

void host_directory::keep_only(const std::vector<host_id>& listed, time_point keep_until)
{
    for (auto& [id, known] : m_others)
        if (std::find(listed.begin(), listed.end(), id) == listed.end())
            remove(id, keep_until);
}

void host_directory::set_self(bool is_ready, bool is_busy)
{
    m_self.is_ready = is_ready;
    m_self.is_busy = is_busy;
}

void host_directory::tick(time_point now)
{
    std::erase_if(m_others, [now](const auto& each) { return now >= each.second.keep_until; });
}

std::vector<host_record> host_directory::all_hosts() const
{
    std::vector<host_record> hosts{m_self};
    for (const auto& [id, known] : m_others)
        hosts.push_back(known.record);
    return hosts;
}

std::vector<host_record> host_directory::used_hosts() const
{
    std::vector<host_record> ready = all_hosts();
    std::erase_if(ready, [](const host_record& each) { return !each.is_ready; });
    const bool is_any_busy = std::any_of(ready.begin(), ready.end(),
                                         [](const host_record& each) { return each.is_busy; });
    if (is_any_busy)
        return ready;
    std::sort(ready.begin(), ready.end(),
              [](const host_record& left, const host_record& right)
              { return std::tie(right.capacity, left.id) < std::tie(left.capacity, right.id); });
    struct zone_sum
    {
        std::uint64_t total = 0;
        std::uint64_t used = 0;
        std::size_t hosts = 0;
    };
    std::map<zone_id, zone_sum> zones;
    for (const host_record& each : ready)
        zones[each.zone].total += each.capacity;
    std::vector<host_record> used;
    for (const host_record& each : ready)
    {
        zone_sum& of = zones[each.zone];
        const bool is_enough =
            of.hosts >= m_options.least_of_zone &&
            static_cast<double>(of.used) >= m_options.used_share * static_cast<double>(of.total);
        if (is_enough)
            continue;
        ++of.hosts;
        of.used += each.capacity;
        used.push_back(each);
    }
    return used;
}

std::vector<endpoint> host_directory::addresses(const zone_id& caller_zone, std::size_t most) const
{
    std::vector<endpoint> near;
    std::vector<endpoint> all;
    for (const host_record& each : used_hosts())
    {
        all.push_back(each.callers);
        if (each.zone == caller_zone)
            near.push_back(each.callers);
    }
    std::vector<endpoint>& chosen = near.size() >= min_hosts_of_zone ? near : all;
    if (chosen.size() > most)
        chosen.resize(most);
    return chosen;
}

std::size_t host_directory::ready_hosts() const
{
    std::size_t ready = m_self.is_ready ? 1 : 0;
    for (const auto& [id, known] : m_others)
        ready += known.record.is_ready ? 1 : 0;
    return ready;
}

} // namespace tanagerspur
