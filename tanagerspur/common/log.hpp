// Logging by spdlog with one fixed prefix for each part.

#ifndef TANAGERSPUR_COMMON_LOG_HPP
#define TANAGERSPUR_COMMON_LOG_HPP

#include <spdlog/spdlog.h>

#include <memory>
#include <string>

namespace tanagerspur
{

// The logger of a part; its name is the prefix of each line on stderr.
std::shared_ptr<spdlog::logger> make_logger(const std::string& part);

// Sets the level of all parts; returns false if the name is not a level of spdlog.
bool set_log_level(const std::string& name);

} // namespace tanagerspur

#endif
