// Decides when a scatter is answered with the parts that have arrived.
//
// The value of an answer is the square of the share of its parts, and little once it is late. The
// host does not know how much time the caller has spent: it may have used two round trips for an
// address look-up. Waiting for a few missing parts is worth less than that risk, waiting for many
// is worth more. This handles shards of which some pause or straggle at any moment; see
// partial_answer_test.

#ifndef TANAGERSPUR_FORWARDING_PARTIAL_ANSWER_HPP
#define TANAGERSPUR_FORWARDING_PARTIAL_ANSWER_HPP

#include "tanagerspur/common/time.hpp"

#include <cstddef>

namespace tanagerspur
{

struct partial_answer_options
{
    // Minimum share of the parts for a nearly complete answer. The missing parts would add 1 - 0.93
    // squared to its value, which is about the share of requests that follow a look-up.
    double nearly_complete = 0.93;
    // Minimum time that shards are given, as a share of the time from begun to answer_at.
    double min_wait_share = 0.5;
};

// Times of one request.
struct partial_answer_request
{
    time_point begun;
    // The answer must be sent by then to reach the caller within the latency objective.
    time_point answer_at;
    // Time that an address look-up before the request takes.
    duration lookup_time{0};
};

class partial_answer
{
public:
    partial_answer() = default;
    partial_answer(const partial_answer_request& request, const partial_answer_options& options);

    // True if an answer with this number of parts is due now; needed is the minimum for a success.
    bool is_due(std::size_t parts, std::size_t all, std::size_t needed, time_point now) const;

    // When to call is_due again if no further part arrives; never after answer_at.
    time_point next_check(time_point now) const;

    time_point answer_at() const { return m_answer_at; }

private:
    time_point m_nearly_complete_at{};
    time_point m_answer_at{};
    double m_nearly_complete = 1;
};

} // namespace tanagerspur

#endif
