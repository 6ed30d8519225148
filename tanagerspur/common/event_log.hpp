// Structured logs on standard output: one line for each event, as "event key=value ...", with a
// fixed prefix for each part. A background thread writes the lines from a bounded queue; when it
// is full the oldest lines are dropped, so that logging never blocks. Frequent events are rate
// limited, and the lines left out for it are counted.
//
//   event_log log{"gateway"};
//   log.write("replica_left", {{"replica", id}, {"why", "draining"}});

#ifndef TANAGERSPUR_COMMON_EVENT_LOG_HPP
#define TANAGERSPUR_COMMON_EVENT_LOG_HPP

#include "tanagerspur/common/time.hpp"

#include <spdlog/logger.h>

#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace tanagerspur
{

struct event_log_options
{
    // Rate limit of write_limited: lines per second, and the largest burst.
    double lines_per_second = 40;
    double burst = 80;
};

class event_log
{
public:
    using field = std::pair<std::string_view, std::string>;
    using fields = std::initializer_list<field>;

    explicit event_log(const std::string& part, event_log_options options = {});

    // Writes a line.
    void write(std::string_view event, fields values);

    // Writes a line unless the rate limit is exceeded.
    void write_limited(std::string_view event, fields values, time_point now);

    // Number of lines left out so far because of the rate limit.
    std::uint64_t left_out() const { return m_left_out; }

private:
    void report_left_out();

    std::shared_ptr<spdlog::logger> m_logger;
    event_log_options m_options;
    double m_tokens;
    time_point m_filled_at{};
    std::uint64_t m_left_out = 0;
    std::uint64_t m_reported = 0;
};

// Formats a value for a log line: quoted and escaped if it is not a plain word.
std::string escape_value(std::string_view value);

// Writes the queued lines and shuts logging down; called at the end of a program.
void flush_event_logs();

} // namespace tanagerspur

#endif
