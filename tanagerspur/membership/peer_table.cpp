#include "tanagerspur/membership/peer_table.hpp"

#include "tanagerspur/common/endpoint.hpp"

#include <algorithm>

namespace tanagerspur
{

peer_table::peer_table(peer_options options)
    : m_options(std::move(options))
{
}

void peer_table::on_list(time_point now, const host_list& list)
{
    if (!list.available)
        return;
    m_has_list = true;
    m_leaving_targets.clear();
    for (auto& [id, each] : m_peers)
        each.is_listed = false;
    for (const listed_host& line : list.hosts)
    {
        const bool is_leaving = line.current == listed_host::state::leaving;
        if (line.is_target)
        {
            if (is_leaving)
                m_leaving_targets.push_back(
                    to_string(endpoint{.address = line.address, .port = line.port}));
            continue;
        }
        if (line.id == m_options.self)
            continue;
        auto [found, is_new] = m_peers.try_emplace(line.id);
        peer& each = found->second;
        if (is_new)
            each.first_listed = now;
        each.id = line.id;
        each.zone = line.zone;
        each.address = line.address;
        each.is_listed = true;
        each.is_listed_leaving = is_leaving;
    }
    std::erase_if(m_peers, [&](const auto& entry)
                  { return !entry.second.is_listed && !is_heard(now, entry.first); });
}

bool peer_table::on_word(time_point now, const host_id& from, const peer_word& word)
{
    const auto found = m_peers.find(from);
    if (found == m_peers.end())
        return false;
    peer& each = found->second;
    const bool is_restarted = each.start.value() != 0 && each.start != word.start;
    each.start = word.start;
    each.is_leaving = word.leaving;
    each.manifest_generation = word.manifest_generation;
    each.assignment_epoch = word.assignment_epoch;
    each.load_permille = word.load_permille;
    each.is_serving = word.serving;
    each.heard = now;
    each.refused.reset();
    each.unreached_by.clear();
    return is_restarted;
}

void peer_table::on_refused(time_point sent, const host_id& host)
{
    const auto found = m_peers.find(host);
    if (found == m_peers.end())
        return;
    // The peer was heard from after the probe was sent: it has started again since.
    const bool is_outdated = found->second.heard && *found->second.heard > sent;
    if (!is_outdated)
        found->second.refused = sent;
}

void peer_table::on_reach_report(time_point now, const host_id& reporter, const host_id& host,
                                 bool reached)
{
    const auto found = m_peers.find(host);
    if (found == m_peers.end())
        return;
    if (reached)
        found->second.unreached_by.erase(reporter);
    else
        found->second.unreached_by[reporter] = now;
}

const peer* peer_table::find(const host_id& id) const
{
    const auto found = m_peers.find(id);
    return found == m_peers.end() ? nullptr : &found->second;
}

bool peer_table::is_heard(time_point now, const host_id& host) const
{
    const peer* each = find(host);
    return each != nullptr && each->heard && now - *each->heard < m_options.silence &&
           !is_dead(now, host);
}

// A peer that was never heard from gets the silence period from when it was first listed.
bool peer_table::is_silent(time_point now, const host_id& host) const
{
    const peer* each = find(host);
    if (each == nullptr)
        return true;
    return now - each->heard.value_or(each->first_listed) >= m_options.silence;
}

bool peer_table::is_dead(time_point now, const host_id& host) const
{
    const peer* each = find(host);
    return each != nullptr && each->refused && now - *each->refused < m_options.death_validity;
}

bool peer_table::is_lost(time_point now, const host_id& host, std::size_t asked) const
{
    if (is_dead(now, host))
        return true;
    const peer* each = find(host);
    if (!is_silent(now, host))
        return false;
    if (each == nullptr)
        return true;
    const auto recent = std::count_if(each->unreached_by.begin(), each->unreached_by.end(),
                                      [&](const auto& report)
                                      { return now - report.second < m_options.report_validity; });
    return static_cast<std::size_t>(recent) >= asked;
}

std::vector<candidate_host> peer_table::candidates(time_point now, bool self_leaving) const
{
    std::vector<candidate_host> hosts;
    if (!self_leaving)
        hosts.push_back({.id = m_options.self, .zone = m_options.zone});
    for (const auto& [id, each] : m_peers)
        if (is_heard(now, id) && !each.is_leaving && !each.is_listed_leaving)
            hosts.push_back({.id = id, .zone = each.zone});
    std::sort(hosts.begin(), hosts.end(),
              [](const auto& left, const auto& right) { return left.id < right.id; });
    return hosts;
}

std::vector<host_id> peer_table::may_act(time_point now) const
{
    std::vector<host_id> hosts{m_options.self};
    for (const auto& [id, each] : m_peers)
        if (is_heard(now, id) || (each.is_listed && !is_dead(now, id)))
            hosts.push_back(id);
    return hosts;
}

std::vector<host_id> peer_table::dead(time_point now) const
{
    std::vector<host_id> hosts;
    for (const auto& [id, each] : m_peers)
        if (is_dead(now, id))
            hosts.push_back(id);
    return hosts;
}

std::vector<host_id> peer_table::witnesses(time_point now, const host_id& of,
                                           std::size_t count) const
{
    std::vector<host_id> hosts;
    const auto begin = m_peers.upper_bound(m_options.self);
    auto position = begin;
    for (std::size_t seen = 0; seen < m_peers.size() && hosts.size() < count; ++seen)
    {
        if (position == m_peers.end())
            position = m_peers.begin();
        if (position->first != of && is_heard(now, position->first))
            hosts.push_back(position->first);
        ++position;
    }
    return hosts;
}

} // namespace tanagerspur
