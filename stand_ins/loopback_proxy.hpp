// A TCP proxy on the loopback address that puts faults between two programs: delay, silence in one
// or both directions, resets, and refused connections. For the soak.

#ifndef TANAGERSPUR_STAND_INS_LOOPBACK_PROXY_HPP
#define TANAGERSPUR_STAND_INS_LOOPBACK_PROXY_HPP

#include "tanagerspur/common/endpoint.hpp"
#include "tanagerspur/common/time.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <list>
#include <memory>

namespace tanagerspur::stand_ins
{

struct link_faults
{
    // Bytes are held up by this time.
    duration delay{0};
    // Bytes in a direction vanish; the connection stays open.
    bool is_silent_forward = false;
    bool is_silent_back = false;
    // New connections are closed at once.
    bool is_refusing = false;
};

namespace detail
{
class proxied_connection;
}

class loopback_proxy
{
public:
    loopback_proxy(boost::asio::io_context& io, const endpoint& listen, endpoint target);
    ~loopback_proxy();

    // Holds for open and new connections.
    void set_faults(const link_faults& faults) { *m_faults = faults; }
    // Resets all open connections.
    void reset_all();
    // Open connections go silent for good, new ones work.
    void silence_open();

private:
    void accept();

    boost::asio::io_context& m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    endpoint m_target;
    std::shared_ptr<link_faults> m_faults = std::make_shared<link_faults>();
    std::list<std::weak_ptr<detail::proxied_connection>> m_connections;
};

} // namespace tanagerspur::stand_ins

#endif
