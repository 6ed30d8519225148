#include "stand_ins/memory_store.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace tanagerspur::stand_ins
{

template<class Handler, class Value> void memory_store::post(Handler handler, Value value)
{
    boost::asio::post(m_io, [handler = std::move(handler), value = std::move(value)]() mutable
                      { handler(std::move(value)); });
}

void memory_store::record(store_change change)
{
    m_revision = store_revision{m_revision.value() + 1};
    change.position = position();
    if (change.value)
        m_items[change.key] = change;
    else
        m_items.erase(change.key);
    m_history.push_back(std::move(change));
    answer_watches();
}

void memory_store::set(const std::string& key, const std::string& value)
{
    record({.key = key, .value = value});
}

void memory_store::erase(const std::string& key)
{
    record({.key = key});
}

void memory_store::compact()
{
    m_history.clear();
    m_history_begin = m_revision;
    cut_watches();
}

void memory_store::cut_watches()
{
    for (waiting_watch& each : m_watches)
        post(each.handler, change_list{});
    m_watches.clear();
}

void memory_store::take_copy()
{
    m_copy = {.items = m_items,
              .history = m_history,
              .history_begin = m_history_begin,
              .revision = m_revision,
              .leases = m_leases,
              .next_lease = m_next_lease};
}

void memory_store::restore_copy()
{
    m_items = m_copy.items;
    m_history = m_copy.history;
    m_history_begin = m_copy.history_begin;
    m_revision = m_copy.revision;
    m_leases = m_copy.leases;
    m_next_lease = m_copy.next_lease;
    m_era = store_era{m_era.value() + 1};
    // The changes of the copy keep their revisions.
    for (auto& [key, item] : m_items)
        item.position.era = m_era;
    for (store_change& each : m_history)
        each.position.era = m_era;
    cut_watches();
}

void memory_store::set_away(bool is_away)
{
    m_is_away = is_away;
    if (is_away)
        cut_watches();
}

void memory_store::end_all_leases()
{
    const auto leases = std::move(m_leases);
    m_leases.clear();
    for (const auto& [id, lease] : leases)
        drop(lease);
}

void memory_store::drop(const lease_state& lease)
{
    for (const std::string& key : lease.keys)
        if (m_items.contains(key))
            erase(key);
}

void memory_store::expire_leases(time_point now)
{
    std::vector<lease_state> ended;
    std::erase_if(m_leases,
                  [&](const auto& each)
                  {
                      if (now < each.second.end)
                          return false;
                      ended.push_back(each.second);
                      return true;
                  });
    for (const lease_state& each : ended)
        drop(each);
}

void memory_store::range(const std::string& prefix, const std::string& after_key, bool may_be_stale,
                         page_handler handler)
{
    ++m_calls.ranges;
    range_page page;
    if (!m_is_away)
    {
        const bool is_stale = may_be_stale && m_stale_as_of.value() > 0;
        const auto& items = is_stale ? m_stale : m_items;
        page.outcome = store_outcome::ok;
        page.as_of = {m_era, is_stale ? m_stale_as_of : m_revision};
        for (auto at = items.upper_bound(after_key); at != items.end(); ++at)
        {
            if (!at->first.starts_with(prefix))
                continue;
            page.is_truncated = page.items.size() == page_size;
            if (page.is_truncated)
                break;
            page.items.push_back(at->second);
        }
    }
    post(std::move(handler), std::move(page));
}

change_list memory_store::changes_after(store_revision after) const
{
    if (after < m_history_begin || after > m_revision)
        return {.outcome = store_outcome::history_lost};
    change_list list{.outcome = store_outcome::ok, .as_of = position()};
    for (const store_change& each : m_history)
        if (each.position.revision > after)
            list.changes.push_back(each);
    return list;
}

void memory_store::watch(const std::string& /*prefix*/, store_position after, duration wait,
                         change_handler handler)
{
    ++m_calls.watches;
    if (m_is_away)
        return post(std::move(handler), change_list{});
    change_list list = after.era == m_era ? changes_after(after.revision)
                                          : change_list{.outcome = store_outcome::history_lost};
    if (list.outcome != store_outcome::ok || !list.changes.empty())
        return post(std::move(handler), std::move(list));
    // The timer may fire a little early by this clock, and there is no second one.
    m_watches.push_back({.after = after.revision,
                         .end = boot_now() + wait - std::chrono::milliseconds{1},
                         .handler = std::move(handler)});
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, wait);
    timer->async_wait([this, timer](boost::system::error_code) { answer_watches(); });
}

void memory_store::answer_watches()
{
    const time_point now = boot_now();
    m_watches.remove_if(
        [&](waiting_watch& each)
        {
            change_list list = changes_after(each.after);
            if (list.changes.empty() && now < each.end)
                return false;
            post(each.handler, std::move(list));
            return true;
        });
}

void memory_store::open_lease(duration length, lease_handler handler)
{
    ++m_calls.writes;
    if (m_is_away)
        return post(std::move(handler), lease_grant{});
    const lease_id made{m_next_lease++};
    m_leases[made] = {.length = length, .end = boot_now() + length};
    post(std::move(handler),
         lease_grant{.outcome = store_outcome::ok, .lease = made, .era = m_era});
}

void memory_store::renew_lease(lease_id lease, done_handler handler)
{
    ++m_calls.renewals;
    const auto found = m_leases.find(lease);
    if (m_is_away)
        return post(std::move(handler), store_outcome::unavailable);
    if (found == m_leases.end())
        return post(std::move(handler), store_outcome::no_lease);
    found->second.end = boot_now() + found->second.length;
    post(std::move(handler), store_outcome::ok);
}

void memory_store::end_lease(lease_id lease, done_handler handler)
{
    ++m_calls.writes;
    const auto found = m_leases.find(lease);
    if (found != m_leases.end())
    {
        const lease_state ended = found->second;
        m_leases.erase(found);
        drop(ended);
    }
    post(std::move(handler), store_outcome::ok);
}

void memory_store::put(const std::string& key, const std::string& value, lease_id lease,
                       done_handler handler)
{
    ++m_calls.writes;
    if (m_is_away)
        return post(std::move(handler), store_outcome::unavailable);
    if (!m_leases.contains(lease))
        return post(std::move(handler), store_outcome::no_lease);
    m_leases[lease].keys.push_back(key);
    set(key, value);
    post(std::move(handler), store_outcome::ok);
}

} // namespace tanagerspur::stand_ins
