#include "tanagerspur/routing/route_table.hpp"

#include "tanagerspur/common/text.hpp"

namespace tanagerspur
{

namespace
{

std::string normalized_host(std::string_view host)
{
    const auto colon = host.rfind(':');
    const bool has_port = colon != std::string_view::npos && !host.ends_with(']');
    return lower_case(has_port ? host.substr(0, colon) : host);
}

} // namespace

route_table::route_table(routing_configuration configuration)
    : m_configuration(std::move(configuration))
{
    for (std::size_t i = 0; i < m_configuration.routes.size(); ++i)
    {
        const route& each = m_configuration.routes[i];
        m_by_prefix.emplace(normalized_host(each.host) + each.prefix, i);
    }
}

// Prefixes end at slashes, so one look-up per slash of the path finds the longest prefix,
// independent of the number of routes.
const route* route_table::match(std::string_view host, std::string_view path) const
{
    const std::string name = normalized_host(host);
    std::string key = name;
    key += path;
    while (key.size() > name.size())
    {
        const auto slash = key.rfind('/');
        if (slash == std::string::npos || slash < name.size())
            return nullptr;
        key.resize(slash + 1);
        const auto found = m_by_prefix.find(key);
        if (found != m_by_prefix.end())
            return &m_configuration.routes[found->second];
        key.resize(slash);
    }
    return nullptr;
}

} // namespace tanagerspur
