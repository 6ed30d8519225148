// Compares two variants of the code by plays of the same day with the same seed. Plays of one day
// differ more between seeds than between variants, so only differences within pairs are averaged.

#ifndef TANAGERSPUR_BENCH_EXPERIMENT_PAIRED_COMPARISON_HPP
#define TANAGERSPUR_BENCH_EXPERIMENT_PAIRED_COMPARISON_HPP

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace tanagerspur::experiment
{

struct paired_values
{
    double base = 0;
    double variant = 0;
};

enum class verdict
{
    better,
    worse,
    unclear // the confidence interval contains zero, or there are fewer than two pairs
};

std::string_view to_string(verdict value);

// Which difference is an improvement.
enum class direction
{
    higher,
    lower
};

struct comparison
{
    std::size_t pairs = 0;
    double base_mean = 0;
    double variant_mean = 0;
    double mean_difference = 0;
    // Half the width of the 95 % confidence interval of the mean difference, from Student's t
    // distribution; nothing with fewer than two pairs.
    std::optional<double> half_interval;

    verdict result(direction better_if) const;
};

comparison compare(const std::vector<paired_values>& pairs);

} // namespace tanagerspur::experiment

#endif
