// Serves the operators' calls on a host's metrics address: GET /metrics and GET /dump.

#ifndef TANAGERSPUR_GATEWAY_REPORT_CALLS_HPP
#define TANAGERSPUR_GATEWAY_REPORT_CALLS_HPP

#include "tanagerspur/gateway/gateway.hpp"
#include "tanagerspur/net/http_server.hpp"

namespace tanagerspur
{

class report_calls final : public http_handler
{
public:
    explicit report_calls(const gateway& host)
        : m_host(host)
    {
    }

    void handle(http_call call, std::uint64_t token, http_responder respond) override;

private:
    const gateway& m_host;
};

} // namespace tanagerspur

#endif
