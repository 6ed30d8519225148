// Attributes the worth that a play lost to causes, by windows of the day, from the log lines that
// hosts write about the requests they finish.

#ifndef TANAGERSPUR_BENCH_EXPERIMENT_LOSS_ACCOUNT_HPP
#define TANAGERSPUR_BENCH_EXPERIMENT_LOSS_ACCOUNT_HPP

#include "bench/experiment/play.hpp"

#include <map>
#include <string>
#include <vector>

namespace tanagerspur::experiment
{

struct window_account
{
    window of;
    // Number of log lines by cause: "refused overloaded", "late, last desk-3", "missing desk-3
    // pending", "failed deadline".
    std::map<std::string, std::size_t> causes;
    // Share of the window in which no host ran, so that no policy can earn its worth.
    double lost_without_hosts = 0;
};

// Returns the windows whose worth is below the limit, in the order of the day.
std::vector<window_account> account_losses(const play_result& play,
                                           const std::vector<host_log_line>& lines,
                                           double worth_limit);

// The causes of a finished request's loss; empty if it lost nothing.
std::vector<std::string> causes_of(const log_line& line);

} // namespace tanagerspur::experiment

#endif
