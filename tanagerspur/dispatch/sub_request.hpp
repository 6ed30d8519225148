// A sub-request: the part of a query for one shard, which the shard's owner queues and dispatches.

#ifndef TANAGERSPUR_DISPATCH_SUB_REQUEST_HPP
#define TANAGERSPUR_DISPATCH_SUB_REQUEST_HPP

#include "tanagerspur/common/ids.hpp"
#include "tanagerspur/common/time.hpp"
#include "tanagerspur/common/verdict.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace tanagerspur
{

struct sub_request
{
    sub_request_id id;
    // The version of the index that must answer.
    index_version version;
    time_point deadline;
    bool idempotent = true;
    request_id request;
    std::shared_ptr<const std::string> body;
};

// The result of a sub-request. rows is a JSON array if the outcome is done.
struct sub_result
{
    verdict outcome = verdict::not_run;
    reason why = reason::none;
    std::string message;
    index_version version;
    std::shared_ptr<const std::string> rows;
    std::uint32_t attempts = 0;
    // The owner's estimate of its queue wait when the sub-request ended.
    duration estimated_wait{0};
    // The versions that the shard can serve; set if the requested one is unavailable.
    std::vector<index_version> versions;
};

// How one attempt at a replica ended.
enum class attempt_end
{
    answered,        // the replica sent a result
    refused,         // the replica refused before running it, to shed load
    draining,        // the replica refused because it is leaving
    version_missing, // the replica does not hold the version
    not_connected,   // there was no connection, so nothing was sent
    cancelled,       // the replica confirmed that it stopped the work
    failed,          // the replica reported that the work failed
    lost             // sent but not answered: it may have run, or may still be running
};

struct attempt_result
{
    attempt_end end = attempt_end::lost;
    std::string message;
    index_version version;
    std::shared_ptr<const std::string> rows;
    // The versions that the replica holds, if it refused because it lacks the requested one.
    std::vector<index_version> versions;
    // The connection had carried calls before, so it may have been lost while the replica is
    // healthy.
    bool reused_connection = false;
};

// A replica's report about its load.
struct load_report
{
    std::uint32_t slots = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    bool draining = false;
    // Versions that the replica can serve, in any order.
    std::vector<index_version> versions;
};

} // namespace tanagerspur

#endif
