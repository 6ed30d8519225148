// Tenure: how much of each replica's capacity this host may use right now, for every shard that
// it owns or deputizes. It keeps the sum over all hosts within the replica's limit, whatever is
// paused, cut off or late, as long as clocks run at the same rate.
//
//   owner, with the deputy's recent grant       full     limit
//   owner, with recent evidence of its epoch    base     limit - 1
//   owner without evidence                      reserve  1
//   deputy, once the owner's grant has lapsed   reserve  1
//   anybody else                                none     0
//
// A host that takes over waits until its predecessor's evidence must have lapsed, or until the
// predecessor, now deputy, grants; until then it has what it had as deputy.

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

// Requests in flight at one replica that a share allows, of a replica's limit (2 or more).
std::uint32_t allowed_in_flight(capacity_share share, std::uint32_t limit);

struct capacity_rights_options
{
    host_id self;
    // How long a deputy's grant lasts at the owner, from when the owner asked.
    duration grant_period = std::chrono::milliseconds{450};
    // How long a consistent read of the store shows that the epoch stands.
    duration confirmation_period = std::chrono::seconds{2};
    // A host that hears from nobody for this long stops using any capacity.
    duration isolation_period = std::chrono::seconds{10};
    // Longest time of one attempt at a replica: what was sent may be in flight that long.
    duration max_attempt_time = std::chrono::milliseconds{400};
};

// The deputy's answer to an owner that asks for its reserve.
struct grant_reply
{
    // Epoch of the deputy's table; 0 grants nothing.
    epoch granted;
    // Rows of that owner which are not granted.
    std::vector<shard_key> excluded_rows;
};

class capacity_rights
{
public:
    explicit capacity_rights(capacity_rights_options options);

    // Takes a table with a larger epoch; false, without effect, for any other.
    bool install(time_point now, std::shared_ptr<const assignment_table> table);

    // A settle period that follows the manifest's longest attempt.
    void set_max_attempt_time(duration value) { m_options.max_attempt_time = value; }

    // The deputy answered a request that was sent at the given time.
    void on_grant(time_point sent, const host_id& deputy, const grant_reply& reply);

    // The store showed this epoch to a read that was sent at the given time, here or at a peer.
    void on_epoch_confirmed(time_point sent, epoch read_epoch);

    // Something was heard from a peer or the store.
    void on_contact(time_point now);

    // The host's process was shown to be gone by a probe sent at the given time.
    void on_host_dead(time_point sent, const host_id& host);

    // The host is heard from: it lives.
    void on_host_alive(const host_id& host);

    // As deputy: answers an owner that asks. A row is withheld while is_idle says that this host
    // has requests in flight for it.
    grant_reply grant(time_point now, const host_id& owner,
                      const std::function<bool(const shard_key&)>& is_idle);

    // Grants nothing more to an owner that is being deposed.
    void stop_granting(const host_id& owner);
    void resume_granting(const host_id& owner);

    capacity_share share(time_point now, const shard_key& key) const;

    // True when some owned row lacks a fresh grant, so that evidence from the store is needed.
    bool needs_epoch_confirmation(time_point now) const;

    // Deputies of the rows that this host owns: whom to ask for grants.
    std::vector<host_id> deputies() const;
    // Owners of the rows that this host deputizes.
    std::vector<host_id> owners() const;

    const assignment_table& table() const { return *m_table; }
    std::shared_ptr<const assignment_table> shared_table() const { return m_table; }

private:
    struct row_state
    {
        time_point full_until = time_point::min();
        // As owner: when the predecessor can no longer act beyond a reserve.
        time_point base_after = time_point::min();
        // As deputy, or as owner before base_after: when the reserve may be used first.
        time_point reserve_after = time_point::min();
        // As deputy: when the reserve may be granted first.
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
    // As deputy: until when an owner may act on this host's grant, in-flight work included.
    std::map<host_id, time_point> m_granted_until;
    std::map<host_id, bool> m_grants_stopped;
    std::map<host_id, time_point> m_dead_until;
    time_point m_confirmed_until = time_point::min();
    time_point m_contact_until = time_point::min();
};

} // namespace tanagerspur

#endif
