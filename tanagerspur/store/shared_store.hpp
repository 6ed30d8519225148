// The platform's store as a host of the forwarding tier sees it: a mirror of all keys by range
// reads and watches, and keys of its own under a lease. Every call may fail, and a failed write
// may have taken effect, also later.

#ifndef TANAGERSPUR_STORE_SHARED_STORE_HPP
#define TANAGERSPUR_STORE_SHARED_STORE_HPP

#include "tanagerspur/common/ids.hpp"
#include "tanagerspur/common/time.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace tanagerspur
{

// Counts the store's changes.
using store_revision = detail::strong_id<struct store_revision_tag, std::uint64_t>;
using lease_id = detail::strong_id<struct lease_tag, std::uint64_t>;

enum class store_outcome
{
    ok,
    unavailable,  // no answer, or refused for now; a write may have taken effect
    history_lost, // a watch: changes since the revision are no longer known
    no_lease      // the lease has ended
};

// A key as it was written, or its removal when there is no value.
struct store_change
{
    std::string key;
    std::optional<std::string> value;
    store_revision revision;
};

struct range_page
{
    store_outcome outcome = store_outcome::unavailable;
    std::vector<store_change> items;
    // More keys follow the last one of this page.
    bool is_truncated = false;
    // The store's revision when the page was read.
    store_revision as_of;
};

struct change_list
{
    store_outcome outcome = store_outcome::unavailable;
    std::vector<store_change> changes;
    // Where the next watch goes on.
    store_revision as_of;
    // The source lost the store and found it again a moment ago: entries may have lapsed.
    bool had_recent_outage = false;
};

struct lease_grant
{
    store_outcome outcome = store_outcome::unavailable;
    lease_id lease;
};

// Calls made since the start, by kind.
struct shared_store_calls
{
    std::uint64_t ranges = 0;
    std::uint64_t watches = 0;
    std::uint64_t writes = 0;
    std::uint64_t renewals = 0;
    std::uint64_t failures = 0;
};

class shared_store
{
public:
    using page_handler = std::function<void(range_page)>;
    using change_handler = std::function<void(change_list)>;
    using lease_handler = std::function<void(lease_grant)>;
    using done_handler = std::function<void(store_outcome)>;

    virtual ~shared_store() = default;

    // Reads the keys with the prefix that follow the given one, in order. A stale read is cheaper
    // and may be seconds old; as_of tells how old.
    virtual void range(const std::string& prefix, const std::string& after_key, bool may_be_stale,
                       page_handler handler) = 0;
    // Answers with the changes after the revision: as soon as there are any, or after the wait.
    virtual void watch(const std::string& prefix, store_revision after, duration wait,
                       change_handler handler) = 0;
    virtual void open_lease(duration length, lease_handler handler) = 0;
    virtual void renew_lease(lease_id lease, done_handler handler) = 0;
    virtual void end_lease(lease_id lease, done_handler handler) = 0;
    // Writes a key that lasts as long as the lease.
    virtual void put(const std::string& key, const std::string& value, lease_id lease,
                     done_handler handler) = 0;

    virtual shared_store_calls calls() const = 0;
};

} // namespace tanagerspur

#endif
