// A simulation of hosts that send to a replica with a limit, each within its share of it.

#ifndef TANAGERSPUR_TESTING_LIMITED_HOSTS_HPP
#define TANAGERSPUR_TESTING_LIMITED_HOSTS_HPP

#include "tanagerspur/registry/request_rate_limiter.hpp"

#include <cstdint>
#include <deque>
#include <random>
#include <vector>

namespace tanagerspur::testing
{

// The most requests that a replica accepts in 4 s while it names a limit per second.
double accepted_in_window(double limit);

class limited_hosts
{
public:
    // The hosts start with even shares; the seed sets when permits and requests come.
    limited_hosts(std::size_t hosts, double limit, std::uint64_t seed);

    // Sets the share of a host, 0 to 1.
    void set_share(std::size_t host, double share);

    // Lets time pass, in which each host gets requests at its own rate and sends those for which it
    // has a permit.
    void offer(const std::vector<double>& per_second, duration time);
    // The same with a rate for all hosts together.
    void offer_evenly(double per_second, duration time);

    std::size_t sent() const { return m_sent; }
    // The most requests that were sent in any 4 s.
    std::size_t most_in_window() const { return m_most; }

private:
    void send_permitted(request_rate_limiter& limiter, int requests);

    double m_limit;
    std::mt19937_64 m_random;
    std::vector<request_rate_limiter> m_limiters;
    time_point m_now{std::chrono::seconds{1'000}};
    std::deque<time_point> m_window;
    std::size_t m_sent = 0;
    std::size_t m_most = 0;
};

} // namespace tanagerspur::testing

#endif
