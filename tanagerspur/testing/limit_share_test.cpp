// Tests how hosts divide the limit that a replica names: what is used of it when their callers are
// spread unevenly, and that it holds while hosts do not agree on their loads.

#include "tanagerspur/gateway/host_directory.hpp"
#include "tanagerspur/gateway/limit_share.hpp"
#include "tanagerspur/testing/limited_hosts.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>
#include <vector>

namespace tanagerspur
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::accepted_in_window;
using testing::limited_hosts;

// Gives a host the share that follows from the loads it knows.
void set_share(limited_hosts& fleet, std::size_t host, const std::vector<double>& loads)
{
    const double total = std::accumulate(loads.begin(), loads.end(), 0.0);
    fleet.set_share(host, limit_share(loads[host], total, loads.size()));
}

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
        limited_hosts fleet{per_second.size(), 60, 1};
        for (std::size_t i = 0; i < per_second.size(); ++i)
            set_share(fleet, i, per_second);
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
                limited_hosts fleet{hosts, static_cast<double>(limit), seed};
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
                        set_share(fleet, host, loads);
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
