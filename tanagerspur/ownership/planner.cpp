#include "tanagerspur/ownership/assignment.hpp"

#include <algorithm>
#include <tuple>
#include <unordered_set>

namespace tanagerspur
{

namespace
{

// Chooses hosts by the number of rows that they own or deputize. This balances the load, and
// every host that plans makes the same choice.
class placement_counter
{
public:
    placement_counter(const assignment_table& table, const std::vector<candidate_host>& candidates)
        : m_candidates(candidates)
    {
        for (const auto& [key, row] : table.rows)
        {
            ++m_owned[row.owner];
            ++m_deputized[row.deputy];
            ++m_pairs[{row.owner, row.deputy}];
        }
    }

    const candidate_host* choose_owner() const
    {
        return min_cost_host(
            [this](const candidate_host& host) {
                return std::pair{count(m_owned, host.id), count(m_deputized, host.id)};
            },
            [](const candidate_host&) { return true; });
    }

    // Returns the host with the fewest rows, in another zone than the owner's if there is one. An
    // owner's shards get different deputies, so that the load of a lost owner is spread over many
    // hosts.
    const candidate_host* choose_deputy(const host_id& owner) const
    {
        const auto cost = [&](const candidate_host& host)
        {
            const auto pair = m_pairs.find({owner, host.id});
            return std::tuple{pair == m_pairs.end() ? 0 : pair->second, count(m_deputized, host.id),
                              count(m_owned, host.id)};
        };
        const zone_id zone = zone_of(owner);
        const candidate_host* other_zone =
            min_cost_host(cost, [&](const candidate_host& host)
                          { return host.id != owner && host.zone != zone; });
        if (other_zone != nullptr)
            return other_zone;
        return min_cost_host(cost, [&](const candidate_host& host) { return host.id != owner; });
    }

    void add_owner(const host_id& id) { ++m_owned[id]; }
    void add_deputy(const host_id& owner, const host_id& id)
    {
        ++m_deputized[id];
        ++m_pairs[{owner, id}];
    }
    std::size_t owned(const host_id& id) const { return count(m_owned, id); }

private:
    using counts = std::map<host_id, std::size_t>;

    static std::size_t count(const counts& places, const host_id& id)
    {
        const auto found = places.find(id);
        return found == places.end() ? 0 : found->second;
    }

    zone_id zone_of(const host_id& id) const
    {
        for (const candidate_host& each : m_candidates)
            if (each.id == id)
                return each.zone;
        return {};
    }

    template<class Cost, class Allowed>
    const candidate_host* min_cost_host(Cost cost, Allowed allowed) const
    {
        const candidate_host* best = nullptr;
        for (const candidate_host& each : m_candidates)
        {
            if (!allowed(each))
                continue;
            if (best == nullptr ||
                std::pair{cost(each), each.id} < std::pair{cost(*best), best->id})
                best = &each;
        }
        return best;
    }

    const std::vector<candidate_host>& m_candidates;
    counts m_owned;
    counts m_deputized;
    std::map<std::pair<host_id, host_id>, std::size_t> m_pairs;
};

// The planner's input with look-up in constant time, so that the cost of planning is proportional
// to the number of rows and not to rows times hosts.
struct host_sets
{
    explicit host_sets(const planner_input& input)
        : may_act(input.may_act.begin(), input.may_act.end())
        , dead(input.dead.begin(), input.dead.end())
    {
        for (const candidate_host& each : input.candidates)
            candidates.insert(each.id);
    }

    std::unordered_set<host_id> may_act;
    std::unordered_set<host_id> dead;
    std::unordered_set<host_id> candidates;
};

bool is_candidate(const std::vector<candidate_host>& hosts, const host_id& id)
{
    return std::any_of(hosts.begin(), hosts.end(),
                       [&](const candidate_host& each) { return each.id == id; });
}

// Returns the table with the next epoch, or nullopt if no row differs.
std::optional<assignment_table> finish(const assignment_table& present, assignment_table next)
{
    if (next.rows == present.rows)
        return std::nullopt;
    next.current = epoch{present.current.value() + 1};
    for (auto& [key, row] : next.rows)
    {
        const shard_assignment* before = present.find(key);
        if (before == nullptr || *before != row)
            row.since = next.current;
    }
    return next;
}

void assign_row(shard_assignment& row, placement_counter& places)
{
    const candidate_host* owner = places.choose_owner();
    if (owner == nullptr)
        return;
    row.owner = owner->id;
    places.add_owner(owner->id);
    const candidate_host* deputy = places.choose_deputy(owner->id);
    row.deputy = deputy != nullptr ? deputy->id : host_id{};
    if (deputy != nullptr)
        places.add_deputy(row.owner, deputy->id);
}

// Replaces lost hosts in a row. If the owner is lost but its deputy may act, the row is left for
// the deputy to take over.
void repair_row(shard_assignment& row, const host_sets& hosts, placement_counter& places)
{
    const bool owner_may_act = hosts.may_act.contains(row.owner);
    const bool deputy_may_act = hosts.may_act.contains(row.deputy);
    if (hosts.dead.contains(row.predecessor))
        row.predecessor = {};
    if (!owner_may_act && !deputy_may_act)
    {
        const bool are_dead = hosts.dead.contains(row.owner) &&
                              (row.deputy.value().empty() || hosts.dead.contains(row.deputy));
        row.predecessor = are_dead ? host_id{} : row.owner;
        assign_row(row, places);
    }
    else if (owner_may_act && !deputy_may_act && hosts.candidates.contains(row.owner))
    {
        const candidate_host* deputy = places.choose_deputy(row.owner);
        const host_id id = deputy != nullptr ? deputy->id : host_id{};
        if (id == row.deputy)
            return;
        const bool was_dead = row.deputy.value().empty() || hosts.dead.contains(row.deputy);
        if (!was_dead && row.predecessor.value().empty())
            row.predecessor = row.deputy;
        row.deputy = id;
        places.add_deputy(row.owner, id);
    }
}

} // namespace

std::optional<assignment_table> plan(const assignment_table& present, const planner_input& input)
{
    if (input.candidates.empty())
        return std::nullopt;
    assignment_table next{.current = present.current, .rows = {}};
    for (const shard_key& key : input.shards)
        if (const shard_assignment* row = present.find(key))
            next.rows.emplace(key, *row);
    placement_counter places(next, input.candidates);
    const host_sets hosts(input);
    for (const shard_key& key : input.shards)
    {
        const auto [found, is_new] = next.rows.try_emplace(key);
        if (is_new)
            assign_row(found->second, places);
        else
            repair_row(found->second, hosts, places);
    }
    return finish(present, std::move(next));
}

std::optional<assignment_table> plan_takeover(const assignment_table& present,
                                              const host_id& lost_owner, const host_id& deputy,
                                              bool owner_is_dead)
{
    assignment_table next = present;
    for (auto& [key, row] : next.rows)
    {
        if (row.owner != lost_owner || row.deputy != deputy)
            continue;
        std::swap(row.owner, row.deputy);
        row.predecessor = owner_is_dead ? host_id{} : lost_owner;
    }
    return finish(present, std::move(next));
}

std::optional<assignment_table> plan_handover(const assignment_table& present,
                                              const host_id& leaving,
                                              const std::vector<candidate_host>& candidates)
{
    assignment_table next = present;
    for (auto& [key, row] : next.rows)
    {
        if (row.owner != leaving || !is_candidate(candidates, row.deputy))
            continue;
        std::swap(row.owner, row.deputy);
        row.predecessor = leaving;
    }
    return finish(present, std::move(next));
}

std::optional<assignment_table> plan_rebalance(const assignment_table& present,
                                               const host_id& owner,
                                               const std::vector<candidate_host>& candidates)
{
    if (candidates.empty())
        return std::nullopt;
    const placement_counter places(present, candidates);
    const std::size_t share = (present.rows.size() + candidates.size() - 1) / candidates.size();
    if (places.owned(owner) <= share)
        return std::nullopt;
    assignment_table next = present;
    for (auto& [key, row] : next.rows)
    {
        if (row.owner != owner || !is_candidate(candidates, row.deputy) ||
            places.owned(row.deputy) + 1 > share)
            continue;
        std::swap(row.owner, row.deputy);
        row.predecessor = owner;
        return finish(present, std::move(next));
    }
    return std::nullopt;
}

} // namespace tanagerspur
