#include "tanagerspur/gateway/metrics_text.hpp"

namespace tanagerspur
{

namespace
{

constexpr std::string_view prefix = "tanagerspur_";

void append_escaped(std::string& to, std::string_view text)
{
    for (const char each : text)
    {
        if (each == '\\' || each == '"')
            to += '\\';
        if (each == '\n')
            to += "\\n";
        else
            to += each;
    }
}

} // namespace

void metrics_text::add(std::string_view name, std::initializer_list<metric_label> labels,
                       std::uint64_t value)
{
    m_text.append(prefix).append(name);
    char before = '{';
    for (const metric_label& each : labels)
    {
        m_text += before;
        m_text.append(each.name).append("=\"");
        append_escaped(m_text, each.value);
        m_text += '"';
        before = ',';
    }
    if (labels.size() > 0)
        m_text += '}';
    m_text.append(" ").append(std::to_string(value)) += '\n';
}

} // namespace tanagerspur
