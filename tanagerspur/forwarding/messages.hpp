// Requests and answers of the forwarder, independent of the header names of any protocol.

#ifndef TANAGERSPUR_FORWARDING_MESSAGES_HPP
#define TANAGERSPUR_FORWARDING_MESSAGES_HPP

#include "tanagerspur/common/ids.hpp"
#include "tanagerspur/common/time.hpp"
#include "tanagerspur/quarantine/request_fingerprint.hpp"
#include "tanagerspur/registry/replica_estimate.hpp"
#include "tanagerspur/registry/replica_restrictions.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tanagerspur
{

// A header field with its name and value as received; lists of fields keep the order.
struct header_field
{
    std::string name;
    std::string value;
};

// A caller's request, to be forwarded unchanged.
struct caller_request
{
    std::string method;
    // Path and query as they were sent.
    std::string target;
    // End-to-end header fields, without those that the tier sets itself.
    std::vector<header_field> fields;
    std::string body;
    request_id id;
    // The same for each request that is the same to a replica.
    request_fingerprint fingerprint;
    // How long the caller waits, from the arrival of the request.
    std::optional<duration> caller_timeout;
    // Estimated time from the caller's first packet to the arrival of the request, plus the time
    // that the answer takes to the caller.
    duration network_time{0};
    // Time that an address look-up takes the caller. It may have done one before the request.
    duration lookup_time{0};
};

// A complete answer of a replica that has been checked to belong to its request.
struct replica_answer
{
    int status = 0;
    std::string reason;
    std::vector<header_field> fields;
    std::string body;
    // The replica's signature of the answer; empty if there is none.
    std::string signature;

    bool is_success() const { return status >= 200 && status < 300; }
};

// The answer to the caller.
struct caller_answer
{
    int status = 503;
    std::string reason;
    std::vector<header_field> fields;
    std::string body;
    // For a refusal: the delay after which the caller may retry.
    std::optional<duration> retry_after;
    // For a scatter: the signatures of the included parts, and the number of missing shards.
    std::vector<std::string> part_signatures;
    std::optional<std::size_t> missing_parts;
};

// How an attempt at a replica ended.
enum class attempt_result
{
    not_sent, // no byte of the request left this host
    refused,  // the replica states that it did not run the request
    answered, // a complete answer of any other kind
    failed,   // the replica may have run the request; there is no answer
    abandoned // this host cancelled the attempt
};

std::string_view to_string(attempt_result value);

struct attempt_outcome
{
    attempt_result result = attempt_result::failed;
    replica_answer answer;
    std::optional<reported_load> load;
    replica_notice notice;
    // The address now belongs to another replica.
    bool is_misdirected = false;
    // For logs.
    std::string detail;
};

} // namespace tanagerspur

#endif
