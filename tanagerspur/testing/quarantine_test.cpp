// Tests which requests are suspected of crashing replicas, how long they are quarantined, and that
// a host passes them on no further.

#include "platform/header_names.hpp"
#include "tanagerspur/quarantine/request_quarantine.hpp"
#include "tanagerspur/testing/gateway_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tanagerspur
{

namespace
{

const request_fingerprint deadly{"d"};

time_point at_s(std::int64_t s)
{
    return time_point{std::chrono::seconds{1'000 + s}};
}

replica_incarnation run_of(int number)
{
    return {.id = replica_id{std::to_string(number)}, .started_ms = 1};
}

} // namespace

class quarantine_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(quarantine_test);
    CPPUNIT_TEST(request_that_crashes_replicas_is_not_sent_to_further_ones);
    CPPUNIT_TEST(quarantine_of_another_host_is_heard);
    CPPUNIT_TEST(request_that_this_host_has_served_is_not_kept_out);
    CPPUNIT_TEST(request_that_any_replica_answers_is_not_suspect);
    CPPUNIT_TEST(unconfirmed_quarantine_lapses);
    CPPUNIT_TEST(quarantine_is_confirmed_by_replicas_that_ended);
    CPPUNIT_TEST(memory_is_bounded);
    CPPUNIT_TEST(fingerprint_covers_what_replicas_get);
    CPPUNIT_TEST_SUITE_END();

public:
    void request_that_crashes_replicas_is_not_sent_to_further_ones()
    {
        testing::gateway_fixture fixture;
        for (const char* id : {"r1", "r2", "r3", "r4", "r5", "r6"})
            fixture.add_crashing_replica(id, "/deadly");
        fixture.start();
        for (int i = 0; i < 6; ++i)
            fixture.request("/c/deadly");
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, arrivals(fixture));
        const std::string answer = fixture.request("/c/deadly");
        CPPUNIT_ASSERT(answer.starts_with("HTTP/1.1 503"));
        CPPUNIT_ASSERT(answer.find("Retry-After") != std::string::npos);
        // Other requests of the same route are served by what is left.
        CPPUNIT_ASSERT(fixture.request("/c/x").starts_with("HTTP/1.1 200"));
        CPPUNIT_ASSERT(fixture.has_key_with_prefix(platform::quarantine_prefix));
    }

    void quarantine_of_another_host_is_heard()
    {
        testing::gateway_fixture fixture;
        fixture.add_replica("r1", [](const std::string&) { return testing::scripted_answer{}; });
        const request_fingerprint known = fingerprint_of("h.example", "GET", "/c/deadly", "");
        fixture.put_quarantine({.request = known, .length = std::chrono::seconds{10}});
        fixture.start();
        CPPUNIT_ASSERT(fixture.request("/c/deadly").starts_with("HTTP/1.1 503"));
        CPPUNIT_ASSERT(fixture.request("/c/x").starts_with("HTTP/1.1 200"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, arrivals(fixture));
    }

    void request_that_this_host_has_served_is_not_kept_out()
    {
        testing::gateway_fixture fixture;
        fixture.add_replica("r1", [](const std::string&) { return testing::scripted_answer{}; });
        fixture.start();
        const request_fingerprint known = fingerprint_of("h.example", "GET", "/c/x", "");
        CPPUNIT_ASSERT(fixture.request("/c/x").starts_with("HTTP/1.1 200"));
        fixture.put_quarantine({.request = known, .length = std::chrono::seconds{10}});
        fixture.run_for(std::chrono::milliseconds{300});
        CPPUNIT_ASSERT(fixture.request("/c/x").starts_with("HTTP/1.1 200"));
        // A host without an answer of its own hears of it.
        request_quarantine other;
        other.heard({.request = known, .length = std::chrono::seconds{10}}, at_s(0));
        other.heard({.request = known}, at_s(1));
        CPPUNIT_ASSERT(!other.time_left(known, at_s(1)));
    }

    void request_that_any_replica_answers_is_not_suspect()
    {
        crash_detector detector;
        const request_fingerprint popular{"p"};
        detector.lost(popular, run_of(0), at_s(0));
        detector.answered(popular);
        // It is lost together with the request that crashes its replicas.
        for (int i = 0; i < 20; ++i)
        {
            detector.lost(popular, run_of(i), at_s(i));
            CPPUNIT_ASSERT(!detector.is_suspect(popular));
        }
        // Several attempts at one replica are one loss.
        for (int i = 0; i < 20; ++i)
            detector.lost(deadly, run_of(1), at_s(20));
        CPPUNIT_ASSERT(!detector.is_suspect(deadly));
        detector.lost(deadly, run_of(2), at_s(21));
        detector.lost(deadly, run_of(3), at_s(21));
        CPPUNIT_ASSERT(detector.is_suspect(deadly));
    }

    void unconfirmed_quarantine_lapses()
    {
        request_quarantine quarantine;
        CPPUNIT_ASSERT(quarantine.suspect(deadly, {run_of(1), run_of(2), run_of(3)}, at_s(0)));
        CPPUNIT_ASSERT(!quarantine.suspect(deadly, {run_of(1), run_of(2), run_of(3)}, at_s(0)));
        const auto none_ended = [](const replica_incarnation&) { return false; };
        CPPUNIT_ASSERT(quarantine.confirm(none_ended, at_s(9)).empty());
        CPPUNIT_ASSERT(quarantine.time_left(deadly, at_s(9)) == std::chrono::seconds{1});
        CPPUNIT_ASSERT(!quarantine.time_left(deadly, at_s(10)));
        CPPUNIT_ASSERT(quarantine.confirm([](const auto&) { return true; }, at_s(10)).empty());
    }

    void quarantine_is_confirmed_by_replicas_that_ended()
    {
        request_quarantine quarantine;
        quarantine.suspect(deadly, {run_of(1), run_of(2), run_of(3), run_of(4)}, at_s(0));
        const auto has_ended = [](const replica_incarnation& each)
        { return each.id != replica_id{"4"}; };
        const auto confirmed = quarantine.confirm(has_ended, at_s(4));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, confirmed.size());
        CPPUNIT_ASSERT(quarantine.time_left(deadly, at_s(300)));
        CPPUNIT_ASSERT(quarantine.confirm(has_ended, at_s(5)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, quarantine.own_notices(at_s(300)).size());
        CPPUNIT_ASSERT(quarantine.own_notices(at_s(700)).empty());
    }

    void memory_is_bounded()
    {
        crash_detector detector{{.max_requests = 10}};
        request_quarantine quarantine{{.max_requests = 10}};
        for (int i = 0; i < 100; ++i)
        {
            const request_fingerprint each{std::to_string(i)};
            detector.lost(each, run_of(i), at_s(i / 10));
            quarantine.heard({.request = each, .length = std::chrono::hours{24}}, at_s(i / 10));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, detector.followed());
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, quarantine.size(at_s(10)));
        // No notice holds for longer than the own ones.
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, quarantine.size(at_s(700)));
    }

    void fingerprint_covers_what_replicas_get()
    {
        const request_fingerprint plain = fingerprint_of("h", "GET", "/a", "b");
        CPPUNIT_ASSERT(plain == fingerprint_of("h", "GET", "/a", "b"));
        for (const request_fingerprint& other :
             {fingerprint_of("g", "GET", "/a", "b"), fingerprint_of("h", "PUT", "/a", "b"),
              fingerprint_of("h", "GET", "/a?x", "b"), fingerprint_of("h", "GET", "/a", ""),
              fingerprint_of("h", "GET", "/", "ab")})
            CPPUNIT_ASSERT(plain != other);
        // Hosts of different builds must agree.
        CPPUNIT_ASSERT_EQUAL(std::size_t{36}, plain.value().size());
    }

private:
    static std::size_t arrivals(const testing::gateway_fixture& fixture)
    {
        std::size_t found = 0;
        for (const auto& [id, times] : fixture.m_arrivals)
            found += times.size();
        return found;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quarantine_test);

} // namespace tanagerspur
