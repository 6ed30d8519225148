// Builds the text of metrics in the Prometheus exposition format, line by line.

#ifndef TANAGERSPUR_GATEWAY_METRICS_TEXT_HPP
#define TANAGERSPUR_GATEWAY_METRICS_TEXT_HPP

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace tanagerspur
{

struct metric_label
{
    std::string_view name;
    // Any text; escaped when it is written.
    std::string_view value;
};

class metrics_text
{
public:
    // Adds a line; the project's prefix is added to the name.
    void add(std::string_view name, std::uint64_t value) { add(name, {}, value); }
    void add(std::string_view name, std::initializer_list<metric_label> labels,
             std::uint64_t value);

    std::string take() { return std::move(m_text); }

private:
    std::string m_text;
};

} // namespace tanagerspur

#endif
