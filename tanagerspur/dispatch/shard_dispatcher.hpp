// The dispatcher of one shard, run by the shard's owner. It queues sub-requests by deadline,
// chooses replicas, hedges onto idle ones within a budget, and retries attempts that did not run.
//
// It is deterministic: its inputs are the time and events, its outputs are calls of
// dispatch_actions. It has no threads and no clock. It guarantees for any sequence of events:
//   - at most the allowed number of attempts is in flight at a replica, where an attempt whose
//     connection was lost counts until its deadline;
//   - each sub-request gets exactly one result, unless it is cancelled;
//   - a sub-request that is not idempotent is attempted again only after an attempt that is known
//     not to have run;
//   - a result is accepted only if it is from the version that the sub-request asks for.

#ifndef TANAGERSPUR_DISPATCH_SHARD_DISPATCHER_HPP
#define TANAGERSPUR_DISPATCH_SHARD_DISPATCHER_HPP

#include "tanagerspur/dispatch/budget.hpp"
#include "tanagerspur/dispatch/latency_estimator.hpp"
#include "tanagerspur/dispatch/replica_health.hpp"
#include "tanagerspur/dispatch/sub_request.hpp"
#include "tanagerspur/manifest/manifest.hpp"

#include <boost/unordered/unordered_flat_map.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace tanagerspur
{

// The operations that a dispatcher needs from its host. They may be called from within any of the
// dispatcher's functions and must not call it back.
class dispatch_actions
{
public:
    virtual ~dispatch_actions() = default;

    // Sends an attempt to a replica. The attempt must end with on_result, at its deadline at the
    // latest.
    virtual void send(attempt_id attempt, std::size_t replica, const sub_request& request,
                      time_point attempt_deadline) = 0;

    // Asks a replica to stop an attempt. The attempt still ends with on_result.
    virtual void cancel(attempt_id attempt, std::size_t replica) = 0;

    virtual void complete(sub_request_id id, const sub_result& result) = 0;
};

struct dispatcher_options
{
    service_limits limits;
    std::size_t replica_count = 1;
    health_options health;
    // Quantile of the latency after which an attempt may be hedged.
    double hedge_quantile = 0.98;
    // Minimum share of all replicas that ejection leaves in use.
    double min_in_use = 0.5;
    // Maximum number of attempts of one sub-request, including hedges.
    std::uint32_t max_attempts = 4;
    // Id of the first attempt; the following attempts count up from it.
    attempt_id first_attempt{1};
};

// Counters since the start.
struct dispatch_counts
{
    std::uint64_t submitted = 0;
    std::uint64_t first_attempts = 0;
    std::uint64_t hedges = 0;
    std::uint64_t hedge_wins = 0;
    std::uint64_t retries = 0;
    // Retries after an attempt that may have run. They are extra load, like hedges.
    std::uint64_t repeats = 0;
    std::uint64_t done = 0;
    std::uint64_t not_run = 0;
    std::uint64_t may_have_run = 0;
    std::uint64_t expired_in_queue = 0;
    std::uint64_t refused_early = 0;
    std::uint64_t unmatched_results = 0;
};

// A replica's state for reports.
struct replica_view
{
    std::uint32_t in_flight = 0;
    health_state health = health_state::active;
    bool draining = false;
    double mean_latency_us = 0;
    std::vector<index_version> versions;
};

class shard_dispatcher
{
public:
    shard_dispatcher(dispatcher_options options, dispatch_actions& actions);

    void submit(time_point now, sub_request request);
    void on_result(time_point now, attempt_id attempt, const attempt_result& result);
    void on_load_report(time_point now, std::size_t replica, const load_report& report);
    // Sets whether the replica is leaving. A draining replica gets no new attempts.
    void set_draining(time_point now, std::size_t replica, bool draining);
    // Removes a sub-request without a result and cancels its attempts in flight.
    void cancel(time_point now, sub_request_id id);
    // Sets how many requests may be in flight at each replica. A value above the limit has no
    // effect.
    void set_allowed_in_flight(time_point now, std::uint32_t allowed);
    // New limits take effect immediately. Attempts in flight above them are left to end.
    void set_limits(time_point now, const service_limits& limits);
    // Ends every queued sub-request as not_run for this reason.
    void refuse_queued(reason why, const std::string& message);

    void on_timer(time_point now);
    // Returns when on_timer must be called next, or never if no timer is pending.
    time_point next_timer() const;

    // True once some replica has reported its versions. Before that, versions() is meaningless.
    bool has_version_reports() const;
    // Returns the versions that some replica in use can serve, newest first.
    std::vector<index_version> versions() const;
    // Returns the estimated queue wait of a sub-request submitted now.
    duration estimated_wait() const;
    std::size_t queued() const { return m_queue.size(); }
    std::uint32_t in_flight() const { return m_in_flight; }
    std::uint32_t in_flight(std::size_t replica) const { return m_replicas[replica].in_flight; }
    std::uint32_t max_in_flight() const;
    const dispatch_counts& counts() const { return m_counts; }
    std::vector<replica_view> replicas(time_point now);

private:
    struct replica_state
    {
        std::uint32_t in_flight = 0;
        replica_health health;
        mean_estimator latency{0.05};
        bool draining = false;
        std::uint32_t reported_slots = 0;
        bool has_reported = false;
        std::vector<index_version> versions;
    };

    struct attempt
    {
        attempt_id id;
        sub_request_id parent_id;
        std::size_t replica = 0;
        time_point started;
        time_point deadline;
        bool is_hedge = false;
        bool is_abandoned = false;
    };

    // Queue order: deadline, then arrival.
    struct queue_key
    {
        time_point deadline;
        std::uint64_t sequence = 0;
        friend auto operator<=>(const queue_key&, const queue_key&) = default;
    };

    struct pending
    {
        sub_request request;
        queue_key position;
        bool is_queued = false;
        std::uint32_t attempts = 0;
        std::uint32_t running = 0;
        bool is_hedged = false;
        bool may_have_run = false;
        // Replicas that refused or failed, as a bit set.
        std::uint64_t excluded = 0;
        std::uint64_t lacking_version = 0;
        std::string last_message;
        reason last_reason = reason::none;
    };

    using pending_map = boost::unordered_flat_map<std::uint64_t, pending>;

    void start_queued(time_point now);
    bool start_next(time_point now);
    void start_attempt(time_point now, pending& entry, std::size_t replica, bool is_hedge);
    std::optional<std::size_t> choose(time_point now, const pending& entry, bool idle_only);
    std::uint32_t limit_of(time_point now, std::size_t replica);
    std::uint32_t slots_of(std::size_t replica) const;
    double expected_latency_us(std::size_t replica) const;
    bool holds_version(std::size_t replica, index_version version) const;
    bool may_hold_version(std::size_t replica, index_version version) const;
    bool is_held_by_any_replica(index_version version) const;
    bool has_no_eligible_replica(const pending& entry) const;
    bool lacks_version(const pending& entry) const;
    void enforce_min_in_use(time_point now);
    void hedge(time_point now);
    bool may_hedge(time_point now, const attempt& each, const pending& entry) const;
    duration hedge_delay() const;
    void expire(time_point now);

    void update_replica(time_point now, const attempt& ended, const attempt_result& result);
    void update_versions(std::size_t replica, const attempt_result& result,
                         index_version requested);
    void update_sub_request(time_point now, const attempt& ended, const attempt_result& result);
    void retry_or_fail(time_point now, pending& entry, const attempt& ended, attempt_end end);
    void requeue(pending& entry);
    void fail(pending& entry, reason why, const std::string& message);
    void finish(pending& entry, sub_result result);
    void abandon_attempts(sub_request_id id);
    void update_utilisation();
    static void set_versions(replica_state& state, const std::vector<index_version>& versions);
    void record_latency(replica_state& state, duration latency);

    dispatcher_options m_options;
    dispatch_actions& m_actions;
    std::vector<replica_state> m_replicas;
    std::vector<attempt> m_attempts;
    pending_map m_pending;
    std::map<queue_key, sub_request_id> m_queue;
    extra_load_budget m_hedge_budget;
    extra_load_budget m_repeat_budget;
    mean_estimator m_mean_latency{0.02};
    double m_utilisation = 0;
    quantile_estimator m_hedge_latency;
    // When hedging was last evaluated. Attempts that were due for a hedge by then need no timer:
    // the next result evaluates them again.
    time_point m_hedges_checked_at = time_point::min();
    std::uint32_t m_allowed_in_flight = 0;
    std::uint32_t m_in_flight = 0;
    std::uint64_t m_next_attempt;
    std::uint64_t m_next_sequence = 1;
    // True while ejection leaves fewer replicas than min_in_use: ejected ones are used as well.
    bool m_ignore_ejection = false;
    dispatch_counts m_counts;
};

} // namespace tanagerspur

#endif
