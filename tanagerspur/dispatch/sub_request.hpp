// A sub-request: one shard's part of a query, as an owner queues and dispatches it.

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
    // The snapshot that must answer.
    index_version version;
    time_point deadline;
    bool idempotent = true;
    request_id request;
    std::shared_ptr<const std::string> body;
};

// The end of a sub-request. rows is a JSON array when the outcome is done.
struct sub_result
{
    verdict outcome = verdict::not_run;
    reason why = reason::none;
    std::string message;
    index_version version;
    std::shared_ptr<const std::string> rows;
    std::uint32_t attempts = 0;
    // The owner's estimate of the wait in its queue when this ended.
    duration estimated_wait{0};
    // The versions that the shard can serve, told when the wanted one is unavailable.
    std::vector<index_version> versions;
};

// How one attempt at a replica ended.
enum class attempt_end
{
    answered,        // the replica's result is here
    refused,         // the replica refused before running it: shedding load
    draining,        // the replica refused because it is leaving
    version_missing, // the replica does not hold the version
    not_connected,   // no connection, nothing was sent
    cancelled,       // the replica confirms that it stopped the work
    failed,          // the replica reports that the work failed
    lost             // sent, but no answer: it may have run, or may still run
};

struct attempt_result
{
    attempt_end end = attempt_end::lost;
    std::string message;
    index_version version;
    std::shared_ptr<const std::string> rows;
    // The versions that the replica holds, when it refused for lack of one.
    std::vector<index_version> versions;
    // The connection had carried calls before, so the loss may be the connection's alone.
    bool reused_connection = false;
};

// A replica's own report.
struct load_report
{
    std::uint32_t slots = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    bool draining = false;
    // Versions that it can serve, in any order.
    std::vector<index_version> versions;
};

} // namespace tanagerspur

#endif
