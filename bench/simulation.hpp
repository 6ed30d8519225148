// A loop of events on virtual time, and fakes of targets for it. Everything follows from the
// seed, so that a run gives the same figures on every machine.

#ifndef TANAGERSPUR_BENCH_SIMULATION_HPP
#define TANAGERSPUR_BENCH_SIMULATION_HPP

#include "tanagerspur/common/ids.hpp"
#include "tanagerspur/common/time.hpp"

#include <boost/random/mersenne_twister.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <set>
#include <unordered_map>
#include <vector>

namespace tanagerspur::bench
{

class event_loop
{
public:
    using action = std::function<void()>;

    time_point now() const { return m_now; }
    void at(time_point when, action what);
    void after(duration wait, action what) { at(m_now + wait, std::move(what)); }
    // Runs all events up to the end.
    void run_until(time_point end);

private:
    struct event
    {
        time_point when;
        std::uint64_t sequence;
        action what;
        bool operator<(const event& other) const
        {
            return std::pair{when, sequence} > std::pair{other.when, other.sequence};
        }
    };

    std::priority_queue<event> m_events;
    time_point m_now{};
    std::uint64_t m_next = 0;
};

// How the targets of a service behave.
struct target_model
{
    std::uint32_t slots = 2;
    duration mean_service = std::chrono::milliseconds{5};
    // Spread of the lognormal service time.
    double sigma = 0.5;
    // Share of requests that take ten times longer.
    double straggler_share = 0.01;
    // Every replica is this many times slower for a second, once in the period.
    double slow_factor = 3;
    duration slow_period = std::chrono::seconds{60};

    // Mean service time with stragglers and slow seconds.
    double effective_mean_us() const;
};

// A replica: a queue before some slots.
class fake_target
{
public:
    // done: the request ended (true), was cancelled (false).
    using finished = std::function<void(bool done)>;

    fake_target(event_loop& loop, const target_model& model, std::uint64_t seed);

    void arrive(std::uint64_t id, finished done);
    // A waiting or running request ends now as cancelled; an unknown one is ignored.
    void cancel(std::uint64_t id);
    // From now on nothing is answered, and nothing new starts.
    void lose() { m_is_lost = true; }
    bool is_lost() const { return m_is_lost; }

    std::size_t in_flight() const { return m_running.size() + m_waiting.size(); }
    std::size_t most_in_flight() const { return m_most_in_flight; }
    std::uint64_t started() const { return m_started; }

private:
    struct request
    {
        std::uint64_t id;
        finished done;
    };

    void start(request next);
    void start_waiting();
    duration service_time();

    event_loop& m_loop;
    target_model m_model;
    boost::random::mt19937_64 m_random;
    duration m_slow_offset{};
    std::deque<request> m_waiting;
    std::unordered_map<std::uint64_t, finished> m_running;
    std::size_t m_most_in_flight = 0;
    std::uint64_t m_started = 0;
    bool m_is_lost = false;
};

} // namespace tanagerspur::bench

#endif
