#include "tanagerspur/common/ids.hpp"

#include <charconv>

namespace tanagerspur
{

std::string to_string(const shard_key& key)
{
    return key.service.value() + "/" + key.layout.value() + "/" +
           std::to_string(key.number.value());
}

bool parse_shard_key(const std::string& text, shard_key& key)
{
    const auto first = text.find('/');
    const auto last = text.rfind('/');
    if (first == std::string::npos || first == 0 || last <= first + 1)
        return false;
    std::uint32_t number = 0;
    const char* begin = text.data() + last + 1;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(begin, end, number);
    if (error != std::errc{} || stop != end)
        return false;
    key = shard_key{.service = service_id{text.substr(0, first)},
                    .layout = layout_id{text.substr(first + 1, last - first - 1)},
                    .number = shard_number{number}};
    return true;
}

} // namespace tanagerspur
