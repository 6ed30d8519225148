// What operators' programs do to a fleet: apply a manifest through the platform's store, and
// read and drain hosts. Calls wait for their answers.

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

// Gives a key_value_store whose answers arrive when wait() has run.
class waiting_store
{
public:
    virtual ~waiting_store() = default;
    virtual key_value_store& store() = 0;
    virtual void wait() = 0;
};

enum class apply_status
{
    accepted,  // this manifest stands, written by this call
    unchanged, // the same text already stood
    lost_race, // another operator's manifest stands
    no_answer  // nothing is known: the store does not answer
};

struct apply_result
{
    apply_status status = apply_status::no_answer;
    // What stands now, as far as it is known.
    stored_manifest standing;
};

// Puts a manifest in force: generation N to N + 1 by compare-and-swap under a unique operation
// id, so that a lost reply is resolved by reading back. With expected set, the manifest is only
// written over that generation.
apply_result apply_manifest(waiting_store& platform, const std::string& text,
                            const std::string& operation, std::optional<generation> expected);

// The manifest that stands; nothing when the store does not answer, generation 0 when none does.
std::optional<stored_manifest> read_manifest(waiting_store& platform);

// The hosts of the tier by the platform's list.
std::optional<std::vector<listed_host>> read_hosts(waiting_store& platform);

// A store over HTTP for command-line programs.
std::unique_ptr<waiting_store> make_waiting_store(const endpoint& platform);

// A host's status; nothing when it does not answer.
std::optional<boost::json::object> read_status(const endpoint& admin);

} // namespace tanagerspur

#endif
