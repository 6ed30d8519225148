#include "tanagerspur/gateway/report_calls.hpp"

namespace tanagerspur
{

void report_calls::handle(http_call call, std::uint64_t /*token*/, http_responder respond)
{
    if (call.path == "/metrics")
        return respond({.content_type = "text/plain; version=0.0.4", .body = m_host.metrics()});
    if (call.path == "/dump")
        return respond({.body = m_host.dump()});
    respond(error_reply(404, "unknown call"));
}

} // namespace tanagerspur
