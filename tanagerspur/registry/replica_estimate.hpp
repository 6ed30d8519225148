// What one host has learned of a replica from its own requests: how slow it is compared with
// others, how often it fails, and whether it answers at all right now.
//
// Latencies are judged as a ratio to what is usual on the request's route, so that routes with
// long and short work teach the same estimate.

#ifndef TANAGERSPUR_REGISTRY_REPLICA_ESTIMATE_HPP
#define TANAGERSPUR_REGISTRY_REPLICA_ESTIMATE_HPP

#include "tanagerspur/common/time.hpp"

#include <cstdint>
#include <map>

namespace tanagerspur
{

// Load as the replica told with its last answer.
struct reported_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

class replica_estimate
{
public:
    // An attempt was sent; it ends with one of the calls below, with the same number. slots is the
    // registered number of slots.
    void attempt_sent(std::uint64_t attempt, time_point now, duration typical, std::uint32_t slots);

    // A good answer after the latency; usual is what the route takes on an ordinary replica.
    void attempt_answered(std::uint64_t attempt, time_point now, duration latency,
                          duration typical);

    // The replica refused the attempt without running it.
    void attempt_refused(std::uint64_t attempt, time_point now);

    // The attempt was lost, or answered with an error of the replica's own.
    void attempt_failed(std::uint64_t attempt, time_point now);

    // The caller's interest ended before the answer; nothing is learned beyond the wait so far.
    void attempt_abandoned(std::uint64_t attempt, time_point now);

    // The address belongs to another replica: its entry is about to go.
    void misdirected(time_point now);

    // No connection could be opened.
    void connect_failed(time_point now);
    void connected() { m_connect_failures = 0; }

    void load_reported(const reported_load& load, time_point now);

    // The replica is known to need this long until it is at full speed.
    void set_warm_up_end(time_point end) { m_warm_up_end = end; }

    // Expected latency of the next attempt, in multiples of what is usual on an idle replica.
    // slots is the registered number of slots.
    double expected_latency_ratio(time_point now, std::uint32_t slots) const;

    // Requests that are expected to be at the replica, of all hosts.
    double expected_requests(time_point now) const;

    // What its queue adds to the latency of the next attempt, in multiples of the time in a slot.
    double expected_queue_delay(time_point now, std::uint32_t slots) const;

    // Time that a request takes on the replica when it has no queue, in multiples of what is usual.
    double slowdown(time_point now) const;

    // Longest time by which an attempt that is under way has outlasted its usual latency.
    duration overdue(time_point now) const;

    // Whether it may get another attempt beside those under way: not while one of them is overdue
    // by more than hangs_after, nor a second one while many have failed of late.
    bool accepts_another(time_point now, duration unresponsive_after) const;

    // Share of recent attempts that failed, 0 to 1; fades with time.
    double failure_share(time_point now) const;

    // False while the replica is left alone after failed connections.
    bool is_reachable(time_point now) const { return now >= m_retry_at; }

    std::size_t in_flight() const { return m_in_flight.size(); }

private:
    struct attempt_state
    {
        time_point sent;
        duration typical;
        // What the queue was expected to add to its latency, in multiples of its time in a slot.
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
