// One HTTP/1.1 client connection on Boost.Beast that carries one call at a time. The outcome
// states the stage that a call reached, which determines its verdict.

#ifndef TANAGERSPUR_NET_HTTP_CONNECTION_HPP
#define TANAGERSPUR_NET_HTTP_CONNECTION_HPP

#include "tanagerspur/common/endpoint.hpp"
#include "tanagerspur/common/time.hpp"
#include "tanagerspur/net/http_message.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace tanagerspur
{

// The last stage that a call reached.
enum class call_stage
{
    not_sent, // no byte of the call was sent
    sent,     // at least a part was sent; the peer may have run the call
    answered  // a complete answer was received
};

struct call_outcome
{
    call_stage stage = call_stage::not_sent;
    bool timed_out = false;
    http_reply reply;
    std::string error;
};

class http_connection : public std::enable_shared_from_this<http_connection>
{
public:
    using open_handler = std::function<void(bool)>;
    using outcome_handler = std::function<void(call_outcome)>;

    // Answers longer than max_reply_bytes fail the call.
    static std::shared_ptr<http_connection> make(boost::asio::io_context& io, endpoint peer,
                                                 std::size_t max_reply_bytes);
    virtual ~http_connection() = default;

    // Connects; the handler receives true on success.
    virtual void open(duration timeout, open_handler handler) = 0;

    // Sends a call on an open, idle connection. After a failure the connection is closed.
    virtual void send(http_call call, duration timeout, outcome_handler handler) = 0;

    // Closes at once; a call in progress ends with the stage that it reached.
    virtual void close() = 0;

    virtual bool is_open() const = 0;
};

// Opens a connection, makes one call and closes; the handler is called on the io_context.
void call_once(boost::asio::io_context& io, const endpoint& peer, http_call call, duration timeout,
               std::function<void(call_outcome)> handler);

// Makes one call and waits for its outcome; for command-line programs.
call_outcome call_and_wait(const endpoint& peer, http_call call, duration timeout);

} // namespace tanagerspur

#endif
