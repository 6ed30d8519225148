// A TCP address by IP number; the tier resolves no names.

#ifndef TANAGERSPUR_COMMON_ENDPOINT_HPP
#define TANAGERSPUR_COMMON_ENDPOINT_HPP

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace tanagerspur
{

struct endpoint
{
    std::string address;
    std::uint16_t port = 0;

    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

// Returns "address:port"; an IPv6 address is enclosed in brackets.
std::string to_string(const endpoint& value);

// Inverse of to_string; nullopt if the text is not an IP number and a port.
std::optional<endpoint> parse_endpoint(const std::string& text);

// True for an IP number, version 4 or 6.
bool is_ip_number(const std::string& text);

} // namespace tanagerspur

#endif
