// A shared_store that sends its watches to the hosts that read the store on behalf of the others
// (readers). Watches go to the store itself when this host is a reader or when no reader answers.
// All other calls go to the store.

#ifndef TANAGERSPUR_STORE_RELAYED_STORE_HPP
#define TANAGERSPUR_STORE_RELAYED_STORE_HPP

#include "tanagerspur/net/http_connection.hpp"
#include "tanagerspur/store/reader_choice.hpp"
#include "tanagerspur/store/shared_store.hpp"

#include <boost/asio/io_context.hpp>

#include <map>

namespace tanagerspur
{

struct relay_options
{
    // Timeout of a call to a reader, in addition to the wait of the watch; the latency between
    // hosts is about a millisecond.
    duration call_timeout = std::chrono::milliseconds{500};
    // A reader that failed is not tried again for this time.
    duration failed_reader_backoff = std::chrono::milliseconds{1'500};
    // Readers are tried for a watch until this time after its start, then the store itself. Readers
    // that have failed are tried again after a while, so with many of them the search would not
    // end by itself.
    duration max_search_time = std::chrono::milliseconds{1'500};
    // Wait of a watch at the store when no reader answers. All hosts call the store at once in that
    // case, and each call is charged for. A lost call is noticed only when its wait is over.
    duration fallback_wait = std::chrono::seconds{1};
    // Minimum time from the start of such a watch that failed to the start of the next one. When
    // all readers have lost the store, it is most likely unavailable to every host, and each host's
    // call is charged for. This bounds how long a host may miss changes after the store is
    // available again, and must be less than the four seconds in which deployments settle.
    duration failed_store_backoff = std::chrono::seconds{3};
};

struct relay_counters
{
    std::uint64_t watches = 0;
    std::uint64_t failures = 0;
    // Watches that no reader answered.
    std::uint64_t fallbacks = 0;
};

class relayed_store final : public shared_store
{
public:
    relayed_store(boost::asio::io_context& io, shared_store& direct, relay_options options = {});

    // Sets the readers in the order in which to try them; none if this host reads the store itself.
    void set_readers(std::vector<reader_candidate> readers) { m_readers = std::move(readers); }

    // True if the last watch that was answered went to the store itself.
    bool reads_store() const { return m_reads_store; }

    const relay_counters& counters() const { return m_counters; }

    void range(const std::string& prefix, const std::string& after_key, bool may_be_stale,
               page_handler handler) override;
    void watch(const std::string& prefix, store_position after, duration wait,
               change_handler handler) override;
    void open_lease(duration length, lease_handler handler) override;
    void renew_lease(lease_id lease, done_handler handler) override;
    void end_lease(lease_id lease, done_handler handler) override;
    void put(const std::string& key, const std::string& value, lease_id lease,
             done_handler handler) override;
    store_era era() const override { return m_direct.era(); }
    shared_store_calls calls() const override { return m_direct.calls(); }

private:
    using connection_ref = std::shared_ptr<http_connection>;
    struct pending_watch
    {
        std::string prefix;
        store_position after;
        duration wait;
        change_handler handler;
        time_point begun;
    };

    const reader_candidate* next_reader(time_point search_begun, time_point now) const;
    void watch_reader(const reader_candidate& reader, pending_watch watch);
    void send_watch(const connection_ref& connection, const host_id& reader,
                    const pending_watch& watch);
    void reader_failed(const host_id& reader, pending_watch watch);
    void start_watch(pending_watch watch);
    void watch_store(const pending_watch& watch, duration wait);
    void watch_store_as_fallback(pending_watch watch);

    boost::asio::io_context& m_io;
    shared_store& m_direct;
    relay_options m_options;
    std::vector<reader_candidate> m_readers;
    std::map<host_id, time_point> m_failed_until;
    time_point m_store_failed_until{};
    bool m_reads_store = false;
    std::map<host_id, connection_ref> m_connections;
    relay_counters m_counters;
};

} // namespace tanagerspur

#endif
