// All keys of the store as this host knows them, and the latest changes, so that other hosts can
// follow this one instead of the store. Not every change is kept: a key that changed twice may
// show its last value only, as in the store's own watches after a full read.

#ifndef TANAGERSPUR_STORE_CHANGE_LOG_HPP
#define TANAGERSPUR_STORE_CHANGE_LOG_HPP

#include "tanagerspur/store/shared_store.hpp"

#include <deque>
#include <map>

namespace tanagerspur
{

class change_log
{
public:
    // Changes that are kept for followers that lag behind.
    explicit change_log(std::size_t max_changes = 4'096)
        : m_max_changes(max_changes)
    {
    }

    // All keys as of the revision; what differs from before becomes a change of that revision.
    void replace_all(const std::vector<store_change>& items, store_revision as_of);
    void add(const store_change& change);
    // Nothing more changed up to the revision.
    void advance(store_revision as_of);

    store_revision as_of() const { return m_as_of; }
    // The changes after the revision, or nothing when it lies before those that are kept.
    std::optional<std::vector<store_change>> since(store_revision after) const;

private:
    void append(const store_change& change);

    std::size_t m_max_changes;
    std::map<std::string, store_change> m_items;
    std::deque<store_change> m_changes;
    // Changes after this revision are complete.
    store_revision m_complete_after;
    store_revision m_as_of;
    bool m_is_initialized = false;
};

} // namespace tanagerspur

#endif
