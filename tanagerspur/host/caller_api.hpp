// The callers' HTTP interface: reading of queries and writing of answers. docs/API.md is its
// page for callers.

#ifndef TANAGERSPUR_HOST_CALLER_API_HPP
#define TANAGERSPUR_HOST_CALLER_API_HPP

#include "tanagerspur/common/error.hpp"
#include "tanagerspur/entry/address_book.hpp"
#include "tanagerspur/net/http_message.hpp"
#include "tanagerspur/query/coordinator.hpp"

#include <chrono>
#include <string>
#include <vector>

namespace tanagerspur
{

inline constexpr const char* search_path = "/v1/search";
inline constexpr const char* lookup_path = "/v1/lookup";
inline constexpr const char* addresses_path = "/v1/addresses";
inline constexpr const char* request_ids_path = "/v1/request-ids";

// Reads a search or a look-up. The deadline counts from now and is bounded by the service.
result<query> read_query(time_point now, const http_call& call, const manifest& present);

// HTTP status for an answer: 200 when it has rows or is done, 4xx for what the caller can mend,
// 502 for may_have_run, 503 for not_run, 504 for a deadline.
int status_of(const answer& made);

http_reply write_answer(const answer& made);

// An error with a verdict, in the shape of an answer without rows.
http_reply write_failure(const request_id& request, const failure& why, int status);

http_reply write_addresses(const std::vector<entry_address>& book, std::uint16_t port,
                           std::chrono::seconds validity);

} // namespace tanagerspur

#endif
