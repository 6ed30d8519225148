// Answers that never end, in the header or the body, from replicas, the store and other hosts. The
// call must fail, the connection must be closed, and the buffered bytes must stay bounded.

#include "tanagerspur/net/http_connection.hpp"
#include "tanagerspur/net/replica_pool.hpp"
#include "tanagerspur/testing/scripted_server.hpp"

#include <boost/asio/steady_timer.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <thread>

namespace tanagerspur
{

namespace
{

using testing::run_until;
using testing::scripted_answer;
using testing::scripted_server;

// Limit of buffered bytes of incomplete answers on a host: a small part of the memory of the
// smallest hosts, 160 MB.
constexpr std::size_t max_buffered_bytes = std::size_t{40} * 1024 * 1024;
constexpr std::size_t max_reply_bytes = std::size_t{256} * 1024;

struct endless_answer
{
    const char* name;
    std::string start;
    std::string repeated_bytes;
    // The bytes can never become a valid answer, which is detected long before the deadline.
    bool fails_before_deadline = true;
};

std::vector<endless_answer> endless_answers()
{
    const std::string filler(4'096, 'a');
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string chunk = "1000\r\n" + filler + "\r\n";
    return {{"status line", "HTTP/1.1 200 ", filler},
            {"field", "HTTP/1.1 200 OK\r\nX: ", filler},
            {"fields", "HTTP/1.1 200 OK\r\n", "X: " + std::string(500, 'a') + "\r\n"},
            {"chunk size", chunked, std::string(4'096, '0')},
            {"chunk extension", chunked + "1;", filler},
            {"trailer", chunked + "0\r\nX: ", filler},
            {"chunks", chunked, chunk},
            {"body without length", "HTTP/1.1 200 OK\r\n\r\n", filler},
            {"body of a great length", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
             filler},
            {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n", false},
            {"answers to another request", "",
             "HTTP/1.1 200 OK\r\nRequest-Id: x\r\nContent-Length: 1\r\n\r\nx", false}};
}

} // namespace

class endless_answer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(endless_answer_test);
    CPPUNIT_TEST(fails_attempt_and_closes_connection);
    CPPUNIT_TEST(memory_stays_bounded_with_many_endless_bodies);
    CPPUNIT_TEST(good_answers_beside_endless_ones_are_delivered);
    CPPUNIT_TEST(pause_after_sending_fails_no_good_answer);
    CPPUNIT_TEST(fails_call_to_store_or_host);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_io.emplace();
        m_outcomes.clear();
        m_peak_buffered_bytes = 0;
        m_pool.emplace(*m_io, wire_header_names{},
                       [this](std::uint64_t attempt, attempt_outcome outcome)
                       { m_outcomes[attempt] = std::move(outcome); });
    }

    void tearDown() override
    {
        m_pool.reset();
        m_server.reset();
        m_io.reset();
    }

    void fails_attempt_and_closes_connection()
    {
        for (const endless_answer& kind : endless_answers())
        {
            setUp();
            serve(
                [&kind](const std::string&)
                {
                    return scripted_answer{kind.start,
                                           scripted_answer::connection_action::keep_open,
                                           kind.repeated_bytes};
                });
            const time_point begun = boot_now();
            send(1, milliseconds{600});
            CPPUNIT_ASSERT_MESSAGE(kind.name,
                                   run_ticking([this] { return m_outcomes.contains(1); }));
            const duration took = boot_now() - begun;
            const bool is_expected =
                m_outcomes[1].result == attempt_result::failed ||
                (!kind.fails_before_deadline && m_outcomes[1].result == attempt_result::abandoned);
            CPPUNIT_ASSERT_MESSAGE(kind.name, is_expected);
            CPPUNIT_ASSERT_MESSAGE(kind.name,
                                   !kind.fails_before_deadline || took < milliseconds{500});
            CPPUNIT_ASSERT_MESSAGE(kind.name, took < milliseconds{900});
            CPPUNIT_ASSERT_MESSAGE(kind.name,
                                   run_ticking([this] { return m_server->closed_by_peer() == 1; }));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(kind.name, std::size_t{0}, m_pool->open_connections());
            CPPUNIT_ASSERT_MESSAGE(kind.name, m_peak_buffered_bytes <= max_buffered_bytes);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(kind.name, std::size_t{0}, m_pool->buffered_bytes());
            tearDown();
        }
        setUp();
    }

    void memory_stays_bounded_with_many_endless_bodies()
    {
        serve(
            [](const std::string&)
            {
                return scripted_answer{"HTTP/1.1 200 OK\r\n\r\n",
                                       scripted_answer::connection_action::keep_open,
                                       std::string(65'536, 'a')};
            });
        m_pool->set_limit(service_id{"desk"}, 40);
        for (std::uint64_t attempt = 1; attempt <= 40; ++attempt)
            send(attempt, milliseconds{800});
        CPPUNIT_ASSERT(run_ticking([this] { return m_outcomes.size() == 40; }));
        CPPUNIT_ASSERT(m_peak_buffered_bytes > 0);
        CPPUNIT_ASSERT(m_peak_buffered_bytes <= max_buffered_bytes);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_pool->buffered_bytes());
    }

    void good_answers_beside_endless_ones_are_delivered() { check_good_answers(milliseconds{0}); }

    // Longer than a connection may take to open: what became ready during the pause is handled
    // before the pool looks at the time.
    void pause_after_sending_fails_no_good_answer() { check_good_answers(milliseconds{300}); }

    void check_good_answers(std::chrono::milliseconds pause)
    {
        serve(
            [](const std::string& head)
            {
                const std::string id = testing::field_of(head, "Request-Id");
                if (std::stoi(id) <= 20)
                    return scripted_answer{"HTTP/1.1 200 OK\r\n\r\n",
                                           scripted_answer::connection_action::keep_open,
                                           std::string(65'536, 'a')};
                return scripted_answer{"HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                                       "\r\nSignature: s\r\nContent-Length: 100000\r\n\r\n" +
                                       std::string(100'000, 'b')};
            });
        m_pool->set_limit(service_id{"desk"}, 60);
        for (std::uint64_t attempt = 1; attempt <= 40; ++attempt)
            send(attempt, milliseconds{1'500});
        std::this_thread::sleep_for(pause);
        CPPUNIT_ASSERT(run_ticking([this] { return m_outcomes.size() == 40; }));
        for (std::uint64_t attempt = 21; attempt <= 40; ++attempt)
            CPPUNIT_ASSERT(m_outcomes[attempt].result == attempt_result::answered);
    }

    void fails_call_to_store_or_host()
    {
        for (const endless_answer& kind : endless_answers())
        {
            if (!kind.fails_before_deadline)
                continue;
            setUp();
            serve(
                [&kind](const std::string&)
                {
                    return scripted_answer{kind.start,
                                           scripted_answer::connection_action::keep_open,
                                           kind.repeated_bytes};
                });
            const auto on = http_connection::make(*m_io, m_server->address(), max_reply_bytes);
            std::optional<call_outcome> outcome;
            on->open(milliseconds{500},
                     [&](bool is_open)
                     {
                         CPPUNIT_ASSERT(is_open);
                         on->send({.method = "GET", .path = "/x"}, milliseconds{1'000},
                                  [&](call_outcome ended) { outcome = std::move(ended); });
                     });
            CPPUNIT_ASSERT_MESSAGE(kind.name, run_ticking([&] { return outcome.has_value(); }));
            CPPUNIT_ASSERT_MESSAGE(kind.name, outcome->stage == call_stage::sent);
            CPPUNIT_ASSERT_MESSAGE(kind.name, !outcome->timed_out);
            tearDown();
        }
        setUp();
    }

private:
    using milliseconds = std::chrono::milliseconds;

    void serve(scripted_server::script script)
    {
        m_server.emplace(*m_io, std::move(script));
        m_replica = std::make_shared<replica>();
        m_replica->number = 1;
        m_replica->record = {.id = replica_id{"replica-1"},
                             .service = service_id{"desk"},
                             .address = m_server->address(),
                             .slots = 2};
    }

    void send(std::uint64_t attempt, milliseconds timeout)
    {
        auto request = std::make_shared<caller_request>();
        request->method = "GET";
        request->target = "/";
        request->id = request_id{std::to_string(attempt)};
        m_pool->send({.number = attempt,
                      .to = m_replica,
                      .request = request,
                      .deadline = boot_now() + timeout});
    }

    // Like run_until, but also ticks the pool and records the peak of its buffered bytes. As in an
    // event loop, the handlers that are ready run before the timer.
    bool run_ticking(const std::function<bool()>& condition)
    {
        return run_until(*m_io,
                         [&]
                         {
                             run_ready_handlers();
                             m_pool->tick(boot_now());
                             return condition();
                         });
    }

    // Bounded, because endless answers keep handlers ready.
    void run_ready_handlers()
    {
        constexpr int max_handlers = 200;
        for (int i = 0; i < max_handlers && m_io->poll_one() > 0; ++i)
            m_peak_buffered_bytes = std::max(m_peak_buffered_bytes, m_pool->buffered_bytes());
    }

    std::optional<boost::asio::io_context> m_io;
    std::optional<scripted_server> m_server;
    std::optional<replica_pool> m_pool;
    replica_ref m_replica;
    std::map<std::uint64_t, attempt_outcome> m_outcomes;
    std::size_t m_peak_buffered_bytes = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(endless_answer_test);

} // namespace tanagerspur
