#include "tanagerspur/common/time.hpp"

#include <ctime>

namespace tanagerspur
{

time_point steady_now()
{
    return time_point{
        std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch())};
}

time_point boot_now()
{
    timespec value{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return time_point{std::chrono::duration_cast<duration>(
        std::chrono::seconds{value.tv_sec} + std::chrono::nanoseconds{value.tv_nsec})};
}

} // namespace tanagerspur
