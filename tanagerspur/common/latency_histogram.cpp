#include "tanagerspur/common/latency_histogram.hpp"

#include <boost/histogram.hpp>

#include <algorithm>

namespace tanagerspur
{

namespace
{

constexpr double min_us = 10.0;
constexpr double max_us = 100e6;
constexpr unsigned bin_count = 400;

using axis_type = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

auto make_histogram()
{
    return boost::histogram::make_histogram_with(std::vector<std::uint64_t>{},
                                                 axis_type{bin_count, min_us, max_us});
}

} // namespace

struct latency_histogram::storage
{
    decltype(make_histogram()) bins = make_histogram();
    std::uint64_t count = 0;
};

latency_histogram::latency_histogram()
    : m_storage(std::make_unique<storage>())
{
}
latency_histogram::~latency_histogram() = default;
latency_histogram::latency_histogram(latency_histogram&&) noexcept = default;
latency_histogram& latency_histogram::operator=(latency_histogram&&) noexcept = default;

void latency_histogram::record(duration value)
{
    m_storage->bins(std::max(min_us, static_cast<double>(value.count())));
    ++m_storage->count;
}

std::uint64_t latency_histogram::count() const
{
    return m_storage->count;
}

duration latency_histogram::quantile(double fraction) const
{
    const double wanted = fraction * static_cast<double>(m_storage->count);
    double seen = 0;
    for (auto&& bin : boost::histogram::indexed(m_storage->bins))
    {
        seen += static_cast<double>(*bin);
        if (seen >= wanted && seen > 0)
            return duration{static_cast<duration::rep>(bin.bin(0).upper())};
    }
    return duration{m_storage->count > 0 ? static_cast<duration::rep>(max_us) : 0};
}

std::uint64_t latency_histogram::count_up_to(duration limit) const
{
    std::uint64_t total = 0;
    for (auto&& bin : boost::histogram::indexed(m_storage->bins))
        if (bin.bin(0).upper() <= static_cast<double>(limit.count()))
            total += *bin;
    return total;
}

} // namespace tanagerspur
