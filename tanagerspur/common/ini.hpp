// Checked reading of INI text. Every key must be read: finish() reports an unread key or an unknown
// section, so that a misspelt key is an error and never silently ignored.
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

// Bounds of an integer key, both inclusive; the error message names the unit.
struct integer_bounds
{
    std::int64_t min = 0;
    std::int64_t max = 0;
    std::string_view unit;
    // Default value of an absent key; without a default the key is required.
    std::optional<std::int64_t> fallback = std::nullopt;
};

// Bounds of a decimal key, both inclusive.
struct decimal_bounds
{
    double min = 0;
    double max = 0;
    std::string_view unit;
    // Default value of an absent key.
    double fallback = 0;
};

// One section; records which of its keys were read.
class ini_section
{
public:
    ini_section(std::string source, std::string name, std::map<std::string, std::string> values);

    const std::string& name() const { return m_name; }
    bool has(const std::string& key) const { return m_values.contains(key); }

    // Returns a required text; fails if it is absent or empty.
    result<std::string> text(const std::string& key, std::string_view expected);
    // Returns a text, or the fallback if the key is absent.
    std::string text_or(const std::string& key, const std::string& fallback);
    result<std::int64_t> integer(const std::string& key, const integer_bounds& bounds);
    result<double> decimal(const std::string& key, const decimal_bounds& bounds);
    // Accepts "true" and "false"; returns the fallback if the key is absent.
    result<bool> boolean(const std::string& key, bool fallback);

    // Returns an error that names this section and the key.
    input_error error(const std::string& key, std::string expected) const;
    // Fails on the first key that was not read.
    result<void> finish() const;

private:
    std::string m_source;
    std::string m_name;
    std::map<std::string, std::string> m_values;
    std::set<std::string> m_read_keys;
};

// The sections of one text, in their order.
class ini_document
{
public:
    ini_document(std::string source, std::vector<ini_section> sections);

    const std::string& source() const { return m_source; }
    std::vector<ini_section>& sections() { return m_sections; }
    // Returns the section, or an empty one if it is absent, so that reading a required key fails.
    ini_section& section(const std::string& name);
    // Fails on the first section whose name the predicate does not know.
    result<void> finish(const std::set<std::string>& known) const;

private:
    std::string m_source;
    std::vector<ini_section> m_sections;
};

// Longest accepted INI text: the largest value that the platform's store accepts.
inline constexpr std::size_t max_ini_bytes = 1'000'000;

// Parses UTF-8 text; fails on other encodings, syntax errors and duplicate sections or keys.
result<ini_document> parse_ini(const std::string& source, const std::string& text);

// Reads a whole file; fails if it cannot be read or is longer than max_ini_bytes.
result<std::string> read_text_file(const std::string& path);

// Splits at a separator, trims blanks and drops empty parts.
std::vector<std::string> split_list(std::string_view text, char separator);

} // namespace tanagerspur

#endif
