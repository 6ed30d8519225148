// Tells the story of one request from the structured logs of any number of hosts: the lines that
// name it, and what its host believed then, with the age of each belief.

#ifndef TANAGERSPUR_OPERATIONS_EXPLAIN_HPP
#define TANAGERSPUR_OPERATIONS_EXPLAIN_HPP

#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tanagerspur
{

// A line of a log, taken apart.
struct log_line
{
    // Name of the log it stood in.
    std::string source;
    // As it stands in the line; logs of one deployment sort by it.
    std::string time;
    std::string event;
    std::map<std::string, std::string> fields;
    std::string text;
};

// Nothing when the line is not a structured one.
std::optional<log_line> parse_log_line(const std::string& source, const std::string& text);

// Reads all structured lines of a log.
void read_log(const std::string& source, std::istream& from, std::vector<log_line>& lines);

// The story of the request, one line each; empty when no line names it.
std::vector<std::string> explain_request(const std::string& request, std::vector<log_line> lines);

} // namespace tanagerspur

#endif
