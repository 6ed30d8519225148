#include "tanagerspur/registry/replica_registry.hpp"

#include <algorithm>
#include <utility>

namespace tanagerspur
{

std::string_view to_string(removal value)
{
    switch (value)
    {
    case removal::removed:
        return "removed";
    case removal::draining:
        return "draining";
    case removal::leaving:
        return "leaving";
    case removal::replaced:
        return "replaced";
    case removal::expired:
        return "lapsed";
    }
    return "unknown";
}

replica_registry::replica_registry(registry_options options, registry_observer& observer)
    : m_options(options)
    , m_observer(observer)
    , m_random(options.seed)
{
}

void replica_registry::put(const replica_record& record, time_point now)
{
    if (is_outdated(record))
        return m_observer.replica_entry_outdated(record);
    note_entry(record);
    m_missing.erase(record.id);
    const auto found = m_by_id.find(record.id);
    if (record.state == replica_state::draining)
    {
        if (found != m_by_id.end())
            remove_now(record.id, removal::draining, now);
        m_latest[record.id].left = now;
        return;
    }
    if (found == m_by_id.end())
        return add(record, now);
    replica_record& known = found->second->record;
    const bool is_same = known.started_ms == record.started_ms && known.address == record.address &&
                         known.service == record.service;
    if (!is_same)
    {
        remove_now(record.id, removal::replaced, now);
        return add(record, now);
    }
    known = record;
    found->second->estimate.set_warm_up_end(now + record.warmup_left);
}

// Without a time of start, incarnations of an id cannot be told apart by their entries.
bool replica_registry::is_outdated(const replica_record& record) const
{
    const auto latest = m_latest.find(record.id);
    if (latest == m_latest.end() || record.started_ms > latest->second.started_ms)
        return false;
    return record.started_ms < latest->second.started_ms ||
           (record.started_ms > 0 && latest->second.left && record.state == replica_state::ready &&
            record.sequence <= latest->second.sequence);
}

void replica_registry::note_entry(const replica_record& record)
{
    known_incarnation& latest = m_latest[record.id];
    if (record.started_ms != latest.started_ms)
        latest = {.started_ms = record.started_ms};
    latest.sequence = std::max(latest.sequence, record.sequence);
    latest.left.reset();
}

void replica_registry::add(const replica_record& record, time_point now)
{
    const std::shared_ptr<replica_restrictions> restrictions = known_restrictions(record);
    if (restrictions != nullptr && restrictions->is_leaving())
        return;
    auto made = std::make_shared<replica>();
    made->record = record;
    if (restrictions != nullptr)
        made->restrictions = restrictions;
    made->number = m_next_number++;
    made->estimate.set_warm_up_end(now + record.warmup_left);
    m_by_id[record.id] = made;
    m_by_service[record.service].push_back(made);
    m_observer.replica_added(*made);
}

void replica_registry::remove_now(const replica_id& id, removal why, time_point now)
{
    const auto found = m_by_id.find(id);
    if (found == m_by_id.end())
        return;
    const replica_ref left = found->second;
    m_by_id.erase(found);
    m_missing.erase(id);
    if (why != removal::replaced)
        m_latest[id].left = now;
    std::erase(m_by_service[left->record.service], left);
    m_observer.replica_left(*left, why);
}

// The answer may come from an attempt at an earlier object of the incarnation, whose entry was
// removed and written again meanwhile.
void replica_registry::heard(const replica& from, const replica_notice& notice, time_point now)
{
    const bool is_announcement = notice.is_leaving || notice.pause || notice.limit;
    std::shared_ptr<replica_restrictions> restrictions = known_restrictions(from.record);
    if (!is_announcement && restrictions == nullptr)
        return;
    // An answer of an earlier incarnation says nothing about the current one.
    const auto latest = m_latest.find(from.record.id);
    if (latest != m_latest.end() && latest->second.started_ms != from.record.started_ms)
        return;
    const auto found = m_by_id.find(from.record.id);
    const replica& current = found == m_by_id.end() ? from : *found->second;
    if (restrictions == nullptr)
        restrictions = current.restrictions;
    if (is_announcement)
        m_restricted[from.record.id] = {
            .started_ms = from.record.started_ms, .announced = now, .restrictions = restrictions};
    if (notice.pause)
    {
        restrictions->pause(now + *notice.pause);
        m_observer.replica_paused(current, *notice.pause);
    }
    if (notice.limit != restrictions->limit())
    {
        set_limit(*restrictions, notice.limit, now);
        m_observer.replica_limited(current, notice.limit);
    }
    if (notice.is_leaving && !restrictions->is_leaving())
    {
        restrictions->leave(now + m_options.leaving_grace);
        m_observer.replica_leaving(current);
    }
}

void replica_registry::set_limit(replica_restrictions& restrictions,
                                 std::optional<request_rate> limit, time_point now)
{
    if (!limit)
        return restrictions.remove_limit();
    restrictions.set_limit(*limit, m_limit_share, std::uniform_real_distribution<>{0, 1}(m_random),
                           now);
}

void replica_registry::set_limit_share(double share, time_point now)
{
    m_limit_share = share;
    for (const auto& [id, restricted] : m_restricted)
        restricted.restrictions->set_share(share, now);
}

std::size_t replica_registry::limited() const
{
    return static_cast<std::size_t>(std::count_if(
        m_by_id.begin(), m_by_id.end(),
        [](const auto& each) { return each.second->restrictions->limit().has_value(); }));
}

std::shared_ptr<replica_restrictions>
replica_registry::known_restrictions(const replica_record& record) const
{
    const auto found = m_restricted.find(record.id);
    return found != m_restricted.end() && found->second.started_ms == record.started_ms
               ? found->second.restrictions
               : nullptr;
}

bool replica_registry::is_in_grace_period(time_point now) const
{
    return m_store_lost || now < m_grace_end;
}

void replica_registry::remove(const replica_id& id, time_point now)
{
    // Without a time of start, an incarnation ends with its entry.
    const auto restricted = m_restricted.find(id);
    if (restricted != m_restricted.end() && restricted->second.started_ms == 0)
        m_restricted.erase(restricted);
    const auto found = m_by_id.find(id);
    if (found == m_by_id.end() || m_missing.contains(id))
        return;
    const bool is_last = of_service(found->second->record.service).size() == 1;
    if (is_in_grace_period(now) || is_last)
        m_missing[id] = std::max(m_grace_end, now + m_options.return_grace);
    else
        remove_now(id, removal::removed, now);
}

void replica_registry::replace_all(const std::vector<replica_record>& records, time_point now)
{
    std::set<replica_id> listed;
    for (const replica_record& each : records)
        listed.insert(each.id);
    std::vector<replica_id> absent;
    for (const auto& [id, known] : m_by_id)
        if (!listed.contains(id))
            absent.push_back(id);
    for (const replica_id& id : absent)
        remove(id, now);
    forget_incarnations(listed, now);
    for (const replica_record& each : records)
        put(each, now);
}

void replica_registry::forget_incarnations(const std::set<replica_id>& listed, time_point now)
{
    const auto is_present = [&](const replica_id& id)
    { return listed.contains(id) || m_by_id.contains(id); };
    std::erase_if(m_latest,
                  [&](const auto& each)
                  {
                      const std::optional<time_point>& left = each.second.left;
                      return !is_present(each.first) &&
                             (!left || each.second.started_ms == 0 ||
                              now - *left > m_options.incarnation_memory);
                  });
    std::erase_if(m_restricted,
                  [&](const auto& each)
                  {
                      return !is_present(each.first) &&
                             (each.second.started_ms == 0 ||
                              now - each.second.announced > m_options.incarnation_memory);
                  });
}

void replica_registry::store_lost(time_point now)
{
    if (!std::exchange(m_store_lost, true))
        m_lost_at = now;
}

// A host that switches to another reader loses the store for a moment. Without the exception for
// brief losses, a drained replica that was the last of its service would be used for a second grace
// period.
void replica_registry::store_regained(time_point now)
{
    if (!std::exchange(m_store_lost, false))
        return;
    m_grace_end = now + m_options.return_grace;
    if (now - m_lost_at < m_options.brief_loss)
        return;
    for (auto& [id, end] : m_missing)
        end = std::max(end, m_grace_end);
}

void replica_registry::store_restored(time_point now)
{
    m_grace_end = std::max(m_grace_end, now + m_options.return_grace);
}

void replica_registry::tick(time_point now)
{
    std::vector<replica_id> left_ids;
    for (const auto& [id, restricted] : m_restricted)
    {
        const auto found = m_by_id.find(id);
        if (found != m_by_id.end() && found->second->restrictions->has_left(now))
            left_ids.push_back(id);
    }
    for (const replica_id& id : left_ids)
        remove_now(id, removal::leaving, now);
    if (m_missing.empty() || m_store_lost)
        return;
    std::vector<replica_id> expired_ids;
    for (const auto& [id, end] : m_missing)
        if (now >= end)
            expired_ids.push_back(id);
    for (const replica_id& id : expired_ids)
        remove_now(id, removal::expired, now);
}

bool replica_registry::has_ended(const replica_id& id, std::uint64_t started_ms) const
{
    const auto found = m_by_id.find(id);
    return found == m_by_id.end() || found->second->record.started_ms != started_ms;
}

const std::vector<replica_ref>& replica_registry::of_service(const service_id& service) const
{
    static const std::vector<replica_ref> none;
    const auto found = m_by_service.find(service);
    return found == m_by_service.end() ? none : found->second;
}

} // namespace tanagerspur
