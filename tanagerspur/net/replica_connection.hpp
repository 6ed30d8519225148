// One HTTP/1.1 connection to a replica, which carries one request at a time. Bytes that belong to
// no request, an answer with another request's id, or an answer that is cut short never become an
// answer; after any of them the connection is not used again.

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

    // Told about events; never from within a call to the connection.
    class observer
    {
    public:
        virtual ~observer() = default;
        virtual void opened(replica_connection& which) = 0;
        // The request under way has ended; the connection is idle or closed.
        virtual void ended(replica_connection& which, attempt_outcome outcome) = 0;
        // Closed without a request under way, also when it could not be opened.
        virtual void closed(replica_connection& which) = 0;
        // What it holds of an unfinished answer has grown; false if that is more than there is
        // room for. May be called from within a read.
        virtual bool may_buffer(replica_connection& which, std::size_t before) = 0;
    };

    replica_connection(boost::asio::io_context& io, const wire_header_names& header_names,
                       observer& told);

    // Starts to connect.
    void open(const endpoint& peer);

    // Sends the bytes of a request on an idle connection.
    void send(std::string bytes, std::string expected_id, bool wants_fields, time_point now);

    // Closes; a request under way ends with the result, and the observer hears of it later.
    void close(attempt_result result, std::string_view detail);

    // The observer is gone: closes without telling anybody.
    void detach();

    state current() const { return m_state; }
    // When the state was entered.
    time_point since() const { return m_since; }
    // True once an answer has come on it.
    bool has_answered() const { return m_has_answered; }
    // Bytes of an unfinished answer.
    std::size_t buffered_bytes() const { return m_held; }
    // Longest idle time that the replica announced, without a margin; never if it told none.
    duration idle_limit() const { return m_idle_limit; }

private:
    using response_parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void enter(state next);
    void read_more();
    void on_read(boost::system::error_code error, std::size_t size);
    void parse();
    void start_parser();
    void count_held();
    void finish_answer();
    void end_request(attempt_outcome outcome, bool keep);
    void end_of_input(boost::system::error_code error);
    void note_keep_alive();
    bool is_expected_id() const;
    std::string_view field(const std::string& name) const;

    boost::asio::ip::tcp::socket m_socket;
    const wire_header_names& m_header_names;
    observer* m_observer;
    state m_state = state::connecting;
    time_point m_since;
    std::string m_out;
    bool m_is_written = true;
    std::string m_expected_id;
    bool m_wants_fields = true;
    // Bytes came that belong to no request: the connection is closed after the present one.
    bool m_is_spoiled = false;
    bool m_has_answered = false;
    boost::beast::flat_buffer m_buffer;
    std::optional<response_parser> m_parser;
    std::size_t m_held = 0;
    duration m_idle_limit = duration::max();
};

} // namespace tanagerspur

#endif
