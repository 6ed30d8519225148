// Tests what a whole gateway sends to replicas that say in their answers that they are leaving,
// want no requests for a while, or take only so many.

#include "tanagerspur/testing/gateway_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace tanagerspur
{

namespace
{

using std::chrono::milliseconds;
using testing::gateway_fixture;
using testing::scripted_answer;

// An answer with further header fields.
scripted_answer with(const std::string& fields)
{
    return {"HTTP/1.1 200 OK\r\n" + fields};
}

scripted_answer plain(const std::string&)
{
    return with("");
}

bool is_success(const std::string& answer)
{
    return answer.starts_with("HTTP/1.1 200 ");
}

} // namespace

class replica_notice_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(replica_notice_test);
    CPPUNIT_TEST(leaving_replica_gets_no_request_while_others_serve);
    CPPUNIT_TEST(last_leaving_replica_serves_until_its_drain_ends);
    CPPUNIT_TEST(entry_of_a_leaving_replica_does_not_bring_it_back);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { m_gateway = std::make_unique<gateway_fixture>(); }
    void tearDown() override { m_gateway.reset(); }

    void leaving_replica_gets_no_request_while_others_serve()
    {
        m_gateway->add_replica("leaving",
                               [](const std::string&) { return with("Server-Leaving: 1\r\n"); });
        m_gateway->add_replica("staying", plain);
        m_gateway->start();
        for (int i = 0; i < 40; ++i)
            CPPUNIT_ASSERT(is_success(m_gateway->request()));
        CPPUNIT_ASSERT(m_gateway->m_arrivals["leaving"].size() <= 1);
    }

    void last_leaving_replica_serves_until_its_drain_ends()
    {
        m_gateway->add_replica("leaving",
                               [](const std::string&) { return with("Server-Leaving: 1\r\n"); });
        m_gateway->start();
        const time_point begun = boot_now();
        while (boot_now() - begun < milliseconds{2'000})
        {
            CPPUNIT_ASSERT(is_success(m_gateway->request()));
            m_gateway->run_for(milliseconds{100});
        }
        m_gateway->run_for(milliseconds{1'000});
        const std::size_t before = m_gateway->m_arrivals["leaving"].size();
        const std::string answer = m_gateway->request();
        CPPUNIT_ASSERT(answer.starts_with("HTTP/1.1 503 "));
        CPPUNIT_ASSERT_EQUAL(before, m_gateway->m_arrivals["leaving"].size());
    }

    void entry_of_a_leaving_replica_does_not_bring_it_back()
    {
        m_gateway->add_replica("leaving",
                               [](const std::string&) { return with("Server-Leaving: 1\r\n"); });
        m_gateway->start();
        CPPUNIT_ASSERT(is_success(m_gateway->request()));
        m_gateway->run_for(milliseconds{3'100});
        m_gateway->put_entry("leaving", 1);
        m_gateway->run_for(milliseconds{200});
        CPPUNIT_ASSERT(!is_success(m_gateway->request()));
        // Another incarnation under the same id does serve.
        m_gateway->put_entry("leaving", 2);
        m_gateway->run_for(milliseconds{200});
        CPPUNIT_ASSERT(is_success(m_gateway->request()));
    }

private:
    std::unique_ptr<gateway_fixture> m_gateway;
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_notice_test);

} // namespace tanagerspur
