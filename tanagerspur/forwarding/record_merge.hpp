// Merges the parts of a scatter: each body is a row of fixed-size records in any order, and the
// answer holds the greatest records of all parts, greatest first, compared byte by byte.

#ifndef TANAGERSPUR_FORWARDING_RECORD_MERGE_HPP
#define TANAGERSPUR_FORWARDING_RECORD_MERGE_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace tanagerspur
{

// Bytes of a record; a shorter remainder at the end of a part is none.
inline constexpr std::size_t record_bytes = 16;

// The greatest count records of the parts, falling; equal records all count.
std::string merge_greatest(const std::vector<std::string_view>& parts, std::size_t count);

} // namespace tanagerspur

#endif
