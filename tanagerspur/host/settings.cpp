#include "tanagerspur/host/settings.hpp"

#include "tanagerspur/common/ini.hpp"

namespace tanagerspur
{

namespace
{

result<std::uint16_t> parse_port(ini_section& section, const std::string& key,
                                 std::uint16_t fallback)
{
    BOOST_LEAF_AUTO(
        port,
        section.integer(key, {.min = 1, .max = 65'535, .unit = "TCP port", .fallback = fallback}));
    return static_cast<std::uint16_t>(port);
}

result<void> parse_host(ini_section& section, host_settings& settings)
{
    BOOST_LEAF_AUTO(id, section.text("id", "the host's name"));
    if (id.find('.') != std::string::npos || id.size() > 64)
        return leaf::new_error(section.error("id", "at most 64 characters without '.'"));
    BOOST_LEAF_AUTO(zone, section.text("zone", "the host's availability zone"));
    BOOST_LEAF_AUTO(address, section.text("address", "the host's IP number"));
    if (!is_ip_number(address))
        return leaf::new_error(section.error("address", "an IP number"));
    settings.id = host_id{id};
    settings.zone = zone_id{zone};
    settings.address = address;
    BOOST_LEAF_ASSIGN(settings.caller_port, parse_port(section, "caller_port", 8080));
    BOOST_LEAF_ASSIGN(settings.admin_port, parse_port(section, "admin_port", 8081));
    BOOST_LEAF_ASSIGN(settings.link_port, parse_port(section, "link_port", 8082));
    if (settings.caller_port == settings.admin_port || settings.caller_port == settings.link_port ||
        settings.admin_port == settings.link_port)
        return leaf::new_error(section.error("caller_port", "three different ports"));
    return {};
}

result<void> parse_limits(ini_section& section, host_settings& settings)
{
    BOOST_LEAF_AUTO(
        queries,
        section.integer("max_queries",
                        {.min = 1, .max = 1'000'000, .unit = "queries", .fallback = 2'000}));
    BOOST_LEAF_AUTO(body, section.integer("max_body_bytes", {.min = 1,
                                                             .max = std::int64_t{16} * 1024 * 1024,
                                                             .unit = "bytes",
                                                             .fallback = std::int64_t{64} * 1024}));
    BOOST_LEAF_AUTO(
        connections,
        section.integer("max_connections_per_caller",
                        {.min = 1, .max = 100'000, .unit = "connections", .fallback = 200}));
    BOOST_LEAF_AUTO(validity,
                    section.integer("address_validity_s",
                                    {.min = 1, .max = 3'600, .unit = "seconds", .fallback = 10}));
    BOOST_LEAF_AUTO(drain,
                    section.integer("drain_timeout_s",
                                    {.min = 1, .max = 3'600, .unit = "seconds", .fallback = 30}));
    settings.max_queries = static_cast<std::size_t>(queries);
    settings.max_body_bytes = static_cast<std::size_t>(body);
    settings.max_connections_per_caller = static_cast<std::size_t>(connections);
    settings.address_validity = std::chrono::seconds{validity};
    settings.drain_timeout = std::chrono::seconds{drain};
    return {};
}

} // namespace

result<host_settings> parse_settings(const std::string& source, const std::string& text)
{
    BOOST_LEAF_AUTO(document, parse_ini(source, text));
    host_settings settings;
    BOOST_LEAF_CHECK(parse_host(document.section("host"), settings));
    ini_section& platform = document.section("platform");
    BOOST_LEAF_AUTO(where, platform.text("address", "address:port of the platform"));
    const auto address = parse_endpoint(where);
    if (!address)
        return leaf::new_error(platform.error("address", "address:port by IP number"));
    settings.platform = *address;
    BOOST_LEAF_CHECK(parse_limits(document.section("limits"), settings));
    settings.log_level = document.section("log").text_or("level", "info");
    BOOST_LEAF_CHECK(document.finish({"host", "platform", "limits", "log"}));
    return settings;
}

} // namespace tanagerspur
