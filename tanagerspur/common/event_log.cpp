#include "tanagerspur/common/event_log.hpp"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>

namespace tanagerspur
{

namespace
{

// Capacity of the queue to the writer thread; lines beyond it are dropped.
constexpr std::size_t queue_lines = 2'048;

bool is_plain(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
           std::string_view{"-_.:/,+~"}.find(c) != std::string_view::npos;
}

} // namespace

std::string escape_value(std::string_view value)
{
    if (!value.empty() && std::all_of(value.begin(), value.end(), is_plain))
        return std::string{value};
    return boost::json::serialize(boost::json::string{value.data(), value.size()});
}

event_log::event_log(const std::string& part, event_log_options options)
    : m_options(options)
    , m_tokens(options.burst)
{
    m_logger = spdlog::get("events." + part);
    if (m_logger != nullptr)
        return;
    if (spdlog::thread_pool() == nullptr)
        spdlog::init_thread_pool(queue_lines, 1);
    m_logger = spdlog::create_async_nb<spdlog::sinks::stdout_sink_st>("events." + part);
    m_logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e " + part + ": %v");
}

void event_log::write(std::string_view event, fields values)
{
    if (!m_logger->should_log(spdlog::level::info))
        return;
    std::string line{event};
    for (const auto& [key, value] : values)
        line.append(" ").append(key).append("=").append(escape_value(value));
    m_logger->info("{}", line);
}

void event_log::write_limited(std::string_view event, fields values, time_point now)
{
    const double passed = std::chrono::duration<double>(now - m_filled_at).count();
    m_tokens = std::min(m_options.burst, m_tokens + passed * m_options.lines_per_second);
    m_filled_at = now;
    if (m_tokens < 1)
    {
        ++m_left_out;
        return;
    }
    m_tokens -= 1;
    report_left_out();
    write(event, values);
}

void event_log::report_left_out()
{
    if (m_left_out == m_reported)
        return;
    write("lines_left_out", {{"count", std::to_string(m_left_out - m_reported)}});
    m_reported = m_left_out;
}

void flush_event_logs()
{
    spdlog::shutdown();
}

} // namespace tanagerspur
