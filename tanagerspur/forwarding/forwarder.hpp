// Forwards requests to replicas: one replica, or one of each shard of a scatter. It decides which
// replica gets a request, when a second one is asked, when an answer is given, and with what
// status. It has no threads, sockets or clock: time and events come in, and what it wants done
// goes out through forwarder_environment.
//
// Guarantees:
//  - a request is sent to at most max_attempts replicas (of each shard);
//  - one that is not idempotent is sent again only after proof that it did not run;
//  - 503 is answered only if no replica can have run the request;
//  - second attempts stay within the budget of their service;
//  - every request is answered once, by its deadline.

#ifndef TANAGERSPUR_FORWARDING_FORWARDER_HPP
#define TANAGERSPUR_FORWARDING_FORWARDER_HPP

#include "tanagerspur/dispatch/latency_estimator.hpp"
#include "tanagerspur/forwarding/messages.hpp"
#include "tanagerspur/forwarding/partial_answer.hpp"
#include "tanagerspur/forwarding/replica_choice.hpp"
#include "tanagerspur/forwarding/retry_window.hpp"
#include "tanagerspur/forwarding/scatter_admission.hpp"
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
    // Share of a route's attempts that end before a second one is sent. The rest is what second
    // attempts cost; it leaves half of the deployment's budget to failures.
    double hedge_quantile = 0.90;
    // Extra attempts of this host at a service.
    retry_window_options retries;
    // Share of this host's slack that hedges leave to failures: a repeat after a failure is
    // needed, a hedge is only likely to be.
    double hedge_reserve = 0.1;
    // What a failed attempt costs its caller, in latency objectives: it is weighed against the time
    // that other replicas take. More than one, for a failure may cost the whole answer.
    double failure_cost = 3;
    admission_options admission;
    partial_answer_options partial;
    // Longest wait for a free connection, as a share of the route's objective. It bridges the burst
    // of callers that return together; what is still waiting then is refused.
    double connection_wait_share = 0.4;
    // An attempt that is overdue by more than this multiple of its route's objective hangs: what is
    // sent to its replica would be late at best, and is likely to hang as well.
    double unresponsive_after = 1.5;
    // Time that an attempt may go on after its exchange has been answered.
    duration leftover_attempt_timeout = std::chrono::milliseconds{400};
    // Latency assumed for a route before its first answers, as a share of its objective.
    double initial_latency_share = 0.25;
};

// Cause of a shard that could have answered a scatter that was turned away; it is left out of the
// shards that are named as missing.
inline constexpr std::string_view cause_not_asked = "not_asked";

// Counts since the start, for metrics.
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
    // Scatters that were refused before anything was sent.
    std::uint64_t rejected_by_admission = 0;
};

// Attempts at one service since the start, for metrics.
struct service_counters
{
    std::uint64_t sent = 0;
    // Those beyond a request's first.
    std::uint64_t extra = 0;
    std::uint64_t succeeded = 0;
    std::uint64_t refused = 0;
    // Lost, or answered with an error of the replica's own.
    std::uint64_t failed = 0;
};

// One attempt to send.
struct attempt_order
{
    std::uint64_t number = 0;
    replica_ref to;
    std::shared_ptr<const caller_request> request;
    time_point deadline;
    // The attempt must not be sent on a connection that may be broken: it can't be repeated.
    bool is_idempotent = true;
    // The header fields of a success are passed on to the caller; those of a part are not.
    bool wants_fields = true;
};

// What a finished exchange was, for logs.
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
    // Shards left out, with the last known reason, for example "desk-3:no_replica".
    std::string missing;
};

// An attempt that did not bring a good answer, or one that was sent in addition; for logs.
struct attempt_event
{
    const caller_request* request = nullptr;
    const replica* to = nullptr;
    std::string_view result;
    std::string_view detail;
    int status = 0;
    duration took{0};
    // What the choice of the replica was based on: its failures of late and attempts under way.
    double failure_share = 0;
    std::size_t in_flight = 0;
};

class forwarder_environment
{
public:
    virtual ~forwarder_environment() = default;

    // Starts an attempt; forwarder::attempt_ended tells its outcome, never from within the call.
    virtual void send(const attempt_order& order) = 0;
    // Gives an attempt up at the time, if it has not ended by then.
    virtual void abort_at(std::uint64_t attempt, time_point end) = 0;
    // Gives an attempt up now by closing its connection, so that the replica stops its work.
    virtual void abort(std::uint64_t attempt) = 0;
    // Takes an attempt back if no byte of it has left this host; it then never will, and
    // attempt_ended is not called for it.
    virtual bool withdraw(std::uint64_t attempt) = 0;
    virtual bool has_free_connection(const replica& at) = 0;
    virtual void answer(exchange_id exchange, caller_answer answer) = 0;
    // Calls forwarder::wake at the time; replaces the exchange's earlier timer.
    virtual void wake_at(exchange_id exchange, time_point when) = 0;
    virtual void on_exchange_finished(const exchange_summary& summary) = 0;
    virtual void on_attempt_event(const attempt_event& event) = 0;
};

class forwarder
{
public:
    forwarder(const forwarder_options& options, replica_registry& registry,
              forwarder_environment& environment);
    ~forwarder();

    // Starts the request on a route of the table. The environment hears the answer, perhaps from
    // within the call.
    void begin(exchange_id id, std::shared_ptr<const caller_request> request,
               std::shared_ptr<const route_table> table, const route& matched_route,
               time_point now);

    // The caller has gone: idempotent attempts are aborted and no answer is given.
    void cancel(exchange_id id, time_point now);

    void attempt_ended(std::uint64_t attempt, attempt_outcome outcome, time_point now);

    void wake(exchange_id id, time_point now);

    // The host is about to end: answers every request with what there is, as if its deadline had
    // come.
    void expire_all(time_point now);

    // Sets this host's share of the extra attempts at each service in a window.
    void set_retry_slack(double slack, time_point now);

    std::size_t open_exchanges() const { return m_exchanges.size(); }
    // Legs that wait for a free connection.
    std::size_t legs_waiting_for_connection() const;
    const forwarder_counters& counters() const { return m_counters; }
    std::map<service_id, service_counters> service_counts() const;
    // Extra attempts that this host may still send to the service now.
    double budget_left(const service_id& service, time_point now) const;

    // Latency that is usual on a route, and the wait before a second attempt.
    duration typical_latency(const route& matched_route);
    duration hedge_delay(const route& matched_route);

private:
    // A leg that waits for a free connection: the most urgent first, then the one that came first.
    using waiting_key = std::pair<std::uint32_t, std::uint64_t>;
    struct waiting_leg
    {
        exchange_id exchange;
        std::size_t leg = 0;
    };
    // Latencies of a route's attempts.
    struct route_latency
    {
        quantile_estimator median{0.5};
        quantile_estimator hedge;
    };
    // One shard of a scatter, or the whole request.
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
        // It waits for a free connection until then; never while it does not wait.
        time_point wait_until = never;
        waiting_key wait_key;
        bool may_have_run = false;
        std::string_view cause = "pending";
        std::optional<replica_answer> answer;
    };
    struct exchange
    {
        exchange_id id;
        std::shared_ptr<const caller_request> request;
        std::shared_ptr<const route_table> table;
        const route* matched_route = nullptr;
        time_point begun;
        time_point deadline;
        // When a scatter is answered without all of its parts.
        partial_answer partial;
        std::vector<leg> legs;
        // When the environment's timer fires; never while it is not set.
        time_point timer = never;
        std::uint32_t attempts = 0;
        std::uint32_t extra_attempts = 0;
    };
    struct attempt
    {
        exchange_id exchange;
        std::size_t leg = 0;
        replica_ref to;
        std::string route;
        duration typical{0};
        time_point sent;
    };

    route_latency& latency_of(const route& matched_route);
    // What is kept of a service.
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
        repeat, // after a failure
        hedge   // beside an attempt that is under way
    };
    enum class sending
    {
        sent,
        no_free_connection,
        no_replica
    };
    // Sends the leg's next attempt, if a replica can take it.
    sending send_next(exchange& current, std::size_t leg_index, attempt_kind kind, time_point now);
    // Fails all legs of a scatter that is not worth starting.
    void admit(exchange& current, time_point now);
    // Sends the leg's first attempt, lets it wait for a connection, or fails it.
    void send_first(exchange& current, std::size_t leg_index, time_point now);
    duration max_connection_wait(const route& matched_route) const;
    // How long a leg that begins now would wait for a connection to the service.
    duration expected_connection_wait(const service_id& service, const route& matched_route,
                                      duration typical, time_point now) const;
    // Overdue by more than this, an attempt counts as hanging.
    duration unresponsive_after(const route& matched_route) const;
    void stop_waiting(leg& current_leg);
    // A connection to a replica of the service has become free.
    void serve_waiting_leg(const service_id& service, time_point now);
    // Sends another attempt if attempts and budget allow it.
    bool send_again(exchange& current, std::size_t leg_index, attempt_kind kind, time_point now);
    void record_outcome(const attempt& ended, std::uint64_t number, const attempt_outcome& outcome,
                        time_point now);
    void report_attempt(const exchange& current, const attempt& ended,
                        const attempt_outcome& outcome, time_point now);
    void leg_attempt_ended(exchange& current, std::size_t leg_index, attempt_outcome outcome,
                           time_point now);
    void fail_leg(leg& current_leg, std::string_view cause);
    // Answers the exchange if nothing more is to be waited for, else sets its timer.
    void answer_if_due(exchange& current, time_point now);
    void send_due_hedges(exchange& current, time_point now);
    void expire_waits(exchange& current, time_point now);
    void answer_exchange(exchange& current, time_point now);
    caller_answer make_answer(exchange& current, time_point now, std::string_view& cause);
    caller_answer make_scatter_answer(const exchange& current) const;
    caller_answer make_refusal(const exchange& current);
    // True if no replica can have run the request, nor will; takes back what was not sent yet.
    bool withdraw_all(exchange& current, time_point now);
    void finish(exchange& current, caller_answer* answer, std::string_view cause, time_point now);

    forwarder_options m_options;
    replica_registry& m_registry;
    forwarder_environment& m_environment;
    replica_choice m_choice;
    scatter_admission m_admission;
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

} // namespace tanagerspur

#endif
