// Verdict: what is known of a request that was handed on. It travels unchanged from the target
// to the caller, and it decides which requests may be tried again.

#ifndef TANAGERSPUR_COMMON_VERDICT_HPP
#define TANAGERSPUR_COMMON_VERDICT_HPP

#include <string>
#include <string_view>

namespace tanagerspur
{

enum class verdict
{
    done,        // it ran, and its result is here
    not_run,     // it surely did not run and will not
    may_have_run // nothing is known: it may have run, or may run yet
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

// A failure with its verdict and a plain message for people.
struct failure
{
    verdict outcome = verdict::may_have_run;
    reason why = reason::none;
    std::string message;
};

std::string_view to_string(verdict value);
std::string_view to_string(reason value);

// The weaker knowledge of two: not_run only if both are, done never wins over a failure.
verdict combine(verdict left, verdict right);

} // namespace tanagerspur

#endif
