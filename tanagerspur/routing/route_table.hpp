// Routes of one version of the configuration. A request keeps the table that was current when the
// request was read, so that all of its parts come from one version.
//
//   route_table table{configuration};
//   const route* found = table.match("desk.example", "/orders/17");

#ifndef TANAGERSPUR_ROUTING_ROUTE_TABLE_HPP
#define TANAGERSPUR_ROUTING_ROUTE_TABLE_HPP

#include "tanagerspur/common/ids.hpp"
#include "tanagerspur/common/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tanagerspur
{

// A service that gets a share of a route's requests in proportion to its weight.
struct weighted_service
{
    service_id service;
    std::uint32_t weight = 1;

    friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

// Sends a request to one replica of each shard and merges their records.
struct scatter_rule
{
    std::vector<service_id> shards;
    // Number of records in the answer: the greatest ones of all parts.
    std::uint32_t top_records = 0;
    // Minimum share of the shards for a successful answer, 0 to 1.
    double min_coverage = 0;
};

struct route
{
    std::string name;
    // Lower case, without a port.
    std::string host;
    // Begins and ends with a slash.
    std::string prefix;
    // An idempotent request may run more than once.
    bool is_idempotent = false;
    // Maximum time until a request is answered.
    duration timeout{0};
    // Time within which an answer has its full value to the caller.
    duration latency_objective{0};
    // Maximum number of replicas (of each shard) to which one request may be sent.
    std::uint32_t max_attempts = 1;
    // 0 is the highest priority.
    std::uint32_t priority = 0;
    // One service, or those of a weighted split; empty for a scatter.
    std::vector<weighted_service> services;
    std::optional<scatter_rule> scatter;
};

struct service_rule
{
    // Maximum number of connections that a replica accepts from all hosts together.
    std::uint32_t max_connections = 0;
};

// Limits on requests and connections of callers.
struct caller_limits
{
    std::uint32_t max_header_bytes = 16 * 1024;
    std::uint32_t max_body_bytes = 256 * 1024;
    duration header_timeout = std::chrono::seconds{3};
    duration idle_timeout = std::chrono::seconds{15};
};

struct routing_configuration
{
    configuration_version version;
    std::vector<route> routes;
    std::map<service_id, service_rule> services;
    caller_limits limits;
};

class route_table
{
public:
    explicit route_table(routing_configuration configuration);

    // Returns the route with the longest matching prefix, or null. The host is matched without its
    // port and in any case; the path has no query.
    const route* match(std::string_view host, std::string_view path) const;

    configuration_version version() const { return m_configuration.version; }
    const routing_configuration& configuration() const { return m_configuration; }

private:
    routing_configuration m_configuration;
    // Key: host followed by prefix; value: index into m_configuration.routes.
    std::unordered_map<std::string, std::size_t> m_by_prefix;
};

} // namespace tanagerspur

#endif
