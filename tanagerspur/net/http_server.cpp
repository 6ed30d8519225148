#include "tanagerspur/net/http_server.hpp"

#include "tanagerspur/common/text.hpp"
#include "tanagerspur/net/accept_queue.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <optional>
#include <set>

namespace tanagerspur
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace
{

class session;

// Limit of bytes that are read and not yet parsed: the limits of headers and bodies do not cover
// the lines between the chunks of a body.
constexpr std::size_t max_unparsed_bytes = std::size_t{128} * 1024;

} // namespace

struct detail::http_server_state : std::enable_shared_from_this<detail::http_server_state>
{
    http_server_state(asio::io_context& context, http_server_options wanted, http_handler& receiver)
        : io(context)
        , options(std::move(wanted))
        , handler(receiver)
        , acceptor(context)
    {
    }

    void accept();
    void open_session(tcp::socket socket);
    bool admit(const std::string& peer);
    void release(const std::string& peer);

    asio::io_context& io;
    http_server_options options;
    http_handler& handler;
    tcp::acceptor acceptor;
    std::map<std::string, std::size_t> connections_by_peer;
    std::atomic<std::size_t> connections = 0;
    std::set<session*> sessions;
    std::uint64_t next_token = 1;
    std::uint64_t next_connection = 1;
    bool stopping = false;
    // Cleared by the server's destructor: sessions that outlive it no longer call the handler.
    bool alive = true;
};

namespace
{

// One connection: reads a call, waits for its answer, writes it, and reads the next call.
class session : public std::enable_shared_from_this<session>
{
public:
    using server_state = std::shared_ptr<detail::http_server_state>;

    session(server_state server, tcp::socket socket, std::string peer);
    ~session();
    session(const session&) = delete;
    session& operator=(const session&) = delete;

    void start(duration delay);
    void close_when_idle();

private:
    void read_header();
    void read_body();
    void dispatch();
    void watch_for_close();
    void respond(std::uint64_t token, http_reply reply);
    void write(http_reply reply, bool keep_open);
    void reject(int status, const std::string& message);
    void close();

    server_state m_server;
    beast::tcp_stream m_stream;
    std::string m_peer;
    asio::steady_timer m_delay;
    beast::flat_buffer m_buffer{max_unparsed_bytes};
    std::optional<http::request_parser<http::string_body>> m_parser;
    http::response<http::string_body> m_response;
    std::uint64_t m_number;
    std::uint64_t m_token = 0;
    bool m_handling = false;
    bool m_idle = false;
};

session::session(server_state server, tcp::socket socket, std::string peer)
    : m_server(std::move(server))
    , m_stream(std::move(socket))
    , m_peer(std::move(peer))
    , m_delay(m_server->io)
    , m_number(m_server->next_connection++)
{
    m_server->sessions.insert(this);
}

session::~session()
{
    m_server->sessions.erase(this);
    m_server->release(m_peer);
}

void session::start(duration delay)
{
    error_code ignored;
    m_stream.socket().set_option(tcp::no_delay(true), ignored);
    // The peek in watch_for_close() must not block the thread after a spurious readiness event.
    m_stream.socket().non_blocking(true, ignored);
    if (delay.count() == 0)
    {
        read_header();
        return;
    }
    m_delay.expires_after(delay);
    m_delay.async_wait([self = shared_from_this()](error_code) { self->read_header(); });
}

void session::close_when_idle()
{
    if (!m_idle)
        return;
    if (m_token != 0 && !has_unread_bytes(m_stream.socket()))
        return close();
    // The read that has started ends with the request or with this time limit.
    m_stream.expires_after(unread_connection_timeout);
}

void session::read_header()
{
    m_parser.emplace();
    m_parser->body_limit(m_server->options.max_body_bytes);
    m_parser->header_limit(m_server->options.max_header_bytes);
    m_idle = true;
    m_stream.expires_after(m_server->stopping ? unread_connection_timeout
                                              : duration{m_server->options.idle_timeout});
    http::async_read_header(
        m_stream, m_buffer, *m_parser,
        [self = shared_from_this()](error_code error, std::size_t)
        {
            self->m_idle = false;
            if (error == http::error::header_limit)
                return self->reject(431, "header fields are too large");
            if (error == http::error::body_limit)
                return self->reject(413, "body is too large");
            if (error.category() == http::make_error_code(http::error::bad_version).category() &&
                error != http::error::end_of_stream && error != http::error::partial_message)
                return self->reject(400, "malformed HTTP request");
            if (!error)
                self->read_body();
        });
}

void session::read_body()
{
    m_stream.expires_after(m_server->options.read_timeout);
    http::async_read(m_stream, m_buffer, *m_parser,
                     [self = shared_from_this()](error_code error, std::size_t)
                     {
                         if (error == http::error::body_limit)
                             return self->reject(413, "body is too large");
                         if (error == beast::error::timeout)
                             return self->reject(408, "the request did not arrive in time");
                         if (error)
                             return self->close();
                         self->dispatch();
                     });
}

void session::dispatch()
{
    m_stream.expires_never();
    auto& message = m_parser->get();
    http_call call{.method = std::string{message.method_string()}};
    if (!parse_target(std::string{message.target()}, call))
        return reject(400, "malformed request target");
    for (const auto& field : message)
        call.fields[lower_case(field.name_string())] = std::string{field.value()};
    call.body = std::make_shared<const std::string>(std::move(message.body()));
    call.connection = m_number;
    m_handling = true;
    m_token = m_server->next_token++;
    watch_for_close();
    const std::weak_ptr<session> weak = weak_from_this();
    auto& io = m_server->io;
    m_server->handler.handle(std::move(call), m_token,
                             [weak, &io, token = m_token](http_reply reply)
                             {
                                 asio::post(io,
                                            [weak, token, reply = std::move(reply)]() mutable
                                            {
                                                if (auto self = weak.lock())
                                                    self->respond(token, std::move(reply));
                                            });
                             });
}

// A readable socket without bytes means that the peer has closed. The pending wait also keeps the
// session alive until the call is answered.
void session::watch_for_close()
{
    m_stream.socket().async_wait(tcp::socket::wait_read,
                                 [self = shared_from_this(), token = m_token](error_code error)
                                 {
                                     if (!self->m_handling || self->m_token != token || error)
                                         return;
                                     error_code peek_error;
                                     char byte = 0;
                                     const auto seen = self->m_stream.socket().receive(
                                         asio::buffer(&byte, 1), tcp::socket::message_peek,
                                         peek_error);
                                     if (seen > 0 && !peek_error)
                                         return;
                                     if (peek_error == asio::error::would_block)
                                         return self->watch_for_close();
                                     self->m_handling = false;
                                     if (self->m_server->alive)
                                         self->m_server->handler.abandoned(token);
                                     self->close();
                                 });
}

void session::respond(std::uint64_t token, http_reply reply)
{
    if (!m_handling || token != m_token)
        return;
    m_handling = false;
    error_code ignored;
    m_stream.socket().cancel(ignored);
    write(std::move(reply), m_parser->get().keep_alive() && !m_server->stopping);
}

void session::write(http_reply reply, bool keep_open)
{
    m_response = {};
    m_response.version(11);
    m_response.result(static_cast<unsigned>(reply.status));
    m_response.set(http::field::content_type, reply.content_type);
    for (const auto& [name, value] : reply.fields)
        m_response.set(name, value);
    m_response.keep_alive(keep_open);
    m_response.body() = std::move(reply.body);
    m_response.prepare_payload();
    m_stream.expires_after(m_server->options.read_timeout);
    http::async_write(m_stream, m_response,
                      [self = shared_from_this(), keep_open](error_code error, std::size_t)
                      {
                          if (error || !keep_open || self->m_server->stopping)
                              return self->close();
                          self->read_header();
                      });
}

void session::reject(int status, const std::string& message)
{
    write(error_reply(status, message), false);
}

void session::close()
{
    error_code ignored;
    m_stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    m_stream.socket().close(ignored);
}

} // namespace

void detail::http_server_state::accept()
{
    acceptor.async_accept(
        [self = shared_from_this()](error_code error, tcp::socket socket)
        {
            if (error == asio::error::operation_aborted || !self->alive)
                return;
            if (!error)
                self->open_session(std::move(socket));
            if (!self->stopping)
                self->accept();
        });
}

void detail::http_server_state::open_session(tcp::socket socket)
{
    error_code ignored;
    const std::string peer = socket.remote_endpoint(ignored).address().to_string();
    if (!admit(peer))
        return;
    auto new_session = std::make_shared<session>(shared_from_this(), std::move(socket), peer);
    const duration delay = handler.on_accept();
    if (delay.count() >= 0)
        new_session->start(delay);
}

bool detail::http_server_state::admit(const std::string& peer)
{
    std::size_t& of_peer = connections_by_peer[peer];
    if (connections >= options.max_connections || of_peer >= options.max_connections_per_peer)
        return false;
    ++of_peer;
    ++connections;
    return true;
}

void detail::http_server_state::release(const std::string& peer)
{
    --connections;
    if (--connections_by_peer[peer] == 0)
        connections_by_peer.erase(peer);
    if (alive)
        handler.on_close();
}

http_server::http_server(asio::io_context& io, http_server_options options, http_handler& handler)
    : m_state(std::make_shared<detail::http_server_state>(io, std::move(options), handler))
{
}

http_server::~http_server()
{
    m_state->alive = false;
    error_code ignored;
    m_state->acceptor.close(ignored);
}

std::string http_server::start()
{
    error_code error;
    const auto address = asio::ip::make_address(m_state->options.listen.address, error);
    if (error)
        return "invalid address " + m_state->options.listen.address;
    const tcp::endpoint where{address, m_state->options.listen.port};
    auto& acceptor = m_state->acceptor;
    acceptor.open(where.protocol(), error);
    if (!error)
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor.bind(where, error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return "cannot listen on " + to_string(m_state->options.listen) + ": " + error.message();
    m_state->accept();
    return {};
}

void http_server::stop_accepting()
{
    m_state->stopping = true;
    accept_queued_and_close(m_state->acceptor, [this](tcp::socket socket)
                            { m_state->open_session(std::move(socket)); });
    // A closed session may be destroyed, which changes the set.
    const std::set<session*> sessions = m_state->sessions;
    for (session* each : sessions)
        each->close_when_idle();
}

std::size_t http_server::open_connections() const
{
    return m_state->connections;
}

} // namespace tanagerspur
