// Connections to replicas against a misbehaving server: bytes of other answers, truncated answers
// and duplicates must never be delivered as an answer, and the result of a lost attempt must state
// whether the replica may have run the request.

#include "tanagerspur/net/replica_pool.hpp"
#include "tanagerspur/testing/scripted_server.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tanagerspur
{

namespace
{

using testing::field_of;
using testing::run_until;
using testing::scripted_answer;
using testing::scripted_server;

std::string reply(const std::string& id, const std::string& body, const std::string& more = {})
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nSignature: s-" + id + "\r\n" + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

class replica_pool_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(replica_pool_test);
    CPPUNIT_TEST(forwards_request_unchanged_with_expected_replica);
    CPPUNIT_TEST(reuses_idle_connection);
    CPPUNIT_TEST(ignores_late_answer_to_earlier_request);
    CPPUNIT_TEST(rejects_answer_without_id_after_mismatched_answer);
    CPPUNIT_TEST(closes_connection_on_bytes_after_answer);
    CPPUNIT_TEST(truncated_answer_fails_attempt);
    CPPUNIT_TEST(answer_that_ends_in_its_head_fails_attempt);
    CPPUNIT_TEST(answer_without_length_requires_orderly_close);
    CPPUNIT_TEST(answer_without_length_and_id_does_not_leave_attempt_open);
    CPPUNIT_TEST(answer_of_another_request_without_length_fails_attempt);
    CPPUNIT_TEST(success_without_signature_fails_attempt);
    CPPUNIT_TEST(signature_that_reads_as_several_fails_attempt);
    CPPUNIT_TEST(reports_refusal_with_load);
    CPPUNIT_TEST(misdirected_request_counts_as_refused);
    CPPUNIT_TEST(invalid_http_fails_attempt);
    CPPUNIT_TEST(refused_connect_counts_as_not_sent);
    CPPUNIT_TEST(does_not_reuse_connection_closed_as_idle);
    CPPUNIT_TEST(long_idle_timeout_of_replica_does_not_close_idle_connection);
    CPPUNIT_TEST(aborts_attempt_at_deadline);
    CPPUNIT_TEST(non_idempotent_request_avoids_old_idle_connection);
    CPPUNIT_TEST(closes_idle_connections_of_removed_replica);
    CPPUNIT_TEST(backs_off_from_replica_that_resets_connections);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_io.emplace();
        m_outcomes.clear();
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

    void forwards_request_unchanged_with_expected_replica()
    {
        std::string seen;
        serve(
            [&](const std::string& head)
            {
                seen = head;
                return scripted_answer{reply("1", "x")};
            });
        const attempt_outcome& outcome = run(1);
        CPPUNIT_ASSERT(outcome.result == attempt_result::answered);
        CPPUNIT_ASSERT_EQUAL(std::string{"x"}, outcome.answer.body);
        CPPUNIT_ASSERT_EQUAL(std::string{"s-1"}, outcome.answer.signature);
        CPPUNIT_ASSERT(
            seen.starts_with("GET /a/b?c=%20d HTTP/1.1\r\nHost: desk\r\nOdd-CASE: v\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::string{"replica-1"}, field_of(seen, "Expected-Replica"));
        const int left = std::stoi(field_of(seen, "Deadline-Ms"));
        CPPUNIT_ASSERT(left > 0 && left <= 1'000);
    }

    void reuses_idle_connection()
    {
        serve([](const std::string& head)
              { return scripted_answer{reply(field_of(head, "Request-Id"), "x")}; });
        run(1);
        CPPUNIT_ASSERT(run(2).result == attempt_result::answered);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_server->connections());
    }

    void ignores_late_answer_to_earlier_request()
    {
        serve(
            [](const std::string& head)
            {
                const std::string id = field_of(head, "Request-Id");
                return scripted_answer{reply("earlier", "foreign") + reply(id, "own")};
            });
        const attempt_outcome& outcome = run(1);
        CPPUNIT_ASSERT(outcome.result == attempt_result::answered);
        CPPUNIT_ASSERT_EQUAL(std::string{"own"}, outcome.answer.body);
        // The connection carried an answer to another request and is not reused.
        run(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_server->connections());
    }

    // Two late copies of earlier answers, the second one without an id: it must not be taken for
    // the answer to the current request.
    void rejects_answer_without_id_after_mismatched_answer()
    {
        serve(
            [](const std::string& head)
            {
                const std::string id = field_of(head, "Request-Id");
                return scripted_answer{
                    reply("earlier", "foreign") +
                    "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 7\r\n\r\nforeign" +
                    reply(id, "own")};
            });
        const attempt_outcome& outcome = run(1);
        CPPUNIT_ASSERT(outcome.result == attempt_result::answered);
        CPPUNIT_ASSERT_EQUAL(std::string{"own"}, outcome.answer.body);
    }

    void closes_connection_on_bytes_after_answer()
    {
        serve(
            [](const std::string& head)
            {
                const std::string id = field_of(head, "Request-Id");
                return scripted_answer{reply(id, "own") + reply(id, "twice")};
            });
        CPPUNIT_ASSERT_EQUAL(std::string{"own"}, run(1).answer.body);
        CPPUNIT_ASSERT_EQUAL(std::string{"own"}, run(2).answer.body);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_server->connections());
    }

    void truncated_answer_fails_attempt()
    {
        for (const auto action :
             {scripted_answer::connection_action::close, scripted_answer::connection_action::reset})
        {
            setUp();
            serve(
                [action](const std::string&)
                {
                    const std::string whole = reply("1", "complete body");
                    return scripted_answer{whole.substr(0, whole.size() - 3), action};
                });
            CPPUNIT_ASSERT(run(1).result == attempt_result::failed);
            tearDown();
        }
        setUp();
    }

    // At every byte of the head, for answers with a length, in chunks, and without either.
    void answer_that_ends_in_its_head_fails_attempt()
    {
        const std::string fields = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSignature: s\r\n";
        for (const std::string framing :
             {"Content-Length: 20\r\n", "Transfer-Encoding: chunked\r\n", "",
              "Connection: close\r\n"})
        {
            const std::string head = fields + framing + "\r\n";
            for (std::size_t size = 0; size < head.size(); ++size)
                for (const auto action : {scripted_answer::connection_action::close,
                                          scripted_answer::connection_action::reset})
                {
                    tearDown();
                    setUp();
                    serve(
                        [&](const std::string&) {
                            return scripted_answer{head.substr(0, size), action};
                        });
                    CPPUNIT_ASSERT_MESSAGE(head.substr(0, size),
                                           run(1).result == attempt_result::failed);
                }
        }
    }

    void answer_without_length_requires_orderly_close()
    {
        const std::string unframed =
            "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSignature: s\r\n\r\nall of it";
        serve(
            [&](const std::string&) {
                return scripted_answer{unframed, scripted_answer::connection_action::close};
            });
        const attempt_outcome& whole = run(1);
        CPPUNIT_ASSERT(whole.result == attempt_result::answered);
        CPPUNIT_ASSERT_EQUAL(std::string{"all of it"}, whole.answer.body);
        tearDown();
        setUp();
        serve(
            [&](const std::string&) {
                return scripted_answer{unframed, scripted_answer::connection_action::reset};
            });
        CPPUNIT_ASSERT(run(1).result == attempt_result::failed);
    }

    // A refusal and a signed answer may lack the id, also if they end with their connection.
    void answer_without_length_and_id_does_not_leave_attempt_open()
    {
        serve(
            [](const std::string&)
            {
                return scripted_answer{"HTTP/1.1 503 Full\r\nNot-Run: 1\r\n\r\nfull",
                                       scripted_answer::connection_action::close};
            });
        CPPUNIT_ASSERT(run(1).result == attempt_result::refused);
        tearDown();
        setUp();
        serve(
            [](const std::string&)
            {
                return scripted_answer{"HTTP/1.1 200 OK\r\nSignature: s\r\n\r\nall of it",
                                       scripted_answer::connection_action::close};
            });
        const attempt_outcome& outcome = run(1);
        CPPUNIT_ASSERT(outcome.result == attempt_result::answered);
        CPPUNIT_ASSERT_EQUAL(std::string{"all of it"}, outcome.answer.body);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_pool->open_connections());
    }

    // Nothing follows on the connection, so that the attempt is over.
    void answer_of_another_request_without_length_fails_attempt()
    {
        serve(
            [](const std::string&)
            {
                return scripted_answer{
                    "HTTP/1.1 200 OK\r\nRequest-Id: earlier\r\nSignature: s\r\n\r\nforeign",
                    scripted_answer::connection_action::close};
            });
        CPPUNIT_ASSERT(run(1).result == attempt_result::failed);
    }

    void success_without_signature_fails_attempt()
    {
        serve(
            [](const std::string&) {
                return scripted_answer{
                    "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 1\r\n\r\nx"};
            });
        CPPUNIT_ASSERT(run(1).result == attempt_result::failed);
    }

    // The signatures of the parts of a scatter are joined with commas. One such part would make the
    // whole answer wrong.
    void signature_that_reads_as_several_fails_attempt()
    {
        for (const std::string signature : {"s,t", "s, t", ",", "s,", "\"s"})
        {
            tearDown();
            setUp();
            serve(
                [&signature](const std::string&)
                {
                    return scripted_answer{"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSignature: " +
                                           signature + "\r\nContent-Length: 1\r\n\r\nx"};
                });
            CPPUNIT_ASSERT_MESSAGE(signature, run(1).result == attempt_result::failed);
        }
    }

    void reports_refusal_with_load()
    {
        serve(
            [](const std::string&)
            {
                return scripted_answer{"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nLoad: 2,12,2\r\n"
                                       "Content-Length: 0\r\n\r\n"};
            });
        const attempt_outcome& outcome = run(1);
        CPPUNIT_ASSERT(outcome.result == attempt_result::refused);
        CPPUNIT_ASSERT_EQUAL(12U, outcome.load->waiting);
    }

    void misdirected_request_counts_as_refused()
    {
        serve(
            [](const std::string&) {
                return scripted_answer{
                    "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"};
            });
        const attempt_outcome& outcome = run(1);
        CPPUNIT_ASSERT(outcome.result == attempt_result::refused);
        CPPUNIT_ASSERT(outcome.is_misdirected);
    }

    void invalid_http_fails_attempt()
    {
        serve([](const std::string&) { return scripted_answer{"\x01\x02 not HTTP\r\n\r\n"}; });
        CPPUNIT_ASSERT(run(1).result == attempt_result::failed);
    }

    void refused_connect_counts_as_not_sent()
    {
        serve([](const std::string&) { return scripted_answer{}; });
        m_replica->record.address = m_server->address();
        m_server.reset();
        CPPUNIT_ASSERT(run(1).result == attempt_result::not_sent);
        CPPUNIT_ASSERT(!m_replica->estimate.is_reachable(boot_now()));
    }

    void does_not_reuse_connection_closed_as_idle()
    {
        serve([](const std::string& head)
              { return scripted_answer{reply(field_of(head, "Request-Id"), "x")}; });
        run(1);
        m_pool->tick(boot_now() + std::chrono::minutes{1});
        CPPUNIT_ASSERT(run(2).result == attempt_result::answered);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_server->connections());
        CPPUNIT_ASSERT(run_until(*m_io, [this] { return m_pool->open_connections() == 1; }));
    }

    // A number of seconds that is too large for a duration would be read as a negative one.
    void long_idle_timeout_of_replica_does_not_close_idle_connection()
    {
        for (const std::string seconds :
             {"9223372036854775807", "10000000000000", "99999999999999999999"})
        {
            tearDown();
            setUp();
            serve(
                [&seconds](const std::string& head)
                {
                    return scripted_answer{reply(field_of(head, "Request-Id"), "x",
                                                 "Keep-Alive: timeout=" + seconds + "\r\n")};
                });
            run(1);
            m_pool->tick(boot_now() + std::chrono::seconds{1});
            run(2);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(seconds, std::size_t{1}, m_server->connections());
        }
    }

    void aborts_attempt_at_deadline()
    {
        serve([](const std::string&) { return scripted_answer{}; });
        send(1);
        CPPUNIT_ASSERT(run_until(*m_io, [this] { return m_server->connections() == 1; }));
        m_io->run_for(std::chrono::milliseconds{20});
        m_pool->tick(boot_now() + std::chrono::seconds{2});
        CPPUNIT_ASSERT(run_until(*m_io, [this] { return m_outcomes.contains(1); }));
        CPPUNIT_ASSERT(m_outcomes[1].result == attempt_result::abandoned);
    }

    void non_idempotent_request_avoids_old_idle_connection()
    {
        serve([](const std::string& head)
              { return scripted_answer{reply(field_of(head, "Request-Id"), "x")}; });
        run(1);
        m_io->restart();
        m_io->run_for(std::chrono::milliseconds{1'600});
        run(2, false);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_server->connections());
        run(3, false);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_server->connections());
    }

    void closes_idle_connections_of_removed_replica()
    {
        serve([](const std::string& head)
              { return scripted_answer{reply(field_of(head, "Request-Id"), "x")}; });
        run(1);
        m_pool->replica_left(*m_replica);
        CPPUNIT_ASSERT(run_until(*m_io, [this] { return m_pool->open_connections() == 0; }));
    }

    void backs_off_from_replica_that_resets_connections()
    {
        serve(
            [](const std::string&) {
                return scripted_answer{"", scripted_answer::connection_action::reset};
            });
        CPPUNIT_ASSERT(run(1).result == attempt_result::failed);
        CPPUNIT_ASSERT(!m_replica->estimate.is_reachable(boot_now()));
        CPPUNIT_ASSERT(run(2).result == attempt_result::failed);
        CPPUNIT_ASSERT(
            !m_replica->estimate.is_reachable(boot_now() + std::chrono::milliseconds{150}));
    }

private:
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

    void send(std::uint64_t attempt, bool is_idempotent = true)
    {
        auto request = std::make_shared<caller_request>();
        request->method = "GET";
        request->target = "/a/b?c=%20d";
        request->fields = {{"Host", "desk"}, {"Odd-CASE", "v"}};
        request->id = request_id{std::to_string(attempt)};
        m_pool->send({.number = attempt,
                      .to = m_replica,
                      .request = request,
                      .deadline = boot_now() + std::chrono::seconds{1},
                      .is_idempotent = is_idempotent});
    }

    const attempt_outcome& run(std::uint64_t attempt, bool is_idempotent = true)
    {
        send(attempt, is_idempotent);
        CPPUNIT_ASSERT(run_until(*m_io, [&] { return m_outcomes.contains(attempt); }));
        return m_outcomes[attempt];
    }

    std::optional<boost::asio::io_context> m_io;
    std::optional<scripted_server> m_server;
    std::optional<replica_pool> m_pool;
    replica_ref m_replica;
    std::map<std::uint64_t, attempt_outcome> m_outcomes;
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_pool_test);

} // namespace tanagerspur
