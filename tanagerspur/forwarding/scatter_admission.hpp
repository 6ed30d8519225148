// Decides whether a scatter is worth starting. Under overload, queues at a few shards make every
// request late: what is answered too late has cost all shards their work. A request is turned away
// before anything is sent, when so many of its shards can't answer in time that the rest lacks
// coverage. The same holds where no connection to a shard's replicas becomes free in time, as when
// some of them hang. The load that this answers is one beyond the capacity of some shards, or a
// crowd of callers while replicas are lost; see shard_load_test.
//
// Guarantee: a request is turned away only if no shard was asked, so the refusal is true.

#ifndef TANAGERSPUR_FORWARDING_SCATTER_ADMISSION_HPP
#define TANAGERSPUR_FORWARDING_SCATTER_ADMISSION_HPP

#include "tanagerspur/registry/replica_registry.hpp"

#include <vector>

namespace tanagerspur
{

struct admission_options
{
    // A shard is too busy when its best replica is expected to answer later than this multiple of
    // the time that is left to the objective. Above one, since a wrong refusal costs an answer.
    double lateness_ratio = 1.25;
    // A replica that would take longer than this multiple without a queue is not busy but slow.
    // Above one, since part of the time in a queue is taken for slowness.
    double idle_lateness_ratio = 1.5;
    // A shard has no room when the wait for a free connection is expected to be longer than this
    // multiple of the longest that a request may wait for one. Below one, since the wait is that
    // of the one that is served next, and a wrong admission costs the work of all other shards.
    double connection_wait_ratio = 0.5;
};

// A scatter that may begin.
struct admission_request
{
    // For each shard, the replicas that may get work.
    std::vector<const std::vector<replica_ref>*> shards;
    // For each shard, the expected wait for a free connection; empty if there is none anywhere.
    std::vector<duration> connection_waits;
    duration max_connection_wait{0};
    // Shards that have to answer.
    std::size_t needed = 1;
    // Latency that is usual for the route.
    duration typical{0};
    // Time left until the answer is late, and until the caller gives up.
    duration objective_left{0};
    duration time_left{0};
};

enum class admission
{
    admitted,
    no_replica, // too many shards have no replica that can be reached
    overloaded  // too many shards are too busy
};

enum class shard_prospect
{
    in_time,
    too_busy,           // its queues, or an answer after the caller's deadline
    no_free_connection, // no connection will be free in time
    no_replica          // none that can be reached
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

    // Whether the scatter may begin, and which shards speak against it.
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
