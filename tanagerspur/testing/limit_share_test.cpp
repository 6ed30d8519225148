// Tests how hosts divide the limit that a replica names: what is used of it when their callers are
// spread unevenly, and that it holds while hosts do not agree on their loads.

#include "tanagerspur/gateway/host_directory.hpp"
#include "tanagerspur/gateway/limit_share.hpp"
#include "tanagerspur/registry/request_rate_limiter.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <numeric>
#include <random>
#include <vector>

namespace tanagerspur
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration step = milliseconds{5};

// The most that a replica accepts in 4 s while it names a limit.
double accepted_in_window(double limit)
{
    return 1.5 * 4 * limit + 5;
}

// Hosts that share a limit and each offer requests at a rate of their own.
class hosts_with_callers
{
public:
    hosts_with_callers(std::size_t hosts, double limit, std::uint64_t seed)
        : m_limit(limit)
        , m_random(seed)
    {
        for (std::size_t i = 0; i < hosts; ++i)
            m_limiters.emplace_back(request_rate{limit / static_cast<double>(hosts)},
                                    std::uniform_real_distribution<>{0, 1}(m_random), m_now);
    }

    // Gives a host the share that follows from the loads it knows.
    void set_share(std::size_t host, const std::vector<double>& loads)
    {
        const double total = std::accumulate(loads.begin(), loads.end(), 0.0);
        m_limiters[host].set_rate({m_limit * limit_share(loads[host], total, loads.size())}, m_now);
    }

    void offer(const std::vector<double>& per_second, duration time)
    {
        const double steps_per_second = 1 / std::chrono::duration<double>{step}.count();
        for (const time_point end = m_now + time; m_now < end; m_now += step)
            for (std::size_t i = 0; i < m_limiters.size(); ++i)
                offer_once(m_limiters[i], std::poisson_distribution<int>{
                                              per_second[i] / steps_per_second}(m_random));
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

    double m_limit;
    std::mt19937_64 m_random;
    std::vector<request_rate_limiter> m_limiters;
    time_point m_now{seconds{1'000}};
    std::deque<time_point> m_window;
    std::size_t m_sent = 0;
    std::size_t m_most = 0;
};

host_record make_host(const std::string& id, std::uint32_t load)
{
    return {
        .id = host_id{id}, .zone = zone_id{"a"}, .capacity = 250, .load = load, .is_ready = true};
}

} // namespace

class limit_share_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(limit_share_test);
    CPPUNIT_TEST(shares_add_up_to_limit);
    CPPUNIT_TEST(limit_is_used_where_callers_are);
    CPPUNIT_TEST(limit_holds_while_hosts_know_different_loads);
    CPPUNIT_TEST(own_load_counts_once_others_know_it);
    CPPUNIT_TEST_SUITE_END();

public:
    void shares_add_up_to_limit()
    {
        CPPUNIT_ASSERT(rc::check(
            []
            {
                const auto loads = *rc::gen::nonEmpty(
                    rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1'000)));
                const double total = std::accumulate(loads.begin(), loads.end(), 0.0);
                double sum = 0;
                for (const int each : loads)
                {
                    const double share = limit_share(each, total, loads.size());
                    RC_ASSERT(share > 0);
                    sum += share;
                }
                RC_ASSERT(std::abs(sum - 1) < 1e-9);
            }));
    }

    // The callers of one of three zones have moved to another one. Together they ask for the limit.
    void limit_is_used_where_callers_are()
    {
        const std::vector<double> per_second{2, 2, 10, 10, 18, 18};
        hosts_with_callers fleet{per_second.size(), 60, 1};
        for (std::size_t i = 0; i < per_second.size(); ++i)
            fleet.set_share(i, per_second);
        fleet.offer(per_second, seconds{60});
        CPPUNIT_ASSERT(static_cast<double>(fleet.sent()) >= 0.9 * 60 * 60);
    }

    // Callers move at random; each host hears of all loads up to a second later, at its own time.
    void limit_holds_while_hosts_know_different_loads()
    {
        CPPUNIT_ASSERT(rc::check(
            []
            {
                const auto hosts = *rc::gen::inRange<std::size_t>(2, 20);
                const auto limit = *rc::gen::inRange(1, 200);
                const auto seed = *rc::gen::arbitrary<std::uint64_t>();
                std::mt19937_64 random{seed};
                hosts_with_callers fleet{hosts, static_cast<double>(limit), seed};
                for (int i = 0; i < 6; ++i)
                {
                    std::vector<double> loads(hosts);
                    for (double& each : loads)
                        each = std::uniform_int_distribution<>{0, 1}(random)*limit;
                    std::vector<std::size_t> order(hosts);
                    std::iota(order.begin(), order.end(), std::size_t{0});
                    std::shuffle(order.begin(), order.end(), random);
                    for (const std::size_t host : order)
                    {
                        fleet.set_share(host, loads);
                        fleet.offer(loads, seconds{1} / static_cast<int>(hosts));
                    }
                    fleet.offer(loads, milliseconds{*rc::gen::inRange(0, 5'000)});
                }
                RC_ASSERT(static_cast<double>(fleet.most_in_window()) <= accepted_in_window(limit));
            }));
    }

    // While the store is unavailable, others can't give up what this host would take.
    void own_load_counts_once_others_know_it()
    {
        host_directory directory{make_host("1", 0)};
        directory.put(make_host("2", 100));
        directory.set_own_state({.is_ready = true, .load = 300});
        const auto share = [&directory]
        { return directory.share_of_limits(directory.advertised_hosts(), {}); };
        CPPUNIT_ASSERT_EQUAL(limit_share(0, 100, 2), share());
        directory.put(make_host("1", 300));
        CPPUNIT_ASSERT_EQUAL(limit_share(300, 400, 2), share());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(limit_share_test);

} // namespace tanagerspur
