// Options of long-lived TCP connections.

#ifndef TANAGERSPUR_NET_SOCKET_OPTIONS_HPP
#define TANAGERSPUR_NET_SOCKET_OPTIONS_HPP

#include <boost/asio/ip/tcp.hpp>

namespace tanagerspur
{

// Sends small messages at once, and lets the kernel find a peer that has silently gone: unanswered
// data after 1.5 s, an idle connection after 3 s of unanswered probes.
void set_long_lived(boost::asio::ip::tcp::socket& socket);

// The connection's smoothed round-trip time in microseconds, or 0 when it is not known.
std::uint32_t round_trip_us(boost::asio::ip::tcp::socket& socket);

} // namespace tanagerspur

#endif
