// The assignment of shards to hosts: for each shard an owner, which queues and dispatches its
// sub-requests, and a deputy in another availability zone, which can serve the shard with a
// reserve when the owner is out of reach. One value in the store, changed only by
// compare-and-swap; each change raises the epoch by one.

#ifndef TANAGERSPUR_OWNERSHIP_ASSIGNMENT_HPP
#define TANAGERSPUR_OWNERSHIP_ASSIGNMENT_HPP

#include "tanagerspur/common/ids.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tanagerspur
{

struct shard_assignment
{
    host_id owner;
    // Empty while no second host exists.
    host_id deputy;
    // A host that had a part in the shard before and may still believe so; empty when there is
    // none.
    host_id predecessor;
    // Epoch in which this row last changed.
    epoch since;

    friend bool operator==(const shard_assignment&, const shard_assignment&) = default;
};

struct assignment_table
{
    epoch current;
    std::map<shard_key, shard_assignment> rows;

    const shard_assignment* find(const shard_key& key) const;

    friend bool operator==(const assignment_table&, const assignment_table&) = default;
};

// JSON text of a table, as kept in the store.
std::string serialize(const assignment_table& table);

// Inverse of serialize; nothing when the text is malformed.
std::optional<assignment_table> parse_assignment(const std::string& text);

// A host as the planner sees it.
struct candidate_host
{
    host_id id;
    zone_id zone;

    friend bool operator==(const candidate_host&, const candidate_host&) = default;
};

struct planner_input
{
    // All shards of the manifest.
    std::vector<shard_key> shards;
    // Hosts that may own shards; neither leaving nor lost.
    std::vector<candidate_host> candidates;
    // Hosts that may still act on their rows: candidates, leaving hosts, and silent hosts that
    // the platform still lists.
    std::vector<host_id> may_act;
    // Hosts whose process is known to be gone, so that nothing of theirs can still act.
    std::vector<host_id> dead;
};

// The next table, or nothing when the present one needs no change. Rows move only when they
// must: a new shard, an owner and deputy that are both gone, or a deputy that is gone. A row is
// never taken from a host that may still act on it; that is its deputy's decision
// (plan_takeover) or its own (plan_handover).
std::optional<assignment_table> plan(const assignment_table& present, const planner_input& input);

// Makes the deputy the owner, and the owner its deputy, in all rows of the pair. With
// owner_is_dead nothing of the owner can still act.
std::optional<assignment_table> plan_takeover(const assignment_table& present,
                                              const host_id& lost_owner, const host_id& deputy,
                                              bool owner_is_dead);

// Hands all rows of a leaving owner to their deputies, and its deputy's places to others.
std::optional<assignment_table> plan_handover(const assignment_table& present,
                                              const host_id& leaving,
                                              const std::vector<candidate_host>& candidates);

// Hands some rows of an owner that has more than its share to deputies that have less; at most
// one row at a time, so that the table settles without swings.
std::optional<assignment_table> plan_rebalance(const assignment_table& present,
                                               const host_id& owner,
                                               const std::vector<candidate_host>& candidates);

} // namespace tanagerspur

#endif
