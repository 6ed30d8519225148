#include "tanagerspur/gateway/settings_file.hpp"

#include "tanagerspur/common/ini.hpp"

namespace tanagerspur
{

std::optional<settings_file::file_state> settings_file::look() const
{
    std::error_code error;
    file_state seen{.changed = std::filesystem::last_write_time(m_path, error)};
    if (!error)
        seen.size = std::filesystem::file_size(m_path, error);
    return error ? std::nullopt : std::optional{seen};
}

settings_or_error settings_file::read()
{
    m_read = look();
    return capture(
        [this]() -> result<gateway_settings>
        {
            BOOST_LEAF_AUTO(text, read_text_file(m_path));
            return parse_gateway_settings(m_path, text);
        });
}

// A file that is being replaced can be absent for a moment; the settings in force stay.
std::optional<settings_or_error> settings_file::read_if_changed()
{
    const auto seen = look();
    if (!seen || seen->size == 0 || seen == m_read)
        return std::nullopt;
    return read();
}

} // namespace tanagerspur
