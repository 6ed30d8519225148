// An open-loop load: queries arrive at random times that do not wait for answers, at the
// addresses that the tier tells, by their weights, as callers use them.

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

// A service's part of the load.
struct load_share
{
    std::string service;
    double part = 1;
};

struct load_options
{
    // Callers' ports of hosts to ask for addresses first.
    std::vector<endpoint> hosts;
    std::vector<load_share> mix;
    // Queries a second, of all services.
    double rate = 50;
    std::chrono::seconds length{10};
    std::chrono::milliseconds deadline{1'000};
    std::uint64_t seed = 1;
    // Port at which the targets' stand-ins tell their counters; port 0 does without.
    endpoint targets;
    // Writes a line each second to stderr.
    bool shows_progress = true;
};

struct load_result
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t complete = 0;
    std::uint64_t partial = 0;
    // Calls that got no answer at all.
    std::uint64_t unanswered = 0;
    std::uint64_t shards_expected = 0;
    std::uint64_t shards_answered = 0;
    std::map<std::string, std::uint64_t> verdicts;
    std::map<std::string, std::uint64_t> missing_by_reason;
    latency_histogram latency;
    // Work started at the targets over the shards that were expected; negative when unknown.
    double extra_load = -1;
};

load_result run_load(const load_options& options);

std::string to_text(const load_result& report);
boost::json::object to_json(const load_result& report);

} // namespace tanagerspur

#endif
