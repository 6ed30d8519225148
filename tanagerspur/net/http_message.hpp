// HTTP messages as plain data, independent of the types of the HTTP library.

#ifndef TANAGERSPUR_NET_HTTP_MESSAGE_HPP
#define TANAGERSPUR_NET_HTTP_MESSAGE_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace tanagerspur
{

// Header fields by lower-case name.
using http_fields = std::map<std::string, std::string>;

// A call that was received or is to be sent.
struct http_call
{
    std::string method = "GET";
    // Path without the query.
    std::string path;
    // Decoded parameters of the query.
    std::map<std::string, std::string> parameters;
    http_fields fields;
    std::shared_ptr<const std::string> body = std::make_shared<const std::string>();
    // Number of the connection on which a server received the call.
    std::uint64_t connection = 0;

    // The field's value, or an empty string.
    const std::string& field(const std::string& name) const;
    // The field as a number; nullopt if it is absent or not a number.
    std::optional<long long> number_field(const std::string& name) const;
    std::optional<long long> number_parameter(const std::string& name) const;
};

struct http_reply
{
    int status = 200;
    std::string content_type = "application/json";
    http_fields fields;
    std::string body;

    const std::string& field(const std::string& name) const;
    std::optional<long long> number_field(const std::string& name) const;
};

// An error reply as JSON {"error": message}.
http_reply error_reply(int status, const std::string& message);

// Splits "path?name=value&..." into a call; false when an escape is malformed.
bool parse_target(const std::string& target, http_call& call);

// Percent-encodes a text for use as a parameter value in a query: all but letters, digits and
// "-._~". The result reads the same in a URL and in a form.
std::string escape_parameter(const std::string& text);

// Parses a decimal integer; nullopt if the text contains anything else.
std::optional<long long> parse_number(const std::string& text);

} // namespace tanagerspur

#endif
