// Capacity rights: which share of each replica's capacity this host may use now, for every shard
// that it owns or deputizes. The shares of all hosts together stay within the replica's limit
// even if hosts are paused or partitioned or messages are delayed, provided that all clocks run
// at the same rate.
//
//   owner with a recent grant of the deputy           full     limit
//   owner with a recent confirmation of its epoch     base     limit - 1
//   owner without a confirmation                      reserve  1
//   deputy after the grant to the owner has expired   reserve  1
//   any other host                                    none     0
//
// After a takeover, the new owner waits until its predecessor's confirmation must have expired,
// or until the predecessor, now its deputy, sends a grant. Until then it keeps the share that it
// had as deputy.

#ifndef TANAGERSPUR_OWNERSHIP_CAPACITY_RIGHTS_HPP
#define TANAGERSPUR_OWNERSHIP_CAPACITY_RIGHTS_HPP

#include "tanagerspur/common/time.hpp"
#include "tanagerspur/ownership/assignment.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace tanagerspur
{

enum class capacity_share
{
    none,
    reserve,
    base,
    full
};

std::string_view to_string(capacity_share share);

// Returns how many requests a share allows in flight at one replica; limit is the replica's limit
// (2 or more).
std::uint32_t allowed_in_flight(capacity_share share, std::uint32_t limit);

struct capacity_rights_options
{
    host_id self;
    // How long a deputy's grant is valid at the owner, counted from when the owner asked for it.
    duration grant_period = std::chrono::milliseconds{450};
    // How long a consistent read of the store confirms the epoch.
    duration confirmation_period = std::chrono::seconds{2};
    // A host that receives no message for this long stops using any capacity.
    duration isolation_period = std::chrono::seconds{10};
    // Longest time of one attempt at a replica. An attempt may stay in flight this long after the
    // right to send it has ended.
    duration max_attempt_time = std::chrono::milliseconds{400};
};

// The deputy's reply to an owner that asks for the deputy's reserve.
struct grant_reply
{
    // Epoch of the deputy's table; 0 grants nothing.
    epoch granted;
    // Rows of that owner that the grant does not include.
    std::vector<shard_key> excluded_rows;
};

class capacity_rights
{
public:
    explicit capacity_rights(capacity_rights_options options);

    // Installs a table with a larger epoch. Returns false, without effect, for any other table.
    bool install(time_point now, std::shared_ptr<const assignment_table> table);

    // Called with the longest max_attempt_time of the manifest's services.
    void set_max_attempt_time(duration value) { m_options.max_attempt_time = value; }

    // The deputy replied to a request that was sent at the given time.
    void on_grant(time_point sent, const host_id& deputy, const grant_reply& reply);

    // A read of the store that this host or a peer sent at the given time returned this epoch.
    void on_epoch_confirmed(time_point sent, epoch read_epoch);

    // A message was received from a peer or the store.
    void on_contact(time_point now);

    // A probe sent at the given time showed that the host's process has ended.
    void on_host_dead(time_point sent, const host_id& host);

    // A message was received from the host, so its process is running.
    void on_host_alive(const host_id& host);

    // As deputy: replies to an owner's request for a grant. A row is excluded while is_idle returns
    // false for it, that is, while this host has requests in flight for it.
    grant_reply grant(time_point now, const host_id& owner,
                      const std::function<bool(const shard_key&)>& is_idle);

    // Stops grants to an owner while this host is taking over its rows.
    void stop_granting(const host_id& owner);
    void resume_granting(const host_id& owner);

    capacity_share share(time_point now, const shard_key& key) const;

    // True if some owned row has no valid grant, so that a confirmation from the store is needed.
    bool needs_epoch_confirmation(time_point now) const;

    // Deputies of the rows that this host owns; they are asked for grants.
    std::vector<host_id> deputies() const;
    // Owners of the rows that this host deputizes.
    std::vector<host_id> owners() const;

    const assignment_table& table() const { return *m_table; }
    std::shared_ptr<const assignment_table> shared_table() const { return m_table; }

private:
    struct row_state
    {
        time_point full_until = time_point::min();
        // As owner: from this time on the predecessor can use a reserve at most.
        time_point base_after = time_point::min();
        // As deputy, or as owner before base_after: from when on the reserve may be used.
        time_point reserve_after = time_point::min();
        // As deputy: from when on the reserve may be granted.
        time_point grant_after = time_point::min();
        host_id predecessor;
    };

    void install_owned(time_point now, const shard_key& key, const shard_assignment& row,
                       bool owned_before);
    void install_deputized(time_point now, const shard_key& key, const shard_assignment& row);
    capacity_share owner_share(time_point now, const shard_assignment& row,
                               const row_state& state) const;
    capacity_share takeover_share(time_point now, const shard_assignment& row,
                                  const row_state& state) const;
    bool is_dead(time_point now, const host_id& host) const;
    bool is_isolated(time_point now) const;
    time_point granted_until(const host_id& owner) const;

    capacity_rights_options m_options;
    std::shared_ptr<const assignment_table> m_table;
    std::map<shard_key, row_state> m_rows;
    // As deputy: until when an owner may use this host's grant, including its attempts in flight.
    std::map<host_id, time_point> m_granted_until;
    std::map<host_id, bool> m_grants_stopped;
    std::map<host_id, time_point> m_dead_until;
    time_point m_confirmed_until = time_point::min();
    time_point m_contact_until = time_point::min();
};

} // namespace tanagerspur

#endif
