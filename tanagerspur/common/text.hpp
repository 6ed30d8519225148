// Checks and conversions of text that was received.

#ifndef TANAGERSPUR_COMMON_TEXT_HPP
#define TANAGERSPUR_COMMON_TEXT_HPP

#include <string>
#include <string_view>

namespace tanagerspur
{

// True if the whole text is valid UTF-8.
bool is_utf8(const std::string& text);

// Converts ASCII letters to lower case; leaves the rest unchanged.
std::string lower_case(std::string_view text);

} // namespace tanagerspur

#endif
