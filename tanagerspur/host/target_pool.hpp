// Connections to targets. Lives on the targets' thread: calls arrive through a ring and results
// leave through the listener. Connections are opened rarely, kept, and never more than the cap;
// one that loses a call is closed, and the idle ones of the same target are then not trusted.

#ifndef TANAGERSPUR_HOST_TARGET_POOL_HPP
#define TANAGERSPUR_HOST_TARGET_POOL_HPP

#include "tanagerspur/common/endpoint.hpp"
#include "tanagerspur/common/message_ring.hpp"
#include "tanagerspur/dispatch/sub_request.hpp"
#include "tanagerspur/net/http_connection.hpp"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <variant>

namespace tanagerspur
{

// An attempt of this host at a target.
struct target_attempt
{
    shard_key shard;
    attempt_id attempt;
    endpoint target;
    // Unique over all hosts; the target knows the work by it.
    std::string key;
    index_version version;
    time_point deadline;
    bool idempotent = true;
    request_id request;
    std::shared_ptr<const std::string> body;
};

// Asks a target to stop an attempt.
struct target_cancel
{
    endpoint target;
    std::string key;
};

// Asks a target for its load report.
struct target_poll
{
    endpoint target;
};

// Sets how many connections this host may have to a target; 0 closes all.
struct target_limit
{
    endpoint target;
    std::size_t max_connections = 0;
    duration connect_timeout{};
};

using target_command = std::variant<target_attempt, target_cancel, target_poll, target_limit>;

// Called on the targets' thread.
class target_listener
{
public:
    virtual ~target_listener() = default;
    virtual void on_attempt_end(const shard_key& shard, attempt_id attempt,
                                attempt_result result) = 0;
    virtual void on_load_report(const endpoint& target, load_report report) = 0;
};

struct target_counts
{
    std::uint64_t opened = 0;
    std::uint64_t open_failures = 0;
    std::uint64_t calls = 0;
    std::uint64_t lost = 0;
};

class target_pool
{
public:
    target_pool(boost::asio::io_context& io, target_listener& listener);
    ~target_pool();

    void handle(target_command command);

    // Closes all connections.
    void close();

    target_counts counts() const;

private:
    struct target;

    target& find(const endpoint& where);
    void start(target& to, target_attempt call);
    void open(target& to, target_attempt call);
    void send(target& to, std::shared_ptr<http_connection> connection, bool reused,
              target_attempt call);
    void finish(target& to, const std::shared_ptr<http_connection>& connection, bool reused,
                const target_attempt& call, const call_outcome& outcome);
    void start_waiting(target& to);
    void distrust_idle(target& to);
    void control(const endpoint& where, http_call call);
    void send_control(target& to);

    boost::asio::io_context& m_io;
    target_listener& m_listener;
    std::map<endpoint, std::unique_ptr<target>> m_targets;
    std::atomic<std::uint64_t> m_opened = 0;
    std::atomic<std::uint64_t> m_open_failures = 0;
    std::atomic<std::uint64_t> m_calls = 0;
    std::atomic<std::uint64_t> m_lost = 0;
};

// Reads a target's answer to an attempt; docs/API.md gives the protocol.
attempt_result read_attempt_result(const call_outcome& outcome);

// Parses a target's load report; nothing when it is malformed.
std::optional<load_report> parse_load_report(const std::string& text);

} // namespace tanagerspur

#endif
