// Histogram of latencies with logarithmic bins from 10 us to 100 s, each about 4 % wide.

#ifndef TANAGERSPUR_COMMON_LATENCY_HISTOGRAM_HPP
#define TANAGERSPUR_COMMON_LATENCY_HISTOGRAM_HPP

#include "tanagerspur/common/time.hpp"

#include <cstdint>
#include <memory>

namespace tanagerspur
{

class latency_histogram
{
public:
    latency_histogram();
    ~latency_histogram();
    latency_histogram(latency_histogram&&) noexcept;
    latency_histogram& operator=(latency_histogram&&) noexcept;

    void record(duration value);
    std::uint64_t count() const;

    // Upper edge of the bin that contains the quantile (0 to 1); zero if empty.
    duration quantile(double fraction) const;

    // Number of values in bins that end at or below the limit.
    std::uint64_t count_up_to(duration limit) const;

private:
    struct storage;
    std::unique_ptr<storage> m_storage;
};

} // namespace tanagerspur

#endif
