#include "tanagerspur/quarantine/crash_detector.hpp"

#include <algorithm>
#include <functional>

namespace tanagerspur
{

void crash_detector::lost(const request_fingerprint& request, const replica_incarnation& at,
                          time_point now)
{
    if (request == request_fingerprint{} || was_answered(request))
        return;
    if (!m_losses.contains(request))
        make_room(now);
    losses& known = m_losses[request];
    if (now - known.last > m_options.memory)
        known.replicas.clear();
    known.last = now;
    if (std::find(known.replicas.begin(), known.replicas.end(), at) == known.replicas.end())
        known.replicas.push_back(at);
}

bool crash_detector::answered(const request_fingerprint& request)
{
    if (request == request_fingerprint{})
        return false;
    const bool was_doubtful = is_doubtful(request);
    m_losses.erase(request);
    m_answered[slot_of(request)] = std::hash<std::string>{}(request.value());
    return was_doubtful;
}

bool crash_detector::was_answered(const request_fingerprint& request) const
{
    return m_answered[slot_of(request)] == std::hash<std::string>{}(request.value());
}

std::size_t crash_detector::slot_of(const request_fingerprint& request) const
{
    return std::hash<std::string>{}(request.value()) % m_answered.size();
}

const std::vector<replica_incarnation>&
crash_detector::lost_at(const request_fingerprint& request) const
{
    static const std::vector<replica_incarnation> none;
    const auto found = m_losses.find(request);
    return found == m_losses.end() ? none : found->second.replicas;
}

void crash_detector::make_room(time_point now)
{
    if (m_losses.size() < m_options.max_requests)
        return;
    std::erase_if(m_losses,
                  [&](const auto& each) { return now - each.second.last > m_options.memory; });
    if (m_losses.size() < m_options.max_requests)
        return;
    m_losses.erase(std::min_element(m_losses.begin(), m_losses.end(),
                                    [](const auto& left, const auto& right)
                                    { return left.second.last < right.second.last; }));
}

} // namespace tanagerspur
