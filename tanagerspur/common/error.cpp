#include "tanagerspur/common/error.hpp"

namespace tanagerspur
{

std::string to_string(const input_error& error)
{
    std::string text = error.source;
    if (!error.section.empty())
        text += ": [" + error.section + "]";
    if (!error.key.empty())
        text += " " + error.key;
    return text + ": expected " + error.expected;
}

} // namespace tanagerspur
