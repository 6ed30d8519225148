#include "tanagerspur/quarantine/request_quarantine.hpp"

#include <algorithm>
#include <utility>

namespace tanagerspur
{

std::optional<quarantine_notice>
request_quarantine::suspect(const request_fingerprint& request,
                            std::vector<replica_incarnation> lost_at, time_point now)
{
    const bool is_known = time_left(request, now).has_value();
    make_room(now);
    entry& own = m_entries[request];
    own.is_own = true;
    own.lost_at = std::move(lost_at);
    extend(request, now + m_options.unconfirmed_length);
    if (is_known)
        return std::nullopt;
    return quarantine_notice{.request = request, .length = m_options.unconfirmed_length};
}

bool request_quarantine::heard(const quarantine_notice& notice, time_point now)
{
    const bool is_known = time_left(notice.request, now).has_value();
    if (notice.length.count() == 0)
    {
        m_entries.erase(notice.request);
        return false;
    }
    make_room(now);
    extend(notice.request, now + std::min(notice.length, m_options.confirmed_length));
    return !is_known;
}

std::optional<quarantine_notice> request_quarantine::lift(const request_fingerprint& request,
                                                          time_point now)
{
    if (!time_left(request, now))
        return std::nullopt;
    m_entries.erase(request);
    return quarantine_notice{.request = request};
}

std::vector<quarantine_notice>
request_quarantine::confirm(const std::function<bool(const replica_incarnation&)>& has_ended,
                            time_point now)
{
    std::vector<quarantine_notice> confirmed;
    for (auto& [request, each] : m_entries)
    {
        if (now >= each.until || each.lost_at.empty())
            continue;
        const auto ended = std::count_if(each.lost_at.begin(), each.lost_at.end(), has_ended);
        if (static_cast<std::size_t>(ended) < m_options.min_ended)
            continue;
        each.lost_at.clear();
        extend(request, now + m_options.confirmed_length);
        confirmed.push_back({.request = request, .length = m_options.confirmed_length});
    }
    return confirmed;
}

std::vector<quarantine_notice> request_quarantine::own_notices(time_point now) const
{
    std::vector<quarantine_notice> notices;
    for (const auto& [request, each] : m_entries)
        if (each.is_own && now < each.until)
            notices.push_back({.request = request, .length = each.until - now});
    return notices;
}

std::optional<duration> request_quarantine::time_left(const request_fingerprint& request,
                                                      time_point now) const
{
    const auto found = m_entries.find(request);
    if (found == m_entries.end() || now >= found->second.until)
        return std::nullopt;
    return found->second.until - now;
}

std::size_t request_quarantine::size(time_point now) const
{
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(),
                                                  [now](const auto& each)
                                                  { return now < each.second.until; }));
}

void request_quarantine::extend(const request_fingerprint& request, time_point until)
{
    entry& known = m_entries[request];
    known.until = std::max(known.until, until);
}

void request_quarantine::make_room(time_point now)
{
    std::erase_if(m_entries, [now](const auto& each) { return now >= each.second.until; });
    if (m_entries.size() < m_options.max_requests)
        return;
    m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(),
                                     [](const auto& left, const auto& right)
                                     { return left.second.until < right.second.until; }));
}

} // namespace tanagerspur
