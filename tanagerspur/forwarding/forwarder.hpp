// Forwards each request to one replica, or to one replica of each shard for a scatter. Decides
// which replica gets an attempt, when to send a second one, and when and with which status to
// answer. It has no threads, sockets or clock: the caller passes in the time and events, and
// actions go out through forwarder_environment.
//
// Guarantees:
//  - a request is sent to at most max_attempts replicas (of each shard);
//  - a request that is not idempotent is sent again only after proof that it did not run;
//  - 503 is answered only if no replica can have run the request;
//  - extra attempts stay within the retry budget of their service;
//  - a lost attempt of a scatter is repeated once a replica has answered the scatter, or after a
//    hedge delay; not at all if it was lost at several replicas by then;
//  - every request is answered once, by its deadline.

#ifndef TANAGERSPUR_FORWARDING_FORWARDER_HPP
#define TANAGERSPUR_FORWARDING_FORWARDER_HPP

#include "tanagerspur/dispatch/latency_estimator.hpp"
#include "tanagerspur/forwarding/messages.hpp"
#include "tanagerspur/forwarding/partial_answer.hpp"
#include "tanagerspur/forwarding/replica_choice.hpp"
#include "tanagerspur/forwarding/retry_window.hpp"
#include "tanagerspur/forwarding/scatter_admission.hpp"
#include "tanagerspur/quarantine/crash_detector.hpp"
#include "tanagerspur/routing/route_table.hpp"
#include "tanagerspur/routing/split_picker.hpp"

#include <map>
#include <memory>
#include <random>
#include <unordered_map>

namespace tanagerspur
{

using exchange_id = detail::strong_id<struct exchange_tag, std::uint64_t>;

struct forwarder_options
{
    zone_id own_zone;
    std::uint64_t seed = 1;
    // Quantile of a route's latency after which a hedged attempt is sent. The remaining share is
    // the extra load of hedging; it leaves half of the deployment's retry budget to failures.
    double hedge_quantile = 0.90;
    // Retry budget of this host for each service.
    retry_window_options retries;
    // Share of this host's retry slack that hedges may not use. It is reserved for retries: a retry
    // after a failure is always needed, a hedge only probably.
    double hedge_reserve = 0.1;
    // Cost of a failed attempt, in latency objectives, for comparison with the expected latency of
    // other replicas. Above one, because a failure may cost the whole answer.
    double failure_cost = 3;
    admission_options admission;
    crash_detector_options crashes;
    partial_answer_options partial;
    // Maximum wait for a free connection, as a share of the route's latency objective. Absorbs
    // bursts of callers that retry at the same time; a leg that still waits after it is refused.
    double connection_wait_share = 0.4;
    // A replica with an attempt that is overdue by more than this multiple of the route's latency
    // objective counts as unresponsive: a further attempt would be late at best, and would probably
    // get no answer either.
    double unresponsive_after = 1.5;
    // How long an idempotent attempt may stay in flight after its exchange has been answered.
    duration leftover_attempt_timeout = std::chrono::milliseconds{400};
    // Assumed latency of a route before its first answers, as a share of its latency objective.
    double initial_latency_share = 0.25;
};

// Cause of a shard that could have answered a scatter that admission rejected. Such shards are not
// listed as missing.
inline constexpr std::string_view cause_not_asked = "not_asked";

// Cause of a request that is not passed on, or not any further, because it crashes replicas.
inline constexpr std::string_view cause_crashes_replicas = "crashes_replicas";

// Counts since the start of the process, for metrics.
struct forwarder_counters
{
    std::uint64_t begun = 0;
    std::uint64_t succeeded = 0;
    std::uint64_t partial = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t timed_out = 0;
    std::uint64_t cancelled_by_caller = 0;
    std::uint64_t attempts = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    std::uint64_t budget_denied = 0;
    std::uint64_t waited_for_connection = 0;
    // Legs that failed because no replica wanted requests.
    std::uint64_t held_back = 0;
    // Lost attempts that were not repeated at once, because their requests might crash replicas.
    std::uint64_t postponed_repeats = 0;
    // Requests that were ended because they crash replicas.
    std::uint64_t ended_as_suspect = 0;
    // Scatters that admission rejected before anything was sent.
    std::uint64_t rejected_by_admission = 0;
};

// Attempts at one service since the start of the process, for metrics.
struct service_counters
{
    std::uint64_t sent = 0;
    // Attempts beyond the first one of a request.
    std::uint64_t extra = 0;
    std::uint64_t succeeded = 0;
    std::uint64_t refused = 0;
    // Lost attempts, and answers with an error status.
    std::uint64_t failed = 0;
};

// An attempt to be sent by the environment.
struct attempt_order
{
    std::uint64_t number = 0;
    replica_ref to;
    std::shared_ptr<const caller_request> request;
    time_point deadline;
    // If false, the attempt can't be repeated and must not be sent on a connection that may be
    // broken.
    bool is_idempotent = true;
    // True if the header fields of a success are passed on to the caller; false for parts of a
    // scatter.
    bool wants_fields = true;
};

// Summary of a finished exchange, for logs.
struct exchange_summary
{
    exchange_id id;
    const caller_request* request = nullptr;
    const route* matched_route = nullptr;
    configuration_version version;
    int status = 0;
    std::string_view cause;
    duration took{0};
    std::size_t parts = 0;
    std::size_t expected_parts = 0;
    std::uint32_t attempts = 0;
    std::uint32_t extra_attempts = 0;
    // Missing shards, each with its latest cause, for example "desk-3:no_replica".
    std::string missing;
    // The part that arrived last: its shard, and when it arrived, from the start of the exchange.
    service_id last_part;
    duration last_part_after{0};
};

// A failed or extra attempt, for logs.
struct attempt_event
{
    const caller_request* request = nullptr;
    const replica* to = nullptr;
    std::string_view result;
    std::string_view detail;
    int status = 0;
    duration took{0};
    // State of the replica's estimate: share of recent failures, and attempts in flight.
    double failure_share = 0;
    std::size_t in_flight = 0;
};

class forwarder_environment
{
public:
    virtual ~forwarder_environment() = default;

    // Starts an attempt. Its outcome is passed to forwarder::attempt_ended, never from within this
    // call.
    virtual void send(const attempt_order& order) = 0;
    // Aborts an attempt at the given time, if it has not ended by then.
    virtual void abort_at(std::uint64_t attempt, time_point end) = 0;
    // Aborts an attempt now by closing its connection, so that the replica stops its work.
    virtual void abort(std::uint64_t attempt) = 0;
    // Cancels an attempt of which no byte has been sent. Returns true if it was cancelled: then
    // nothing will be sent, and attempt_ended is not called for it.
    virtual bool withdraw(std::uint64_t attempt) = 0;
    virtual bool has_free_connection(const replica& at) = 0;
    virtual void answer(exchange_id exchange, caller_answer answer) = 0;
    // Sets the timer of the exchange, which calls forwarder::wake; replaces an earlier one.
    virtual void wake_at(exchange_id exchange, time_point when) = 0;
    virtual void on_exchange_finished(const exchange_summary& summary) = 0;
    virtual void on_attempt_event(const attempt_event& event) = 0;
    // The request was lost at each of these replicas and answered by none. May be called again with
    // more replicas; on_cleared follows if the request is answered after all.
    virtual void on_suspect(const caller_request& request,
                            const std::vector<replica_incarnation>& lost_at) = 0;
    virtual void on_cleared(const caller_request& request) = 0;
};

class forwarder
{
public:
    forwarder(const forwarder_options& options, replica_registry& registry,
              forwarder_environment& environment);
    ~forwarder();

    // Starts to forward the request on a route of the table. The answer is passed to the
    // environment, possibly from within this call.
    void begin(exchange_id id, std::shared_ptr<const caller_request> request,
               std::shared_ptr<const route_table> table, const route& matched_route,
               time_point now);

    // The caller has disconnected: aborts idempotent attempts and gives no answer.
    void cancel(exchange_id id, time_point now);

    void attempt_ended(std::uint64_t attempt, attempt_outcome outcome, time_point now);

    void wake(exchange_id id, time_point now);

    // Answers every open request with the parts that have arrived, as at its deadline; for
    // shutdown.
    void expire_all(time_point now);

    // Ends the open requests with this fingerprint, because they crash replicas.
    void end_all(const request_fingerprint& request, time_point now);

    // True if a replica has answered a request with this fingerprint lately.
    bool was_answered(const request_fingerprint& request) const
    {
        return m_crashes.was_answered(request);
    }

    // Sets this host's share of the retry slack of each service, in extra attempts per window.
    void set_retry_slack(double slack, time_point now);

    std::size_t open_exchanges() const { return m_exchanges.size(); }
    // Number of legs that wait for a free connection.
    std::size_t legs_waiting_for_connection() const;
    const forwarder_counters& counters() const { return m_counters; }
    std::map<service_id, service_counters> service_counts() const;
    // Number of extra attempts that this host may send to the service now.
    double budget_left(const service_id& service, time_point now) const;

    // Median latency of a route's attempts, and the delay before a hedged attempt.
    duration typical_latency(const route& matched_route);
    duration hedge_delay(const route& matched_route);

private:
    // Order in which legs wait for a free connection: by priority, then first in, first out.
    using waiting_key = std::pair<std::uint32_t, std::uint64_t>;
    struct waiting_leg
    {
        exchange_id exchange;
        std::size_t leg = 0;
    };
    // Latency quantiles of a route's attempts.
    struct route_latency
    {
        quantile_estimator median{0.5};
        quantile_estimator hedge;
    };
    // One shard of a scatter, or the whole request on other routes.
    struct leg
    {
        enum class state
        {
            pending,
            done,
            failed
        };
        service_id service;
        state current_state = state::pending;
        std::uint32_t attempts_sent = 0;
        std::uint32_t connect_failures = 0;
        std::vector<std::uint64_t> tried;
        std::vector<std::uint64_t> attempts_in_flight;
        time_point hedge_at = never;
        // Its attempt was lost and is not repeated yet.
        bool is_postponed = false;
        // When the wait for a free connection ends; never while the leg does not wait.
        time_point wait_until = never;
        waiting_key wait_key;
        bool may_have_run = false;
        std::string_view cause = "pending";
        std::optional<replica_answer> answer;
        time_point answered_at{};
    };
    struct exchange
    {
        exchange_id id;
        std::shared_ptr<const caller_request> request;
        std::shared_ptr<const route_table> table;
        const route* matched_route = nullptr;
        time_point begun;
        time_point deadline;
        // Decides when a scatter is answered without all of its parts.
        partial_answer partial;
        std::vector<leg> legs;
        // When the environment's timer fires; never while no timer is set.
        time_point timer = never;
        // Until then lost attempts are not repeated; never before the first loss.
        time_point postponed_until = never;
        bool is_suspect = false;
        // A replica has answered an attempt with a success, so the request does not crash replicas.
        bool has_answer = false;
        std::uint32_t attempts = 0;
        std::uint32_t extra_attempts = 0;
    };
    struct attempt
    {
        exchange_id exchange;
        // Null once the exchange has ended with an answer of a replica.
        std::shared_ptr<const caller_request> request;
        std::size_t leg = 0;
        replica_ref to;
        std::string route;
        duration typical{0};
        time_point sent;
    };

    route_latency& latency_of(const route& matched_route);
    // Retry budget and counts of a service.
    struct service_state
    {
        retry_window budget;
        service_counters counts;
    };

    service_state& state_of(const service_id& service);
    void count_outcome(const service_id& service, const attempt_outcome& outcome);
    std::size_t needed_parts(const exchange& current) const;

    enum class attempt_kind
    {
        first,
        repeat, // a retry after a failure
        hedge   // in addition to an attempt in flight
    };
    enum class sending
    {
        sent,
        no_free_connection,
        held_back,
        no_replica
    };
    // Sends the leg's next attempt, if a replica is available.
    sending send_next(exchange& current, std::size_t leg_index, attempt_kind kind, time_point now);
    // Fails all legs of a scatter that admission rejects.
    void admit(exchange& current, time_point now);
    // Sends the leg's first attempt, queues the leg for a free connection, or fails it.
    void send_first(exchange& current, std::size_t leg_index, time_point now);
    // Fails a leg to which no replica is available, whatever connections become free.
    void fail_unsendable_leg(leg& current_leg, sending result);
    duration max_connection_wait(const route& matched_route) const;
    // Expected wait for a free connection to the service, for a leg that starts now.
    duration expected_connection_wait(const service_id& service, const route& matched_route,
                                      duration typical, time_point now) const;
    // How long an attempt may be overdue until its replica counts as unresponsive.
    duration unresponsive_after(const route& matched_route) const;
    void stop_waiting(leg& current_leg);
    // Sends the first waiting leg's attempt after a connection to the service has become free.
    void serve_waiting_leg(const service_id& service, time_point now);
    // Sends an extra attempt if the route's max_attempts and the retry budget allow it.
    bool send_again(exchange& current, std::size_t leg_index, attempt_kind kind, time_point now);
    void follow_crashes(const attempt& ended, exchange* current, const attempt_outcome& outcome,
                        time_point now);
    void record_outcome(const attempt& ended, std::uint64_t number, const attempt_outcome& outcome,
                        time_point now);
    void report_attempt(const exchange& current, const attempt& ended,
                        const attempt_outcome& outcome, time_point now);
    void leg_attempt_ended(exchange& current, std::size_t leg_index, attempt_outcome outcome,
                           time_point now);
    // True if the answers of other shards tell whether a late or lost one is due to the request.
    static bool has_shards_to_compare(const exchange& current);
    bool may_hedge(const exchange& current) const;
    // True if the request may be one that crashes replicas: it was lost, and no replica has
    // answered it yet.
    bool may_crash_replicas(const exchange& current, time_point now) const;
    // Ends a request that is suspect, or repeats its lost attempts, once either can be decided.
    void decide_postponed(exchange& current, time_point now);
    void repeat_or_fail(exchange& current, std::size_t leg_index, std::string_view cause,
                        time_point now);
    // Fails the legs that have no answer.
    void end_as_suspect(exchange& current);
    // Calls the function for each open exchange that satisfies the condition and is still open when
    // its turn comes: the end of one exchange may end others.
    template<class Condition, class Function>
    void for_each_exchange(Condition condition, Function function);
    void fail_leg(leg& current_leg, std::string_view cause);
    // Answers the exchange if its answer is final or due, else sets its timer.
    void answer_if_due(exchange& current, time_point now);
    void send_due_hedges(exchange& current, time_point now);
    void expire_waits(exchange& current, time_point now);
    void answer_exchange(exchange& current, time_point now);
    caller_answer make_answer(exchange& current, time_point now, std::string_view& cause);
    caller_answer make_scatter_answer(const exchange& current) const;
    caller_answer make_refusal(const exchange& current);
    // True if no replica has run the request or will run it. Withdraws the attempts that have not
    // been sent yet.
    bool withdraw_all(exchange& current, time_point now);
    void finish(exchange& current, caller_answer* answer, std::string_view cause, time_point now);

    forwarder_options m_options;
    replica_registry& m_registry;
    forwarder_environment& m_environment;
    replica_choice m_choice;
    scatter_admission m_admission;
    crash_detector m_crashes;
    split_picker m_splits;
    std::mt19937_64 m_random;
    std::map<std::string, route_latency> m_latencies;
    std::map<service_id, service_state> m_services;
    slack_share m_slack;
    std::unordered_map<std::uint64_t, std::unique_ptr<exchange>> m_exchanges;
    std::unordered_map<std::uint64_t, attempt> m_attempts;
    std::map<service_id, std::map<waiting_key, waiting_leg>> m_waiting;
    std::uint64_t m_next_waiting = 1;
    std::uint64_t m_next_attempt = 1;
    forwarder_counters m_counters;
};

template<class Condition, class Function>
void forwarder::for_each_exchange(Condition condition, Function function)
{
    std::vector<std::uint64_t> ids;
    ids.reserve(m_exchanges.size());
    for (const auto& [id, current] : m_exchanges)
        if (condition(*current))
            ids.push_back(id);
    for (const std::uint64_t id : ids)
        if (const auto found = m_exchanges.find(id); found != m_exchanges.end())
            function(*found->second);
}

} // namespace tanagerspur

#endif
