// Tests the number of advertised hosts and the estimate of the load that it depends on.

#include "tanagerspur/gateway/advertised_host_count.hpp"
#include "tanagerspur/gateway/cpu_load_estimator.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <random>

namespace tanagerspur
{

namespace
{

using capacities = std::vector<std::uint32_t>;

// Returns the mean response time in ms of requests that arrive at random and are sent to a random
// one of the first used hosts. Each host serves one request at a time.
double simulate(const capacities& hosts, std::size_t used, double per_second, double request_ms)
{
    std::mt19937_64 random{7};
    std::exponential_distribution<> gap{per_second / 1'000};
    std::uniform_int_distribution<std::size_t> pick{0, used - 1};
    std::vector<double> free_at(used, 0);
    constexpr int requests = 20'000;
    double now = 0;
    double sum = 0;
    for (int i = 0; i < requests; ++i)
    {
        now += gap(random);
        const std::size_t host = pick(random);
        free_at[host] = std::max(free_at[host], now) + request_ms * 1'000 / hosts[host];
        sum += free_at[host] - now;
    }
    return sum / requests;
}

} // namespace

class advertised_host_count_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(advertised_host_count_test);
    CPPUNIT_TEST(count_is_near_optimal_in_simulation);
    CPPUNIT_TEST(excludes_small_hosts_until_large_are_full);
    CPPUNIT_TEST(count_is_within_bounds);
    CPPUNIT_TEST(load_rises_at_once_and_falls_slowly);
    CPPUNIT_TEST(published_load_is_stable);
    CPPUNIT_TEST_SUITE_END();

public:
    // Compares with a simulation of every number of hosts, at loads up to half of the zone's
    // capacity.
    void count_is_near_optimal_in_simulation()
    {
        for (const capacities& hosts :
             {capacities(7, 250), capacities{500, 500, 500, 120, 120, 120, 120, 120, 120, 120},
              capacities{500, 250, 250, 120, 120}})
            for (const double load : {20.0, 100.0, 300.0, 500.0})
            {
                constexpr double request_ms = 5;
                const double per_second = load / request_ms;
                const std::size_t chosen = advertised_host_count(hosts, load, {.headroom = 1});
                const double time = simulate(hosts, chosen, per_second, request_ms);
                double best = time;
                for (std::size_t n = 2; n <= hosts.size(); ++n)
                    best = std::min(best, simulate(hosts, n, per_second, request_ms));
                CPPUNIT_ASSERT(time <= best * 1.25);
            }
    }

    void excludes_small_hosts_until_large_are_full()
    {
        capacities zone(3, 500);
        zone.resize(62, 120);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, advertised_host_count(zone, 0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, advertised_host_count(zone, 300));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, advertised_host_count(zone, 800));
        CPPUNIT_ASSERT(advertised_host_count(zone, 1'200) > 20);
        CPPUNIT_ASSERT_EQUAL(zone.size(), advertised_host_count(zone, 50'000));
    }

    void count_is_within_bounds()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, advertised_host_count({}, 0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, advertised_host_count({250}, 0));
        const bool holds = rc::check(
            []
            {
                auto hosts = *rc::gen::container<capacities>(rc::gen::inRange(0U, 2'000U));
                std::sort(hosts.begin(), hosts.end(), std::greater<>{});
                const double load = *rc::gen::inRange(0, 20'000);
                const std::size_t chosen = advertised_host_count(hosts, load);
                RC_ASSERT(chosen <= hosts.size());
                RC_ASSERT(chosen >= std::min<std::size_t>(2, hosts.size()));
            });
        CPPUNIT_ASSERT(holds);
    }

    void load_rises_at_once_and_falls_slowly()
    {
        cpu_load_estimator meter{{.cpu_time_per_attempt = std::chrono::microseconds{100}}};
        time_point now{std::chrono::seconds{100}};
        std::uint64_t attempts = 0;
        const auto second = [&](std::uint64_t sent)
        {
            now += std::chrono::seconds{1};
            attempts += sent;
            return meter.update(now, attempts);
        };
        meter.update(now, attempts);
        CPPUNIT_ASSERT(!second(90));
        CPPUNIT_ASSERT_EQUAL(0U, meter.load());
        // 100 thousandths of a core: between the steps of 76 and 114.
        CPPUNIT_ASSERT(second(1'000));
        CPPUNIT_ASSERT_EQUAL(114U, meter.load());
        for (int i = 0; i < 4; ++i)
            CPPUNIT_ASSERT(!second(300));
        // 30 thousandths times the margin of 1.2: the step above 36.
        CPPUNIT_ASSERT(second(200));
        CPPUNIT_ASSERT_EQUAL(51U, meter.load());
        // After a pause, the attempts are averaged over the whole time since the last measurement.
        now += std::chrono::seconds{30};
        CPPUNIT_ASSERT(!second(900));
        CPPUNIT_ASSERT_EQUAL(51U, meter.load());
    }

    // Changes must be rare, because each is written to the store and sent to all hosts.
    void published_load_is_stable()
    {
        cpu_load_estimator meter;
        std::mt19937_64 random{3};
        std::poisson_distribution<int> sent{900};
        time_point now{std::chrono::seconds{100}};
        std::uint64_t attempts = 0;
        int changes = 0;
        for (int second = 0; second < 600; ++second)
        {
            now += std::chrono::seconds{1};
            attempts += static_cast<std::uint64_t>(sent(random));
            changes += meter.update(now, attempts) ? 1 : 0;
        }
        CPPUNIT_ASSERT(changes <= 6);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(advertised_host_count_test);

} // namespace tanagerspur
