#include "tanagerspur/store/store_mirror.hpp"

#include <algorithm>

namespace tanagerspur
{

namespace
{

// A watch that returns at once unless there are changes.
constexpr duration probe_wait = std::chrono::milliseconds{1};

} // namespace

std::string_view to_string(full_read_cause value)
{
    switch (value)
    {
    case full_read_cause::first:
        return "first";
    case full_read_cause::history_lost:
        return "history_lost";
    }
    return "unknown";
}

store_mirror::store_mirror(boost::asio::io_context& io, shared_store& store, mirror_options options,
                           mirror_observer& observer)
    : m_store(store)
    , m_options(options)
    , m_observer(observer)
    , m_timer(io)
    , m_random(options.seed)
{
}

void store_mirror::start()
{
    read_all(true);
}

void store_mirror::read_all(bool may_be_stale)
{
    m_pending_items.clear();
    m_page_ends.clear();
    m_is_first_page = true;
    m_may_be_stale = may_be_stale;
    read_page("");
}

void store_mirror::read_all_again()
{
    m_read_cause = full_read_cause::history_lost;
    const duration delay = std::exchange(m_full_read_delay, next_delay(m_full_read_delay));
    if (delay.count() == 0)
        return read_all(false);
    call_after(delay, [this] { read_all(false); });
}

void store_mirror::read_page(const std::string& after_key)
{
    m_store.range("", after_key, m_may_be_stale,
                  [this](range_page page) { on_page(std::move(page)); });
}

// The pages of a full read are not a consistent snapshot. The watch continues from the revision of
// the oldest page, so that it returns the changes that were made between the pages.
void store_mirror::on_page(range_page page)
{
    const bool is_other_era = !m_is_first_page && page.as_of.era != m_pending_as_of.era;
    if (page.outcome != store_outcome::ok || is_other_era || page.as_of.era < m_log.as_of().era)
        return restart_read();
    if (is_page_repeated(page))
    {
        m_observer.on_page_repeated(page.items.empty() ? "" : page.items.back().key);
        return restart_read();
    }
    m_pending_as_of =
        std::exchange(m_is_first_page, false) ? page.as_of : std::min(m_pending_as_of, page.as_of);
    for (store_change& each : page.items)
        m_pending_items.push_back(std::move(each));
    if (page.is_truncated)
        return read_page(m_pending_items.back().key);
    if (m_may_be_stale)
        return on_first_read_done();
    mark_connected();
    apply_snapshot();
    m_observer.on_read();
    watch(m_options.watch_wait);
}

void store_mirror::restart_read()
{
    mark_disconnected();
    retry([this] { read_all(m_may_be_stale); });
}

// The next page begins after the last key of the one before. If the store takes that key for
// another one, the same pages come again, and the read would not end.
bool store_mirror::is_page_repeated(const range_page& page)
{
    return page.is_truncated &&
           (page.items.empty() || !m_page_ends.insert(page.items.back().key).second);
}

void store_mirror::on_first_read_done()
{
    const duration wait = m_observer.on_first_read(m_pending_items);
    if (wait.count() == 0 || m_has_repeated_first_read)
        return catch_up();
    m_has_repeated_first_read = true;
    call_after(wait, [this] { read_all(true); });
}

void store_mirror::apply_snapshot()
{
    m_observer.on_full_read(m_read_cause, m_pending_as_of);
    note_era(m_pending_as_of);
    m_log.replace_all(m_pending_items, m_pending_as_of);
    m_observer.on_snapshot(m_pending_items);
    m_pending_items.clear();
}

void store_mirror::catch_up()
{
    m_store.watch("", m_pending_as_of, probe_wait,
                  [this](const change_list& list)
                  {
                      if (list.outcome == store_outcome::history_lost)
                          return read_all_again();
                      if (list.outcome != store_outcome::ok)
                      {
                          mark_disconnected();
                          return retry([this] { read_all(true); });
                      }
                      mark_connected();
                      apply_snapshot();
                      on_changes(list);
                  });
}

void store_mirror::watch(duration wait)
{
    m_store.watch("", m_log.as_of(), wait, [this](const change_list& list) { on_changes(list); });
}

void store_mirror::on_changes(const change_list& list)
{
    if (list.outcome == store_outcome::history_lost)
        return read_all_again();
    if (list.outcome != store_outcome::ok || list.as_of.era < m_log.as_of().era)
    {
        mark_disconnected();
        return retry([this] { watch(probe_wait); });
    }
    m_full_read_delay = duration{0};
    // A source reports the same outage for a while, so that all of its followers are notified.
    // Consecutive reports count as one outage.
    if (list.had_recent_outage && !m_last_list_had_outage)
        mark_disconnected();
    m_last_list_had_outage = list.had_recent_outage;
    mark_connected();
    note_era(list.as_of);
    for (const store_change& each : list.changes)
    {
        m_log.add(each);
        m_observer.on_change(each);
    }
    m_log.advance(list.as_of);
    m_observer.on_read();
    if (list.changes.empty())
        return watch(m_options.watch_wait);
    call_after(m_options.coalesce_delay, [this] { watch(m_options.watch_wait); });
}

// A reader passes a new era on together with the changes that the restored store makes to the keys.
void store_mirror::note_era(store_position as_of)
{
    const bool is_first = m_log.as_of() == store_position{};
    if (!is_first && as_of.era > m_log.as_of().era)
        m_observer.on_store_restored(as_of, m_log.as_of());
}

void store_mirror::mark_disconnected()
{
    if (std::exchange(m_is_connected, false))
        m_observer.on_store_lost();
}

void store_mirror::mark_connected()
{
    m_backoff = duration{0};
    if (!std::exchange(m_is_connected, true))
        m_observer.on_store_regained();
}

duration store_mirror::next_delay(duration last) const
{
    return last.count() == 0 ? m_options.initial_backoff
                             : std::min(m_options.max_backoff, 2 * last);
}

void store_mirror::retry(std::function<void()> call)
{
    m_backoff = next_delay(m_backoff);
    const double share = std::uniform_real_distribution<>{0.5, 1.0}(m_random);
    call_after(duration{static_cast<duration::rep>(share * static_cast<double>(m_backoff.count()))},
               std::move(call));
}

void store_mirror::call_after(duration wait, std::function<void()> call)
{
    m_timer.expires_after(wait);
    m_timer.async_wait(
        [call = std::move(call)](boost::system::error_code error)
        {
            if (!error)
                call();
        });
}

} // namespace tanagerspur
