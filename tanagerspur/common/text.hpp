// Checks and conversions of text from outside.

#ifndef TANAGERSPUR_COMMON_TEXT_HPP
#define TANAGERSPUR_COMMON_TEXT_HPP

#include <string>
#include <string_view>

namespace tanagerspur
{

// True when the whole text is valid UTF-8.
bool is_utf8(const std::string& text);

// ASCII letters in lower case; the rest unchanged.
std::string lower_case(std::string_view text);

} // namespace tanagerspur

#endif
