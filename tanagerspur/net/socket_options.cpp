#include "tanagerspur/net/socket_options.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace tanagerspur
{

namespace
{

using boost::asio::detail::socket_option::integer;

// Keep-alive probes start after one second without traffic, and the connection is closed after two
// more seconds without a reply: a lost connection must be detected well before a second outage of
// the same kind can follow.
constexpr int probe_after_s = 1;
constexpr int probe_interval_s = 1;
constexpr int probe_count = 2;
constexpr int unanswered_data_ms = 1'500;

} // namespace

void configure_long_lived_connection(boost::asio::ip::tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket.set_option(integer<IPPROTO_TCP, TCP_KEEPIDLE>(probe_after_s), ignored);
    socket.set_option(integer<IPPROTO_TCP, TCP_KEEPINTVL>(probe_interval_s), ignored);
    socket.set_option(integer<IPPROTO_TCP, TCP_KEEPCNT>(probe_count), ignored);
    socket.set_option(integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(unanswered_data_ms), ignored);
}

std::uint32_t round_trip_us(boost::asio::ip::tcp::socket& socket)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    if (getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return 0;
    return info.tcpi_rtt;
}

} // namespace tanagerspur
