#include "tanagerspur/common/lenient_json.hpp"

#include <boost/json/parse.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>

namespace tanagerspur
{

namespace
{

// Length of an escape of a UTF-16 unit: a backslash, "u" and four hexadecimal digits.
constexpr std::size_t unicode_escape_length = 6;

// The UTF-16 unit of an escape at the position, or nullopt if there is none.
std::optional<std::uint32_t> unicode_escape_at(std::string_view text, std::size_t at)
{
    const std::string_view escape = text.substr(std::min(at, text.size()), unicode_escape_length);
    std::uint32_t unit = 0;
    const char* const end = escape.data() + escape.size();
    if (escape.size() < unicode_escape_length || !escape.starts_with("\\u") ||
        std::from_chars(escape.data() + 2, end, unit, 16).ptr != end)
        return std::nullopt;
    return unit;
}

// The JSON parser rejects the whole text for an escape of an unpaired surrogate.
std::string replace_unpaired_surrogates(std::string text)
{
    for (std::size_t at = text.find('\\'); at != std::string::npos; at = text.find('\\', at))
    {
        const std::uint32_t unit = unicode_escape_at(text, at).value_or(0);
        const std::uint32_t next = unicode_escape_at(text, at + unicode_escape_length).value_or(0);
        const bool is_first = unit >= 0xd800 && unit < 0xdc00;
        const bool is_second = unit >= 0xdc00 && unit < 0xe000;
        const bool is_pair = is_first && next >= 0xdc00 && next < 0xe000;
        if (is_second || (is_first && !is_pair))
            text.replace(at, unicode_escape_length, "\\ufffd");
        // Any other escape is two characters long, and its second one may be a backslash.
        at += is_pair ? 2 * unicode_escape_length : 2;
    }
    return text;
}

} // namespace

boost::json::value parse_lenient_json(const std::string& text, boost::json::error_code& error)
{
    boost::json::parse_options options;
    options.allow_invalid_utf8 = true;
    return boost::json::parse(replace_unpaired_surrogates(text), error, {}, options);
}

} // namespace tanagerspur
