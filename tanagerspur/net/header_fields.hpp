// Helpers for the header fields of forwarded messages.

#ifndef TANAGERSPUR_NET_HEADER_FIELDS_HPP
#define TANAGERSPUR_NET_HEADER_FIELDS_HPP

#include "tanagerspur/forwarding/messages.hpp"

#include <boost/beast/http/fields.hpp>

#include <string_view>
#include <vector>

namespace tanagerspur
{

// True if two field names are equal, ignoring case.
bool same_field_name(std::string_view left, std::string_view right);

// Copies the end-to-end fields of a message. Leaves out hop-by-hop fields (RFC 9110, 7.6.1), those
// that the message's Connection field lists, Content-Length, and the names in dropped.
std::vector<header_field> end_to_end_fields(const boost::beast::http::fields& fields,
                                            const std::vector<std::string_view>& dropped);

// Appends "name: value" and the end of the line.
void append_field(std::string& message, std::string_view name, std::string_view value);

} // namespace tanagerspur

#endif
