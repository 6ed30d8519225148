#include "tanagerspur/testing/limited_hosts.hpp"

#include <algorithm>

namespace tanagerspur::testing
{

namespace
{

constexpr duration step = std::chrono::milliseconds{5};
constexpr duration window = std::chrono::seconds{4};

} // namespace

double accepted_in_window(double limit)
{
    return 1.5 * 4 * limit + 5;
}

limited_hosts::limited_hosts(std::size_t hosts, double limit, std::uint64_t seed)
    : m_limit(limit)
    , m_random(seed)
{
    for (std::size_t i = 0; i < hosts; ++i)
        m_limiters.emplace_back(request_rate{limit / static_cast<double>(hosts)},
                                std::uniform_real_distribution<>{0, 1}(m_random), m_now);
}

void limited_hosts::set_share(std::size_t host, double share)
{
    m_limiters[host].set_rate({m_limit * share}, m_now);
}

void limited_hosts::offer(const std::vector<double>& per_second, duration time)
{
    const double step_seconds = std::chrono::duration<double>{step}.count();
    for (const time_point end = m_now + time; m_now < end; m_now += step)
        for (std::size_t i = 0; i < m_limiters.size(); ++i)
        {
            std::poisson_distribution<int> requests{per_second[i] * step_seconds};
            send_permitted(m_limiters[i], requests(m_random));
        }
}

void limited_hosts::offer_evenly(double per_second, duration time)
{
    const std::size_t hosts = m_limiters.size();
    offer(std::vector<double>(hosts, per_second / static_cast<double>(hosts)), time);
}

void limited_hosts::send_permitted(request_rate_limiter& limiter, int requests)
{
    for (; requests > 0 && limiter.may_send(m_now); --requests)
    {
        limiter.sent(m_now);
        ++m_sent;
        m_window.push_back(m_now);
        while (m_window.front() + window <= m_now)
            m_window.pop_front();
        m_most = std::max(m_most, m_window.size());
    }
}

} // namespace tanagerspur::testing
