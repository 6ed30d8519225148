#include "tanagerspur/forwarding/partial_answer.hpp"

#include <algorithm>

namespace tanagerspur
{

// A missing part is taken to be equally likely to arrive at any time: its shard pauses or has a
// queue of unknown length.
partial_answer::partial_answer(const partial_answer_request& request,
                               const partial_answer_options& options)
    : m_answer_at(request.answer_at)
    , m_lookup_share(options.lookup_share)
{
    const auto time = static_cast<double>((request.answer_at - request.begun).count());
    const time_point earliest =
        request.begun + duration{static_cast<duration::rep>(options.min_wait_share * time)};
    m_early_at =
        std::min(request.answer_at, std::max(earliest, request.answer_at - request.lookup_time));
    if (time > 0)
        m_arrival_probability = static_cast<double>((m_answer_at - m_early_at).count()) / time;
}

bool partial_answer::is_early_answer_better(double share) const
{
    const double value = share * share;
    return m_arrival_probability * (1 - value) <= m_lookup_share * value;
}

bool partial_answer::is_due(std::size_t parts, std::size_t all, std::size_t needed,
                            time_point now) const
{
    if (parts < needed)
        return false;
    const double share = static_cast<double>(parts) / static_cast<double>(all);
    return now >= (is_early_answer_better(share) ? m_early_at : m_answer_at);
}

time_point partial_answer::next_check(time_point now) const
{
    if (now < m_early_at)
        return m_early_at;
    return now < m_answer_at ? m_answer_at : never;
}

} // namespace tanagerspur
