// What a replica allows this host to send, as it announced in its answers. It holds for one
// incarnation of the replica, and does not depend on its entry in the store.

#ifndef TANAGERSPUR_REGISTRY_REPLICA_RESTRICTIONS_HPP
#define TANAGERSPUR_REGISTRY_REPLICA_RESTRICTIONS_HPP

#include "tanagerspur/common/time.hpp"
#include "tanagerspur/registry/request_rate_limiter.hpp"

#include <algorithm>
#include <optional>

namespace tanagerspur
{

// The announcements in one answer of a replica.
struct replica_notice
{
    // The replica is leaving.
    bool is_leaving = false;
    // It turned the request away and wants no further one from this host for this long.
    std::optional<duration> pause;
    // The requests that it takes from all hosts together. An answer without it ends the limit.
    std::optional<request_rate> limit;
};

class replica_restrictions
{
public:
    // The replica gets no work from leaves_at on; until then it gets what no other can take.
    void leave(time_point leaves_at) { m_leaves_at = std::min(m_leaves_at, leaves_at); }
    // The replica gets no work until end. Overlapping pauses end with the last one.
    void pause(time_point end) { m_pause_end = std::max(m_pause_end, end); }

    // The replica takes no more than limit from all hosts together, of which share is for this
    // host. first_permit as in request_rate_limiter.
    void set_limit(request_rate limit, double share, double first_permit, time_point now);
    void remove_limit();
    // Changes the share of this host.
    void set_share(double share, time_point now);
    // Counts a request of this host.
    void sent(time_point now);

    bool is_leaving() const { return m_leaves_at != never; }
    bool has_left(time_point now) const { return now >= m_leaves_at; }
    // True if the replica gets no work at present, but will later.
    bool is_held_back(time_point now) const
    {
        return now < m_pause_end || (m_limiter && !m_limiter->may_send(now));
    }
    // The limit for all hosts together.
    std::optional<request_rate> limit() const { return m_limit; }

private:
    time_point m_leaves_at = never;
    time_point m_pause_end{};
    std::optional<request_rate> m_limit;
    std::optional<request_rate_limiter> m_limiter;
};

} // namespace tanagerspur

#endif
