// A workload for dispatch policies: queries that arrive at random at several entry hosts, each
// to all shards of a service, and what is measured of them.

#ifndef TANAGERSPUR_BENCH_WORKLOAD_HPP
#define TANAGERSPUR_BENCH_WORKLOAD_HPP

#include "bench/simulation.hpp"
#include "tanagerspur/common/latency_histogram.hpp"

#include <memory>
#include <string>
#include <vector>

namespace tanagerspur::bench
{

// Which failure a run brings about, halfway.
enum class trouble
{
    none,
    lost_replica, // one replica of each shard goes silent
    lost_owner,   // the owner of all shards' third is killed: its port refuses
    silent_owner, // the same, but it falls silent, and nobody can tell that it is dead
    rollout       // targets change the index version one by one
};

struct workload
{
    std::string service;
    std::size_t shards = 10;
    std::size_t replicas = 3;
    target_model targets;
    // Offered load as a share of what the slots can do.
    double load = 0.6;
    duration deadline = std::chrono::seconds{1};
    duration length = std::chrono::seconds{20};
    std::size_t entry_hosts = 7;
    // One way between two hosts, and between a host and a target.
    duration hop = std::chrono::microseconds{500};
    trouble failure = trouble::none;
    std::uint64_t seed = 20261204;

    double capacity_per_second() const;
};

struct measured
{
    latency_histogram latency;
    std::uint64_t offered = 0;
    std::uint64_t answered = 0;
    std::uint64_t complete = 0;
    std::uint64_t complete_in_time = 0;
    std::uint64_t refused = 0;
    // Queries refused as not_run of which something started at a target.
    std::uint64_t false_refusals = 0;
    // Shards answered and expected, over the answers that were given.
    std::uint64_t shards_answered = 0;
    std::uint64_t shards_expected = 0;
    // Answers whose rows come from more than one version.
    std::uint64_t mixed_versions = 0;
    std::uint64_t sub_requests_needed = 0;
    std::uint64_t started_at_targets = 0;
    std::uint64_t extra_attempts = 0;
    std::size_t most_in_flight = 0;
    std::size_t longest_queue = 0;

    double extra_load() const;
    double coverage() const;
    double goodput(const workload& offered_load) const;
};

// A policy under test: takes queries, and writes their ends to measured.
class policy
{
public:
    virtual ~policy() = default;
    virtual void query(std::size_t entry_host) = 0;
    // The run is over.
    virtual void finish() {}
};

// Replicas of all shards, by shard and number.
using target_grid = std::vector<std::vector<std::unique_ptr<fake_target>>>;

struct bench_world
{
    event_loop& loop;
    const workload& offered;
    target_grid& targets;
    measured& result;
};

using policy_factory = std::unique_ptr<policy> (*)(bench_world world);

std::unique_ptr<policy> make_random(bench_world world);
std::unique_ptr<policy> make_power_of_two(bench_world world);
std::unique_ptr<policy> make_timer_hedges(bench_world world);
std::unique_ptr<policy> make_perfect_knowledge(bench_world world);
std::unique_ptr<policy> make_tier(bench_world world);

measured run(const workload& offered, policy_factory make);

} // namespace tanagerspur::bench

#endif
