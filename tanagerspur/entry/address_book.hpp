// Which addresses callers are told to use, with weights and a time to keep the answer. Weights
// change in coarse steps, so that callers do not all shift their load at once.

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

// This host as an entry of the address book.
struct entry_self
{
    host_id id;
    zone_id zone;
    std::string address;
    bool leaving = false;
    std::uint32_t load_permille = 0;
};

// Returns the advertised addresses. Hosts in the caller's zone, if it is known, get double weight.
// A leaving host is announced only if there is no other.
std::vector<entry_address> make_address_book(time_point now, const entry_self& self,
                                             const peer_table& peers, const zone_id& caller_zone);

} // namespace tanagerspur

#endif
