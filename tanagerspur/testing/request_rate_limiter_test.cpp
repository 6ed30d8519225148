// Tests how many requests many hosts, each with its share of a replica's limit, send to it
// together.

#include "tanagerspur/registry/request_rate_limiter.hpp"
#include "tanagerspur/testing/limited_hosts.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace tanagerspur
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::accepted_in_window;
using testing::limited_hosts;

time_point at_ms(std::int64_t ms)
{
    return time_point{milliseconds{1'000'000 + ms}};
}

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
                limited_hosts sharing{hosts, static_cast<double>(limit),
                                      *rc::gen::arbitrary<std::uint64_t>()};
                const auto phases = *rc::gen::inRange(2, 6);
                for (int i = 0; i < phases; ++i)
                {
                    const int load = *rc::gen::element(0, limit / 4, limit, 3 * limit, 30 * limit);
                    sharing.offer_evenly(load, milliseconds{*rc::gen::inRange(100, 5'000)});
                }
                RC_ASSERT(static_cast<double>(sharing.most_in_window()) <=
                          accepted_in_window(limit));
            }));
    }

    void limit_is_used_up_under_heavy_load()
    {
        for (const std::size_t hosts : {1U, 6U, 50U})
        {
            limited_hosts sharing{hosts, 30, hosts};
            sharing.offer_evenly(600, seconds{20});
            CPPUNIT_ASSERT(sharing.sent() >= 570U);
        }
    }

    // Load at two thirds of the limit that comes at random times.
    void load_within_limit_is_sent()
    {
        limited_hosts sharing{6, 60, 1};
        sharing.offer_evenly(40, seconds{30});
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
