#include "tanagerspur/registry/replica_restrictions.hpp"

#include <algorithm>

namespace tanagerspur
{

namespace
{

// Lower bound of the rate at which all hosts together send to a replica: only its answers tell that
// it takes more again.
constexpr request_rate min_limit{.per_second = 0.5};

request_rate share_of(request_rate limit, double share)
{
    return {std::max(limit, min_limit).per_second * share};
}

} // namespace

void replica_restrictions::set_limit(request_rate limit, double share, double first_permit,
                                     time_point now)
{
    m_limit = limit;
    if (m_limiter)
        return set_share(share, now);
    m_limiter.emplace(share_of(limit, share), first_permit, now);
}

void replica_restrictions::remove_limit()
{
    m_limit.reset();
    m_limiter.reset();
}

void replica_restrictions::set_share(double share, time_point now)
{
    if (m_limiter)
        m_limiter->set_rate(share_of(*m_limit, share), now);
}

void replica_restrictions::sent(time_point now)
{
    if (m_limiter)
        m_limiter->sent(now);
}

} // namespace tanagerspur
