#include "tanagerspur/net/http_connection.hpp"

#include "tanagerspur/common/http_status.hpp"
#include "tanagerspur/common/text.hpp"
#include "tanagerspur/net/socket_options.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <optional>

namespace tanagerspur
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace
{

constexpr std::size_t max_call_once_reply_bytes = std::size_t{64} * 1024 * 1024;
// Limit of bytes that are read and not yet parsed: the parser limits headers and bodies, but not
// the lines between the chunks of a body.
constexpr std::size_t max_unparsed_bytes = std::size_t{128} * 1024;

std::string make_target(const http_call& call)
{
    std::string target = call.path;
    char separator = '?';
    for (const auto& [name, value] : call.parameters)
    {
        target += separator + name + "=" + escape_parameter(value);
        separator = '&';
    }
    return target;
}

class beast_connection final : public http_connection
{
public:
    beast_connection(asio::io_context& io, endpoint peer, std::size_t max_reply_bytes)
        : m_io(io)
        , m_stream(io)
        , m_peer(std::move(peer))
        , m_max_reply_bytes(max_reply_bytes)
    {
    }

    void open(duration timeout, open_handler handler) override;
    void send(http_call call, duration timeout, outcome_handler handler) override;
    void close() override;
    bool is_open() const override { return m_open; }

private:
    std::shared_ptr<beast_connection> self()
    {
        return std::static_pointer_cast<beast_connection>(shared_from_this());
    }
    void start_call(const http_call& call);
    bool peer_has_closed();
    void read_answer();
    void finish_answer();
    void fail(call_stage stage, error_code error);
    void finish(call_outcome outcome);

    asio::io_context& m_io;
    beast::tcp_stream m_stream;
    endpoint m_peer;
    std::size_t m_max_reply_bytes;
    bool m_open = false;
    beast::flat_buffer m_buffer{max_unparsed_bytes};
    http::request<http::string_body> m_request;
    std::optional<http::response_parser<http::string_body>> m_parser;
    outcome_handler m_finished;
};

void beast_connection::open(duration timeout, open_handler handler)
{
    error_code error;
    const auto address = asio::ip::make_address(m_peer.address, error);
    if (error)
    {
        asio::post(m_io, [handler] { handler(false); });
        return;
    }
    m_stream.expires_after(timeout);
    m_stream.async_connect(tcp::endpoint{address, m_peer.port},
                           [self = self(), handler](error_code connect_error)
                           {
                               self->m_open = !connect_error;
                               if (self->m_open)
                                   configure_long_lived_connection(self->m_stream.socket());
                               handler(self->m_open);
                           });
}

// An idle connection that is readable was closed by the peer. A call sent on it would be lost and
// it would be unknown whether it ran, so it is not sent at all.
bool beast_connection::peer_has_closed()
{
    error_code error;
    auto& socket = m_stream.socket();
    socket.non_blocking(true, error);
    char byte = 0;
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error != asio::error::would_block;
}

void beast_connection::send(http_call call, duration timeout, outcome_handler handler)
{
    m_finished = std::move(handler);
    if (!m_open || peer_has_closed())
    {
        m_open = false;
        asio::post(m_io, [self = self()]
                   { self->fail(call_stage::not_sent, asio::error::not_connected); });
        return;
    }
    start_call(call);
    m_stream.expires_after(timeout);
    http::async_write(m_stream, m_request,
                      [self = self()](error_code error, std::size_t written)
                      {
                          if (error)
                              return self->fail(
                                  written == 0 ? call_stage::not_sent : call_stage::sent, error);
                          self->read_answer();
                      });
}

void beast_connection::start_call(const http_call& call)
{
    m_request = {};
    m_request.version(11);
    m_request.method_string(call.method);
    m_request.target(make_target(call));
    m_request.set(http::field::host, to_string(m_peer));
    for (const auto& [name, value] : call.fields)
        m_request.set(name, value);
    m_request.body() = *call.body;
    m_request.prepare_payload();
}

void beast_connection::read_answer()
{
    m_parser.emplace();
    m_parser->body_limit(m_max_reply_bytes);
    http::async_read(m_stream, m_buffer, *m_parser,
                     [self = self()](error_code error, std::size_t)
                     {
                         if (error)
                             return self->fail(call_stage::sent, error);
                         self->finish_answer();
                     });
}

void beast_connection::finish_answer()
{
    auto& message = m_parser->get();
    const int status = static_cast<int>(message.result_int());
    if (is_interim_status(status))
        return read_answer();
    // The parser accepts any three digits.
    if (!is_final_status(status))
        return fail(call_stage::sent, http::error::bad_status);
    call_outcome outcome{.stage = call_stage::answered};
    outcome.reply.status = status;
    for (const auto& field : message)
    {
        outcome.reply.fields[lower_case(field.name_string())] = std::string{field.value()};
    }
    outcome.reply.body = std::move(message.body());
    m_stream.expires_never();
    // Bytes after the answer belong to no call.
    if (!message.keep_alive() || m_buffer.size() > 0)
        close();
    finish(std::move(outcome));
}

void beast_connection::fail(call_stage stage, error_code error)
{
    close();
    finish({.stage = stage,
            .timed_out = error == beast::error::timeout,
            .reply = {},
            .error = error.message()});
}

void beast_connection::finish(call_outcome outcome)
{
    if (auto handler = std::exchange(m_finished, nullptr))
        handler(std::move(outcome));
}

void beast_connection::close()
{
    error_code ignored;
    m_open = false;
    m_stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    m_stream.close();
}

} // namespace

std::shared_ptr<http_connection> http_connection::make(asio::io_context& io, endpoint peer,
                                                       std::size_t max_reply_bytes)
{
    return std::make_shared<beast_connection>(io, std::move(peer), max_reply_bytes);
}

void call_once(asio::io_context& io, const endpoint& peer, http_call call, duration timeout,
               std::function<void(call_outcome)> handler)
{
    auto connection = http_connection::make(io, peer, max_call_once_reply_bytes);
    connection->open(timeout,
                     [connection, call = std::move(call), timeout,
                      handler = std::move(handler)](bool is_open) mutable
                     {
                         if (!is_open)
                             return handler({.error = "cannot connect"});
                         connection->send(std::move(call), timeout,
                                          [connection, handler](call_outcome outcome)
                                          {
                                              connection->close();
                                              handler(std::move(outcome));
                                          });
                     });
}

call_outcome call_and_wait(const endpoint& peer, http_call call, duration timeout)
{
    asio::io_context io;
    call_outcome outcome;
    call_once(io, peer, std::move(call), timeout,
              [&](call_outcome received) { outcome = std::move(received); });
    io.run();
    return outcome;
}

} // namespace tanagerspur
