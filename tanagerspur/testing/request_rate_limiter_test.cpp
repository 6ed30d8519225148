// Tests how many requests many hosts, each with its share of a replica's limit, send to it
// together.

#include "tanagerspur/registry/request_rate_limiter.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <deque>
#include <random>
#include <vector>

namespace tanagerspur
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration step = milliseconds{5};

time_point at_ms(std::int64_t ms)
{
    return time_point{milliseconds{1'000'000 + ms}};
}

// The most that a replica accepts in 4 s while it names a limit.
double accepted_in_window(double limit)
{
    return 1.5 * 4 * limit + 5;
}

// Hosts that share a limit evenly. Each offers requests in steps and sends those with a permit.
class sharing_hosts
{
public:
    sharing_hosts(std::size_t hosts, double limit, std::uint64_t seed)
        : m_random(seed)
    {
        for (std::size_t i = 0; i < hosts; ++i)
            m_limiters.emplace_back(request_rate{limit / static_cast<double>(hosts)},
                                    std::uniform_real_distribution<>{0, 1}(m_random), m_now);
    }

    // Offers requests at a rate, over all hosts, for a while.
    void offer(double per_second, duration time)
    {
        const double per_step = per_second * std::chrono::duration<double>{step}.count() /
                                static_cast<double>(m_limiters.size());
        for (const time_point end = m_now + time; m_now < end; m_now += step)
            for (request_rate_limiter& each : m_limiters)
                offer_once(each, std::poisson_distribution<int>{per_step}(m_random));
    }

    std::size_t sent() const { return m_sent; }
    std::size_t most_in_window() const { return m_most; }

private:
    void offer_once(request_rate_limiter& limiter, int requests)
    {
        for (; requests > 0 && limiter.may_send(m_now); --requests)
        {
            limiter.sent(m_now);
            ++m_sent;
            m_window.push_back(m_now);
            while (m_window.front() + seconds{4} <= m_now)
                m_window.pop_front();
            m_most = std::max(m_most, m_window.size());
        }
    }

    std::mt19937_64 m_random;
    std::vector<request_rate_limiter> m_limiters;
    time_point m_now = at_ms(0);
    std::deque<time_point> m_window;
    std::size_t m_sent = 0;
    std::size_t m_most = 0;
};

} // namespace

class request_rate_limiter_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_rate_limiter_test);
    CPPUNIT_TEST(hosts_together_stay_within_limit_under_any_load);
    CPPUNIT_TEST(limit_is_used_up_under_heavy_load);
    CPPUNIT_TEST(load_within_limit_is_sent);
    CPPUNIT_TEST(keeps_progress_when_rate_changes);
    CPPUNIT_TEST(rate_of_zero_allows_rare_requests);
    CPPUNIT_TEST_SUITE_END();

public:
    void hosts_together_stay_within_limit_under_any_load()
    {
        CPPUNIT_ASSERT(rc::check(
            []
            {
                const auto hosts = *rc::gen::inRange<std::size_t>(1, 60);
                const auto limit = *rc::gen::inRange(10, 200);
                sharing_hosts sharing{hosts, static_cast<double>(limit),
                                      *rc::gen::arbitrary<std::uint64_t>()};
                const auto phases = *rc::gen::inRange(2, 6);
                for (int i = 0; i < phases; ++i)
                {
                    const int load = *rc::gen::element(0, limit / 4, limit, 3 * limit, 30 * limit);
                    sharing.offer(load, milliseconds{*rc::gen::inRange(100, 5'000)});
                }
                RC_ASSERT(static_cast<double>(sharing.most_in_window()) <=
                          accepted_in_window(limit));
            }));
    }

    void limit_is_used_up_under_heavy_load()
    {
        for (const std::size_t hosts : {1U, 6U, 50U})
        {
            sharing_hosts sharing{hosts, 30, hosts};
            sharing.offer(600, seconds{20});
            CPPUNIT_ASSERT(sharing.sent() >= 570U);
        }
    }

    // Load at two thirds of the limit that comes at random times.
    void load_within_limit_is_sent()
    {
        sharing_hosts sharing{6, 60, 1};
        sharing.offer(40, seconds{30});
        CPPUNIT_ASSERT(static_cast<double>(sharing.sent()) >= 0.95 * 40 * 30);
    }

    void keeps_progress_when_rate_changes()
    {
        request_rate_limiter limiter{{1}, 0.5, at_ms(0)};
        CPPUNIT_ASSERT(!limiter.may_send(at_ms(499)));
        limiter.set_rate({2}, at_ms(250));
        CPPUNIT_ASSERT(!limiter.may_send(at_ms(374)) && limiter.may_send(at_ms(375)));
        limiter.set_rate({0.5}, at_ms(400));
        CPPUNIT_ASSERT(limiter.may_send(at_ms(400)));
        limiter.sent(at_ms(400));
        CPPUNIT_ASSERT(!limiter.may_send(at_ms(2'299)) && limiter.may_send(at_ms(2'300)));
    }

    void rate_of_zero_allows_rare_requests()
    {
        request_rate_limiter limiter{{0}, 0, at_ms(0)};
        limiter.sent(at_ms(0));
        CPPUNIT_ASSERT(!limiter.may_send(at_ms(299'000)));
        CPPUNIT_ASSERT(limiter.may_send(at_ms(300'000)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_rate_limiter_test);

} // namespace tanagerspur
