#include "tanagerspur/gateway/limit_share.hpp"

#include <algorithm>

namespace tanagerspur
{

double limit_share(double load, double total_load, std::size_t hosts,
                   const limit_share_options& options)
{
    const double even = 1 / static_cast<double>(std::max<std::size_t>(1, hosts));
    if (total_load <= 0)
        return even;
    return options.even_part * even + (1 - options.even_part) * load / total_load;
}

} // namespace tanagerspur
