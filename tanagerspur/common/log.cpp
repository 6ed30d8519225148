#include "tanagerspur/common/log.hpp"

#include <spdlog/sinks/stdout_sinks.h>

#include <array>

namespace tanagerspur
{

std::shared_ptr<spdlog::logger> make_logger(const std::string& part)
{
    if (auto known = spdlog::get(part))
        return known;
    auto logger = spdlog::stderr_logger_mt(part);
    logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %L %n: %v");
    logger->flush_on(spdlog::level::info);
    return logger;
}

bool set_log_level(const std::string& name)
{
    static constexpr std::array names{"trace", "debug", "info", "warning", "error", "off"};
    for (const char* known : names)
    {
        if (name != known)
            continue;
        spdlog::set_level(spdlog::level::from_str(name));
        return true;
    }
    return false;
}

} // namespace tanagerspur
