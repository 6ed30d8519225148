// Open-loop load generator. Queries are sent at random times regardless of outstanding answers, to
// the addresses that the tier advertises, chosen by weight as callers do.

#ifndef TANAGERSPUR_OPERATIONS_LOAD_GENERATOR_HPP
#define TANAGERSPUR_OPERATIONS_LOAD_GENERATOR_HPP

#include "tanagerspur/common/endpoint.hpp"
#include "tanagerspur/common/latency_histogram.hpp"

#include <boost/json/value.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tanagerspur
{

// A service's share of the load, relative to the other services.
struct service_weight
{
    std::string service;
    double relative_rate = 1;
};

struct load_options
{
    // Caller endpoints of the hosts that are asked for addresses.
    std::vector<endpoint> hosts;
    std::vector<service_weight> mix;
    // Queries per second over all services.
    double rate = 50;
    std::chrono::seconds length{10};
    std::chrono::milliseconds deadline{1'000};
    std::uint64_t seed = 1;
    // Control endpoint of the targets' stand-ins, for their counters; not used if its port is 0.
    endpoint targets;
    // Writes a progress line to stderr each second.
    bool print_progress = true;
};

struct load_result
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t complete = 0;
    std::uint64_t partial = 0;
    // Calls without any answer.
    std::uint64_t unanswered = 0;
    std::uint64_t shards_expected = 0;
    std::uint64_t shards_answered = 0;
    std::map<std::string, std::uint64_t> verdicts;
    std::map<std::string, std::uint64_t> missing_by_reason;
    latency_histogram latency;
    // Work started at the targets in excess of the expected shards, as a share of them; negative if
    // unknown.
    double extra_load = -1;
};

load_result run_load(const load_options& options);

std::string to_text(const load_result& report);
boost::json::object to_json(const load_result& report);

} // namespace tanagerspur

#endif
