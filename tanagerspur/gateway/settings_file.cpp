#include "tanagerspur/gateway/settings_file.hpp"

#include "tanagerspur/common/ini.hpp"

namespace tanagerspur
{

std::optional<settings_file::file_state> settings_file::read_file_state() const
{
    std::error_code error;
    file_state current{.changed = std::filesystem::last_write_time(m_path, error)};
    if (!error)
        current.size = std::filesystem::file_size(m_path, error);
    return error ? std::nullopt : std::optional{current};
}

settings_or_error settings_file::read()
{
    m_read_state = read_file_state();
    return capture(
        [this]() -> result<gateway_settings>
        {
            BOOST_LEAF_AUTO(text, read_text_file(m_path));
            return parse_gateway_settings(m_path, text);
        });
}

// A file that is being replaced can be absent for a moment; the current settings stay in force.
std::optional<settings_or_error> settings_file::read_if_changed()
{
    const auto current = read_file_state();
    if (!current || current->size == 0 || current == m_read_state)
        return std::nullopt;
    return read();
}

} // namespace tanagerspur
