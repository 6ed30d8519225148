// The assignment of shards to hosts: for each shard an owner, which queues and dispatches its
// sub-requests, and a deputy in another availability zone, which can serve the shard with a
// reserved part of the capacity while the owner is unreachable. The assignment is one value in
// the store, which is changed only by compare-and-swap; each change increments the epoch.

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
    // Empty while there is no second host.
    host_id deputy;
    // A former owner or deputy of the shard that may still act on an older table; empty if there
    // is none.
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

// Returns the table as JSON text, the form kept in the store.
std::string serialize(const assignment_table& table);

// Inverse of serialize; returns nullopt if the text is malformed.
std::optional<assignment_table> parse_assignment(const std::string& text);

// A host that may be given rows.
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
    // Hosts that may be given shards: neither leaving nor lost.
    std::vector<candidate_host> candidates;
    // Hosts that may still act on their rows: candidates, leaving hosts, and unresponsive hosts
    // that are still in the platform's host list.
    std::vector<host_id> may_act;
    // Hosts whose process is known to have ended, so that they can no longer act.
    std::vector<host_id> dead;
};

// Returns the next table, or nullopt if the present one needs no change. A row changes only for a
// new shard, when both owner and deputy are lost, or when the deputy is lost. A row is never
// taken from a host that may still act on it: that is decided by its deputy (plan_takeover) or by
// the host itself (plan_handover).
std::optional<assignment_table> plan(const assignment_table& present, const planner_input& input);

// Swaps owner and deputy in all rows of the pair. With owner_is_dead, the owner's process has
// ended and can no longer act.
std::optional<assignment_table> plan_takeover(const assignment_table& present,
                                              const host_id& lost_owner, const host_id& deputy,
                                              bool owner_is_dead);

// Hands all rows of a leaving owner to their deputies, and its deputy's places to others.
std::optional<assignment_table> plan_handover(const assignment_table& present,
                                              const host_id& leaving,
                                              const std::vector<candidate_host>& candidates);

// Hands over a row of an owner that has more than its share to a deputy that has less. Moves at
// most one row at a time, so that the table converges without oscillation.
std::optional<assignment_table> plan_rebalance(const assignment_table& present,
                                               const host_id& owner,
                                               const std::vector<candidate_host>& candidates);

} // namespace tanagerspur

#endif
