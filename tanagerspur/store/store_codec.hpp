// Interface that translates keys and values of the platform's store into the tier's own types. The
// adapter of a platform implements it.

#ifndef TANAGERSPUR_STORE_STORE_CODEC_HPP
#define TANAGERSPUR_STORE_STORE_CODEC_HPP

#include "tanagerspur/gateway/host_directory.hpp"
#include "tanagerspur/quarantine/request_quarantine.hpp"
#include "tanagerspur/registry/replica_registry.hpp"
#include "tanagerspur/routing/route_table.hpp"

#include <string>
#include <variant>

namespace tanagerspur
{

// A key that the tier does not use.
struct unrecognized_key
{
};

// A value that cannot be used, with the reason.
struct malformed_value
{
    std::string why;
};

// The key of the routing configuration.
struct configuration_key
{
};
// The kinds of keys, without their values.
using store_key =
    std::variant<unrecognized_key, configuration_key, replica_id, host_id, request_fingerprint>;

using configuration_value = std::variant<malformed_value, routing_configuration>;
using replica_value = std::variant<malformed_value, replica_record>;
using host_value = std::variant<malformed_value, host_record>;
using quarantine_value = std::variant<malformed_value, quarantine_notice>;

class store_codec
{
public:
    virtual ~store_codec() = default;

    virtual store_key decode_key(const std::string& key) const = 0;
    virtual configuration_value decode_configuration(const std::string& value) const = 0;
    virtual replica_value decode_replica(const replica_id& id, const std::string& value) const = 0;
    virtual host_value decode_host(const host_id& id, const std::string& value) const = 0;

    virtual std::string host_key(const host_id& id) const = 0;
    virtual std::string encode_host(const host_record& record) const = 0;

    virtual quarantine_value decode_quarantine(const request_fingerprint& request,
                                               const std::string& value) const = 0;
    virtual std::string quarantine_key(const request_fingerprint& request) const = 0;
    virtual std::string encode_quarantine(const quarantine_notice& notice) const = 0;
};

} // namespace tanagerspur

#endif
