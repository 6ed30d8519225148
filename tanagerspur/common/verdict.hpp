// Verdict: what is known about a request that was forwarded. It is passed on unchanged from the
// target to the caller, and it determines which requests may be retried.

#ifndef TANAGERSPUR_COMMON_VERDICT_HPP
#define TANAGERSPUR_COMMON_VERDICT_HPP

#include <string>
#include <string_view>

namespace tanagerspur
{

enum class verdict
{
    done,        // it ran, and its result was received
    not_run,     // it certainly did not run and will not
    may_have_run // unknown: it may have run, or may still run
};

// Why a request, or one shard's part of it, has no result.
enum class reason
{
    none,
    invalid_request,
    unknown_service,
    no_configuration,
    no_owner,
    owner_unreachable,
    not_owner,
    overloaded,
    deadline_passed,
    version_unavailable,
    replicas_unavailable,
    target_refused,
    target_error,
    connection_lost,
    link_lost,
    cancelled,
    host_leaving,
    unknown_request_id,
    repeated_request_id
};

// A failure with its verdict and a human-readable message.
struct failure
{
    verdict outcome = verdict::may_have_run;
    reason why = reason::none;
    std::string message;
};

std::string_view to_string(verdict value);
std::string_view to_string(reason value);

// The less certain of two verdicts: not_run or done only if both are, else may_have_run.
verdict combine(verdict left, verdict right);

} // namespace tanagerspur

#endif
