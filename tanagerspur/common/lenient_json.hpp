// Reads JSON that holds texts of several writers, one of which need not be valid Unicode.

#ifndef TANAGERSPUR_COMMON_LENIENT_JSON_HPP
#define TANAGERSPUR_COMMON_LENIENT_JSON_HPP

#include <boost/json/error.hpp>
#include <boost/json/value.hpp>

#include <string>

namespace tanagerspur
{

// Parses JSON whose strings need not be valid Unicode: bytes that are not UTF-8 are kept, and each
// unpaired surrogate becomes U+FFFD. Sets the error if the text is malformed otherwise.
boost::json::value parse_lenient_json(const std::string& text, boost::json::error_code& error);

} // namespace tanagerspur

#endif
