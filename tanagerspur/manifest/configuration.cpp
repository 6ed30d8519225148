#include "tanagerspur/manifest/configuration.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace tanagerspur
{

std::string serialize(const stored_manifest& value)
{
    return boost::json::serialize(boost::json::object{{"generation", value.number.value()},
                                                      {"operation", value.operation},
                                                      {"manifest", value.text}});
}

std::optional<stored_manifest> parse_stored_manifest(const std::string& text)
{
    boost::json::error_code error;
    const boost::json::value parsed = boost::json::parse(text, error);
    const auto* object = error ? nullptr : parsed.if_object();
    if (object == nullptr)
        return std::nullopt;
    const auto* number = object->if_contains("generation");
    const auto* operation = object->if_contains("operation");
    const auto* body = object->if_contains("manifest");
    if (number == nullptr || !number->is_int64() || number->as_int64() <= 0 ||
        operation == nullptr || !operation->is_string() || body == nullptr || !body->is_string())
        return std::nullopt;
    return stored_manifest{.number = generation{static_cast<std::uint64_t>(number->as_int64())},
                           .operation = std::string{operation->as_string()},
                           .text = std::string{body->as_string()}};
}

install_outcome configuration::install(const std::string& stored_text)
{
    auto stored = parse_stored_manifest(stored_text);
    if (!stored)
        return install_outcome::malformed;
    if (stored->number <= m_stored.number)
        return install_outcome::not_newer;
    auto parsed = capture([&] { return parse_manifest("manifest", stored->text); });
    auto* made = std::get_if<manifest>(&parsed);
    if (made == nullptr)
        return install_outcome::malformed;
    m_present = std::make_shared<const manifest>(std::move(*made));
    m_stored = std::move(*stored);
    m_stored_text = stored_text;
    return install_outcome::installed;
}

} // namespace tanagerspur
