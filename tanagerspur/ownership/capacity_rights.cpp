#include "tanagerspur/ownership/capacity_rights.hpp"

#include <algorithm>
#include <set>

namespace tanagerspur
{

std::string_view to_string(capacity_share share)
{
    switch (share)
    {
    case capacity_share::none:
        return "none";
    case capacity_share::reserve:
        return "reserve";
    case capacity_share::base:
        return "base";
    case capacity_share::full:
        return "full";
    }
    return "none";
}

std::uint32_t allowed_in_flight(capacity_share share, std::uint32_t limit)
{
    switch (share)
    {
    case capacity_share::none:
        return 0;
    case capacity_share::reserve:
        return 1;
    case capacity_share::base:
        return limit - 1;
    case capacity_share::full:
        return limit;
    }
    return 0;
}

capacity_rights::capacity_rights(capacity_rights_options options)
    : m_options(std::move(options))
    , m_table(std::make_shared<const assignment_table>())
{
}

bool capacity_rights::install(time_point now, std::shared_ptr<const assignment_table> table)
{
    if (table->current <= m_table->current)
        return false;
    const auto previous = std::exchange(m_table, std::move(table));
    std::erase_if(m_rows,
                  [this](const auto& entry) { return m_table->find(entry.first) == nullptr; });
    for (const auto& [key, row] : m_table->rows)
    {
        const shard_assignment* before = previous->find(key);
        const bool is_unchanged = before != nullptr && *before == row;
        if (is_unchanged)
            continue;
        if (row.owner == m_options.self)
            install_owned(now, key, row, before != nullptr && before->owner == row.owner);
        else if (row.deputy == m_options.self)
            install_deputized(now, key, row);
        else
            m_rows.erase(key);
    }
    return true;
}

void capacity_rights::install_owned(time_point now, const shard_key& key,
                                    const shard_assignment& row, bool owned_before)
{
    row_state state{.predecessor = row.predecessor};
    const auto former = m_rows.find(key);
    if (owned_before && former != m_rows.end())
    {
        // Only the deputy changed, so the waits for an earlier owner still apply.
        state.base_after = former->second.base_after;
        state.reserve_after = former->second.reserve_after;
    }
    else if (!row.predecessor.value().empty())
    {
        const bool predecessor_is_deputy = row.predecessor == row.deputy;
        state.base_after =
            now + m_options.max_attempt_time +
            (predecessor_is_deputy ? m_options.confirmation_period : m_options.isolation_period);
        // A former deputy may keep using its reserve; any other host has none yet.
        state.reserve_after =
            former != m_rows.end() ? former->second.reserve_after : state.base_after;
    }
    m_rows[key] = state;
}

void capacity_rights::install_deputized(time_point now, const shard_key& key,
                                        const shard_assignment& row)
{
    row_state state{.predecessor = row.predecessor};
    const bool owned_before = m_rows.contains(key);
    const bool has_no_other_predecessor =
        row.predecessor.value().empty() || row.predecessor == m_options.self;
    // A former owner has not granted the reserve to another host. A new deputy has no record of
    // the previous deputy's grants, so it waits until they must have expired. While the previous
    // deputy may still act, the reserve must not be granted either.
    if (!owned_before)
        state.reserve_after =
            now + m_options.max_attempt_time +
            (has_no_other_predecessor ? m_options.grant_period : m_options.isolation_period);
    if (!has_no_other_predecessor)
        state.grant_after = state.reserve_after;
    m_rows[key] = state;
}

void capacity_rights::on_grant(time_point sent, const host_id& deputy, const grant_reply& reply)
{
    // A grant under a newer table may be for rows that this host no longer owns.
    if (reply.granted.value() == 0 || reply.granted > m_table->current)
        return;
    const std::set<shard_key> excluded_rows(reply.excluded_rows.begin(), reply.excluded_rows.end());
    for (auto& [key, state] : m_rows)
    {
        const shard_assignment* row = m_table->find(key);
        if (row->owner != m_options.self || row->deputy != deputy || row->since > reply.granted ||
            excluded_rows.contains(key))
            continue;
        state.full_until = std::max(state.full_until, sent + m_options.grant_period);
        if (state.predecessor == deputy)
            state.base_after = time_point::min();
    }
}

void capacity_rights::on_epoch_confirmed(time_point sent, epoch read_epoch)
{
    if (read_epoch == m_table->current)
        m_confirmed_until = std::max(m_confirmed_until, sent + m_options.confirmation_period);
}

void capacity_rights::on_contact(time_point now)
{
    m_contact_until = now + m_options.isolation_period;
}

void capacity_rights::on_host_dead(time_point sent, const host_id& host)
{
    m_dead_until[host] = sent + m_options.confirmation_period / 3;
    // Its connections have closed, so no attempt that used a grant is still in flight.
    m_granted_until.erase(host);
    for (auto& [key, state] : m_rows)
        if (state.predecessor == host)
            state.base_after = time_point::min();
}

void capacity_rights::on_host_alive(const host_id& host)
{
    m_dead_until.erase(host);
}

grant_reply capacity_rights::grant(time_point now, const host_id& owner,
                                   const std::function<bool(const shard_key&)>& is_idle)
{
    if (m_grants_stopped.contains(owner) || m_table->current.value() == 0)
        return {};
    grant_reply reply{.granted = m_table->current, .excluded_rows = {}};
    for (const auto& [key, state] : m_rows)
    {
        const shard_assignment* row = m_table->find(key);
        if (row->owner != owner || row->deputy != m_options.self)
            continue;
        if (now < state.grant_after || !is_idle(key))
            reply.excluded_rows.push_back(key);
    }
    m_granted_until[owner] = now + m_options.grant_period + m_options.max_attempt_time;
    return reply;
}

void capacity_rights::stop_granting(const host_id& owner)
{
    m_grants_stopped[owner] = true;
}

void capacity_rights::resume_granting(const host_id& owner)
{
    m_grants_stopped.erase(owner);
}

capacity_share capacity_rights::share(time_point now, const shard_key& key) const
{
    const auto found = m_rows.find(key);
    if (found == m_rows.end())
        return capacity_share::none;
    const shard_assignment* row = m_table->find(key);
    const row_state& state = found->second;
    if (row->owner == m_options.self)
        return owner_share(now, *row, state);
    const bool may_use =
        now >= state.reserve_after && now >= granted_until(row->owner) && !is_isolated(now);
    return may_use ? capacity_share::reserve : capacity_share::none;
}

capacity_share capacity_rights::owner_share(time_point now, const shard_assignment& row,
                                            const row_state& state) const
{
    if (now < state.base_after)
        return takeover_share(now, row, state);
    if (now < state.full_until)
        return capacity_share::full;
    const bool is_alone = row.deputy.value().empty();
    if (now < m_confirmed_until)
        return is_alone ? capacity_share::full : capacity_share::base;
    if (is_alone || is_dead(now, row.deputy))
        return capacity_share::base;
    return is_isolated(now) ? capacity_share::none : capacity_share::reserve;
}

capacity_share capacity_rights::takeover_share(time_point now, const shard_assignment& row,
                                               const row_state& state) const
{
    const bool may_use = state.predecessor == row.deputy && now >= state.reserve_after &&
                         now >= granted_until(state.predecessor) && !is_isolated(now);
    return may_use ? capacity_share::reserve : capacity_share::none;
}

bool capacity_rights::is_dead(time_point now, const host_id& host) const
{
    const auto found = m_dead_until.find(host);
    return found != m_dead_until.end() && now < found->second;
}

bool capacity_rights::is_isolated(time_point now) const
{
    return now >= m_contact_until;
}

time_point capacity_rights::granted_until(const host_id& owner) const
{
    const auto found = m_granted_until.find(owner);
    return found == m_granted_until.end() ? time_point::min() : found->second;
}

bool capacity_rights::needs_epoch_confirmation(time_point now) const
{
    return std::any_of(m_rows.begin(), m_rows.end(),
                       [&](const auto& entry) {
                           return m_table->find(entry.first)->owner == m_options.self &&
                                  now >= entry.second.full_until;
                       });
}

std::vector<host_id> capacity_rights::deputies() const
{
    std::set<host_id> hosts;
    for (const auto& [key, state] : m_rows)
        if (const auto* row = m_table->find(key);
            row->owner == m_options.self && !row->deputy.value().empty())
            hosts.insert(row->deputy);
    return {hosts.begin(), hosts.end()};
}

std::vector<host_id> capacity_rights::owners() const
{
    std::set<host_id> hosts;
    for (const auto& [key, state] : m_rows)
        if (const auto* row = m_table->find(key); row->deputy == m_options.self)
            hosts.insert(row->owner);
    return {hosts.begin(), hosts.end()};
}

} // namespace tanagerspur
