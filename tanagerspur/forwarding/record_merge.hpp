// Merges the parts of a scatter. Each body is a sequence of fixed-size records in any order. The
// answer holds the greatest records of all parts in descending order, compared byte by byte.

#ifndef TANAGERSPUR_FORWARDING_RECORD_MERGE_HPP
#define TANAGERSPUR_FORWARDING_RECORD_MERGE_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace tanagerspur
{

// Size of a record. A shorter remainder at the end of a part is ignored.
inline constexpr std::size_t record_bytes = 16;

// Returns the greatest count records of the parts in descending order. Duplicates are kept.
std::string merge_greatest(const std::vector<std::string_view>& parts, std::size_t count);

} // namespace tanagerspur

#endif
