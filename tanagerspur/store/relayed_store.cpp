#include "tanagerspur/store/relayed_store.hpp"

#include "tanagerspur/store/relay_server.hpp"

#include <boost/asio/post.hpp>

namespace tanagerspur
{

namespace
{

// A relayed configuration of several thousand routes has a size of some megabytes.
constexpr std::size_t max_answer_bytes = std::size_t{16} * 1024 * 1024;
// A watch with a shorter wait is a probe that only checks whether the store answers.
constexpr duration min_long_wait = std::chrono::milliseconds{100};

} // namespace

relayed_store::relayed_store(boost::asio::io_context& io, shared_store& direct,
                             relay_options options)
    : m_io(io)
    , m_direct(direct)
    , m_options(options)
{
}

const reader_candidate* relayed_store::next_reader(time_point search_begun, time_point now) const
{
    if (now - search_begun >= m_options.max_search_time)
        return nullptr;
    for (const reader_candidate& each : m_readers)
    {
        const auto failed = m_failed_until.find(each.id);
        if (failed == m_failed_until.end() || now >= failed->second)
            return &each;
    }
    return nullptr;
}

void relayed_store::watch(const std::string& prefix, store_position after, duration wait,
                          change_handler handler)
{
    start_watch({.prefix = prefix,
                 .after = after,
                 .wait = wait,
                 .handler = std::move(handler),
                 .begun = boot_now()});
}

// Tries the readers one at a time: the next call begins only after the previous one has ended.
void relayed_store::start_watch(pending_watch watch)
{
    const reader_candidate* reader = next_reader(watch.begun, boot_now());
    if (reader != nullptr)
        return watch_reader(reader_candidate{*reader}, std::move(watch));
    if (m_readers.empty())
        return watch_store(watch, watch.wait);
    watch_store_as_fallback(std::move(watch));
}

void relayed_store::watch_store(const pending_watch& watch, duration wait)
{
    m_direct.watch(watch.prefix, watch.after, wait,
                   [this, handler = watch.handler](change_list list)
                   {
                       if (list.outcome == store_outcome::ok)
                           m_reads_store = true;
                       handler(std::move(list));
                   });
}

void relayed_store::watch_store_as_fallback(pending_watch watch)
{
    if (boot_now() < m_store_failed_until)
    {
        boost::asio::post(m_io, [handler = std::move(watch.handler)] { handler({}); });
        return;
    }
    ++m_counters.fallbacks;
    // A probe keeps its short wait.
    const duration wait = watch.wait < min_long_wait ? watch.wait : m_options.fallback_wait;
    auto record_failure =
        [this, begun = boot_now(), handler = std::move(watch.handler)](change_list list)
    {
        if (list.outcome == store_outcome::unavailable)
            m_store_failed_until = begun + m_options.failed_store_backoff;
        handler(std::move(list));
    };
    watch.handler = std::move(record_failure);
    watch_store(watch, wait);
}

void relayed_store::watch_reader(const reader_candidate& reader, pending_watch watch)
{
    ++m_counters.watches;
    const auto known = m_connections.find(reader.id);
    if (known != m_connections.end() && known->second->is_open())
        return send_watch(known->second, reader.id, watch);
    const connection_ref opened = http_connection::make(m_io, reader.peers, max_answer_bytes);
    m_connections[reader.id] = opened;
    opened->open(m_options.call_timeout,
                 [this, opened, id = reader.id, watch = std::move(watch)](bool is_open) mutable
                 {
                     if (is_open)
                         return send_watch(opened, id, watch);
                     reader_failed(id, std::move(watch));
                 });
}

void relayed_store::send_watch(const connection_ref& connection, const host_id& reader,
                               const pending_watch& watch)
{
    connection->send(make_relay_call(watch.after, watch.wait), watch.wait + m_options.call_timeout,
                     [this, reader, watch](const call_outcome& outcome)
                     {
                         change_list list;
                         if (outcome.stage == call_stage::answered)
                             list = decode_relay_answer(outcome.reply);
                         if (list.outcome == store_outcome::unavailable)
                             return reader_failed(reader, watch);
                         // The store keeps a longer history than a reader that has just started,
                         // and one call to the store is cheaper than a full read.
                         if (list.outcome == store_outcome::history_lost)
                             return watch_store(watch, min_long_wait);
                         m_reads_store = false;
                         watch.handler(std::move(list));
                     });
}

void relayed_store::reader_failed(const host_id& reader, pending_watch watch)
{
    ++m_counters.failures;
    m_failed_until[reader] = boot_now() + m_options.failed_reader_backoff;
    start_watch(std::move(watch));
}

void relayed_store::range(const std::string& prefix, const std::string& after_key,
                          bool may_be_stale, page_handler handler)
{
    m_direct.range(prefix, after_key, may_be_stale, std::move(handler));
}

void relayed_store::open_lease(duration length, lease_handler handler)
{
    m_direct.open_lease(length, std::move(handler));
}

void relayed_store::renew_lease(lease_id lease, done_handler handler)
{
    m_direct.renew_lease(lease, std::move(handler));
}

void relayed_store::end_lease(lease_id lease, done_handler handler)
{
    m_direct.end_lease(lease, std::move(handler));
}

void relayed_store::put(const std::string& key, const std::string& value, lease_id lease,
                        done_handler handler)
{
    m_direct.put(key, value, lease, std::move(handler));
}

} // namespace tanagerspur
