#include "tanagerspur/common/base64.hpp"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/dataflow_exception.hpp>
#include <boost/archive/iterators/transform_width.hpp>

namespace tanagerspur
{

namespace
{

namespace iterators = boost::archive::iterators;
using encoder = iterators::base64_from_binary<
    iterators::transform_width<std::string_view::const_iterator, 6, 8>>;
using decoder =
    iterators::transform_width<iterators::binary_from_base64<std::string_view::const_iterator>, 8,
                               6>;

constexpr std::size_t group_bytes = 3;
constexpr std::size_t group_letters = 4;

} // namespace

std::string encode_base64(std::string_view bytes)
{
    std::string text{encoder{bytes.begin()}, encoder{bytes.end()}};
    text.append((group_bytes - bytes.size() % group_bytes) % group_bytes, '=');
    return text;
}

std::optional<std::string> decode_base64(std::string_view text)
{
    if (text.size() % group_letters != 0)
        return std::nullopt;
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=')
        ++padding;
    const std::string_view letters = text.substr(0, text.size() - padding);
    if (letters.find('=') != std::string_view::npos)
        return std::nullopt;
    try
    {
        std::string bytes{decoder{letters.begin()}, decoder{letters.end()}};
        bytes.resize(text.size() / group_letters * group_bytes - padding);
        return bytes;
    }
    catch (const iterators::dataflow_exception&)
    {
        return std::nullopt;
    }
}

} // namespace tanagerspur
