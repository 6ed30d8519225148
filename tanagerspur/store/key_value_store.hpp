// The platform's key-value service as the tier sees it: versioned values with compare-and-swap
// and watches, and the platform's list of hosts. Every call may fail, and a failed write may
// have taken effect all the same.

#ifndef TANAGERSPUR_STORE_KEY_VALUE_STORE_HPP
#define TANAGERSPUR_STORE_KEY_VALUE_STORE_HPP

#include "tanagerspur/common/ids.hpp"
#include "tanagerspur/common/time.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace tanagerspur
{

enum class store_status
{
    ok,
    conflict,    // a write: the version had changed, nothing was written
    unavailable, // no effect, or a read without an answer
    unknown      // a write that may or may not have taken effect
};

// A value with its version in the store; version 0 means that the key is absent.
struct store_value
{
    std::uint64_t version = 0;
    std::string text;
};

struct store_result
{
    store_status status = store_status::unavailable;
    store_value value;
};

// One line of the platform's list. The list lags behind reality.
struct listed_host
{
    enum class state
    {
        live,
        leaving
    };
    host_id id;
    zone_id zone;
    std::string address;
    // Port for targets, 0 for hosts of the tier, whose ports are in the settings.
    std::uint16_t port = 0;
    bool is_target = false;
    state current = state::live;
};

struct host_list
{
    bool available = false;
    std::vector<listed_host> hosts;
};

// Calls made since the start, by kind; a watch counts once however long it waits.
struct store_calls
{
    std::uint64_t reads = 0;
    std::uint64_t watches = 0;
    std::uint64_t writes = 0;
    std::uint64_t lists = 0;
    std::uint64_t failures = 0;
};

class key_value_store
{
public:
    using value_handler = std::function<void(store_result)>;
    using list_handler = std::function<void(host_list)>;

    virtual ~key_value_store() = default;

    virtual void read(const std::string& key, value_handler handler) = 0;

    // Answers when the version differs from the known one, or with the same after the wait.
    virtual void watch(const std::string& key, std::uint64_t known_version, duration wait,
                       value_handler handler) = 0;

    // Writes if the version is still the expected one; 0 expects the key to be absent. On
    // success the result holds the new version.
    virtual void write(const std::string& key, std::uint64_t expected_version, std::string text,
                       value_handler handler) = 0;

    virtual void list_hosts(list_handler handler) = 0;

    virtual store_calls calls() const = 0;
};

// Keys of the tier in the store.
inline constexpr const char* manifest_key = "tanagerspur/manifest";
inline constexpr const char* assignment_key = "tanagerspur/assignment";

} // namespace tanagerspur

#endif
