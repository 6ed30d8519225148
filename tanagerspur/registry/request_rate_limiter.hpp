// Limits the requests that this host sends to a replica to a rate.
//
// The rate gives permits at regular times. Each allows one request and lapses soon if it is not
// used: many hosts send to the same replica, and permits that all of them had saved would let a
// burst of callers exceed the limit for all hosts together. The first permit comes at a random
// time, so that the permits of different hosts are spread evenly.

#ifndef TANAGERSPUR_REGISTRY_REQUEST_RATE_LIMITER_HPP
#define TANAGERSPUR_REGISTRY_REQUEST_RATE_LIMITER_HPP

#include "tanagerspur/common/time.hpp"

#include <compare>

namespace tanagerspur
{

struct request_rate
{
    double per_second = 0;

    friend auto operator<=>(const request_rate&, const request_rate&) = default;
};

class request_rate_limiter
{
public:
    // How long a permit may be used. In a window of any length, a host that had no requests before
    // sends no more than in steady state in a window that is longer by this time.
    static constexpr duration permit_lifetime = std::chrono::seconds{1};

    // first_permit: when the first permit comes, as a share of the time between two, 0 to 1.
    request_rate_limiter(request_rate rate, double first_permit, time_point now);

    // Changes the rate. Permits that are left and the progress to the next one are kept.
    void set_rate(request_rate rate, time_point now);
    request_rate rate() const { return m_rate; }

    bool may_send(time_point now) const { return oldest_permit(now) <= now; }

    // Uses one permit.
    void sent(time_point now);

private:
    // Time of the oldest permit that has not lapsed; in the future if there is none now.
    time_point oldest_permit(time_point now) const;

    request_rate m_rate;
    duration m_interval;
    // Time of the first permit that was not used.
    time_point m_next;
};

} // namespace tanagerspur

#endif
