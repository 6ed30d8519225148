// The accept queue of a listener that is about to close.

#ifndef TANAGERSPUR_NET_ACCEPT_QUEUE_HPP
#define TANAGERSPUR_NET_ACCEPT_QUEUE_HPP

#include "tanagerspur/common/time.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <functional>

namespace tanagerspur
{

// How long a stopping server waits for the request on a connection from which it has read nothing.
// Callers send it right after they have connected.
inline constexpr duration unread_connection_timeout = std::chrono::milliseconds{150};

// Passes the established connections in the listener's queue to on_accept and closes the listener.
// The kernel would reset these connections, and their callers may have sent a request already.
void accept_queued_and_close(boost::asio::ip::tcp::acceptor& acceptor,
                             const std::function<void(boost::asio::ip::tcp::socket)>& on_accept);

// True if bytes have arrived that were not read yet.
bool has_unread_bytes(const boost::asio::ip::tcp::socket& socket);

} // namespace tanagerspur

#endif
