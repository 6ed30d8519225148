// Implements key_value_store over HTTP with conditional requests: a version is an entity tag, a
// compare-and-swap is a PUT with If-Match (RFC 9110), and a watch is a GET with If-None-Match
// and "Prefer: wait" (RFC 7240). docs/API.md lists the calls.

#ifndef TANAGERSPUR_STORE_HTTP_STORE_HPP
#define TANAGERSPUR_STORE_HTTP_STORE_HPP

#include "tanagerspur/common/endpoint.hpp"
#include "tanagerspur/net/http_connection.hpp"
#include "tanagerspur/store/key_value_store.hpp"

#include <boost/asio/io_context.hpp>

#include <atomic>

namespace tanagerspur
{

struct http_store_options
{
    endpoint platform;
    // Name of this host, sent to the platform with each call unless it is empty.
    std::string caller;
    // Timeout of a call, in addition to the wait of a watch.
    duration call_timeout = std::chrono::seconds{2};
};

// Handlers run on the thread of the io_context.
class http_store final : public key_value_store
{
public:
    http_store(boost::asio::io_context& io, http_store_options options);

    void read(const std::string& key, value_handler handler) override;
    void watch(const std::string& key, std::uint64_t known_version, duration wait,
               value_handler handler) override;
    void write(const std::string& key, std::uint64_t expected_version, std::string text,
               value_handler handler) override;
    void list_hosts(list_handler handler) override;
    store_calls calls() const override;

private:
    void call(http_call request, duration timeout, http_connection::outcome_handler handler);

    boost::asio::io_context& m_io;
    http_store_options m_options;
    std::atomic<std::uint64_t> m_reads = 0;
    std::atomic<std::uint64_t> m_watches = 0;
    std::atomic<std::uint64_t> m_writes = 0;
    std::atomic<std::uint64_t> m_lists = 0;
    std::atomic<std::uint64_t> m_failures = 0;
};

// Parses the platform's host list; malformed entries are skipped.
host_list parse_host_list(const std::string& text);

} // namespace tanagerspur

#endif
