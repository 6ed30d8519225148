// One HTTP/1.1 connection to a replica, which carries one request at a time. Unsolicited bytes,
// answers with another request's id and truncated answers are never delivered; after any of them
// the connection is not reused.

#ifndef TANAGERSPUR_NET_REPLICA_CONNECTION_HPP
#define TANAGERSPUR_NET_REPLICA_CONNECTION_HPP

#include "tanagerspur/common/endpoint.hpp"
#include "tanagerspur/forwarding/messages.hpp"
#include "tanagerspur/net/wire_header_names.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace tanagerspur
{

class replica_connection : public std::enable_shared_from_this<replica_connection>
{
public:
    enum class state
    {
        connecting,
        idle,
        busy,
        closed
    };

    // Receives events; except for may_buffer, never from within a call to the connection.
    class observer
    {
    public:
        virtual ~observer() = default;
        virtual void on_opened(replica_connection& which) = 0;
        // The request in progress has ended; the connection is idle or closed.
        virtual void on_request_ended(replica_connection& which, attempt_outcome outcome) = 0;
        // Closed without a request in progress, also when it could not be opened.
        virtual void on_closed(replica_connection& which) = 0;
        // The buffered part of an incomplete answer has changed from `before` bytes to
        // which.buffered_bytes(). Returns false if that exceeds the memory limit; the connection
        // is then closed. May be called from within a read.
        virtual bool may_buffer(replica_connection& which, std::size_t before) = 0;
    };

    replica_connection(boost::asio::io_context& io, const wire_header_names& header_names,
                       observer& connection_observer);

    // Starts to connect.
    void open(const endpoint& peer);

    // Sends the bytes of a request on an idle connection.
    void send(std::string bytes, std::string expected_id, bool wants_fields, time_point now);

    // Closes; a request in progress ends with the result. The observer is notified in a later turn
    // of the event loop.
    void close(attempt_result result, std::string_view detail);

    // Closes without notifying the observer, which is about to be destroyed.
    void detach();

    state current_state() const { return m_state; }
    // Time when the current state was entered.
    time_point state_since() const { return m_state_since; }
    // True once an answer has been received on this connection.
    bool has_answered() const { return m_has_answered; }
    // Buffered bytes of an incomplete answer.
    std::size_t buffered_bytes() const { return m_buffered_bytes; }
    // Idle timeout that the replica announced, without a margin; duration::max() if it announced
    // none.
    duration idle_limit() const { return m_idle_limit; }

private:
    using response_parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void set_state(state next);
    void read_more();
    void on_read(boost::system::error_code error, std::size_t size);
    void parse();
    void start_parser();
    void update_buffered_bytes();
    void finish_answer();
    void end_request(attempt_outcome outcome, bool keep);
    void on_read_error(boost::system::error_code error);
    void record_idle_limit();
    bool has_valid_status() const;
    bool is_expected_id() const;
    std::string_view field(const std::string& name) const;

    boost::asio::ip::tcp::socket m_socket;
    const wire_header_names& m_header_names;
    observer* m_observer;
    state m_state = state::connecting;
    time_point m_state_since;
    std::string m_request_bytes;
    bool m_is_request_written = true;
    std::string m_expected_id;
    bool m_wants_fields = true;
    // Bytes that belong to no request were received: the connection is closed after the current
    // request.
    bool m_must_close = false;
    bool m_has_answered = false;
    boost::beast::flat_buffer m_buffer;
    std::optional<response_parser> m_parser;
    std::size_t m_buffered_bytes = 0;
    duration m_idle_limit = duration::max();
};

} // namespace tanagerspur

#endif
