#include "bench/experiment/loss_account.hpp"

#include <algorithm>
#include <cstdlib>
#include <sstream>

namespace tanagerspur::experiment
{

namespace
{

std::string field_of(const log_line& line, const std::string& name)
{
    const auto found = line.fields.find(name);
    return found == line.fields.end() ? std::string{} : found->second;
}

double number_of(const log_line& line, const std::string& name)
{
    return std::strtod(field_of(line, name).c_str(), nullptr);
}

// Length of a window: the distance to the next one.
double length_of(const std::vector<window>& windows, std::size_t index)
{
    const std::size_t next = std::min(index + 1, windows.size() - 1);
    const std::size_t before = next == 0 ? 0 : next - 1;
    return windows[next].start_s - windows[before].start_s;
}

// Time of the window in which no host ran. While all hosts are down there are no log lines, so this
// is the sum of the gaps that end with the start of a host.
double time_without_hosts(const std::vector<host_log_line>& lines, double start_s, double length_s)
{
    // Hosts that start one after the other write their lines less than this apart.
    constexpr double min_outage_s = 0.2;
    double down_s = 0;
    double before = start_s;
    for (const host_log_line& each : lines)
    {
        if (each.at_s < start_s)
            continue;
        if (each.at_s > start_s + length_s)
            break;
        if (each.line.event == "start" && each.at_s - before > min_outage_s)
            down_s += each.at_s - before;
        before = each.at_s;
    }
    return down_s;
}

} // namespace

std::vector<std::string> causes_of(const log_line& line)
{
    if (line.event == "request_refused")
        return {"refused " + field_of(line, "cause")};
    if (line.event != "request_done")
        return {};
    const std::string status = field_of(line, "status");
    if (status == "503")
        return {"refused " + field_of(line, "cause")};
    if (status.empty() || status.front() != '2')
        return {"failed " + field_of(line, "cause")};
    std::vector<std::string> causes;
    if (number_of(line, "ms") > number_of(line, "objective_ms"))
    {
        const std::string last = field_of(line, "last");
        causes.push_back("late, last " + last.substr(0, last.find(':')));
    }
    std::istringstream missing(field_of(line, "missing"));
    for (std::string part; std::getline(missing, part, ',');)
        if (part != "-")
        {
            std::replace(part.begin(), part.end(), ':', ' ');
            causes.push_back("missing " + part);
        }
    return causes;
}

std::vector<window_account>
account_losses(const play_result& play, const std::vector<host_log_line>& lines, double worth_limit)
{
    std::vector<window_account> accounts;
    for (std::size_t i = 0; i < play.windows.size(); ++i)
    {
        const window& current = play.windows[i];
        if (current.requests.worth >= worth_limit)
            continue;
        window_account made{.of = current};
        const double length_s = length_of(play.windows, i);
        for (const host_log_line& each : lines)
            if (each.at_s >= current.start_s && each.at_s < current.start_s + length_s)
                for (const std::string& cause : causes_of(each.line))
                    ++made.causes[cause];
        made.lost_without_hosts =
            length_s > 0 ? time_without_hosts(lines, current.start_s, length_s) / length_s : 0;
        accounts.push_back(std::move(made));
    }
    return accounts;
}

} // namespace tanagerspur::experiment
