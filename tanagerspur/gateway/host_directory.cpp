#include "tanagerspur/gateway/host_directory.hpp"

#include <algorithm>

namespace tanagerspur
{

namespace
{

// A zone with fewer ready hosts shares the others', so that one failure leaves a caller another.
constexpr std::size_t min_hosts_of_zone = 2;

} // namespace

host_directory::host_directory(host_record self)
    : m_self(std::move(self))
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

void host_directory::set_self_ready(bool is_ready)
{
    m_self.is_ready = is_ready;
}

void host_directory::tick(time_point now)
{
    std::erase_if(m_others, [now](const auto& each) { return now >= each.second.keep_until; });
}

std::vector<endpoint> host_directory::addresses(const zone_id& caller_zone, std::size_t most) const
{
    std::vector<endpoint> near;
    std::vector<endpoint> all;
    const auto add = [&](const host_record& each)
    {
        if (!each.is_ready)
            return;
        all.push_back(each.callers);
        if (each.zone == caller_zone)
            near.push_back(each.callers);
    };
    add(m_self);
    for (const auto& [id, known] : m_others)
        add(known.record);
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
