// When a scatter is answered with the parts that are there.
//
// An answer is worth the square of the share of its parts, and little once it is late. How late a
// caller is can't be known here: it may have spent two round trips on a look-up of addresses. Few
// parts more are worth less than that risk, many are worth more. The load that this answers is
// that of shards of which some pause or straggle at any moment; see partial_answer_test.

#ifndef TANAGERSPUR_FORWARDING_PARTIAL_ANSWER_HPP
#define TANAGERSPUR_FORWARDING_PARTIAL_ANSWER_HPP

#include "tanagerspur/common/time.hpp"

#include <cstddef>

namespace tanagerspur
{

struct partial_answer_options
{
    // Share of the parts from which an answer counts as nearly whole. What the rest would add to
    // its worth, 1 - 0.93 squared, is about the share of requests that follow a look-up.
    double nearly_complete = 0.93;
    // Share of the time to the objective that shards get in any case.
    double min_wait_share = 0.5;
};

// Times of one request.
struct partial_answer_request
{
    time_point begun;
    // The answer must be on its way by then to be in time.
    time_point answer_at;
    // What a look-up before the request takes.
    duration lookup_time{0};
};

class partial_answer
{
public:
    partial_answer() = default;
    partial_answer(const partial_answer_request& request, const partial_answer_options& options);

    // Whether an answer with so many parts is given now; needed is the least that makes a success.
    bool is_due(std::size_t parts, std::size_t all, std::size_t needed, time_point now) const;

    // When to ask next, if nothing else happens; never once both times are over.
    time_point next_check(time_point now) const;

    time_point answer_at() const { return m_answer_at; }

private:
    time_point m_nearly_complete_at{};
    time_point m_answer_at{};
    double m_nearly_complete = 1;
};

} // namespace tanagerspur

#endif
