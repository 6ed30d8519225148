// Identifies requests that are the same to a replica: same host name, method, target and body.

#ifndef TANAGERSPUR_QUARANTINE_REQUEST_FINGERPRINT_HPP
#define TANAGERSPUR_QUARANTINE_REQUEST_FINGERPRINT_HPP

#include "tanagerspur/common/ids.hpp"

#include <string>
#include <string_view>

namespace tanagerspur
{

// Hexadecimal digest; empty if the request is not to be followed.
using request_fingerprint = detail::strong_id<struct request_fingerprint_tag, std::string>;

// Returns the same on every host and in every build.
request_fingerprint fingerprint_of(std::string_view host, std::string_view method,
                                   std::string_view target, std::string_view body);

} // namespace tanagerspur

#endif
