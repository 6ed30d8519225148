// Settings of one daemon, from an INI file. docs/CONFIGURATION.md lists every key.

#ifndef TANAGERSPUR_HOST_SETTINGS_HPP
#define TANAGERSPUR_HOST_SETTINGS_HPP

#include "tanagerspur/common/endpoint.hpp"
#include "tanagerspur/common/error.hpp"
#include "tanagerspur/common/ids.hpp"
#include "tanagerspur/common/time.hpp"

#include <string>

namespace tanagerspur
{

struct host_settings
{
    host_id id;
    zone_id zone;
    std::string address;
    // Ports are the same on every host of a deployment.
    std::uint16_t caller_port = 8080;
    std::uint16_t admin_port = 8081;
    std::uint16_t link_port = 8082;
    endpoint platform;
    std::string log_level = "info";
    // Queries under way at this host at once.
    std::size_t max_queries = 2'000;
    std::size_t max_body_bytes = std::size_t{64} * 1024;
    std::size_t max_connections_per_caller = 200;
    // How long callers may keep an answer about addresses.
    std::chrono::seconds address_validity{10};
    // Longest time that a drain waits for requests in flight.
    std::chrono::seconds drain_timeout{30};
};

// Parses and checks the text of a settings file; source names it in errors.
result<host_settings> parse_settings(const std::string& source, const std::string& text);

} // namespace tanagerspur

#endif
