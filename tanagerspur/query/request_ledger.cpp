#include "tanagerspur/query/request_ledger.hpp"

#include <charconv>

namespace tanagerspur
{

namespace
{

// Minimum time between checkpoints, so that the validity bounds their number.
constexpr duration checkpoint_interval = std::chrono::seconds{1};

bool parse_unsigned(std::string_view text, std::uint64_t& value)
{
    const auto [stop, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    return !text.empty() && code == std::errc{} && stop == text.data() + text.size();
}

} // namespace

request_id make_request_id(const issued_id& parts)
{
    return request_id{parts.host.value() + "." + std::to_string(parts.start.value()) + "." +
                      std::to_string(parts.number)};
}

std::optional<issued_id> parse_request_id(const request_id& id)
{
    const std::string_view text = id.value();
    const auto last = text.rfind('.');
    const auto middle = last == std::string_view::npos || last == 0 ? std::string_view::npos
                                                                    : text.rfind('.', last - 1);
    if (middle == std::string_view::npos || middle == 0)
        return std::nullopt;
    std::uint64_t start = 0;
    std::uint64_t number = 0;
    if (!parse_unsigned(text.substr(middle + 1, last - middle - 1), start) ||
        !parse_unsigned(text.substr(last + 1), number))
        return std::nullopt;
    return issued_id{.host = host_id{std::string{text.substr(0, middle)}},
                     .start = incarnation{start},
                     .number = number};
}

request_ledger::request_ledger(request_ledger_options options)
    : m_options(std::move(options))
{
}

request_id request_ledger::issue(time_point now)
{
    if (m_checkpoints.empty() || now - m_checkpoints.back().issued >= checkpoint_interval)
        m_checkpoints.push_back({.first_number = m_next_number, .issued = now});
    forget_expired(now);
    return make_request_id(
        {.host = m_options.self, .start = m_options.start, .number = m_next_number++});
}

// Removes expired ids. An id may be kept one checkpoint interval longer than its validity, never
// shorter.
void request_ledger::forget_expired(time_point now)
{
    while (m_checkpoints.size() > 1 && now - m_checkpoints[1].issued > m_options.validity)
        m_checkpoints.pop_front();
    if (m_checkpoints.empty())
        return;
    const bool all_expired =
        m_checkpoints.size() == 1 &&
        now - m_checkpoints[0].issued > m_options.validity + checkpoint_interval;
    m_oldest_valid = all_expired ? m_next_number : m_checkpoints.front().first_number;
    while (!m_entries.empty() && m_entries.begin()->first < m_oldest_valid)
    {
        const entry& oldest = m_entries.begin()->second;
        m_answer_bytes -= oldest.body ? oldest.body->size() : 0;
        m_entries.erase(m_entries.begin());
    }
}

claim request_ledger::take(time_point now, const request_id& id)
{
    const auto parts = parse_request_id(id);
    if (!parts)
        return claim::unknown;
    if (parts->host != m_options.self)
        return claim::foreign;
    if (parts->start != m_options.start)
        return claim::lost;
    forget_expired(now);
    if (parts->number >= m_next_number)
        return claim::unknown;
    if (parts->number < m_oldest_valid)
        return claim::expired;
    const auto [found, is_new] = m_entries.try_emplace(parts->number);
    if (is_new)
        return claim::first;
    return found->second.is_finished ? claim::finished : claim::running;
}

request_ledger::entry* request_ledger::find(const request_id& id)
{
    const auto parts = parse_request_id(id);
    const auto found = parts ? m_entries.find(parts->number) : m_entries.end();
    return found == m_entries.end() ? nullptr : &found->second;
}

void request_ledger::release(const request_id& id)
{
    const auto parts = parse_request_id(id);
    if (parts)
        m_entries.erase(parts->number);
}

void request_ledger::finish(const request_id& id, int status, const std::string& body)
{
    entry* found = find(id);
    if (found == nullptr)
        return;
    found->is_finished = true;
    found->status = status;
    if (m_answer_bytes + body.size() > m_options.max_answer_bytes)
        return;
    m_answer_bytes += body.size();
    found->body = body;
}

std::optional<std::pair<int, std::string>>
request_ledger::recorded_answer(const request_id& id) const
{
    const auto parts = parse_request_id(id);
    const auto found = parts ? m_entries.find(parts->number) : m_entries.end();
    if (found == m_entries.end() || !found->second.body)
        return std::nullopt;
    return std::pair{found->second.status, *found->second.body};
}

} // namespace tanagerspur
