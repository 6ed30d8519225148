// Simulates hosts that forward scatters to replicas, on virtual time: real forwarders and
// registries, and a model of replicas with slots, a queue, pauses and faults. Tests run a load on
// it and check the answers to callers.

#ifndef TANAGERSPUR_TESTING_SHARD_SIMULATION_HPP
#define TANAGERSPUR_TESTING_SHARD_SIMULATION_HPP

#include "tanagerspur/forwarding/forwarder.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace tanagerspur::testing
{

struct simulation_options
{
    std::size_t hosts = 4;
    std::size_t shards = 10;
    std::size_t replicas_of_shard = 3;
    std::uint32_t slots = 2;
    std::size_t queue_length = 24;
    // Maximum number of connections of one host to a replica.
    std::size_t connections = 3;
    double requests_per_second = 135;
    duration mean_work = std::chrono::microseconds{7'500};
    // Each replica pauses for this long once in every period, at a time of its own.
    duration pause = std::chrono::milliseconds{100};
    duration pause_period = std::chrono::milliseconds{2'400};
    duration objective = std::chrono::milliseconds{80};
    duration timeout = std::chrono::milliseconds{800};
    double min_coverage = 0.89;
    double retry_ratio = 0.18;
    double retry_slack = 38;
    // Share of the callers that looked up addresses before their request, and the time that took
    // them. Hosts know the time, but not who spent it.
    double lookup_share = 0;
    duration lookup_time{0};
    admission_options admission;
    partial_answer_options partial;
    std::uint64_t seed = 1;
};

// Faults of a replica; none by default.
struct replica_fault
{
    // Share of the requests that it refuses without running them.
    double refusal_share = 0;
    // Share of the requests that it runs but whose answers are lost.
    double loss_share = 0;
    // Factor on the time that its work takes.
    double slowdown = 1;
    // It does not answer any request.
    bool is_unresponsive = false;
};

// Numbers of requests by outcome.
struct load_outcome
{
    std::size_t requests = 0;
    std::size_t answered = 0;
    std::size_t in_time = 0;
    std::size_t complete = 0;
    std::size_t refused = 0;
    std::size_t failed = 0;
    // Of these, the requests of callers that looked up addresses before.
    std::size_t requests_after_lookup = 0;
    std::size_t in_time_after_lookup = 0;
    // Ratio of extra attempts at shards to first attempts.
    double extra_share = 0;

    double answered_share() const { return share(answered); }
    double complete_share() const { return share(complete); }
    double in_time_share() const { return share(in_time); }
    double unanswered_share() const { return share(refused + failed); }
    double in_time_share_after_lookup() const
    {
        return ratio(in_time_after_lookup, requests_after_lookup);
    }
    double in_time_share_without_lookup() const
    {
        return ratio(in_time - in_time_after_lookup, requests - requests_after_lookup);
    }

private:
    static double ratio(std::size_t count, std::size_t of)
    {
        return of == 0 ? 0 : static_cast<double>(count) / static_cast<double>(of);
    }
    double share(std::size_t count) const { return ratio(count, requests); }
};

class shard_simulation
{
public:
    explicit shard_simulation(simulation_options options);
    ~shard_simulation();

    // Sets the faults of a replica from now on.
    void set_fault(std::size_t shard, std::size_t replica, replica_fault fault);

    // Runs the load for warm_up_time and then for time. Returns the outcome of the requests that
    // began after warm_up_time.
    load_outcome run_load(duration time, duration warm_up_time = duration{0});

private:
    class host;
    struct queued_attempt
    {
        host* from = nullptr;
        std::uint64_t attempt = 0;
    };
    struct simulated_replica
    {
        replica_fault fault;
        std::uint32_t running = 0;
        std::deque<queued_attempt> queue;
    };

    void schedule(time_point when, std::function<void()> what);
    void run_until(time_point end);
    void arrive(std::size_t number, queued_attempt queued);
    void start(std::size_t number, queued_attempt queued);
    void end(std::size_t number, const queued_attempt& queued);
    reported_load load_of(std::size_t number) const;
    bool draw(double share);
    duration draw_work();
    time_point end_of_work(std::size_t number, duration work) const;

    simulation_options m_options;
    std::mt19937_64 m_random;
    time_point m_now{std::chrono::seconds{100}};
    std::multimap<time_point, std::function<void()>> m_events;
    std::shared_ptr<const route_table> m_table;
    std::vector<simulated_replica> m_replicas;
    std::vector<std::unique_ptr<host>> m_hosts;
    std::uint64_t m_next_request = 1;
    // Number of the first request that is counted.
    std::uint64_t m_first_counted = 1;
    load_outcome m_outcome;
    std::size_t m_first_attempts = 0;
    std::size_t m_extra_attempts = 0;
};

} // namespace tanagerspur::testing

#endif
