// Reads the settings file of the forwarding daemon, and re-reads it while the daemon runs. The file
// may change with or without a signal, so its modification time and size are polled, which is
// cheap.

#ifndef TANAGERSPUR_GATEWAY_SETTINGS_FILE_HPP
#define TANAGERSPUR_GATEWAY_SETTINGS_FILE_HPP

#include "tanagerspur/gateway/settings.hpp"

#include <filesystem>
#include <optional>
#include <string>
#include <variant>

namespace tanagerspur
{

using settings_or_error = std::variant<gateway_settings, input_error>;

class settings_file
{
public:
    explicit settings_file(std::string path)
        : m_path(std::move(path))
    {
    }

    // Reads and checks the file.
    settings_or_error read();

    // Returns nothing if the file is unchanged since it was last read, or cannot be read.
    std::optional<settings_or_error> read_if_changed();

private:
    struct file_state
    {
        std::filesystem::file_time_type changed;
        std::uintmax_t size = 0;

        bool operator==(const file_state&) const = default;
    };

    std::optional<file_state> read_file_state() const;

    std::string m_path;
    std::optional<file_state> m_read_state;
};

} // namespace tanagerspur

#endif
