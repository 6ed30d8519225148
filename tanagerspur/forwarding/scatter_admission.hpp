// Admission control for scatters. Under overload, queues at a few shards make every request late,
// and a late answer has still cost the work of all shards. A scatter is rejected before anything is
// sent if so many of its shards can't answer in time that the others don't reach the coverage. A
// shard also counts as too late if none of its connections becomes free in time, for example while
// replicas are unresponsive. This handles load beyond the capacity of some shards, and bursts of
// callers while replicas are lost; see shard_load_test.
//
// Guarantee: a scatter is rejected only before any shard was asked, so the refusal is true.

#ifndef TANAGERSPUR_FORWARDING_SCATTER_ADMISSION_HPP
#define TANAGERSPUR_FORWARDING_SCATTER_ADMISSION_HPP

#include "tanagerspur/registry/replica_registry.hpp"

#include <vector>

namespace tanagerspur
{

struct admission_options
{
    // A shard is too busy if its best replica is expected to answer later than this multiple of the
    // time left until the latency objective. Above one, because a false refusal costs an answer.
    double lateness_ratio = 1.25;
    // A replica that would take longer than this multiple even without a queue counts as slow, not
    // as busy. Above one, because part of the queueing delay counts as slowdown.
    double idle_lateness_ratio = 1.5;
    // A shard has no free connection in time if the expected wait for one is longer than this
    // multiple of the maximum wait. Below one, because the expected wait is that of the request
    // that is served next, and a false admission costs the work of all other shards.
    double connection_wait_ratio = 0.5;
};

// Input to the decision on one scatter.
struct admission_request
{
    // For each shard, the replicas that may get attempts.
    std::vector<const std::vector<replica_ref>*> shards;
    // For each shard, the expected wait for a free connection; empty if no shard has to wait.
    std::vector<duration> connection_waits;
    duration max_connection_wait{0};
    // Minimum number of shards that have to answer.
    std::size_t needed = 1;
    // Typical latency of the route.
    duration typical{0};
    // Time left until the answer is late, and until the caller stops waiting.
    duration objective_left{0};
    duration time_left{0};
};

enum class admission
{
    admitted,
    no_replica, // too many shards have no reachable replica
    overloaded  // too many shards are too busy, held back, or have no free connection in time
};

enum class shard_prospect
{
    in_time,
    too_busy,           // queues too long, or no answer expected before the deadline
    no_free_connection, // no connection expected to become free in time
    held_back,          // no replica wants requests at present
    no_replica          // no reachable replica
};

struct admission_verdict
{
    admission outcome = admission::admitted;
    // In the order of the request's shards.
    std::vector<shard_prospect> shards;
};

class scatter_admission
{
public:
    explicit scatter_admission(admission_options options = {})
        : m_options(options)
    {
    }

    // Decides whether the scatter may start, and which shards prevent it.
    admission_verdict decide(const admission_request& request, time_point now) const;

private:
    shard_prospect prospect_of(const admission_request& request, std::size_t shard,
                               time_point now) const;
    bool has_connection_in_time(const admission_request& request, std::size_t shard) const;
    bool answers_in_time(const replica& candidate, const admission_request& request,
                         time_point now) const;

    admission_options m_options;
};

} // namespace tanagerspur

#endif
