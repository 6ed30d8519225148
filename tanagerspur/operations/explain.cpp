#include "tanagerspur/operations/explain.hpp"

#include <boost/json/parse.hpp>

#include <algorithm>
#include <istream>
#include <set>

namespace tanagerspur
{

namespace
{

constexpr std::size_t time_length = std::string_view{"2026-01-01T00:00:00.000"}.size();

// Events that change a host's recorded state, and the kind of state that each changes.
const std::map<std::string, std::string>& state_events()
{
    static const std::map<std::string, std::string> events{
        {"configuration_applied", "configuration"},
        {"store_lost", "store"},
        {"store_restored", "store"},
        {"store_regained", "store"},
        {"snapshot", "list of replicas"},
        {"shares_changed", "shares"},
        {"host_reachability", "hosts"},
        {"load_changed", "load"},
        {"stopping", "stopping"},
        {"start", "start"},
        {"reloaded", "settings"}};
    return events;
}

// Events that change what a host may send to a replica.
const std::set<std::string>& replica_events()
{
    static const std::set<std::string> events{"replica_added",   "replica_left",
                                              "replica_leaving", "replica_paused",
                                              "replica_limited", "replica_limit_ended"};
    return events;
}

// Parses the value that begins at a position, and moves the position past it.
std::string take_value(const std::string& text, std::size_t& at)
{
    if (at < text.size() && text[at] == '"')
    {
        std::size_t end = at + 1;
        while (end < text.size() && text[end] != '"')
            end += text[end] == '\\' ? 2 : 1;
        const std::string quoted = text.substr(at, end + 1 - at);
        at = std::min(text.size(), end + 1);
        boost::json::error_code error;
        const boost::json::value parsed = boost::json::parse(quoted, error);
        return error || !parsed.is_string() ? quoted : std::string{parsed.as_string()};
    }
    const std::size_t end = std::min(text.find(' ', at), text.size());
    std::string plain = text.substr(at, end - at);
    at = end;
    return plain;
}

std::set<std::string> services_in(const log_line& line)
{
    std::set<std::string> services;
    if (const auto service = line.fields.find("service"); service != line.fields.end())
        services.insert(service->second);
    const auto missing = line.fields.find("missing");
    if (missing == line.fields.end())
        return services;
    std::size_t at = 0;
    while (at < missing->second.size())
    {
        const std::size_t end = std::min(missing->second.find(',', at), missing->second.size());
        const std::string part = missing->second.substr(at, end - at);
        services.insert(part.substr(0, part.find(':')));
        at = end + 1;
    }
    return services;
}

void append_host_state(const log_line& about, const std::vector<log_line>& lines,
                       std::vector<std::string>& history)
{
    std::map<std::string, const log_line*> states;
    std::vector<const log_line*> replicas;
    const std::set<std::string> services = services_in(about);
    for (const log_line& each : lines)
    {
        if (each.source != about.source || each.time > about.time)
            continue;
        const auto kind = state_events().find(each.event);
        if (kind != state_events().end())
            states[kind->second] = &each;
        const auto service = each.fields.find("service");
        const bool is_replica = replica_events().contains(each.event);
        if (is_replica && service != each.fields.end() && services.contains(service->second))
            replicas.push_back(&each);
    }
    for (const auto& [kind, line] : states)
        history.push_back("  believed (" + kind + "): " + line->text);
    for (const log_line* each : replicas)
        history.push_back("  knew of its services: " + each->text);
}

} // namespace

std::optional<log_line> parse_log_line(const std::string& source, const std::string& text)
{
    const std::size_t part_end = text.find(": ");
    if (text.size() < time_length || text[10] != 'T' || part_end == std::string::npos)
        return std::nullopt;
    log_line line{.source = source, .time = text.substr(0, time_length), .text = text};
    std::size_t at = part_end + 2;
    line.event = take_value(text, at);
    while (at < text.size())
    {
        ++at;
        const std::size_t equals = text.find('=', at);
        if (equals == std::string::npos)
            break;
        const std::string key = text.substr(at, equals - at);
        at = equals + 1;
        line.fields[key] = take_value(text, at);
    }
    return line;
}

void read_log(const std::string& source, std::istream& from, std::vector<log_line>& lines)
{
    std::string text;
    while (std::getline(from, text))
        if (auto line = parse_log_line(source, text))
            lines.push_back(std::move(*line));
}

std::vector<std::string> explain_request(const std::string& request, std::vector<log_line> lines)
{
    std::stable_sort(lines.begin(), lines.end(),
                     [](const log_line& left, const log_line& right)
                     { return left.time < right.time; });
    std::vector<std::string> history;
    for (const log_line& each : lines)
    {
        const auto named = each.fields.find("request");
        if (named == each.fields.end() || named->second != request)
            continue;
        history.push_back(each.source + " " + each.text);
        if (each.event == "request_done" || each.event == "request_refused")
            append_host_state(each, lines, history);
    }
    return history;
}

} // namespace tanagerspur
