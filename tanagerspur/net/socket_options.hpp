// Options of long-lived TCP connections.

#ifndef TANAGERSPUR_NET_SOCKET_OPTIONS_HPP
#define TANAGERSPUR_NET_SOCKET_OPTIONS_HPP

#include <boost/asio/ip/tcp.hpp>

namespace tanagerspur
{

// Disables Nagle's algorithm and lets the kernel detect an unresponsive peer: after 1.5 s without
// an acknowledgement of sent data, or 3 s on an idle connection whose keep-alive probes get no
// reply.
void configure_long_lived_connection(boost::asio::ip::tcp::socket& socket);

// The connection's smoothed round-trip time in microseconds, or 0 if it is not known.
std::uint32_t round_trip_us(boost::asio::ip::tcp::socket& socket);

} // namespace tanagerspur

#endif
