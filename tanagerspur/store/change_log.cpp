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
        m_complete_after = std::max(m_complete_after, m_changes.front().revision);
        m_changes.pop_front();
    }
}

void change_log::replace_all(const std::vector<store_change>& items, store_revision as_of)
{
    if (!m_is_initialized)
    {
        m_is_initialized = true;
        m_complete_after = as_of;
    }
    std::set<std::string> listed;
    for (const store_change& each : items)
    {
        listed.insert(each.key);
        const auto known = m_items.find(each.key);
        if (known != m_items.end() && known->second.revision >= each.revision)
            continue;
        m_items[each.key] = each;
        // A page may be newer than the first one, whose revision counts for the whole.
        store_change relayed = each;
        relayed.revision = std::max(relayed.revision, as_of);
        append(relayed);
    }
    std::vector<std::string> removed;
    for (const auto& [key, item] : m_items)
        if (!listed.contains(key))
            removed.push_back(key);
    for (const std::string& key : removed)
    {
        m_items.erase(key);
        append({.key = key, .revision = as_of});
    }
    advance(as_of);
}

void change_log::add(const store_change& change)
{
    if (change.value)
        m_items[change.key] = change;
    else
        m_items.erase(change.key);
    append(change);
    advance(change.revision);
}

void change_log::advance(store_revision as_of)
{
    m_as_of = std::max(m_as_of, as_of);
}

std::optional<std::vector<store_change>> change_log::since(store_revision after) const
{
    if (!m_is_initialized || after < m_complete_after)
        return std::nullopt;
    std::vector<store_change> found;
    for (const store_change& each : m_changes)
        if (each.revision > after)
            found.push_back(each);
    return found;
}

} // namespace tanagerspur
