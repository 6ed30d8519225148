// Client of operators' programs for a fleet: applies a manifest through the platform's store, and
// reads and drains hosts. Calls block until they are answered.

#ifndef TANAGERSPUR_OPERATIONS_FLEET_CLIENT_HPP
#define TANAGERSPUR_OPERATIONS_FLEET_CLIENT_HPP

#include "tanagerspur/common/endpoint.hpp"
#include "tanagerspur/manifest/configuration.hpp"
#include "tanagerspur/net/http_connection.hpp"
#include "tanagerspur/store/key_value_store.hpp"

#include <boost/json/value.hpp>

#include <optional>
#include <string>
#include <vector>

namespace tanagerspur
{

// A key_value_store whose answers are delivered during wait().
class blocking_store
{
public:
    virtual ~blocking_store() = default;
    virtual key_value_store& store() = 0;
    virtual void wait() = 0;
};

enum class apply_status
{
    accepted,   // this manifest is in force, written by this call
    unchanged,  // the same text was already in force
    superseded, // another operator's manifest is in force
    unknown     // the outcome is not known: the store does not answer
};

struct apply_result
{
    apply_status status = apply_status::unknown;
    // The manifest now in force, as far as known.
    stored_manifest current;
};

// Writes a manifest as generation N + 1 over generation N by compare-and-swap. The operation id is
// unique, so that the outcome of a write whose reply was lost is determined by reading back. If
// expected is set, the manifest is only written over that generation.
apply_result apply_manifest(blocking_store& platform, const std::string& text,
                            const std::string& operation, std::optional<generation> expected);

// Returns the manifest in force; nothing if the store does not answer, generation 0 if no manifest
// has been applied.
std::optional<stored_manifest> read_manifest(blocking_store& platform);

// Returns the hosts of the tier from the platform's host list; nothing if it is not available.
std::optional<std::vector<listed_host>> read_hosts(blocking_store& platform);

// Creates a store over HTTP for command-line programs.
std::unique_ptr<blocking_store> make_blocking_store(const endpoint& platform);

// Returns a host's status; nothing if it does not answer.
std::optional<boost::json::object> read_status(const endpoint& admin);

} // namespace tanagerspur

#endif
