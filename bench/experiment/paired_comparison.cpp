#include "bench/experiment/paired_comparison.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/variance.hpp>
#include <boost/math/distributions/students_t.hpp>

#include <cmath>

namespace tanagerspur::experiment
{

namespace
{

namespace acc = boost::accumulators;
using mean_of = acc::accumulator_set<double, acc::stats<acc::tag::mean>>;
using variance_of = acc::accumulator_set<double, acc::stats<acc::tag::variance>>;

constexpr double confidence = 0.95;

} // namespace

std::string_view to_string(verdict value)
{
    switch (value)
    {
    case verdict::better:
        return "better";
    case verdict::worse:
        return "worse";
    case verdict::unclear:
        break;
    }
    return "can't tell";
}

verdict comparison::result(direction better_if) const
{
    if (!half_interval || std::abs(mean_difference) <= *half_interval)
        return verdict::unclear;
    const bool is_higher = mean_difference > 0;
    return is_higher == (better_if == direction::higher) ? verdict::better : verdict::worse;
}

comparison compare(const std::vector<paired_values>& pairs)
{
    comparison made{.pairs = pairs.size()};
    if (pairs.empty())
        return made;
    mean_of base;
    mean_of variant;
    variance_of difference;
    for (const paired_values& each : pairs)
    {
        base(each.base);
        variant(each.variant);
        difference(each.variant - each.base);
    }
    made.base_mean = acc::mean(base);
    made.variant_mean = acc::mean(variant);
    made.mean_difference = acc::mean(difference);
    if (pairs.size() < 2)
        return made;
    const auto count = static_cast<double>(pairs.size());
    // Boost's variance divides by the number of samples, the estimate by one less.
    const double sample_variance = acc::variance(difference) * count / (count - 1);
    const boost::math::students_t distribution(count - 1);
    made.half_interval = boost::math::quantile(distribution, 0.5 + confidence / 2) *
                         std::sqrt(sample_variance / count);
    return made;
}

} // namespace tanagerspur::experiment
