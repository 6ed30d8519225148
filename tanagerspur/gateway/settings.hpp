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
    // Listen addresses for callers' requests, readiness checks, callers' address look-ups, and
    // metrics and dumps.
    endpoint callers;
    endpoint readiness;
    endpoint directory;
    endpoint metrics;
    // Listen address for other hosts that follow the store through this host's relay.
    endpoint peers;
    // Processor share in thousandths of a core.
    std::uint32_t capacity = 250;
    endpoint store;
    // Retry budget over all hosts: extra attempts at a service for each request to it.
    double retry_ratio = 0.2;
    // Additional extra attempts at a service in one window, over all hosts.
    double retry_slack = 50;
    duration retry_window = std::chrono::seconds{10};
    // How long replicas that are leaving still serve requests.
    duration drain = std::chrono::milliseconds{3'000};
    // Longest time from SIGTERM to the end of the process.
    std::chrono::seconds stop_within{6};
    // How long callers may cache addresses. A shorter time delays more requests by a look-up; a
    // host that stops keeps serving callers for this long.
    std::chrono::seconds address_validity{4};
    std::string log_level = "info";

    bool operator==(const gateway_settings&) const = default;
};

// Copies the settings that can change without a restart from changed to present.
void apply_reloadable(gateway_settings& present, const gateway_settings& changed);

// True if the changed settings differ in any setting that apply_reloadable does not copy.
bool needs_restart(const gateway_settings& present, gateway_settings changed);

// Parses and checks the text of a settings file; source names it in errors.
result<gateway_settings> parse_gateway_settings(const std::string& source, const std::string& text);

} // namespace tanagerspur

#endif
