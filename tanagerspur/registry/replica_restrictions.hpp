// What a replica allows this host to send, as it announced in its answers. It holds for one
// incarnation of the replica, and does not depend on its entry in the store.

#ifndef TANAGERSPUR_REGISTRY_REPLICA_RESTRICTIONS_HPP
#define TANAGERSPUR_REGISTRY_REPLICA_RESTRICTIONS_HPP

#include "tanagerspur/common/time.hpp"

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
};

class replica_restrictions
{
public:
    // The replica gets no work from leaves_at on; until then it gets what no other can take.
    void leave(time_point leaves_at) { m_leaves_at = std::min(m_leaves_at, leaves_at); }
    // The replica gets no work until end. Overlapping pauses end with the last one.
    void pause(time_point end) { m_pause_end = std::max(m_pause_end, end); }

    bool is_leaving() const { return m_leaves_at != never; }
    bool has_left(time_point now) const { return now >= m_leaves_at; }
    // True if the replica gets no work at present, but will later.
    bool is_held_back(time_point now) const { return now < m_pause_end; }

private:
    time_point m_leaves_at = never;
    time_point m_pause_end{};
};

} // namespace tanagerspur

#endif
