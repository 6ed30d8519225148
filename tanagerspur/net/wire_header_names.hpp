// Header names of the protocol that callers and replicas speak. The tier's own names are the
// defaults; a platform's adapter supplies others.

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
    // To a replica: the id of the replica that is meant; another one refuses the request.
    std::string expected_replica = "Expected-Replica";
    // From a replica: its signature of the answer.
    std::string signature = "Signature";
    // From a replica: running, waiting and slots, separated by commas.
    std::string load = "Load";
    // From a replica: the request was not run.
    std::string not_run = "Not-Run";
    // To a caller: the signatures of the parts that an answer holds.
    std::string part_signatures = "Part-Signatures";
    // To a caller: the number of shards that are left out.
    std::string missing_parts = "Missing-Parts";
};

} // namespace tanagerspur

#endif
