// The manifest: the operators' description of services, their shards, replicas and limits. It is
// INI text made by a build pipeline and kept in the platform's store as the fleet's configuration.
//
//   [service order-desk]
//   slots = 3
//   max_connections = 30
//   layouts = 2026a
//
//   [layout order-desk/2026a]
//   shard.0 = 127.0.2.1:9000@howrah-a, 127.0.2.2:9000@howrah-b
//
// A parsed manifest is consistent: every layout belongs to a service, shards are numbered
// without gaps, and no address stands twice.

#ifndef TANAGERSPUR_MANIFEST_MANIFEST_HPP
#define TANAGERSPUR_MANIFEST_MANIFEST_HPP

#include "tanagerspur/common/endpoint.hpp"
#include "tanagerspur/common/error.hpp"
#include "tanagerspur/common/ids.hpp"
#include "tanagerspur/common/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tanagerspur
{

// One target that holds a copy of a shard.
struct replica
{
    endpoint address;
    zone_id zone;

    friend bool operator==(const replica&, const replica&) = default;
};

// What one replica of a service can carry, and how the tier may use it.
struct service_limits
{
    // Requests a replica works on at once.
    std::uint32_t slots = 1;
    // Requests that may wait at a replica beyond its slots.
    std::uint32_t waiting = 1;
    // Open connections of the whole tier to one replica.
    std::uint32_t max_connections = 1;
    // Expected time to open a connection.
    duration connect_time{};
    // Deadline of a query that states none, and the longest one that is accepted.
    duration default_deadline{};
    duration max_deadline{};
    // Longest time of one attempt at a replica.
    duration max_attempt_time{};
    // Sub-requests that may wait for a shard at its owner.
    std::uint32_t queue_limit = 0;
    // Extra sub-requests (hedges and retries that may repeat work) per sub-request needed.
    double extra_load_budget = 0;
    // Share of an entry host among services when it is overloaded.
    std::uint32_t weight = 1;

    // Most requests in flight at one replica, of all hosts together.
    std::uint32_t in_flight_limit() const { return slots + waiting; }

    friend bool operator==(const service_limits&, const service_limits&) = default;
};

// One way of partitioning a service: replicas of each shard, by shard number.
struct layout
{
    layout_id id;
    std::vector<std::vector<replica>> shards;

    friend bool operator==(const layout&, const layout&) = default;
};

struct service
{
    service_id id;
    service_limits limits;
    // In the order of the manifest, at least one.
    std::vector<layout> layouts;

    const layout* find(const layout_id& id) const;

    friend bool operator==(const service&, const service&) = default;
};

struct manifest
{
    std::string deployment;
    std::map<service_id, service> services;

    const service* find(const service_id& id) const;
    const std::vector<replica>* find(const shard_key& key) const;
    // All shards of all layouts, in order.
    std::vector<shard_key> shards() const;

    friend bool operator==(const manifest&, const manifest&) = default;
};

// Parses and checks a manifest; source names the text in errors.
result<manifest> parse_manifest(const std::string& source, const std::string& text);

// The shard that holds a key: a hash of the key over the number of shards of the layout.
shard_number shard_of_key(const std::string& key, std::size_t shard_count);

} // namespace tanagerspur

#endif
