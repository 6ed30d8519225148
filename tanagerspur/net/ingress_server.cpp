#include "tanagerspur/net/ingress_server.hpp"

#include "tanagerspur/common/http_status.hpp"
#include "tanagerspur/net/accept_queue.hpp"
#include "tanagerspur/net/header_fields.hpp"
#include "tanagerspur/net/http_message.hpp"
#include "tanagerspur/net/socket_options.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <cstdio>
#include <optional>

namespace tanagerspur
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace
{

constexpr std::size_t read_bytes = std::size_t{4} * 1024;
// Limit of bytes of pipelined requests that are read while an earlier one is being answered.
constexpr std::size_t max_read_ahead = std::size_t{64} * 1024;
// Pause before the next accept after a failed one, for example when file descriptors are exhausted.
constexpr duration accept_backoff = std::chrono::milliseconds{50};

std::string encode(const caller_answer& answer, const wire_header_names& header_names, bool close)
{
    std::string message;
    message.reserve(256 + answer.body.size());
    const std::string_view standard =
        http::obsolete_reason(http::int_to_status(static_cast<unsigned>(answer.status)));
    message.append("HTTP/1.1 ").append(std::to_string(answer.status)).append(" ");
    message.append(answer.reason.empty() ? standard : answer.reason).append("\r\n");
    for (const header_field& each : answer.fields)
        append_field(message, each.name, each.value);
    if (!answer.part_signatures.empty())
    {
        std::string list;
        for (const std::string& each : answer.part_signatures)
            list.append(list.empty() ? "" : ", ").append(each);
        append_field(message, header_names.part_signatures, list);
    }
    if (answer.missing_parts)
        append_field(message, header_names.missing_parts, std::to_string(*answer.missing_parts));
    if (answer.retry_after)
    {
        std::array<char, 32> text{};
        std::snprintf(text.data(), text.size(), "%.3f", to_ms(*answer.retry_after) / 1000);
        append_field(message, "Retry-After", text.data());
    }
    if (close)
        append_field(message, "Connection", "close");
    append_field(message, "Content-Length", std::to_string(answer.body.size()));
    message.append("\r\n").append(answer.body);
    return message;
}

} // namespace

namespace detail
{

class ingress_session : public std::enable_shared_from_this<ingress_session>
{
public:
    ingress_session(ingress_server& server, asio::ip::tcp::socket socket, session_id id)
        : m_server(server)
        , m_socket(std::move(socket))
        , m_id(id)
        , m_state_since(boot_now())
    {
        start_parser();
    }

    void start() { read_more(); }
    void respond(const caller_answer& answer);
    void tick(time_point now);
    bool is_busy() const { return m_state == state::answering || m_state == state::writing; }
    // True if the caller may have sent a request that was not read completely.
    bool may_have_unread_request() const;
    void close();

private:
    enum class state
    {
        waiting,   // no byte of a request was received
        reading,   // part of a request was received
        answering, // the handler has the request
        writing,   // the answer is being written
        closed
    };
    using request_parser = http::request_parser<http::string_body>;

    void start_parser();
    void read_more();
    void on_read(error_code error, std::size_t size);
    void parse();
    void dispatch();
    void continue_if_expected();
    void reject(int status, std::string_view why);
    void on_written(error_code error);
    void set_state(state next);

    ingress_server& m_server;
    asio::ip::tcp::socket m_socket;
    session_id m_id;
    state m_state = state::waiting;
    time_point m_state_since;
    boost::beast::flat_buffer m_buffer;
    std::optional<request_parser> m_parser;
    std::string m_answer_bytes;
    bool m_keep_alive = true;
    bool m_is_reading = false;
    bool m_is_continue_sent = false;
    bool m_is_first_request = true;
};

void ingress_session::set_state(state next)
{
    m_state = next;
    m_state_since = boot_now();
}

void ingress_session::start_parser()
{
    m_parser.emplace();
    m_parser->header_limit(m_server.m_limits.max_header_bytes);
    m_parser->body_limit(m_server.m_limits.max_body_bytes);
    m_parser->eager(true);
    m_is_continue_sent = false;
}

void ingress_session::read_more()
{
    if (m_is_reading || m_buffer.size() > max_read_ahead + m_server.m_limits.max_header_bytes)
        return;
    m_is_reading = true;
    m_socket.async_read_some(m_buffer.prepare(read_bytes),
                             [self = shared_from_this()](error_code error, std::size_t size)
                             {
                                 self->m_is_reading = false;
                                 self->on_read(error, size);
                             });
}

void ingress_session::on_read(error_code error, std::size_t size)
{
    if (m_state == state::closed)
        return;
    if (error)
    {
        const bool is_unanswered = m_state == state::answering;
        close();
        if (is_unanswered)
            m_server.m_handler.on_caller_disconnected(m_id);
        return;
    }
    m_buffer.commit(size);
    if (!is_busy())
        parse();
    if (m_state != state::closed)
        read_more();
}

void ingress_session::parse()
{
    if (m_state == state::waiting && m_buffer.size() > 0)
        set_state(state::reading);
    while (m_state == state::reading && m_buffer.size() > 0)
    {
        error_code error;
        const std::size_t used = m_parser->put(m_buffer.data(), error);
        m_buffer.consume(used);
        if (error == http::error::need_more)
            return;
        if (error == http::error::header_limit)
            return reject(status_fields_too_large, "header fields are too large");
        if (error == http::error::body_limit)
            return reject(status_too_large, "body is too large");
        if (error)
            return reject(status_bad_request, error.message());
        if (m_parser->is_done())
            return dispatch();
        continue_if_expected();
        if (used == 0)
            return;
    }
}

void ingress_session::continue_if_expected()
{
    if (m_is_continue_sent || !m_parser->is_header_done() ||
        m_parser->get()[http::field::expect].empty())
        return;
    m_is_continue_sent = true;
    static const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    error_code ignored;
    m_socket.write_some(asio::buffer(interim), ignored);
}

void ingress_session::dispatch()
{
    set_state(state::answering);
    const wire_header_names& header_names = m_server.m_header_names;
    auto& message = m_parser->get();
    m_keep_alive = message.keep_alive();
    inbound_request inbound;
    inbound.host = std::string{message[http::field::host]};
    inbound.round_trip = duration{round_trip_us(m_socket)};
    inbound.is_first_on_connection = std::exchange(m_is_first_request, false);
    caller_request& request = inbound.request;
    request.method = std::string{message.method_string()};
    request.target = std::string{message.target()};
    request.id = request_id{std::string{message[header_names.request_id]}};
    if (const auto left = parse_number(std::string{message[header_names.deadline_ms]}))
        request.caller_timeout = std::chrono::milliseconds{*left};
    request.fields = end_to_end_fields(message, {header_names.request_id, header_names.deadline_ms,
                                                 header_names.expected_replica});
    request.body = std::move(message.body());
    m_server.m_handler.on_request(m_id, std::move(inbound));
}

void ingress_session::respond(const caller_answer& answer)
{
    if (m_state != state::answering)
        return;
    set_state(state::writing);
    m_keep_alive = m_keep_alive && !m_server.m_is_closing;
    m_answer_bytes = encode(answer, m_server.m_header_names, !m_keep_alive);
    asio::async_write(m_socket, asio::buffer(m_answer_bytes),
                      [self = shared_from_this()](error_code error, std::size_t)
                      { self->on_written(error); });
}

void ingress_session::on_written(error_code error)
{
    if (m_state == state::closed)
        return;
    if (error || !m_keep_alive)
        return close();
    start_parser();
    set_state(state::waiting);
    parse();
    if (m_state != state::closed)
        read_more();
}

void ingress_session::reject(int status, std::string_view why)
{
    m_server.m_handler.on_rejected(status, why);
    set_state(state::answering);
    m_keep_alive = false;
    const http_reply reply = error_reply(status, std::string{why});
    respond(
        {.status = status, .fields = {{"Content-Type", reply.content_type}}, .body = reply.body});
}

bool ingress_session::may_have_unread_request() const
{
    return m_state == state::reading ||
           (m_state == state::waiting && (m_is_first_request || has_unread_bytes(m_socket)));
}

void ingress_session::tick(time_point now)
{
    const duration age = now - m_state_since;
    if (m_server.m_is_stopped && m_state == state::waiting && age > unread_connection_timeout &&
        !has_unread_bytes(m_socket))
        return close();
    if (m_state == state::waiting && age > m_server.m_limits.idle_timeout)
        return close();
    if (m_state == state::reading && age > m_server.m_limits.header_timeout)
        return reject(status_request_timeout, "the request did not arrive in time");
    if (m_state == state::writing && age > m_server.m_limits.idle_timeout)
        close();
}

void ingress_session::close()
{
    if (m_state == state::closed)
        return;
    m_state = state::closed;
    error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_socket.close(ignored);
    m_server.remove(m_id);
}

} // namespace detail

ingress_server::ingress_server(asio::io_context& io, const wire_header_names& header_names,
                               ingress_handler& handler)
    : m_io(io)
    , m_header_names(header_names)
    , m_handler(handler)
    , m_acceptor(io)
{
}

ingress_server::~ingress_server()
{
    const auto sessions = m_sessions;
    for (const auto& [number, session] : sessions)
        session->close();
}

std::string ingress_server::start(const endpoint& listen)
{
    error_code error;
    const auto address = asio::ip::make_address(listen.address, error);
    const asio::ip::tcp::endpoint where{address, listen.port};
    if (!error)
        m_acceptor.open(where.protocol(), error);
    if (!error)
        m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        m_acceptor.bind(where, error);
    if (!error)
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return "cannot listen on " + to_string(listen) + ": " + error.message();
    accept();
    return {};
}

void ingress_server::accept()
{
    m_acceptor.async_accept(
        [this](error_code error, asio::ip::tcp::socket socket)
        {
            if (error == asio::error::operation_aborted)
                return;
            if (!error)
                open_session(std::move(socket));
            if (!m_acceptor.is_open())
                return;
            if (error)
            {
                auto timer = std::make_shared<asio::steady_timer>(m_io, accept_backoff);
                timer->async_wait([this, timer](error_code) { accept(); });
                return;
            }
            accept();
        });
}

void ingress_server::open_session(asio::ip::tcp::socket socket)
{
    configure_long_lived_connection(socket);
    const session_id id{m_next_session++};
    auto new_session = std::make_shared<detail::ingress_session>(*this, std::move(socket), id);
    m_sessions[id.value()] = new_session;
    new_session->start();
}

void ingress_server::respond(session_id session, const caller_answer& answer)
{
    const auto found = m_sessions.find(session.value());
    if (found != m_sessions.end())
        found->second->respond(answer);
}

void ingress_server::remove(session_id session)
{
    m_sessions.erase(session.value());
}

std::size_t ingress_server::busy_sessions() const
{
    if (m_is_stopped)
        return m_sessions.size();
    std::size_t busy = 0;
    for (const auto& [number, session] : m_sessions)
        busy += session->is_busy() ? 1 : 0;
    return busy;
}

void ingress_server::stop()
{
    if (std::exchange(m_is_stopped, true))
        return;
    accept_queued_and_close(m_acceptor, [this](asio::ip::tcp::socket socket)
                            { open_session(std::move(socket)); });
    const auto sessions = m_sessions;
    for (const auto& [number, session] : sessions)
        if (!session->is_busy() && !session->may_have_unread_request())
            session->close();
}

void ingress_server::tick(time_point now)
{
    const auto sessions = m_sessions;
    for (const auto& [number, session] : sessions)
        session->tick(now);
}

} // namespace tanagerspur
