// Decides when a scatter is answered with the parts that have arrived.
//
// The value of an answer is the square of the share of its parts, and little once it is late. The
// host does not know how much time the caller has spent: it may have used two round trips for an
// address look-up. An incomplete answer leaves time for a look-up unless the parts that may still
// arrive in that time are worth more than the risk. This handles shards of which some pause,
// straggle or are overloaded; see partial_answer_test and shard_load_test.

#ifndef TANAGERSPUR_FORWARDING_PARTIAL_ANSWER_HPP
#define TANAGERSPUR_FORWARDING_PARTIAL_ANSWER_HPP

#include "tanagerspur/common/time.hpp"

#include <cstddef>

namespace tanagerspur
{

struct partial_answer_options
{
    // Share of the requests that follow a look-up: about one in seven, with addresses that callers
    // keep for four seconds.
    double lookup_share = 0.14;
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
    // True if the missing parts are not worth the time that a look-up takes.
    bool is_early_answer_better(double share) const;

    // When an incomplete answer is sent that leaves time for a look-up.
    time_point m_early_at{};
    time_point m_answer_at{};
    double m_lookup_share = 0;
    // Probability that a part that is missing at m_early_at arrives by m_answer_at.
    double m_arrival_probability = 0;
};

} // namespace tanagerspur

#endif
