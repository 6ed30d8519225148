// The HTTP/1.1 server for callers' requests that are forwarded unchanged. It reads complete
// requests within the caller limits, keeps the order and case of their fields, and reports callers
// that disconnect before their answer. http_server serves the tier's own calls.

#ifndef TANAGERSPUR_NET_INGRESS_SERVER_HPP
#define TANAGERSPUR_NET_INGRESS_SERVER_HPP

#include "tanagerspur/common/endpoint.hpp"
#include "tanagerspur/forwarding/messages.hpp"
#include "tanagerspur/net/wire_header_names.hpp"
#include "tanagerspur/routing/route_table.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <unordered_map>

namespace tanagerspur
{

namespace detail
{
class ingress_session;
}

using session_id = detail::strong_id<struct session_tag, std::uint64_t>;

// A request as it was read.
struct inbound_request
{
    caller_request request;
    // Value of the Host field.
    std::string host;
    // Smoothed round trip to the caller; zero when it is not known.
    duration round_trip{0};
    // The caller opened the connection for this request.
    bool is_first_on_connection = false;
};

class ingress_handler
{
public:
    virtual ~ingress_handler() = default;
    // A complete request, to be answered once by ingress_server::respond unless its caller
    // disconnects first.
    virtual void on_request(session_id session, inbound_request request) = 0;
    // The caller closed its connection before the answer.
    virtual void on_caller_disconnected(session_id session) = 0;
    // A request that violates the protocol or a limit was answered with the status.
    virtual void on_rejected(int status, std::string_view why) = 0;
};

class ingress_server
{
public:
    ingress_server(boost::asio::io_context& io, const wire_header_names& header_names,
                   ingress_handler& handler);
    ~ingress_server();

    // Binds and listens; returns an error text, or an empty one on success.
    std::string start(const endpoint& listen);

    void set_limits(const caller_limits& limits) { m_limits = limits; }

    // Answers the session's request.
    void respond(session_id session, const caller_answer& answer);

    // Makes every further answer close its connection.
    void close_after_answers() { m_is_closing = true; }
    // Stops accepting connections and closes idle ones. Requests that have arrived, also on
    // connections that were not accepted yet, are read and passed to the handler.
    void stop();

    // Closes connections that are past the idle timeout, and rejects requests that are past the
    // header timeout.
    void tick(time_point now);

    std::size_t open_sessions() const { return m_sessions.size(); }
    // Number of sessions that have a request, or may still read one after a stop.
    std::size_t busy_sessions() const;

private:
    friend class detail::ingress_session;

    void accept();
    void open_session(boost::asio::ip::tcp::socket socket);
    void remove(session_id session);

    boost::asio::io_context& m_io;
    const wire_header_names& m_header_names;
    ingress_handler& m_handler;
    caller_limits m_limits;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::unordered_map<std::uint64_t, std::shared_ptr<detail::ingress_session>> m_sessions;
    std::uint64_t m_next_session = 1;
    bool m_is_closing = false;
    bool m_is_stopped = false;
};

} // namespace tanagerspur

#endif
