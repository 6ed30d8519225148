// A plot of the worth of each day by variant, with 95 % confidence intervals, as an SVG file.

#ifndef TANAGERSPUR_BENCH_EXPERIMENT_WORTH_PLOT_HPP
#define TANAGERSPUR_BENCH_EXPERIMENT_WORTH_PLOT_HPP

#include <string>
#include <vector>

namespace tanagerspur::experiment
{

struct plotted_worth
{
    std::string variant;
    std::string day;
    double mean = 0;
    double half_interval = 0;
};

// Returns false if the file cannot be written.
bool write_worth_plot(const std::string& file_name, const std::vector<plotted_worth>& values);

} // namespace tanagerspur::experiment

#endif
