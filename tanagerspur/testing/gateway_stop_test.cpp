// Tests what a whole gateway does with requests that arrive while it stops.

#include "tanagerspur/testing/gateway_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tanagerspur
{

using std::chrono::milliseconds;
using testing::gateway_fixture;
using testing::scripted_answer;

class gateway_stop_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(gateway_stop_test);
    CPPUNIT_TEST(request_late_in_grace_is_refused_and_not_cut);
    CPPUNIT_TEST_SUITE_END();

public:
    // The replica answers nothing, and requests in progress end two seconds after the signal.
    void request_late_in_grace_is_refused_and_not_cut()
    {
        gateway_fixture fixture;
        fixture.add_silent_replica("silent");
        fixture.start(
            {.stop_within = std::chrono::seconds{3}, .address_validity = std::chrono::seconds{1}});
        const std::unique_ptr<gateway_fixture::caller> early = fixture.connect();
        const std::unique_ptr<gateway_fixture::caller> late = fixture.connect();
        bool is_stopped = false;
        fixture.host().stop([&is_stopped] { is_stopped = true; });
        fixture.run_for(milliseconds{100});
        early->send("/long/x");
        fixture.run_for(milliseconds{600});
        late->send("/long/x");
        fixture.run_for(milliseconds{100});
        CPPUNIT_ASSERT(late->answer().starts_with("HTTP/1.1 503 "));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.m_arrivals["silent"].size());
        fixture.run_for(milliseconds{1'600});
        CPPUNIT_ASSERT(early->answer().starts_with("HTTP/1.1 504 "));
        CPPUNIT_ASSERT(is_stopped);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_stop_test);

} // namespace tanagerspur
