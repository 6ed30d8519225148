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

const std::string refusal = "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n";

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
    CPPUNIT_TEST(replica_with_retry_after_gets_no_request_before_that_time);
    CPPUNIT_TEST(callers_are_refused_at_once_while_only_replica_is_paused);
    CPPUNIT_TEST(new_entry_does_not_end_pause);
    CPPUNIT_TEST(retry_after_that_is_no_duration_is_ignored);
    CPPUNIT_TEST(replica_gets_no_more_requests_than_its_limit_allows);
    CPPUNIT_TEST(hosts_divide_limit_of_replica);
    CPPUNIT_TEST(answer_without_limit_ends_it);
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

    void replica_with_retry_after_gets_no_request_before_that_time()
    {
        add_refusing_replica("0.9");
        // Retries of what it refuses have no other replica left.
        m_gateway->add_replica("other",
                               [this](const std::string&)
                               {
                                   const bool refuses =
                                       m_gateway->m_arrivals["other"].size() % 2 == 0;
                                   return refuses ? scripted_answer{refusal} : with("");
                               });
        m_gateway->start();
        for (int i = 0; i < 100 && m_gateway->m_arrivals["refusing"].size() < 3; ++i)
        {
            m_gateway->request();
            m_gateway->run_for(milliseconds{25});
        }
        CPPUNIT_ASSERT(m_gateway->m_arrivals["refusing"].size() >= 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, early_arrivals(milliseconds{900}));
    }

    void callers_are_refused_at_once_while_only_replica_is_paused()
    {
        add_refusing_replica("1");
        m_gateway->start();
        const time_point begun = boot_now();
        for (const std::string path : {"/c/x", "/once/x"})
            CPPUNIT_ASSERT(m_gateway->request(path).starts_with("HTTP/1.1 503 "));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_gateway->m_arrivals["refusing"].size());
        CPPUNIT_ASSERT(boot_now() - begun < milliseconds{250});
        m_gateway->run_for(milliseconds{1'100});
        m_gateway->request();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_gateway->m_arrivals["refusing"].size());
    }

    void new_entry_does_not_end_pause()
    {
        add_refusing_replica("30");
        m_gateway->add_replica("other", plain);
        m_gateway->start();
        while (m_gateway->m_arrivals["refusing"].empty())
            m_gateway->request();
        m_gateway->remove_entry("refusing");
        m_gateway->run_for(milliseconds{200});
        m_gateway->put_entry("refusing", 1);
        m_gateway->run_for(milliseconds{200});
        for (int i = 0; i < 20; ++i)
            CPPUNIT_ASSERT(is_success(m_gateway->request()));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_gateway->m_arrivals["refusing"].size());
        // Another incarnation has not asked for a pause.
        m_gateway->put_entry("refusing", 2);
        m_gateway->remove_entry("other");
        m_gateway->run_for(milliseconds{200});
        m_gateway->request();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_gateway->m_arrivals["refusing"].size());
    }

    void retry_after_that_is_no_duration_is_ignored()
    {
        for (const std::string value :
             {"", "-5", "soon", "5s", "nan", "Fri, 04 Dec 2026 23:59:59 GMT"})
        {
            setUp();
            add_refusing_replica(value);
            m_gateway->start();
            for (int i = 0; i < 3; ++i)
            {
                m_gateway->request();
                m_gateway->run_for(milliseconds{20});
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(value, std::size_t{3},
                                         m_gateway->m_arrivals["refusing"].size());
        }
    }

    void replica_gets_no_more_requests_than_its_limit_allows()
    {
        add_limited_replica("5.0");
        m_gateway->start();
        const load sent = send_for(milliseconds{2'000});
        CPPUNIT_ASSERT(sent.arrived <= 1.5 * 4 * 5 + 5);
        CPPUNIT_ASSERT(sent.arrived >= 9);
        CPPUNIT_ASSERT_EQUAL(sent.arrived, sent.succeeded);
        // What the replica does not take is refused at once.
        CPPUNIT_ASSERT(sent.slowest_refusal < milliseconds{100});
    }

    void hosts_divide_limit_of_replica()
    {
        add_limited_replica("20.0");
        m_gateway->add_host("second");
        m_gateway->start();
        send_for(milliseconds{500});
        const load sent = send_for(milliseconds{2'000});
        CPPUNIT_ASSERT(sent.arrived >= 19 && sent.arrived <= 21);
    }

    void answer_without_limit_ends_it()
    {
        m_gateway->add_replica("limited",
                               [this](const std::string&)
                               {
                                   const bool is_first =
                                       m_gateway->m_arrivals["limited"].size() == 1;
                                   return with(is_first ? "Server-Limit: 5\r\n" : "");
                               });
        m_gateway->start();
        send_for(milliseconds{500});
        const load sent = send_for(milliseconds{300});
        CPPUNIT_ASSERT(sent.refused == 0 && sent.succeeded > 5);
    }

private:
    // What became of requests that were sent one after the other.
    struct load
    {
        std::size_t arrived = 0;
        std::size_t succeeded = 0;
        std::size_t refused = 0;
        duration slowest_refusal{0};
    };

    load send_for(duration time)
    {
        load sent;
        const std::size_t before = m_gateway->m_arrivals["limited"].size();
        for (const time_point end = boot_now() + time; boot_now() < end;)
        {
            const time_point begun = boot_now();
            if (is_success(m_gateway->request()))
            {
                ++sent.succeeded;
                continue;
            }
            ++sent.refused;
            sent.slowest_refusal = std::max(sent.slowest_refusal, boot_now() - begun);
        }
        sent.arrived = m_gateway->m_arrivals["limited"].size() - before;
        return sent;
    }

    void add_limited_replica(const std::string& per_second)
    {
        m_gateway->add_replica("limited", [per_second](const std::string&)
                               { return with("Server-Limit: " + per_second + "\r\n"); });
    }

    void add_refusing_replica(const std::string& retry_after)
    {
        m_gateway->add_replica(
            "refusing", [retry_after](const std::string&)
            { return scripted_answer{refusal + "Retry-After: " + retry_after + "\r\n"}; });
    }

    // Number of requests that reached the refusing replica within the time after an earlier one.
    std::size_t early_arrivals(duration pause)
    {
        const std::vector<time_point>& times = m_gateway->m_arrivals["refusing"];
        std::size_t early = 0;
        for (std::size_t i = 1; i < times.size(); ++i)
            early += times[i] - times[i - 1] < pause ? 1 : 0;
        return early;
    }

    std::unique_ptr<gateway_fixture> m_gateway;
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_notice_test);

} // namespace tanagerspur
