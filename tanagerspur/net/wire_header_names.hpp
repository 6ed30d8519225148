// Header names of the protocol between callers, the tier and replicas. The defaults are the tier's
// own names; a platform's adapter supplies others.

#ifndef TANAGERSPUR_NET_WIRE_HEADER_NAMES_HPP
#define TANAGERSPUR_NET_WIRE_HEADER_NAMES_HPP

#include <string>

namespace tanagerspur
{

struct wire_header_names
{
    // Identifies one try of a caller's request; echoed by replicas.
    std::string request_id = "Request-Id";
    // Milliseconds for which the sender will wait.
    std::string deadline_ms = "Deadline-Ms";
    // To a replica: the id of the intended replica; any other replica refuses the request.
    std::string expected_replica = "Expected-Replica";
    // From a replica: its signature of the answer.
    std::string signature = "Signature";
    // From a replica: running, waiting and slots, separated by commas.
    std::string load = "Load";
    // From a replica: it is leaving and wants no further requests.
    std::string leaving = "Leaving";
    // From a replica: the requests per second that it takes from all hosts together.
    std::string limit = "Limit";
    // From a replica: the request was not run.
    std::string not_run = "Not-Run";
    // To a caller: the signatures of the parts that an answer contains.
    std::string part_signatures = "Part-Signatures";
    // To a caller: the number of shards that the answer does not cover.
    std::string missing_parts = "Missing-Parts";
};

} // namespace tanagerspur

#endif
