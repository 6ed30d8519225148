// Streaming estimators of a latency: its mean as an exponentially weighted moving average, and one
// quantile by stochastic approximation. Both take constant time and memory.

#ifndef TANAGERSPUR_DISPATCH_LATENCY_ESTIMATOR_HPP
#define TANAGERSPUR_DISPATCH_LATENCY_ESTIMATOR_HPP

#include "tanagerspur/common/time.hpp"

#include <algorithm>

namespace tanagerspur
{

class mean_estimator
{
public:
    // weight: the weight of a new sample in the mean, 0 to 1.
    explicit mean_estimator(double weight)
        : m_weight(weight)
    {
    }

    void record(duration value)
    {
        const auto sample = static_cast<double>(value.count());
        m_mean = m_is_empty ? sample : m_mean + m_weight * (sample - m_mean);
        m_is_empty = false;
    }

    bool is_empty() const { return m_is_empty; }
    double mean_us() const { return m_mean; }

private:
    double m_weight;
    double m_mean = 0;
    bool m_is_empty = true;
};

class quantile_estimator
{
public:
    explicit quantile_estimator(double fraction)
        : m_fraction(fraction)
    {
    }

    // Raises the estimate by step * fraction if the sample is larger, and lowers it by
    // step * (1 - fraction) if not. The steps cancel out exactly at the quantile.
    void record(duration value)
    {
        const auto sample = static_cast<double>(value.count());
        if (m_estimate == 0)
            m_estimate = sample;
        const double step = std::max(1.0, m_estimate * relative_step);
        m_estimate += sample > m_estimate ? step * m_fraction : -step * (1 - m_fraction);
        m_estimate = std::max(1.0, m_estimate);
    }

    duration value() const { return duration{static_cast<duration::rep>(m_estimate)}; }

private:
    static constexpr double relative_step = 0.05;

    double m_fraction;
    double m_estimate = 0;
};

} // namespace tanagerspur

#endif
