// A TCP server on the loopback address for tests: reads requests without a body and answers each
// with the bytes that a function returns.

#ifndef TANAGERSPUR_TESTING_SCRIPTED_SERVER_HPP
#define TANAGERSPUR_TESTING_SCRIPTED_SERVER_HPP

#include "tanagerspur/common/endpoint.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <string>

namespace tanagerspur::testing
{

// The bytes to send in answer to a request, and what to do with the connection afterwards.
struct scripted_answer
{
    std::string bytes;
    enum class connection_action
    {
        keep_open,
        close,
        reset
    };
    connection_action action = connection_action::keep_open;
    // Written repeatedly after the bytes until the peer closes; nothing if empty.
    std::string repeated_bytes = {};
};

class scripted_server
{
public:
    // Called with the request line and header fields of each request.
    using script = std::function<scripted_answer(const std::string& head)>;

    scripted_server(boost::asio::io_context& io, script answer);

    endpoint address() const;
    std::size_t connections() const { return m_connections; }
    // Number of connections that the peer closed while repeated bytes were written to them.
    std::size_t closed_by_peer() const { return m_closed_by_peer; }

private:
    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    script m_script;
    std::size_t m_connections = 0;
    std::size_t m_closed_by_peer = 0;
};

// A loopback address that nothing listens on.
endpoint free_endpoint(boost::asio::io_context& io);

// Runs the context until the condition holds; false after two seconds.
bool run_until(boost::asio::io_context& io, const std::function<bool()>& condition);

// The value of a header field; empty if it is absent.
std::string field_of(const std::string& head, const std::string& name);

} // namespace tanagerspur::testing

#endif
