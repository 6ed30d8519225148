#include "tanagerspur/store/change_log.hpp"

#include <algorithm>
#include <set>

namespace tanagerspur
{

void change_log::append(const store_change& change)
{
    m_changes.push_back(change);
    while (m_changes.size() > m_max_changes)
    {
        m_complete_after = std::max(m_complete_after, m_changes.front().position);
        m_changes.pop_front();
    }
}

void change_log::replace_all(const std::vector<store_change>& items, store_position as_of)
{
    if (!m_is_initialized)
    {
        m_is_initialized = true;
        m_complete_after = as_of;
        m_as_of = as_of;
    }
    const bool is_new_era = as_of.era != m_as_of.era;
    advance(as_of);
    std::set<std::string> listed;
    for (const store_change& each : items)
    {
        listed.insert(each.key);
        const auto known = m_items.find(each.key);
        const bool is_known =
            known != m_items.end() && (is_new_era ? known->second.value == each.value
                                                  : known->second.position >= each.position);
        if (is_known && !is_new_era)
            continue;
        m_items[each.key] = each;
        if (is_known)
            continue;
        // A page may be newer than the first one, whose position counts for the whole.
        store_change relayed = each;
        relayed.position = std::max(relayed.position, as_of);
        append(relayed);
    }
    std::vector<std::string> removed;
    for (const auto& [key, item] : m_items)
        if (!listed.contains(key))
            removed.push_back(key);
    for (const std::string& key : removed)
    {
        m_items.erase(key);
        append({.key = key, .position = as_of});
    }
}

void change_log::add(const store_change& change)
{
    if (change.value)
        m_items[change.key] = change;
    else
        m_items.erase(change.key);
    advance(change.position);
    append(change);
}

void change_log::advance(store_position as_of)
{
    if (m_is_initialized && as_of.era > m_as_of.era)
    {
        // Of earlier eras only the last one stays known.
        m_complete_after = std::max(m_complete_after, store_position{.era = m_as_of.era});
        m_end_of_last_era = m_as_of;
    }
    m_as_of = std::max(m_as_of, as_of);
}

std::optional<std::vector<store_change>> change_log::since(store_position after) const
{
    const bool is_of_last_era = after.era < m_as_of.era;
    if (!m_is_initialized || after < m_complete_after || after.era > m_as_of.era ||
        (is_of_last_era && after > m_end_of_last_era))
        return std::nullopt;
    std::vector<store_change> found;
    for (const store_change& each : m_changes)
        if (each.position > after)
            found.push_back(each);
    return found;
}

} // namespace tanagerspur
