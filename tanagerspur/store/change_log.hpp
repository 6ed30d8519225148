// A copy of all keys of the store and a bounded history of recent changes, so that other hosts can
// follow this host instead of the store. Intermediate values may be missing: a key that changed
// twice may appear with its last value only, as in the store's own watches after a full read.

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
    // Keeps up to max_changes changes for followers that lag behind.
    explicit change_log(std::size_t max_changes = 4'096)
        : m_max_changes(max_changes)
    {
    }

    // Replaces the keys by the result of a full read as of the position. Each difference from the
    // previous keys is recorded as a change of that position, or of the key's own if that is later.
    // In a new era keys may go back to an earlier value.
    void replace_all(const std::vector<store_change>& items, store_position as_of);
    void add(const store_change& change);
    // Records that there are no further changes up to the position.
    void advance(store_position as_of);

    store_position as_of() const { return m_as_of; }
    // Returns the changes after the position, or nullopt if the history does not reach back to it
    // or has never reached it.
    std::optional<std::vector<store_change>> since(store_position after) const;

private:
    void append(const store_change& change);

    std::size_t m_max_changes;
    std::map<std::string, store_change> m_items;
    std::deque<store_change> m_changes;
    // The history is complete for positions after this one.
    store_position m_complete_after;
    // Last position in the era before the current one. Whoever knows of later changes of that era
    // cannot be told which of them are gone.
    store_position m_end_of_last_era;
    store_position m_as_of;
    bool m_is_initialized = false;
};

} // namespace tanagerspur

#endif
