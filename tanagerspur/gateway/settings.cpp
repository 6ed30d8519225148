#include "tanagerspur/gateway/settings.hpp"

#include "tanagerspur/common/ini.hpp"

namespace tanagerspur
{

namespace
{

result<endpoint> parse_listen(ini_section& section, const std::string& key)
{
    BOOST_LEAF_AUTO(text, section.text(key, "address:port by IP number"));
    const auto parsed = parse_endpoint(text);
    if (!parsed)
        return leaf::new_error(section.error(key, "address:port by IP number"));
    return *parsed;
}

result<void> parse_host(ini_section& section, gateway_settings& settings)
{
    BOOST_LEAF_AUTO(id, section.text("id", "the host's name"));
    BOOST_LEAF_AUTO(zone, section.text("zone", "the host's availability zone"));
    BOOST_LEAF_AUTO(cores, section.decimal("cores", {.min = 0.001,
                                                     .max = 1'024,
                                                     .unit = "cores that the host may use",
                                                     .fallback = 0.25}));
    settings.capacity = static_cast<std::uint32_t>(cores * 1'000);
    settings.id = host_id{id};
    settings.zone = zone_id{zone};
    return {};
}

result<void> parse_listen_section(ini_section& section, gateway_settings& settings)
{
    BOOST_LEAF_ASSIGN(settings.callers, parse_listen(section, "callers"));
    BOOST_LEAF_ASSIGN(settings.readiness, parse_listen(section, "readiness"));
    BOOST_LEAF_ASSIGN(settings.directory, parse_listen(section, "directory"));
    BOOST_LEAF_ASSIGN(settings.metrics, parse_listen(section, "metrics"));
    BOOST_LEAF_ASSIGN(settings.peers, parse_listen(section, "peers"));
    return {};
}

result<void> parse_bounds(ini_section& section, gateway_settings& settings)
{
    BOOST_LEAF_ASSIGN(settings.retry_ratio,
                      section.decimal("retry_ratio", {.min = 0,
                                                      .max = 1,
                                                      .unit = "extra attempts for each request",
                                                      .fallback = settings.retry_ratio}));
    BOOST_LEAF_ASSIGN(
        settings.retry_slack,
        section.decimal(
            "retry_slack",
            {.min = 0, .max = 1e6, .unit = "extra attempts", .fallback = settings.retry_slack}));
    BOOST_LEAF_AUTO(window,
                    section.integer("retry_window_s",
                                    {.min = 1, .max = 3'600, .unit = "seconds", .fallback = 10}));
    settings.retry_window = std::chrono::seconds{window};
    BOOST_LEAF_AUTO(
        drain,
        section.integer("drain_ms",
                        {.min = 0, .max = 3'600'000, .unit = "milliseconds", .fallback = 3'000}));
    settings.drain = std::chrono::milliseconds{drain};
    BOOST_LEAF_AUTO(stop,
                    section.integer("stop_within_s",
                                    {.min = 1, .max = 3'600, .unit = "seconds", .fallback = 6}));
    BOOST_LEAF_AUTO(validity,
                    section.integer("address_validity_s",
                                    {.min = 1, .max = 3'600, .unit = "seconds", .fallback = 4}));
    settings.stop_within = std::chrono::seconds{stop};
    settings.address_validity = std::chrono::seconds{validity};
    return {};
}

} // namespace

void apply_reloadable(gateway_settings& present, const gateway_settings& changed)
{
    present.retry_slack = changed.retry_slack;
    present.address_validity = changed.address_validity;
    present.stop_within = changed.stop_within;
}

bool needs_restart(const gateway_settings& present, gateway_settings changed)
{
    apply_reloadable(changed, present);
    return changed != present;
}

result<gateway_settings> parse_gateway_settings(const std::string& source, const std::string& text)
{
    BOOST_LEAF_AUTO(document, parse_ini(source, text));
    gateway_settings settings;
    BOOST_LEAF_CHECK(parse_host(document.section("host"), settings));
    BOOST_LEAF_CHECK(parse_listen_section(document.section("listen"), settings));
    BOOST_LEAF_ASSIGN(settings.store, parse_listen(document.section("platform"), "store"));
    BOOST_LEAF_CHECK(parse_bounds(document.section("bounds"), settings));
    settings.log_level = document.section("log").text_or("level", "info");
    BOOST_LEAF_CHECK(document.finish({"host", "listen", "platform", "bounds", "log"}));
    return settings;
}

} // namespace tanagerspur
