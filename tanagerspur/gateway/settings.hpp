// Settings of the forwarding daemon, from an INI file. docs/CONFIGURATION.md lists every key.

#ifndef TANAGERSPUR_GATEWAY_SETTINGS_HPP
#define TANAGERSPUR_GATEWAY_SETTINGS_HPP

#include "tanagerspur/common/endpoint.hpp"
#include "tanagerspur/common/error.hpp"
#include "tanagerspur/common/ids.hpp"
#include "tanagerspur/common/time.hpp"

#include <string>

namespace tanagerspur
{

struct gateway_settings
{
    host_id id;
    zone_id zone;
    // Callers' requests, readiness checks, callers that ask for addresses, metrics and dumps.
    endpoint callers;
    endpoint readiness;
    endpoint directory;
    endpoint metrics;
    // Other hosts that follow this one's view of the store.
    endpoint peers;
    // Processor share in thousandths of a core.
    std::uint32_t capacity = 250;
    endpoint store;
    // Extra attempts at a service for each request to it, over all hosts.
    double retry_ratio = 0.2;
    // Further extra attempts at a service in one window, over all hosts.
    double retry_slack = 50;
    duration retry_window = std::chrono::seconds{10};
    // Longest time from SIGTERM to the end of the process.
    std::chrono::seconds stop_within{6};
    // How long callers may keep an answer about addresses. A look-up delays the request that needs
    // it; a host that stops takes callers for as long.
    std::chrono::seconds address_validity{4};
    std::string log_level = "info";

    bool operator==(const gateway_settings&) const = default;
};

// Takes over those settings that may change while the daemon runs.
void apply_reloadable(gateway_settings& present, const gateway_settings& changed);

// True if the changed settings differ in others than those.
bool needs_restart(const gateway_settings& present, gateway_settings changed);

// Parses and checks the text of a settings file; source names it in errors.
result<gateway_settings> parse_gateway_settings(const std::string& source, const std::string& text);

} // namespace tanagerspur

#endif
