#include "tanagerspur/registry/replica_restrictions.hpp"

namespace tanagerspur
{

void replica_restrictions::set_limit(request_rate limit, double share, double first_permit,
                                     time_point now)
{
    m_limit = limit;
    if (m_limiter)
        return set_share(share, now);
    m_limiter.emplace(request_rate{limit.per_second * share}, first_permit, now);
}

void replica_restrictions::remove_limit()
{
    m_limit.reset();
    m_limiter.reset();
}

void replica_restrictions::set_share(double share, time_point now)
{
    if (m_limiter)
        m_limiter->set_rate({m_limit->per_second * share}, now);
}

void replica_restrictions::sent(time_point now)
{
    if (m_limiter)
        m_limiter->sent(now);
}

} // namespace tanagerspur
