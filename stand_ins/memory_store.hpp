// A store in memory for tests and the stand-in of the platform: linearizable, with history, leases,
// and faults that are switched. Answers arrive in later turns of the io_context.

#ifndef TANAGERSPUR_STAND_INS_MEMORY_STORE_HPP
#define TANAGERSPUR_STAND_INS_MEMORY_STORE_HPP

#include "tanagerspur/store/shared_store.hpp"

#include <boost/asio/io_context.hpp>

#include <list>
#include <map>

namespace tanagerspur::stand_ins
{

class memory_store final : public shared_store
{
public:
    explicit memory_store(boost::asio::io_context& io)
        : m_io(io)
    {
    }

    // What others write.
    void set(const std::string& key, const std::string& value);
    void erase(const std::string& key);
    // Drops the history and cuts the watches.
    void compact();
    // Refuses every call, and cuts the watches.
    void set_away(bool is_away);
    // Stale reads show the store as it is now from here on.
    void freeze_stale_reads()
    {
        m_stale = m_items;
        m_stale_as_of = m_revision;
    }
    // Takes a copy of the keys and leases, and comes back from the last copy: what was written
    // since is gone, its revisions and leases are given out again, and the era is the next one.
    void take_copy();
    void restore_copy();
    void end_all_leases();
    // Ends the leases that were not renewed in time.
    void expire_leases(time_point now);

    const std::map<std::string, store_change>& items() const { return m_items; }
    std::size_t waiting_watches() const { return m_watches.size(); }
    std::size_t page_size = 2;

    void range(const std::string& prefix, const std::string& after_key, bool may_be_stale,
               page_handler handler) override;
    void watch(const std::string& prefix, store_position after, duration wait,
               change_handler handler) override;
    void open_lease(duration length, lease_handler handler) override;
    void renew_lease(lease_id lease, done_handler handler) override;
    void end_lease(lease_id lease, done_handler handler) override;
    void put(const std::string& key, const std::string& value, lease_id lease,
             done_handler handler) override;
    store_era era() const override { return m_era; }
    shared_store_calls calls() const override { return m_calls; }

private:
    struct waiting_watch
    {
        store_revision after;
        time_point end;
        change_handler handler;
    };

    struct lease_state
    {
        duration length{0};
        time_point end;
        std::vector<std::string> keys;
    };

    struct store_copy
    {
        std::map<std::string, store_change> items;
        std::vector<store_change> history;
        store_revision history_begin;
        store_revision revision{1};
        std::map<lease_id, lease_state> leases;
        std::uint64_t next_lease = 1;
    };

    void record(store_change change);
    void cut_watches();
    store_position position() const { return {m_era, m_revision}; }
    void drop(const lease_state& lease);
    void answer_watches();
    change_list changes_after(store_revision after) const;
    template<class Handler, class Value> void post(Handler handler, Value value);

    boost::asio::io_context& m_io;
    std::map<std::string, store_change> m_items;
    std::map<std::string, store_change> m_stale;
    store_revision m_stale_as_of;
    std::vector<store_change> m_history;
    store_revision m_history_begin;
    store_revision m_revision{1};
    std::map<lease_id, lease_state> m_leases;
    std::uint64_t m_next_lease = 1;
    std::list<waiting_watch> m_watches;
    store_era m_era{1};
    store_copy m_copy;
    bool m_is_away = false;
    shared_store_calls m_calls;
};

} // namespace tanagerspur::stand_ins

#endif
