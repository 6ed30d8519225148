#include "tanagerspur/quarantine/request_fingerprint.hpp"

#include <boost/uuid/name_generator_sha1.hpp>
#include <boost/uuid/uuid_io.hpp>

#include <initializer_list>

namespace tanagerspur
{

request_fingerprint fingerprint_of(std::string_view host, std::string_view method,
                                   std::string_view target, std::string_view body)
{
    std::string text;
    text.reserve(host.size() + method.size() + target.size() + body.size() + 32);
    for (const std::string_view part : {host, method, target, body})
        text.append(std::to_string(part.size())).append(":").append(part);
    static const boost::uuids::name_generator_sha1 digest{boost::uuids::ns::oid()};
    return request_fingerprint{to_string(digest(text.data(), text.size()))};
}

} // namespace tanagerspur
