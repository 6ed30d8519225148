#include "tanagerspur/forwarding/partial_answer.hpp"

#include <algorithm>

namespace tanagerspur
{

partial_answer::partial_answer(const partial_answer_request& request,
                               const partial_answer_options& options)
    : m_answer_at(request.answer_at)
    , m_nearly_complete(options.nearly_complete)
{
    const auto time = static_cast<double>((request.answer_at - request.begun).count());
    const time_point earliest =
        request.begun + duration{static_cast<duration::rep>(options.min_wait_share * time)};
    m_nearly_complete_at =
        std::min(request.answer_at, std::max(earliest, request.answer_at - request.lookup_time));
}

bool partial_answer::is_due(std::size_t parts, std::size_t all, std::size_t needed,
                            time_point now) const
{
    if (parts < needed)
        return false;
    const bool is_nearly_complete =
        static_cast<double>(parts) >= m_nearly_complete * static_cast<double>(all);
    return now >= (is_nearly_complete ? m_nearly_complete_at : m_answer_at);
}

time_point partial_answer::next_check(time_point now) const
{
    if (now < m_nearly_complete_at)
        return m_nearly_complete_at;
    return now < m_answer_at ? m_answer_at : never;
}

} // namespace tanagerspur
