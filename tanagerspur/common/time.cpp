#include "tanagerspur/common/time.hpp"

namespace tanagerspur
{

time_point steady_now()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return time_point{std::chrono::duration_cast<duration>(now)};
}

} // namespace tanagerspur
