#include "tanagerspur/gateway/settings_file.hpp"

#include "tanagerspur/common/ini.hpp"

namespace tanagerspur
{

settings_or_error settings_file::read()
{
    return capture(
        [this]() -> result<gateway_settings>
        {
            BOOST_LEAF_ASSIGN(m_text, read_text_file(m_path));
            return parse_gateway_settings(m_path, m_text);
        });
}

// A file that is being replaced can be absent for a moment; the settings in force stay.
std::optional<settings_or_error> settings_file::read_if_changed()
{
    const auto text = capture([this] { return read_text_file(m_path); });
    const auto* present = std::get_if<std::string>(&text);
    if (present == nullptr || present->empty() || *present == m_text)
        return std::nullopt;
    return read();
}

} // namespace tanagerspur
