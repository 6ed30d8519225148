// Connections to other hosts that carry no bytes: the kernel's keep-alive probes tell when a host
// is gone.

#ifndef TANAGERSPUR_NET_HOST_CONNECTIONS_HPP
#define TANAGERSPUR_NET_HOST_CONNECTIONS_HPP

#include "tanagerspur/gateway/host_monitor.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>

namespace tanagerspur
{

namespace detail
{
class host_connection;
}

class host_connections final : public host_connector
{
public:
    // Receives the results; on the io_context's thread, never from within a call.
    struct handlers
    {
        std::function<void(const host_id&)> opened;
        std::function<void(const host_id&)> open_failed;
        std::function<void(const host_id&)> lost;
    };

    host_connections(boost::asio::io_context& io, handlers results);
    ~host_connections() override;

    void open(const host_id& id, const endpoint& at) override;
    void close(const host_id& id) override;

private:
    boost::asio::io_context& m_io;
    handlers m_results;
    std::map<host_id, std::shared_ptr<detail::host_connection>> m_connections;
};

} // namespace tanagerspur

#endif
