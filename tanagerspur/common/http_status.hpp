// Named HTTP status codes and their classes.

#ifndef TANAGERSPUR_COMMON_HTTP_STATUS_HPP
#define TANAGERSPUR_COMMON_HTTP_STATUS_HPP

namespace tanagerspur
{

inline constexpr int status_switching_protocols = 101;
inline constexpr int status_ok = 200;
inline constexpr int status_not_modified = 304;
inline constexpr int status_bad_request = 400;
inline constexpr int status_not_found = 404;
inline constexpr int status_bad_method = 405;
inline constexpr int status_request_timeout = 408;
inline constexpr int status_conflict = 409;
inline constexpr int status_gone = 410;
inline constexpr int status_precondition_failed = 412;
inline constexpr int status_too_large = 413;
inline constexpr int status_misdirected = 421;
inline constexpr int status_fields_too_large = 431;
inline constexpr int status_bad_gateway = 502;
inline constexpr int status_too_many_requests = 429;
inline constexpr int status_unavailable = 503;
inline constexpr int status_gateway_timeout = 504;

// True for the status of an answer that the final one follows. The status for a change of the
// protocol is not among them: the tier does not ask for one.
constexpr bool is_interim_status(int status)
{
    return status >= 100 && status < 200 && status != status_switching_protocols;
}

constexpr bool is_final_status(int status)
{
    return status >= 200 && status < 600;
}

} // namespace tanagerspur

#endif
