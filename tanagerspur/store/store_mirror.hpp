// Keeps an observer up to date with all keys of the store: one full read, then one watch after
// the other. After a failed watch, a short one shows whether the store is back before the next
// long one waits; when the history is lost, everything is read again.
//
// The first full read may be stale, which is cheaper: the observer hears of it only with the
// changes since then. If they are no longer known, a read that is not stale follows.

#ifndef TANAGERSPUR_STORE_STORE_MIRROR_HPP
#define TANAGERSPUR_STORE_STORE_MIRROR_HPP

#include "tanagerspur/store/change_log.hpp"
#include "tanagerspur/store/shared_store.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <random>

namespace tanagerspur
{

struct mirror_options
{
    // A watch that hears nothing is repeated after this time. It bounds how long a lost
    // connection without a sign can hide changes, at the price of a call each time.
    duration watch_wait = std::chrono::seconds{1};
    // Pause after a watch that brought changes, so that changes in quick succession share a call.
    duration coalesce_delay = std::chrono::milliseconds{100};
    // Waits between failed calls: doubled from the first to the last, with jitter.
    duration initial_backoff = std::chrono::milliseconds{60};
    duration max_backoff = std::chrono::seconds{1};
    std::uint64_t seed = 1;
};

class mirror_observer
{
public:
    virtual ~mirror_observer() = default;
    // A first read is here, which may be stale; it says who else reads the store. Returns how long
    // to wait until it is made once more, or zero to go on.
    virtual duration on_first_read(const std::vector<store_change>& items) = 0;
    // All keys as they are now; those that are absent were removed.
    virtual void on_snapshot(const std::vector<store_change>& items) = 0;
    virtual void on_change(const store_change& change) = 0;
    // A full read or a watch has been taken over.
    virtual void on_read() = 0;
    // The store stopped answering this host, or answers again.
    virtual void on_store_lost() = 0;
    virtual void on_store_regained() = 0;
};

class store_mirror
{
public:
    store_mirror(boost::asio::io_context& io, shared_store& store, mirror_options options,
                 mirror_observer& observer);

    void start();

    bool is_connected() const { return m_is_connected; }
    // The last call to the store failed, and it has not answered since.
    bool is_failing() const { return m_backoff.count() > 0; }
    store_revision as_of() const { return m_log.as_of(); }
    // What has been read, for hosts that follow this one.
    const change_log& log() const { return m_log; }

private:
    void read_all(bool may_be_stale);
    void read_page(const std::string& after_key);
    void apply_snapshot();
    void on_first_read_done();
    void catch_up();
    void on_page(range_page page);
    void watch(duration wait);
    void on_changes(const change_list& list);
    void mark_disconnected();
    void mark_connected();
    void retry(std::function<void()> call);
    void call_after(duration wait, std::function<void()> call);

    shared_store& m_store;
    mirror_options m_options;
    mirror_observer& m_observer;
    boost::asio::steady_timer m_timer;
    std::mt19937_64 m_random;
    std::vector<store_change> m_pending_items;
    bool m_is_first_page = true;
    bool m_may_be_stale = true;
    bool m_has_repeated_first_read = false;
    bool m_is_connected = false;
    // The last list of changes told of a loss.
    bool m_last_list_had_outage = false;
    // Revision of the first page of a full read.
    store_revision m_pending_as_of;
    change_log m_log;
    duration m_backoff{0};
};

} // namespace tanagerspur

#endif
