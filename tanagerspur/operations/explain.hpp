// Reconstructs the history of one request from the structured logs of any number of hosts: the
// lines that name it, and the state that its host had recorded by then, with the time of each
// change.

#ifndef TANAGERSPUR_OPERATIONS_EXPLAIN_HPP
#define TANAGERSPUR_OPERATIONS_EXPLAIN_HPP

#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tanagerspur
{

// A parsed line of a log.
struct log_line
{
    // Name of the log that contains it.
    std::string source;
    // As written in the line; the lines of all logs of a deployment are sorted by it.
    std::string time;
    std::string event;
    std::map<std::string, std::string> fields;
    std::string text;
};

// Returns nothing if the line is not a structured one.
std::optional<log_line> parse_log_line(const std::string& source, const std::string& text);

// Appends all structured lines of a log to lines.
void read_log(const std::string& source, std::istream& from, std::vector<log_line>& lines);

// Returns the history of the request as lines of text; empty if no line names it.
std::vector<std::string> explain_request(const std::string& request, std::vector<log_line> lines);

} // namespace tanagerspur

#endif
