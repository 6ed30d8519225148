// Interface to the platform's key-value service: versioned values with compare-and-swap and
// watches, and the platform's host list. Every call may fail, and a failed write may nevertheless
// have taken effect.

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

// An entry of the platform's host list. The list lags behind the actual state of the hosts.
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
    // Port of a target; 0 for hosts of the tier, whose ports are in the settings.
    std::uint16_t port = 0;
    bool is_target = false;
    state current = state::live;
};

struct host_list
{
    bool available = false;
    std::vector<listed_host> hosts;
};

// Calls made since start-up, by kind. A watch counts once, regardless of how long it waits.
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

    // Returns when the version differs from the known one, or with the known one after the wait.
    virtual void watch(const std::string& key, std::uint64_t known_version, duration wait,
                       value_handler handler) = 0;

    // Writes the text if the version is still the expected one; with 0, if the key is absent. On
    // success the result holds the new version.
    virtual void write(const std::string& key, std::uint64_t expected_version, std::string text,
                       value_handler handler) = 0;

    virtual void list_hosts(list_handler handler) = 0;

    virtual store_calls calls() const = 0;
};

// The tier's keys in the store.
inline constexpr const char* manifest_key = "tanagerspur/manifest";
inline constexpr const char* assignment_key = "tanagerspur/assignment";

} // namespace tanagerspur

#endif
