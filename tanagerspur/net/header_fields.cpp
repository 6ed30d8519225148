#include "tanagerspur/net/header_fields.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>

namespace tanagerspur
{

namespace
{

constexpr std::array<std::string_view, 9> connection_fields{
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE",    "Trailer",
    "Upgrade",    "Transfer-Encoding", "Content-Length",   "Expect"};

bool contains_name(const auto& names, std::string_view name)
{
    return std::any_of(names.begin(), names.end(),
                       [name](std::string_view each) { return same_field_name(each, name); });
}

} // namespace

bool same_field_name(std::string_view left, std::string_view right)
{
    return boost::beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
}

std::vector<header_field> end_to_end_fields(const boost::beast::http::fields& fields,
                                            const std::vector<std::string_view>& dropped)
{
    std::vector<std::string_view> connection_options;
    const auto connection = fields[boost::beast::http::field::connection];
    for (const auto& each : boost::beast::http::token_list{connection})
        connection_options.emplace_back(each.data(), each.size());
    std::vector<header_field> kept;
    for (const auto& each : fields)
    {
        const std::string_view name{each.name_string().data(), each.name_string().size()};
        if (contains_name(connection_fields, name) || contains_name(connection_options, name) ||
            contains_name(dropped, name))
            continue;
        kept.push_back({std::string{name}, std::string{each.value()}});
    }
    return kept;
}

void append_field(std::string& message, std::string_view name, std::string_view value)
{
    message.append(name).append(": ").append(value).append("\r\n");
}

} // namespace tanagerspur
