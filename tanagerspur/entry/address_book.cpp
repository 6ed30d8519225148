#include "tanagerspur/entry/address_book.hpp"

#include <algorithm>

namespace tanagerspur
{

namespace
{

constexpr std::uint32_t full_weight = 100;
// The load is rounded down to quarters of the limit.
constexpr std::uint32_t load_step_permille = 250;

std::uint32_t entry_weight(std::uint32_t load_permille, bool is_same_zone)
{
    const std::uint32_t steps =
        std::min(load_permille, 3 * load_step_permille) / load_step_permille;
    const std::uint32_t weight = full_weight - steps * full_weight / 4;
    return is_same_zone ? 2 * weight : weight;
}

} // namespace

std::vector<entry_address> make_address_book(time_point now, const entry_self& self,
                                             const peer_table& peers, const zone_id& caller_zone)
{
    std::vector<entry_address> book;
    const auto own_weight = entry_weight(self.load_permille, self.zone == caller_zone);
    const entry_address own{
        .host = self.id, .address = self.address, .zone = self.zone, .weight = own_weight};
    if (!self.leaving)
        book.push_back(own);
    for (const auto& [id, each] : peers.peers())
        if (peers.is_heard(now, id) && each.is_serving && !each.is_leaving &&
            !each.is_listed_leaving)
            book.push_back({.host = id,
                            .address = each.address,
                            .zone = each.zone,
                            .weight = entry_weight(each.load_permille, each.zone == caller_zone)});
    if (book.empty())
        book.push_back(own);
    std::sort(book.begin(), book.end(),
              [](const auto& left, const auto& right) { return left.host < right.host; });
    return book;
}

} // namespace tanagerspur
