#include "tanagerspur/net/http_message.hpp"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

#include <charconv>

namespace tanagerspur
{

namespace
{

const std::string& find_field(const http_fields& fields, const std::string& name)
{
    static const std::string empty;
    const auto found = fields.find(name);
    return found == fields.end() ? empty : found->second;
}

} // namespace

std::optional<long long> parse_number(const std::string& text)
{
    long long value = 0;
    const auto [stop, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || code != std::errc{} || stop != text.data() + text.size())
        return std::nullopt;
    return value;
}

const std::string& http_call::field(const std::string& name) const
{
    return find_field(fields, name);
}

std::optional<long long> http_call::number_field(const std::string& name) const
{
    return parse_number(field(name));
}

std::optional<long long> http_call::number_parameter(const std::string& name) const
{
    return parse_number(find_field(parameters, name));
}

const std::string& http_reply::field(const std::string& name) const
{
    return find_field(fields, name);
}

std::optional<long long> http_reply::number_field(const std::string& name) const
{
    return parse_number(field(name));
}

http_reply error_reply(int status, const std::string& message)
{
    return {.status = status,
            .body = boost::json::serialize(boost::json::object{{"error", message}}) + "\n"};
}

bool parse_target(const std::string& target, http_call& call)
{
    const auto parsed = boost::urls::parse_origin_form(target);
    if (!parsed)
        return false;
    call.path = parsed->path();
    for (const auto& parameter : parsed->params())
        call.parameters[std::string{parameter.key}] = std::string{parameter.value};
    return true;
}

std::string escape_parameter(const std::string& text)
{
    // A URL may hold '+' unescaped, but servers that read a query as a form take it for a blank.
    return boost::urls::encode(text, boost::urls::unreserved_chars);
}

} // namespace tanagerspur
