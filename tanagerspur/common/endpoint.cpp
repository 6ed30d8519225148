#include "tanagerspur/common/endpoint.hpp"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace tanagerspur
{

std::string to_string(const endpoint& value)
{
    const bool is_v6 = value.address.find(':') != std::string::npos;
    const std::string address = is_v6 ? "[" + value.address + "]" : value.address;
    return address + ":" + std::to_string(value.port);
}

bool is_ip_number(const std::string& text)
{
    boost::system::error_code error;
    boost::asio::ip::make_address(text, error);
    return !error;
}

std::optional<endpoint> parse_endpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    std::string address = text.substr(0, colon);
    if (address.size() > 2 && address.front() == '[' && address.back() == ']')
        address = address.substr(1, address.size() - 2);
    else if (address.find(':') != std::string::npos)
        return std::nullopt;
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto [stop, code] = std::from_chars(text.data() + colon + 1, end, port);
    if (code != std::errc{} || stop != end || port == 0 || !is_ip_number(address))
        return std::nullopt;
    return endpoint{.address = std::move(address), .port = port};
}

} // namespace tanagerspur
