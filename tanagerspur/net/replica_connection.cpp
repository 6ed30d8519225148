#include "tanagerspur/net/replica_connection.hpp"

#include "tanagerspur/common/http_status.hpp"
#include "tanagerspur/net/header_fields.hpp"
#include "tanagerspur/net/http_message.hpp"
#include "tanagerspur/net/socket_options.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace tanagerspur
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace
{

// Longest accepted body of an answer; a longer one fails the request.
constexpr std::size_t max_answer_bytes = std::size_t{8} * 1024 * 1024;
constexpr std::size_t read_bytes = std::size_t{8} * 1024;
// Longest accepted line: the parser limits headers and bodies, but not the lines between the
// chunks of a body.
constexpr std::size_t max_line_bytes = std::size_t{64} * 1024;

// Longest idle timeout that is taken from a replica; connections are closed sooner anyway.
constexpr std::chrono::seconds max_idle_limit = std::chrono::hours{1};
// Longest accepted Retry-After of a replica.
constexpr duration max_pause = std::chrono::hours{1};

std::optional<reported_load> parse_load(std::string_view text)
{
    reported_load load;
    const char* at = text.data();
    const char* const end = at + text.size();
    for (std::uint32_t* figure : {&load.running, &load.waiting, &load.slots})
    {
        const auto [stop, code] = std::from_chars(at, end, *figure);
        if (code != std::errc{})
            return std::nullopt;
        at = stop;
        if (at != end && *at == ',')
            ++at;
    }
    return load;
}

// Parses a finite decimal number that is not negative.
std::optional<double> parse_decimal(std::string_view text)
{
    double value = 0;
    const auto [stop, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool is_number = code == std::errc{} && stop == text.data() + text.size();
    return is_number && std::isfinite(value) && value >= 0 ? std::optional{value} : std::nullopt;
}

// Parses the seconds of a Retry-After field; the date that HTTP also allows is ignored.
std::optional<duration> parse_pause(std::string_view text)
{
    const std::optional<double> seconds = parse_decimal(text);
    if (!seconds || *seconds == 0)
        return std::nullopt;
    return std::chrono::duration_cast<duration>(std::min(std::chrono::duration<double>{*seconds},
                                                         std::chrono::duration<double>{max_pause}));
}

// The signatures of several answers are joined in a list, in which these characters separate and
// quote.
bool is_valid_signature(std::string_view text)
{
    return !text.empty() && text.find_first_of(",\"") == std::string_view::npos;
}

} // namespace

replica_connection::replica_connection(asio::io_context& io, const wire_header_names& header_names,
                                       observer& connection_observer)
    : m_socket(io)
    , m_header_names(header_names)
    , m_observer(&connection_observer)
    , m_state_since(boot_now())
{
}

void replica_connection::set_state(state next)
{
    m_state = next;
    m_state_since = boot_now();
}

void replica_connection::open(const endpoint& peer)
{
    error_code error;
    const auto address = asio::ip::make_address(peer.address, error);
    m_socket.async_connect(asio::ip::tcp::endpoint{address, peer.port},
                           [self = shared_from_this()](error_code connect_error)
                           {
                               if (self->m_state != state::connecting)
                                   return;
                               if (connect_error)
                                   return self->close(attempt_result::not_sent,
                                                      connect_error.message());
                               configure_long_lived_connection(self->m_socket);
                               self->set_state(state::idle);
                               self->read_more();
                               if (self->m_observer != nullptr)
                                   self->m_observer->on_opened(*self);
                           });
}

void replica_connection::send(std::string bytes, std::string expected_id, bool wants_fields,
                              time_point now)
{
    m_request_bytes = std::move(bytes);
    m_expected_id = std::move(expected_id);
    m_wants_fields = wants_fields;
    m_state = state::busy;
    m_state_since = now;
    m_is_request_written = false;
    start_parser();
    asio::async_write(m_socket, asio::buffer(m_request_bytes),
                      [self = shared_from_this()](error_code error, std::size_t)
                      {
                          self->m_is_request_written = !error;
                          // A write error does not end the request: an answer may still arrive,
                          // and the read side determines the outcome.
                      });
}

void replica_connection::start_parser()
{
    m_parser.emplace();
    m_parser->body_limit(max_answer_bytes);
    m_parser->eager(true);
}

// Called after each parser step and on close, never during a parser step.
void replica_connection::update_buffered_bytes()
{
    const bool is_reading = m_state == state::busy && m_parser.has_value();
    const std::size_t now = is_reading ? m_buffer.size() + m_parser->get().body().size() : 0;
    const std::size_t before = std::exchange(m_buffered_bytes, now);
    if (m_observer == nullptr || now == before)
        return;
    if (!m_observer->may_buffer(*this, before))
        close(attempt_result::failed, "incomplete answers exceed the memory limit");
}

void replica_connection::read_more()
{
    m_socket.async_read_some(m_buffer.prepare(read_bytes),
                             [self = shared_from_this()](error_code error, std::size_t size)
                             { self->on_read(error, size); });
}

void replica_connection::on_read(error_code error, std::size_t size)
{
    if (m_state == state::closed)
        return;
    if (error)
        return on_read_error(error);
    m_buffer.commit(size);
    if (m_state != state::busy)
        return close(attempt_result::failed, "unsolicited bytes on an idle connection");
    parse();
    update_buffered_bytes();
    if (m_state != state::closed)
        read_more();
}

void replica_connection::parse()
{
    while (m_state == state::busy && m_buffer.size() > 0)
    {
        error_code error;
        const std::size_t used = m_parser->put(m_buffer.data(), error);
        m_buffer.consume(used);
        if (error == http::error::need_more && m_buffer.size() > max_line_bytes)
            return close(attempt_result::failed, "unterminated line exceeds the size limit");
        if (error == http::error::need_more)
            return;
        if (error)
            return close(attempt_result::failed, error.message());
        if (m_parser->is_header_done() && !has_valid_status())
            return close(attempt_result::failed, "invalid status");
        if (m_parser->is_done())
            finish_answer();
        else if (used == 0)
            return;
    }
    if (m_state == state::idle && m_buffer.size() > 0)
        close(attempt_result::failed, "unexpected bytes after the end of an answer");
}

void replica_connection::on_read_error(error_code error)
{
    // An answer without a length ends when the replica closes the connection in order.
    const bool is_unframed = m_state == state::busy && error == asio::error::eof &&
                             m_parser->is_header_done() && m_parser->need_eof();
    if (is_unframed)
    {
        error_code parse_error;
        m_parser->put_eof(parse_error);
        if (!parse_error && m_parser->is_done())
            finish_answer();
    }
    // Also ends an attempt whose connection has ended behind an answer to another request.
    close(attempt_result::failed, error.message());
}

// The parser accepts any three digits.
bool replica_connection::has_valid_status() const
{
    const int status = static_cast<int>(m_parser->get().result_int());
    return is_interim_status(status) || is_final_status(status);
}

std::string_view replica_connection::field(const std::string& name) const
{
    const auto value = m_parser->get()[name];
    return {value.data(), value.size()};
}

// A refusal or a signed answer may lack an id, but not on a connection that is marked for closing,
// for example after an answer to another request.
bool replica_connection::is_expected_id() const
{
    const std::string_view id = field(m_header_names.request_id);
    if (!id.empty())
        return id == m_expected_id;
    const bool is_refusal = !field(m_header_names.not_run).empty() ||
                            m_parser->get().result_int() == status_misdirected;
    return !m_must_close && (is_refusal || !field(m_header_names.signature).empty());
}

void replica_connection::record_idle_limit()
{
    constexpr std::string_view key = "timeout=";
    const std::string_view text = field("Keep-Alive");
    const auto at = text.find(key);
    if (at == std::string_view::npos)
        return;
    const std::string_view digits = text.substr(at + key.size());
    std::chrono::seconds::rep seconds = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (seconds > 0)
        m_idle_limit = std::min(max_idle_limit, std::chrono::seconds{seconds});
}

void replica_connection::finish_answer()
{
    if (is_interim_status(static_cast<int>(m_parser->get().result_int())))
        return start_parser();
    if (!is_expected_id())
    {
        // A late or duplicate answer to an earlier request; the expected one may follow.
        m_must_close = true;
        return start_parser();
    }
    auto& message = m_parser->get();
    attempt_outcome outcome{.result = attempt_result::answered};
    outcome.load = parse_load(field(m_header_names.load));
    outcome.answer.status = static_cast<int>(message.result_int());
    outcome.notice.is_leaving = field(m_header_names.leaving) == "1";
    if (const auto per_second = parse_decimal(field(m_header_names.limit)))
        outcome.notice.limit = request_rate{*per_second};
    if (outcome.answer.status == status_unavailable ||
        outcome.answer.status == status_too_many_requests)
        outcome.notice.pause = parse_pause(field("Retry-After"));
    outcome.is_misdirected = outcome.answer.status == status_misdirected;
    if (outcome.is_misdirected || !field(m_header_names.not_run).empty())
        outcome.result = attempt_result::refused;
    outcome.answer.reason = std::string{message.reason()};
    outcome.answer.signature = std::string{field(m_header_names.signature)};
    if (m_wants_fields || !outcome.answer.is_success())
        outcome.answer.fields = end_to_end_fields(message, {});
    // The parser's view includes that an answer without a length ends with its connection.
    const bool keep = m_parser->keep_alive() && !m_must_close && m_is_request_written;
    m_has_answered = true;
    record_idle_limit();
    const bool is_unusable_success =
        outcome.result == attempt_result::answered && outcome.answer.is_success() &&
        (!is_valid_signature(outcome.answer.signature) || !field("Content-Encoding").empty());
    outcome.answer.body = std::move(message.body());
    if (is_unusable_success)
    {
        outcome.result = attempt_result::failed;
        outcome.detail = "success without a valid signature or with a Content-Encoding";
    }
    end_request(std::move(outcome), keep);
}

void replica_connection::end_request(attempt_outcome outcome, bool keep)
{
    set_state(state::idle);
    if (!keep || m_buffer.size() > 0)
    {
        error_code ignored;
        m_socket.close(ignored);
        set_state(state::closed);
    }
    if (m_observer != nullptr)
        m_observer->on_request_ended(*this, std::move(outcome));
}

// Notifies the observer in a later turn of the event loop, since the observer may be the caller.
void replica_connection::close(attempt_result result, std::string_view detail)
{
    if (m_state == state::closed)
        return;
    const bool was_busy = m_state == state::busy;
    error_code ignored;
    m_socket.close(ignored);
    set_state(state::closed);
    update_buffered_bytes();
    asio::post(m_socket.get_executor(),
               [self = shared_from_this(), was_busy, result, text = std::string{detail}]
               {
                   if (self->m_observer == nullptr)
                       return;
                   if (was_busy)
                       self->m_observer->on_request_ended(*self,
                                                          {.result = result, .detail = text});
                   else
                       self->m_observer->on_closed(*self);
               });
}

void replica_connection::detach()
{
    m_observer = nullptr;
    error_code ignored;
    m_socket.close(ignored);
    m_state = state::closed;
}

} // namespace tanagerspur
