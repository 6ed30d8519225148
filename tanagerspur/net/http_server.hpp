// An HTTP/1.1 server on Boost.Beast for callers, operators and metrics. Bodies, headers, open
// connections and idle time are limited; a call that exceeds a limit gets a 4xx answer or a closed
// connection and never reaches the handler.

#ifndef TANAGERSPUR_NET_HTTP_SERVER_HPP
#define TANAGERSPUR_NET_HTTP_SERVER_HPP

#include "tanagerspur/common/endpoint.hpp"
#include "tanagerspur/common/time.hpp"
#include "tanagerspur/net/http_message.hpp"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace tanagerspur
{

namespace detail
{
struct http_server_state;
}

// Sends the answer of one call; may be called from any thread, once.
using http_responder = std::function<void(http_reply)>;

// Callbacks of the server, on its io_context's thread.
class http_handler
{
public:
    virtual ~http_handler() = default;

    // Handles a call. The token identifies the call until it is answered or abandoned.
    virtual void handle(http_call call, std::uint64_t token, http_responder respond) = 0;

    // The peer closed its connection before the call was answered.
    virtual void abandoned(std::uint64_t /*token*/) {}

    // A connection was accepted: returns how long to wait before reading from it, or a negative
    // duration to close it at once.
    virtual duration on_accept() { return duration{0}; }

    // A connection ended.
    virtual void on_close() {}
};

struct http_server_options
{
    endpoint listen;
    std::size_t max_body_bytes = std::size_t{64} * 1024;
    std::uint32_t max_header_bytes = 8 * 1024;
    std::size_t max_connections = 1'000;
    std::size_t max_connections_per_peer = 500;
    std::chrono::seconds idle_timeout{60};
    // Time limit for a call to arrive completely once it has started.
    std::chrono::seconds read_timeout{10};
};

class http_server
{
public:
    http_server(boost::asio::io_context& io, http_server_options options, http_handler& handler);
    ~http_server();

    // Binds and listens; returns an error text, or an empty one on success.
    std::string start();

    // Accepts no further connections and closes each one after its current call. Calls that have
    // arrived, also on connections that were not accepted yet, are read and handled.
    void stop_accepting();

    std::size_t open_connections() const;

private:
    std::shared_ptr<detail::http_server_state> m_state;
};

} // namespace tanagerspur

#endif
