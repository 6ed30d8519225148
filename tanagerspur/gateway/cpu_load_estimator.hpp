// What the requests of a host take of its processor, from the attempts that it sends. Where a
// share of a core is enforced from outside, a process can't see what it is charged; the number of
// attempts is known, and nearly all of the work is theirs.
//
// The figure is published to all hosts with each change, so it moves in steps: up at once, since
// more hosts are needed then, and down only when it has stayed lower for a while.

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
    // Processor time of one attempt on a whole core, its part of the caller's request included.
    duration cpu_time_per_attempt = std::chrono::microseconds{80};
    // A step is this multiple of the one below; a load under the first step counts as none.
    double step_ratio = 1.5;
    double first_step_millicores = 10;
    // Measurements in a row that must be lower before the figure falls, and by what factor: a load
    // that stays near a step must not cross it with every measurement.
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

    // So many attempts were sent since the start; true if the load changed.
    bool update(time_point now, std::uint64_t attempts);

    // Thousandths of a core, rounded up to a step.
    std::uint32_t load() const { return m_load; }

private:
    std::uint32_t round_up_to_step(double millicores) const;

    cpu_load_options m_options;
    time_point m_since{};
    std::uint64_t m_attempts = 0;
    std::uint32_t m_load = 0;
    // The highest step measured since the load was last as high as the present figure.
    std::uint32_t m_max_lower_step = 0;
    std::uint32_t m_decrease_intervals = 0;
};

} // namespace tanagerspur

#endif
