// The replicas that are registered in the platform's store, by service, with an estimate of each.
//
// A replica that announces in the store that it is draining, or whose entry is removed, gets no new
// work from then on. One that announces in an answer that it is leaving gets work for a while yet,
// but only what no other replica can take: this host may have lost the store and know of no other.
// Entries that disappear because the store was unavailable are kept for a grace period
// after the store is available again, since live replicas register again within it. The last entry
// of a service is kept for the same time: its removal may be due to an outage that this host did
// not notice, and no other replica could serve instead.
//
// A store that is restored from a copy shows entries as they once were. An entry that is no later
// than the last one of a replica that has left does not bring it back.

#ifndef TANAGERSPUR_REGISTRY_REPLICA_REGISTRY_HPP
#define TANAGERSPUR_REGISTRY_REPLICA_REGISTRY_HPP

#include "tanagerspur/common/endpoint.hpp"
#include "tanagerspur/common/ids.hpp"
#include "tanagerspur/registry/replica_estimate.hpp"
#include "tanagerspur/registry/replica_restrictions.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace tanagerspur
{

enum class replica_state
{
    ready,
    draining
};

// An entry as it was read from the store.
struct replica_record
{
    replica_id id;
    service_id service;
    endpoint address;
    zone_id zone;
    std::uint32_t slots = 1;
    replica_state state = replica_state::ready;
    // Time until the replica reaches full speed.
    duration warmup_left{0};
    // Start of this incarnation, Unix milliseconds; 0 if the entry has none.
    std::uint64_t started_ms = 0;
    // Counts what the incarnation says of itself.
    std::uint64_t sequence = 0;
};

// A replica in use. Shared, because attempts in flight may outlive its entry.
struct replica
{
    replica_record record;
    replica_estimate estimate;
    // Distinguishes this replica object from all others of the process.
    std::uint64_t number = 0;
    // Shared with all replica objects of the same incarnation.
    std::shared_ptr<replica_restrictions> restrictions = std::make_shared<replica_restrictions>();

    bool is_leaving() const { return restrictions->is_leaving(); }
    bool is_held_back(time_point now) const { return restrictions->is_held_back(now); }
    bool may_get_work(time_point now) const
    {
        return !restrictions->has_left(now) && !is_held_back(now) && estimate.is_reachable(now);
    }
};

using replica_ref = std::shared_ptr<replica>;

struct registry_options
{
    // Grace period for missing entries after the store is available again.
    duration return_grace = std::chrono::milliseconds{2'200};
    // A loss of the store shorter than this does not extend the grace period of entries that were
    // missing before: it is shorter than any lease, so no entry can have lapsed because of it.
    duration brief_loss = std::chrono::seconds{1};
    // How long a replica that announced in an answer that it is leaving may get work.
    duration leaving_grace = std::chrono::milliseconds{2'500};
    // How long an incarnation without an entry is remembered: that it has left, and its
    // restrictions. Its entry may lapse while the store is unavailable and be written again before
    // it ends, or return with a copy of the store.
    duration incarnation_memory = std::chrono::minutes{10};
    // Seed of the times of the first permits for replicas with a limit; differs between hosts.
    std::uint64_t seed = 1;
};

// Why a replica left the registry; for logs.
enum class removal
{
    removed,  // its entry was removed
    draining, // it announced in the store that it is draining
    leaving,  // it announced in an answer that it is leaving
    replaced, // another incarnation uses its id
    expired   // its entry was not written again within the grace period
};

std::string_view to_string(removal value);

// Is notified of changes, in order to close connections and write logs.
class registry_observer
{
public:
    virtual ~registry_observer() = default;
    virtual void replica_added(const replica& added) = 0;
    virtual void replica_left(const replica& left, removal why) = 0;
    // An entry was ignored, because the replica has left since it was written.
    virtual void replica_entry_outdated(const replica_record& entry) = 0;
    // It announced in an answer that it is leaving. replica_left follows, unless it came before.
    virtual void replica_leaving(const replica& which) = 0;
    // It turned a request away and gets no work for this long.
    virtual void replica_paused(const replica& which, duration pause) = 0;
    // It announced another limit of requests from all hosts, or none any more.
    virtual void replica_limited(const replica& which, std::optional<request_rate> limit) = 0;
};

class replica_registry
{
public:
    replica_registry(registry_options options, registry_observer& observer);

    // An entry was written.
    void put(const replica_record& record, time_point now);

    // An entry was removed or became invalid.
    void remove(const replica_id& id, time_point now);

    // The replica announced something about itself in an answer. This holds for its incarnation,
    // whatever its entry says.
    void heard(const replica& from, const replica_notice& notice, time_point now);

    // Sets which share of the limits of replicas is for this host, 0 to 1.
    void set_limit_share(double share, time_point now);
    double limit_share() const { return m_limit_share; }

    // The complete list was read: entries that are not in it are removed.
    void replace_all(const std::vector<replica_record>& records, time_point now);

    // The store became unavailable, or is available again.
    void store_lost(time_point now);
    void store_regained(time_point now);
    // The store has been restored from a copy, without the entries written since.
    void store_restored(time_point now);

    // Removes the entries whose grace period has ended, and the replicas that have left.
    void tick(time_point now);

    // Returns the replicas that may get new work.
    const std::vector<replica_ref>& of_service(const service_id& service) const;

    // True if this run of the replica is no longer registered: it has left, or started anew.
    bool has_ended(const replica_id& id, std::uint64_t started_ms) const;

    std::size_t size() const { return m_by_id.size(); }
    // Number of replicas that have a limit.
    std::size_t limited() const;

private:
    void add(const replica_record& record, time_point now);
    void remove_now(const replica_id& id, removal why, time_point now);
    bool is_in_grace_period(time_point now) const;
    void set_limit(replica_restrictions& restrictions, std::optional<request_rate> limit,
                   time_point now);
    // Returns null if the incarnation has announced nothing.
    std::shared_ptr<replica_restrictions> known_restrictions(const replica_record& record) const;

    // The latest incarnation of an id and the last entry that was seen of it.
    struct known_incarnation
    {
        std::uint64_t started_ms = 0;
        std::uint64_t sequence = 0;
        std::optional<time_point> left;
    };
    // True if the entry is from before the replica left, or of an earlier incarnation.
    bool is_outdated(const replica_record& record) const;
    void note_entry(const replica_record& record);
    void forget_incarnations(const std::set<replica_id>& listed, time_point now);

    // An incarnation that announced a restriction.
    struct restricted_incarnation
    {
        std::uint64_t started_ms = 0;
        time_point announced;
        std::shared_ptr<replica_restrictions> restrictions;
    };

    registry_options m_options;
    registry_observer& m_observer;
    std::map<replica_id, replica_ref> m_by_id;
    std::map<service_id, std::vector<replica_ref>> m_by_service;
    // Missing entries in their grace period, with its end.
    std::map<replica_id, time_point> m_missing;
    // The latest incarnation of each id, so that a late write of an earlier one and an entry from
    // before it left are ignored.
    std::map<replica_id, known_incarnation> m_latest;
    std::map<replica_id, restricted_incarnation> m_restricted;
    double m_limit_share = 1;
    std::mt19937_64 m_random;
    bool m_store_lost = false;
    time_point m_lost_at{};
    time_point m_grace_end{};
    std::uint64_t m_next_number = 1;
};

} // namespace tanagerspur

#endif
