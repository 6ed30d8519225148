// The result of one play of a day with one variant of the code.

#ifndef TANAGERSPUR_BENCH_EXPERIMENT_PLAY_HPP
#define TANAGERSPUR_BENCH_EXPERIMENT_PLAY_HPP

#include "tanagerspur/operations/explain.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace tanagerspur::experiment
{

// How the requests of a day, or of a part of it, ended for their callers.
struct request_counts
{
    std::uint64_t sent = 0;
    std::uint64_t within_objective = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    // Share of the value owed that was earned, 0 to 1.
    double worth = 0;
};

// The requests that were sent in a span of the day.
struct window
{
    double start_s = 0;
    request_counts requests;
};

struct play_result
{
    // Value earned less prices, as a share of the value owed.
    double worth = 0;
    double whole_day = 0;
    double worst_windows = 0;
    double worst_kind = 0;
    // What is taken off the weighted sum of the three parts.
    double prices = 0;
    request_counts requests;
    std::vector<window> windows;
    std::size_t broken_rules = 0;
};

// What a play is compared by: the plays of all variants with the same key form a pair.
struct play_key
{
    std::string site;
    std::string day;
    std::string seed;

    auto operator<=>(const play_key&) const = default;
};

// A structured log line of a host, with the time since the start of traffic.
struct host_log_line
{
    double at_s = 0;
    log_line line;
};

} // namespace tanagerspur::experiment

#endif
