// One host's estimate of a replica from its own requests: slowdown compared with other replicas,
// share of failures, and whether the replica currently responds.
//
// Latencies are recorded as ratios to the typical latency of the request's route, so that routes
// with long and short work update the same estimate.

#ifndef TANAGERSPUR_REGISTRY_REPLICA_ESTIMATE_HPP
#define TANAGERSPUR_REGISTRY_REPLICA_ESTIMATE_HPP

#include "tanagerspur/common/time.hpp"

#include <cstdint>
#include <map>

namespace tanagerspur
{

// Load that the replica reported with its latest answer.
struct reported_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

class replica_estimate
{
public:
    // Records that an attempt was sent. It ends with one of the calls below with the same number.
    // slots is the replica's registered number of slots.
    void attempt_sent(std::uint64_t attempt, time_point now, duration typical, std::uint32_t slots);

    // Records a successful answer. typical is the route's latency on an average replica.
    void attempt_answered(std::uint64_t attempt, time_point now, duration latency,
                          duration typical);

    // Records that the replica refused the attempt without running it.
    void attempt_refused(std::uint64_t attempt, time_point now);

    // Records that the attempt was lost or answered with an error status.
    void attempt_failed(std::uint64_t attempt, time_point now);

    // Records that the attempt was cancelled before its answer. Only a wait that was already
    // unusually long changes the estimate.
    void attempt_abandoned(std::uint64_t attempt, time_point now);

    // The address belongs to another replica, so the entry of this one will soon be removed.
    void misdirected(time_point now);

    // No connection could be opened.
    void connect_failed(time_point now);
    void connected() { m_connect_failures = 0; }

    void load_reported(const reported_load& load, time_point now);

    // Sets the time at which the replica reaches full speed.
    void set_warm_up_end(time_point end) { m_warm_up_end = end; }

    // Expected latency of the next attempt, in multiples of the typical latency on an idle replica.
    // slots is the registered number of slots.
    double expected_latency_ratio(time_point now, std::uint32_t slots) const;

    // Expected number of requests of all hosts at the replica.
    double expected_requests(time_point now) const;

    // Expected queueing delay of the next attempt, in multiples of the time in a slot.
    double expected_queue_delay(time_point now, std::uint32_t slots) const;

    // Time that a request takes on the replica without a queue, in multiples of the typical
    // latency.
    double slowdown(time_point now) const;

    // Maximum time by which an attempt in flight has exceeded its typical latency.
    duration overdue(time_point now) const;

    // True if the replica may get another attempt in addition to those in flight: not while one of
    // them is overdue by more than unresponsive_after, nor while many attempts have failed
    // recently.
    bool accepts_another(time_point now, duration unresponsive_after) const;

    // Share of recent attempts that failed, 0 to 1, with exponential decay.
    double failure_share(time_point now) const;

    // False during the backoff after failed connections.
    bool is_reachable(time_point now) const { return now >= m_retry_at; }

    std::size_t in_flight() const { return m_in_flight.size(); }

private:
    struct attempt_state
    {
        time_point sent;
        duration typical;
        // Expected queueing delay when it was sent, in multiples of the time in a slot.
        double queue_delay = 0;
    };

    void end_attempt(std::uint64_t attempt) { m_in_flight.erase(attempt); }
    void record_slowdown(double ratio, time_point now);
    void record_failure(double failed, time_point now);
    double decayed(double value, double baseline, time_point since, time_point now) const;

    std::map<std::uint64_t, attempt_state> m_in_flight;
    double m_slowdown = 1;
    time_point m_slowdown_at{};
    double m_failures = 0;
    time_point m_failures_at{};
    reported_load m_load;
    time_point m_load_at{};
    time_point m_warm_up_end{};
    time_point m_retry_at{};
    std::uint32_t m_connect_failures = 0;
};

} // namespace tanagerspur

#endif
