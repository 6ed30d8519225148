#include "tanagerspur/manifest/manifest.hpp"

#include "tanagerspur/common/ini.hpp"

#include <boost/crc.hpp>

#include <algorithm>
#include <set>

namespace tanagerspur
{

namespace
{

constexpr std::string_view service_prefix = "service ";
constexpr std::string_view layout_prefix = "layout ";
constexpr std::size_t max_shards_per_layout = 20'000;
constexpr std::size_t max_replicas_per_shard = 64;

bool is_valid_name(const std::string& name)
{
    const auto is_allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
    };
    return !name.empty() && name.size() <= 64 && std::all_of(name.begin(), name.end(), is_allowed);
}

duration milliseconds(std::int64_t value)
{
    return std::chrono::milliseconds{value};
}

result<void> parse_deadlines(ini_section& section, service_limits& limits)
{
    constexpr std::int64_t max_ms = 60'000;
    BOOST_LEAF_AUTO(
        default_ms,
        section.integer("default_deadline_ms",
                        {.min = 1, .max = max_ms, .unit = "milliseconds", .fallback = 1'000}));
    BOOST_LEAF_AUTO(max_deadline_ms, section.integer("max_deadline_ms", {.min = default_ms,
                                                                         .max = max_ms,
                                                                         .unit = "milliseconds",
                                                                         .fallback = 10'000}));
    BOOST_LEAF_AUTO(
        attempt_ms,
        section.integer("max_attempt_ms",
                        {.min = 1, .max = max_ms, .unit = "milliseconds", .fallback = 400}));
    limits.default_deadline = milliseconds(default_ms);
    limits.max_deadline = milliseconds(max_deadline_ms);
    limits.max_attempt_time = milliseconds(attempt_ms);
    return {};
}

result<service_limits> parse_limits(ini_section& section)
{
    BOOST_LEAF_AUTO(slots, section.integer("slots", {.min = 1, .max = 1'024, .unit = "requests"}));
    BOOST_LEAF_AUTO(
        waiting,
        section.integer("waiting", {.min = 0, .max = 1'024, .unit = "requests", .fallback = 1}));
    if (slots + waiting < 2)
        return leaf::new_error(section.error("waiting", "1 or more when slots is 1"));
    // An owner uses slots + waiting + 2; a deputy and an owner that has just been replaced may
    // have connections open beside it.
    BOOST_LEAF_AUTO(connections, section.integer("max_connections",
                                                 {.min = 3 * (slots + waiting + 2),
                                                  .max = 65'535,
                                                  .unit = "connections, 3 * (slots + waiting + 2)"
                                                          " or more,"}));
    BOOST_LEAF_AUTO(
        connect_ms,
        section.integer("connect_time_ms",
                        {.min = 0, .max = 10'000, .unit = "milliseconds", .fallback = 1}));
    BOOST_LEAF_AUTO(
        queue,
        section.integer("queue_limit",
                        {.min = 1, .max = 1'000'000, .unit = "sub-requests", .fallback = 1'000}));
    BOOST_LEAF_AUTO(budget,
                    section.integer("extra_load_permille",
                                    {.min = 0, .max = 1'000, .unit = "permille", .fallback = 18}));
    BOOST_LEAF_AUTO(
        weight, section.integer("weight", {.min = 1, .max = 100, .unit = "share", .fallback = 1}));
    service_limits limits{.slots = static_cast<std::uint32_t>(slots),
                          .waiting = static_cast<std::uint32_t>(waiting),
                          .max_connections = static_cast<std::uint32_t>(connections),
                          .connect_time = milliseconds(connect_ms),
                          .queue_limit = static_cast<std::uint32_t>(queue),
                          .extra_load_budget = static_cast<double>(budget) / 1'000.0,
                          .weight = static_cast<std::uint32_t>(weight)};
    BOOST_LEAF_CHECK(parse_deadlines(section, limits));
    return limits;
}

result<std::vector<replica>> parse_replicas(ini_section& section, const std::string& key)
{
    BOOST_LEAF_AUTO(text, section.text(key, "replicas as address:port@zone, separated by commas"));
    std::vector<replica> replicas;
    for (const std::string& part : split_list(text, ','))
    {
        const auto at = part.find('@');
        const auto address = parse_endpoint(part.substr(0, at));
        const std::string zone = at == std::string::npos ? "" : part.substr(at + 1);
        if (!address || !is_valid_name(zone))
            return leaf::new_error(
                section.error(key, "address:port@zone by IP number, not \"" + part + "\""));
        replicas.push_back({.address = *address, .zone = zone_id{zone}});
    }
    if (replicas.empty() || replicas.size() > max_replicas_per_shard)
        return leaf::new_error(
            section.error(key, "1 to " + std::to_string(max_replicas_per_shard) + " replicas"));
    return replicas;
}

result<layout> parse_layout(ini_document& document, const service_id& owner,
                            const std::string& name)
{
    ini_section& section =
        document.section(std::string{layout_prefix} + owner.value() + "/" + name);
    layout made{.id = layout_id{name}};
    while (made.shards.size() < max_shards_per_layout)
    {
        const std::string key = "shard." + std::to_string(made.shards.size());
        if (!section.has(key))
            break;
        BOOST_LEAF_AUTO(replicas, parse_replicas(section, key));
        made.shards.push_back(std::move(replicas));
    }
    if (made.shards.empty())
        return leaf::new_error(section.error("shard.0", "replicas of the first shard"));
    return made;
}

result<service> parse_service(ini_document& document, const std::string& section_name)
{
    service made{.id = service_id{section_name.substr(service_prefix.size())}};
    ini_section& found = document.section(section_name);
    if (!is_valid_name(made.id.value()))
        return leaf::new_error(found.error("", "a service name of a-z, 0-9, '-', '_' and '.'"));
    BOOST_LEAF_ASSIGN(made.limits, parse_limits(found));
    BOOST_LEAF_AUTO(names, found.text("layouts", "names of layouts, separated by commas"));
    for (const std::string& name : split_list(names, ','))
    {
        if (!is_valid_name(name) || made.find(layout_id{name}) != nullptr)
            return leaf::new_error(document.section(section_name)
                                       .error("layouts", "each layout once, of a-z, 0-9 and '-'"));
        BOOST_LEAF_AUTO(each, parse_layout(document, made.id, name));
        made.layouts.push_back(std::move(each));
    }
    return made;
}

result<void> check_addresses(const std::string& source, const manifest& made)
{
    // Layouts of one service may share replicas while an index is repartitioned.
    std::map<endpoint, std::string> users;
    for (const auto& [id, each] : made.services)
        for (const layout& part : each.layouts)
        {
            std::set<endpoint> seen;
            for (const auto& replicas : part.shards)
                for (const replica& target : replicas)
                {
                    const auto user = users.emplace(target.address, id.value()).first->second;
                    if (seen.insert(target.address).second && user == id.value())
                        continue;
                    return leaf::new_error(
                        input_error{.source = source,
                                    .section = "layout " + id.value() + "/" + part.id.value(),
                                    .expected = "each address once, but " +
                                                to_string(target.address) + " repeats"});
                }
        }
    return {};
}

} // namespace

const layout* service::find(const layout_id& wanted) const
{
    const auto found = std::find_if(layouts.begin(), layouts.end(),
                                    [&](const layout& each) { return each.id == wanted; });
    return found == layouts.end() ? nullptr : &*found;
}

const service* manifest::find(const service_id& id) const
{
    const auto found = services.find(id);
    return found == services.end() ? nullptr : &found->second;
}

const std::vector<replica>* manifest::find(const shard_key& key) const
{
    const service* owner = find(key.service);
    const layout* part = owner != nullptr ? owner->find(key.layout) : nullptr;
    if (part == nullptr || key.number.value() >= part->shards.size())
        return nullptr;
    return &part->shards[key.number.value()];
}

std::vector<shard_key> manifest::shards() const
{
    std::vector<shard_key> keys;
    for (const auto& [id, each] : services)
        for (const layout& part : each.layouts)
            for (std::uint32_t number = 0; number < part.shards.size(); ++number)
                keys.push_back({.service = id, .layout = part.id, .number = shard_number{number}});
    return keys;
}

result<manifest> parse_manifest(const std::string& source, const std::string& text)
{
    BOOST_LEAF_AUTO(document, parse_ini(source, text));
    std::vector<std::string> names;
    for (const ini_section& each : document.sections())
        if (each.name().starts_with(service_prefix))
            names.push_back(each.name());
    manifest made;
    BOOST_LEAF_ASSIGN(made.deployment,
                      document.section("manifest").text("deployment", "the deployment's name"));
    std::set<std::string> known{"manifest"};
    for (const std::string& name : names)
    {
        BOOST_LEAF_AUTO(each, parse_service(document, name));
        known.insert(name);
        for (const layout& part : each.layouts)
            known.insert(std::string{layout_prefix} + each.id.value() + "/" + part.id.value());
        made.services.emplace(each.id, std::move(each));
    }
    if (made.services.empty())
        return leaf::new_error(input_error{.source = source, .expected = "a [service] section"});
    BOOST_LEAF_CHECK(document.finish(known));
    BOOST_LEAF_CHECK(check_addresses(source, made));
    return made;
}

shard_number shard_of_key(const std::string& key, std::size_t shard_count)
{
    // A checksum with a published definition: placement must be the same on every host and build.
    boost::crc_32_type hash;
    hash.process_bytes(key.data(), key.size());
    return shard_number{static_cast<std::uint32_t>(hash.checksum() % shard_count)};
}

} // namespace tanagerspur
