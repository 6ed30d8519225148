// Checked reading of INI text. Every key must be asked for: finish() reports a key or section
// that nothing asked for, so that a misspelt key is an error and never silently ignored.
//
//   BOOST_LEAF_AUTO(document, parse_ini("host.ini", text));
//   ini_section& host = document.section("host");
//   BOOST_LEAF_AUTO(port, host.integer("port", {.min = 1, .max = 65535, .unit = "TCP port"}));

#ifndef TANAGERSPUR_COMMON_INI_HPP
#define TANAGERSPUR_COMMON_INI_HPP

#include "tanagerspur/common/error.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace tanagerspur
{

// Bounds of an integer key, both ends included; unit is named in the error.
struct integer_bounds
{
    std::int64_t min = 0;
    std::int64_t max = 0;
    std::string_view unit;
    // Value of an absent key; without one the key is required.
    std::optional<std::int64_t> fallback = std::nullopt;
};

// Bounds of a decimal key, both ends included.
struct decimal_bounds
{
    double min = 0;
    double max = 0;
    std::string_view unit;
    // Value of an absent key.
    double fallback = 0;
};

// One section; remembers which of its keys were asked for.
class ini_section
{
public:
    ini_section(std::string source, std::string name, std::map<std::string, std::string> values);

    const std::string& name() const { return m_name; }
    bool has(const std::string& key) const { return m_values.contains(key); }

    // A required text, not empty.
    result<std::string> text(const std::string& key, std::string_view expected);
    // A text with a value for an absent key.
    std::string text_or(const std::string& key, const std::string& fallback);
    result<std::int64_t> integer(const std::string& key, const integer_bounds& bounds);
    result<double> decimal(const std::string& key, const decimal_bounds& bounds);
    // "true" or "false".
    result<bool> boolean(const std::string& key, bool fallback);

    // An error that names this section and the key.
    input_error error(const std::string& key, std::string expected) const;
    // Fails on the first key that nothing asked for.
    result<void> finish() const;

private:
    std::string m_source;
    std::string m_name;
    std::map<std::string, std::string> m_values;
    std::set<std::string> m_asked;
};

// The sections of one text, in its order.
class ini_document
{
public:
    ini_document(std::string source, std::vector<ini_section> sections);

    const std::string& source() const { return m_source; }
    std::vector<ini_section>& sections() { return m_sections; }
    // The section, or an empty one, so that required keys report themselves.
    ini_section& section(const std::string& name);
    // Fails on the first section whose name the predicate does not know.
    result<void> finish(const std::set<std::string>& known) const;

private:
    std::string m_source;
    std::vector<ini_section> m_sections;
};

// Longest INI text accepted, in bytes: the largest value of the platform's store.
inline constexpr std::size_t max_ini_bytes = 1'000'000;

// Parses UTF-8 text; fails on other encodings, syntax errors and duplicate sections or keys.
result<ini_document> parse_ini(const std::string& source, const std::string& text);

// Reads a file whole; fails when it cannot be read or is longer than max_ini_bytes.
result<std::string> read_text_file(const std::string& path);

// Splits at a separator, trims blanks and drops empty parts.
std::vector<std::string> split_list(std::string_view text, char separator);

} // namespace tanagerspur

#endif
