// Which addresses callers are told to use, with weights and a time to keep the answer. Weights
// move in coarse steps, so that callers do not all change their minds at once.

#ifndef TANAGERSPUR_ENTRY_ADDRESS_BOOK_HPP
#define TANAGERSPUR_ENTRY_ADDRESS_BOOK_HPP

#include "tanagerspur/membership/peer_table.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace tanagerspur
{

struct entry_address
{
    host_id host;
    std::string address;
    zone_id zone;
    // Share of a caller's requests, relative to the other addresses.
    std::uint32_t weight = 0;

    friend bool operator==(const entry_address&, const entry_address&) = default;
};

// This host, as one of the addresses.
struct entry_self
{
    host_id id;
    zone_id zone;
    std::string address;
    bool leaving = false;
    std::uint32_t load_permille = 0;
};

// The addresses in use. A caller's zone, when it is known, gets double weight. A leaving host is
// never told, unless no other is left.
std::vector<entry_address> make_address_book(time_point now, const entry_self& self,
                                             const peer_table& peers, const zone_id& caller_zone);

} // namespace tanagerspur

#endif
