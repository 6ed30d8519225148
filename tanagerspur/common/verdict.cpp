#include "tanagerspur/common/verdict.hpp"

namespace tanagerspur
{

std::string_view to_string(verdict value)
{
    switch (value)
    {
    case verdict::done:
        return "done";
    case verdict::not_run:
        return "not_run";
    case verdict::may_have_run:
        return "may_have_run";
    }
    return "may_have_run";
}

std::string_view to_string(reason value)
{
    switch (value)
    {
    case reason::none:
        return "none";
    case reason::invalid_request:
        return "invalid_request";
    case reason::unknown_service:
        return "unknown_service";
    case reason::no_configuration:
        return "no_configuration";
    case reason::no_owner:
        return "no_owner";
    case reason::owner_unreachable:
        return "owner_unreachable";
    case reason::not_owner:
        return "not_owner";
    case reason::overloaded:
        return "overloaded";
    case reason::deadline_passed:
        return "deadline_passed";
    case reason::version_unavailable:
        return "version_unavailable";
    case reason::replicas_unavailable:
        return "replicas_unavailable";
    case reason::target_refused:
        return "target_refused";
    case reason::target_error:
        return "target_error";
    case reason::connection_lost:
        return "connection_lost";
    case reason::link_lost:
        return "link_lost";
    case reason::cancelled:
        return "cancelled";
    case reason::host_leaving:
        return "host_leaving";
    case reason::unknown_request_id:
        return "unknown_request_id";
    case reason::repeated_request_id:
        return "repeated_request_id";
    }
    return "none";
}

verdict combine(verdict left, verdict right)
{
    if (left == verdict::not_run && right == verdict::not_run)
        return verdict::not_run;
    if (left == verdict::done && right == verdict::done)
        return verdict::done;
    return verdict::may_have_run;
}

} // namespace tanagerspur
