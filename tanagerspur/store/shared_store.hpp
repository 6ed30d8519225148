// Interface to the platform's store for hosts of the forwarding tier: range reads and watches, from
// which a host mirrors all keys, and writes of the host's own keys under a lease. Every call may
// fail, and a failed write may have taken effect or may take effect later.

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

// Number of times that the store has come back from a copy, after which changes that it had
// acknowledged are gone and their revisions are given out again.
using store_era = detail::strong_id<struct store_era_tag, std::uint64_t>;
// Number of a change within an era.
using store_revision = detail::strong_id<struct store_revision_tag, std::uint64_t>;
using lease_id = detail::strong_id<struct lease_tag, std::uint64_t>;

// A place in the store's history. Revisions of different eras cannot be compared by themselves.
struct store_position
{
    store_era era;
    store_revision revision;

    friend auto operator<=>(const store_position&, const store_position&) = default;
};

enum class store_outcome
{
    ok,
    unavailable,  // no answer, or refused for now; a write may have taken effect
    history_lost, // a watch: the store does not have the changes since the position
    no_lease      // the lease has ended
};

// A write of a key, or its removal if there is no value.
struct store_change
{
    std::string key;
    std::optional<std::string> value;
    store_position position;
};

struct range_page
{
    store_outcome outcome = store_outcome::unavailable;
    // Each has a value.
    std::vector<store_change> items;
    // True if more keys follow the last one of this page.
    bool is_truncated = false;
    // The store's position when the page was read.
    store_position as_of;
};

struct change_list
{
    store_outcome outcome = store_outcome::unavailable;
    std::vector<store_change> changes;
    // Position from which the next watch continues.
    store_position as_of;
    // The source lost the store and reconnected recently: entries may have expired.
    bool had_recent_outage = false;
};

struct lease_grant
{
    store_outcome outcome = store_outcome::unavailable;
    lease_id lease;
    // A later era may give the number of the lease to another host.
    store_era era;
};

// Calls made since start-up, by kind.
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

    // Reads the keys with the prefix that follow after_key, in order. A stale read is cheaper and
    // may be seconds old; as_of in the page shows its age.
    virtual void range(const std::string& prefix, const std::string& after_key, bool may_be_stale,
                       page_handler handler) = 0;
    // Returns the changes after the position as soon as there are any, or none after the wait.
    virtual void watch(const std::string& prefix, store_position after, duration wait,
                       change_handler handler) = 0;
    virtual void open_lease(duration length, lease_handler handler) = 0;
    virtual void renew_lease(lease_id lease, done_handler handler) = 0;
    virtual void end_lease(lease_id lease, done_handler handler) = 0;
    // Writes a key that exists as long as the lease.
    virtual void put(const std::string& key, const std::string& value, lease_id lease,
                     done_handler handler) = 0;

    // The era that the last answer named.
    virtual store_era era() const = 0;
    virtual shared_store_calls calls() const = 0;
};

} // namespace tanagerspur

#endif
