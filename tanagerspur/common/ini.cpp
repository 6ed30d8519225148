#include "tanagerspur/common/ini.hpp"

#include "tanagerspur/common/text.hpp"

#include <boost/property_tree/ini_parser.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <sstream>

namespace tanagerspur
{

namespace
{

std::string_view trim(std::string_view text)
{
    constexpr std::string_view blanks = " \t\r\n";
    const auto begin = text.find_first_not_of(blanks);
    if (begin == std::string_view::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(blanks) - begin + 1);
}

} // namespace

ini_section::ini_section(std::string source, std::string name,
                         std::map<std::string, std::string> values)
    : m_source(std::move(source))
    , m_name(std::move(name))
    , m_values(std::move(values))
{
}

input_error ini_section::error(const std::string& key, std::string expected) const
{
    return {.source = m_source, .section = m_name, .key = key, .expected = std::move(expected)};
}

result<std::string> ini_section::text(const std::string& key, std::string_view expected)
{
    m_read_keys.insert(key);
    const auto found = m_values.find(key);
    if (found == m_values.end() || found->second.empty())
        return leaf::new_error(error(key, std::string{expected}));
    return found->second;
}

std::string ini_section::text_or(const std::string& key, const std::string& fallback)
{
    m_read_keys.insert(key);
    const auto found = m_values.find(key);
    return found == m_values.end() ? fallback : found->second;
}

result<std::int64_t> ini_section::integer(const std::string& key, const integer_bounds& bounds)
{
    m_read_keys.insert(key);
    const auto found = m_values.find(key);
    if (found == m_values.end() && bounds.fallback)
        return *bounds.fallback;
    std::int64_t value = 0;
    bool valid = found != m_values.end();
    if (valid)
    {
        const std::string& text = found->second;
        const auto [stop, code] = std::from_chars(text.data(), text.data() + text.size(), value);
        valid = code == std::errc{} && stop == text.data() + text.size();
    }
    if (valid && value >= bounds.min && value <= bounds.max)
        return value;
    return leaf::new_error(error(key, std::string{bounds.unit} + " from " +
                                          std::to_string(bounds.min) + " to " +
                                          std::to_string(bounds.max)));
}

result<double> ini_section::decimal(const std::string& key, const decimal_bounds& bounds)
{
    m_read_keys.insert(key);
    const auto found = m_values.find(key);
    if (found == m_values.end())
        return bounds.fallback;
    double value = 0;
    const std::string& text = found->second;
    const auto [stop, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool valid = code == std::errc{} && stop == text.data() + text.size();
    if (valid && value >= bounds.min && value <= bounds.max)
        return value;
    return leaf::new_error(error(key, std::string{bounds.unit} + " from " +
                                          std::to_string(bounds.min) + " to " +
                                          std::to_string(bounds.max)));
}

result<bool> ini_section::boolean(const std::string& key, bool fallback)
{
    const std::string value = text_or(key, fallback ? "true" : "false");
    if (value != "true" && value != "false")
        return leaf::new_error(error(key, "true or false"));
    return value == "true";
}

result<void> ini_section::finish() const
{
    for (const auto& [key, value] : m_values)
        if (!m_read_keys.contains(key))
            return leaf::new_error(error(key, "no such key here (unknown key)"));
    return {};
}

ini_document::ini_document(std::string source, std::vector<ini_section> sections)
    : m_source(std::move(source))
    , m_sections(std::move(sections))
{
}

ini_section& ini_document::section(const std::string& name)
{
    const auto found = std::find_if(m_sections.begin(), m_sections.end(),
                                    [&](const ini_section& each) { return each.name() == name; });
    if (found != m_sections.end())
        return *found;
    return m_sections.emplace_back(m_source, name, std::map<std::string, std::string>{});
}

result<void> ini_document::finish(const std::set<std::string>& known) const
{
    for (const ini_section& each : m_sections)
    {
        if (!known.contains(each.name()))
            return leaf::new_error(each.error("", "no such section (unknown section)"));
        BOOST_LEAF_CHECK(each.finish());
    }
    return {};
}

result<ini_document> parse_ini(const std::string& source, const std::string& text)
{
    if (text.size() > max_ini_bytes)
        return leaf::new_error(input_error{
            .source = source, .expected = "at most " + std::to_string(max_ini_bytes) + " bytes"});
    if (text.find('\0') != std::string::npos || !is_utf8(text))
        return leaf::new_error(input_error{.source = source, .expected = "UTF-8 text"});
    boost::property_tree::ptree tree;
    try
    {
        std::istringstream stream(text);
        boost::property_tree::read_ini(stream, tree);
    }
    catch (const boost::property_tree::ini_parser_error& failure)
    {
        return leaf::new_error(input_error{.source = source,
                                           .section = "line " + std::to_string(failure.line()),
                                           .expected = "INI syntax (" + failure.message() + ")"});
    }
    std::vector<ini_section> sections;
    for (const auto& [name, body] : tree)
    {
        if (body.empty() && !body.data().empty())
            return leaf::new_error(input_error{
                .source = source, .key = name, .expected = "a section before the first key"});
        std::map<std::string, std::string> values;
        for (const auto& [key, value] : body)
            values.emplace(key, value.data());
        sections.emplace_back(source, name, std::move(values));
    }
    return ini_document{source, std::move(sections)};
}

result<std::string> read_text_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return leaf::new_error(input_error{.source = path, .expected = "a readable file"});
    std::string text;
    std::array<char, 16'384> chunk{};
    while (text.size() <= max_ini_bytes && file)
    {
        file.read(chunk.data(), chunk.size());
        text.append(chunk.data(), static_cast<std::size_t>(file.gcount()));
    }
    if (text.size() > max_ini_bytes)
        return leaf::new_error(input_error{
            .source = path, .expected = "at most " + std::to_string(max_ini_bytes) + " bytes"});
    return text;
}

std::vector<std::string> split_list(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    while (!text.empty())
    {
        const auto stop = std::min(text.find(separator), text.size());
        const std::string_view part = trim(text.substr(0, stop));
        if (!part.empty())
            parts.emplace_back(part);
        text.remove_prefix(std::min(stop + 1, text.size()));
    }
    return parts;
}

} // namespace tanagerspur
