#include "tanagerspur/common/text.hpp"

#include <boost/locale/encoding_utf.hpp>

#include <algorithm>
#include <cctype>

namespace tanagerspur
{

bool is_utf8(const std::string& text)
{
    try
    {
        boost::locale::conv::utf_to_utf<char32_t>(text, boost::locale::conv::stop);
        return true;
    }
    catch (const boost::locale::conv::conversion_error&)
    {
        return false;
    }
}

std::string lower_case(std::string_view text)
{
    std::string lowered{text};
    std::transform(lowered.begin(), lowered.end(), lowered.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lowered;
}

} // namespace tanagerspur
