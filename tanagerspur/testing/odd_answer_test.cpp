// Answers of replicas, of the store and of other hosts whose status or fields HTTP does not allow:
// a caller must get neither such an answer nor none at all.

#include "tanagerspur/net/http_connection.hpp"
#include "tanagerspur/testing/gateway_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <array>

namespace tanagerspur::testing
{

namespace
{

// Statuses of three digits that are no status of an answer: those out of range, and the one for a
// change of the protocol, which was not asked for.
constexpr std::array invalid_statuses{"000", "001", "099", "101", "600", "999"};

// Puts a line of its own into an otherwise good answer.
scripted_server::script answer_with_line(const std::string& line)
{
    return [line](const std::string&)
    { return scripted_answer{"HTTP/1.1 200 OK\r\n" + line + "\r\n"}; };
}

} // namespace

class odd_answer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(odd_answer_test);
    CPPUNIT_TEST(invalid_status_is_not_passed_on);
    CPPUNIT_TEST(invalid_status_at_one_replica_is_repeated_at_another);
    CPPUNIT_TEST(interim_answer_is_not_taken_for_final_one);
    CPPUNIT_TEST(invalid_field_is_not_passed_on);
    CPPUNIT_TEST(call_with_invalid_status_fails);
    CPPUNIT_TEST(call_is_not_answered_by_interim_answer);
    CPPUNIT_TEST(call_is_not_answered_by_bytes_after_earlier_answer);
    CPPUNIT_TEST_SUITE_END();

public:
    void invalid_status_is_not_passed_on()
    {
        for (const std::string status : invalid_statuses)
            for (const std::string path : {"/c/x", "/once/x"})
            {
                gateway_fixture fixture;
                fixture.add_replica("odd", answer_with_status(status));
                fixture.start();
                const std::string answer = fixture.request(path);
                std::string what = status;
                what.append(" for ").append(path).append(": ").append(answer);
                CPPUNIT_ASSERT_MESSAGE(what, answer.starts_with("HTTP/1.1 502 "));
                CPPUNIT_ASSERT_MESSAGE(what, !answer.ends_with("ok"));
            }
    }

    void invalid_status_at_one_replica_is_repeated_at_another()
    {
        for (const std::string status : invalid_statuses)
        {
            gateway_fixture fixture;
            fixture.add_replica("odd", answer_with_status(status));
            fixture.add_replica("good", [](const std::string&) { return scripted_answer{}; });
            fixture.start();
            for (int i = 0; i < 8; ++i)
                CPPUNIT_ASSERT_MESSAGE(status, fixture.request().starts_with("HTTP/1.1 200 "));
        }
    }

    // An interim answer may come before the final one, and may have the fields of any answer.
    void interim_answer_is_not_taken_for_final_one()
    {
        for (const std::string status : {"100", "102", "103", "199"})
        {
            gateway_fixture fixture;
            fixture.add_replica("replica",
                                [status](const std::string& head)
                                {
                                    return scripted_answer{
                                        "HTTP/1.1 " + status +
                                        " X\r\nX-Request-Id: " + field_of(head, "X-Request-Id") +
                                        "\r\nX-Response-Seal: interim\r\n\r\nHTTP/1.1 200 OK\r\n"};
                                });
            fixture.start();
            const std::string answer = fixture.request("/once/x");
            CPPUNIT_ASSERT_MESSAGE(status, answer.starts_with("HTTP/1.1 200 "));
            CPPUNIT_ASSERT_MESSAGE(status, answer.find("interim") == std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(status, answer.ends_with("\r\n\r\nok"));
        }
    }

    // Names with a blank or a control byte, lines without a name or a colon, and values with a
    // control byte.
    void invalid_field_is_not_passed_on()
    {
        for (const std::string line :
             {"X Odd: v", "X\tOdd: v", "X-Odd : v", "X-Odd\t: v", " X-Odd: v", "X\001Odd: v",
              "X-Odd\177: v", "X\rOdd: v", "Content Length: 1", "Transfer-Encoding : chunked",
              "X-Odd: a\001b", "X-Odd: a\177b", ": v", "X-Odd"})
        {
            gateway_fixture fixture;
            fixture.add_replica("odd", answer_with_line(line));
            fixture.start();
            const std::string answer = fixture.request("/once/x");
            std::string what = line;
            what.append(": ").append(answer);
            CPPUNIT_ASSERT_MESSAGE(what, answer.starts_with("HTTP/1.1 502 "));
            CPPUNIT_ASSERT_MESSAGE(what, answer.find("Odd") == std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(what, !answer.ends_with("ok"));
        }
    }

    void call_with_invalid_status_fails()
    {
        for (const std::string status : invalid_statuses)
        {
            const call_outcomes ended = call_twice(
                [status](const std::string&) {
                    return scripted_answer{"HTTP/1.1 " + status +
                                           " X\r\nContent-Length: 0\r\n\r\n"};
                });
            CPPUNIT_ASSERT_MESSAGE(status, ended.first.stage == call_stage::sent);
            CPPUNIT_ASSERT_MESSAGE(status, ended.second.stage == call_stage::not_sent);
        }
    }

    void call_is_not_answered_by_interim_answer()
    {
        const call_outcomes ended = call_twice(
            [](const std::string& head)
            { return scripted_answer{"HTTP/1.1 102 Processing\r\n\r\n" + answer_to(head)}; });
        CPPUNIT_ASSERT_EQUAL(std::string{"/1"}, ended.first.reply.body);
        CPPUNIT_ASSERT_EQUAL(std::string{"/2"}, ended.second.reply.body);
    }

    void call_is_not_answered_by_bytes_after_earlier_answer()
    {
        const call_outcomes ended =
            call_twice([](const std::string& head)
                       { return scripted_answer{answer_to(head) + answer_to(head)}; });
        CPPUNIT_ASSERT_EQUAL(std::string{"/1"}, ended.first.reply.body);
        CPPUNIT_ASSERT(ended.second.stage == call_stage::not_sent);
    }

private:
    using call_outcomes = std::pair<call_outcome, call_outcome>;

    // Its body is the path, of two characters.
    static std::string answer_to(const std::string& head)
    {
        return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" + head.substr(4, 2);
    }

    // Calls /1 and then /2 on the same connection.
    static call_outcomes call_twice(scripted_server::script script)
    {
        boost::asio::io_context io;
        scripted_server server(io, std::move(script));
        const auto connection = http_connection::make(io, server.address(), 1'000);
        std::vector<call_outcome> ended;
        const auto call = [&](const char* path)
        {
            connection->send({.path = path}, std::chrono::milliseconds{500},
                             [&](call_outcome outcome) { ended.push_back(std::move(outcome)); });
        };
        connection->open(std::chrono::milliseconds{500}, [&](bool) { call("/1"); });
        CPPUNIT_ASSERT(run_until(io, [&] { return ended.size() == 1; }));
        call("/2");
        CPPUNIT_ASSERT(run_until(io, [&] { return ended.size() == 2; }));
        return {ended[0], ended[1]};
    }

    static scripted_server::script answer_with_status(const std::string& status)
    {
        return [status](const std::string&)
        { return scripted_answer{"HTTP/1.1 " + status + " X\r\n"}; };
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(odd_answer_test);

} // namespace tanagerspur::testing
