// Estimates the processor load of a host's requests from the number of attempts that it sends.
// Where a CPU quota is enforced from outside, the process cannot read the time that it is charged;
// the number of attempts is known, and they account for nearly all of the work.
//
// Every change is published to all hosts, so the estimate moves in steps. It increases at once,
// because more hosts are needed then, and decreases only after it has stayed lower for a while.

#ifndef TANAGERSPUR_GATEWAY_CPU_LOAD_ESTIMATOR_HPP
#define TANAGERSPUR_GATEWAY_CPU_LOAD_ESTIMATOR_HPP

#include "tanagerspur/common/time.hpp"

#include <cstdint>

namespace tanagerspur
{

struct cpu_load_options
{
    // Length of one measurement.
    duration interval = std::chrono::seconds{1};
    // Processor time of one attempt on a whole core, including its share of the caller's request.
    duration cpu_time_per_attempt = std::chrono::microseconds{80};
    // Each step is this multiple of the step below; a load below the first step counts as zero.
    double step_ratio = 1.5;
    double first_step_millicores = 10;
    // Number of consecutive measurements that must be lower before the estimate decreases, and the
    // factor by which they must be lower. Without them, a load close to a step would cross it with
    // every measurement.
    std::uint32_t decrease_intervals = 5;
    double decrease_margin = 1.2;
};

class cpu_load_estimator
{
public:
    explicit cpu_load_estimator(cpu_load_options options = {})
        : m_options(options)
    {
    }

    // Takes the number of attempts sent since the start; returns true if the load changed.
    bool update(time_point now, std::uint64_t attempts);

    // In thousandths of a core, rounded up to a step.
    std::uint32_t load() const { return m_load; }

private:
    std::uint32_t round_up_to_step(double millicores) const;

    cpu_load_options m_options;
    time_point m_since{};
    std::uint64_t m_attempts = 0;
    std::uint32_t m_load = 0;
    // Highest step measured since the load last reached the present estimate.
    std::uint32_t m_max_lower_step = 0;
    std::uint32_t m_decrease_intervals = 0;
};

} // namespace tanagerspur

#endif
