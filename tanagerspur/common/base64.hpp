// Base64 text (RFC 4648, with padding) for bytes in JSON.

#ifndef TANAGERSPUR_COMMON_BASE64_HPP
#define TANAGERSPUR_COMMON_BASE64_HPP

#include <optional>
#include <string>
#include <string_view>

namespace tanagerspur
{

std::string encode_base64(std::string_view bytes);

// Returns nullopt if the text is not valid base64.
std::optional<std::string> decode_base64(std::string_view text);

} // namespace tanagerspur

#endif
