// Tests the reconstruction of a request's history from the logs of several hosts.

#include "tanagerspur/operations/explain.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

namespace tanagerspur
{

namespace
{

const std::string log_of_first = R"(2026-03-18T08:30:13.018 gateway: start host=h1 zone=a
2026-03-18T08:30:13.600 gateway: configuration_applied version=2 routes=3 before=0
2026-03-18T08:30:14.000 gateway: configuration_applied version=5 routes=3 before=2
2026-03-18T08:30:15.000 gateway: replica_left replica=i-1 service=desk why=draining revision=9
2026-03-18T08:30:15.100 gateway: replica_left replica=i-2 service=other why=draining revision=9
2026-03-18T08:30:16.000 gateway: store_lost revision=10
2026-03-18T08:30:17.000 attempts: attempt_failed request=r1 replica=i-3 service=desk result=failed detail="Connection reset by peer"
2026-03-18T08:30:17.001 gateway: request_done request=r1 route=x version=5 status=502 cause=failed missing=desk:failed
2026-03-18T08:30:18.000 gateway: store_regained revision=12
not a structured line
)";

const std::string log_of_second =
    R"(2026-03-18T08:30:16.900 gateway: request_done request=r0 missing=-
2026-03-18T08:30:16.950 gateway: configuration_applied version=6 routes=3 before=5
)";

std::vector<log_line> read_both()
{
    std::vector<log_line> lines;
    std::istringstream first(log_of_first);
    std::istringstream second(log_of_second);
    read_log("h2.log", second, lines);
    read_log("h1.log", first, lines);
    return lines;
}

} // namespace

class explain_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(explain_test);
    CPPUNIT_TEST(parses_log_lines);
    CPPUNIT_TEST(includes_host_state_at_that_time);
    CPPUNIT_TEST(unknown_request_has_empty_history);
    CPPUNIT_TEST(truncated_lines_do_not_crash);
    CPPUNIT_TEST_SUITE_END();

public:
    void parses_log_lines()
    {
        const std::vector<log_line> lines = read_both();
        CPPUNIT_ASSERT_EQUAL(std::size_t{11}, lines.size());
        const log_line& attempt = lines[8];
        CPPUNIT_ASSERT_EQUAL(std::string{"attempt_failed"}, attempt.event);
        CPPUNIT_ASSERT_EQUAL(std::string{"Connection reset by peer"}, attempt.fields.at("detail"));
    }

    void includes_host_state_at_that_time()
    {
        const std::vector<std::string> history = explain_request("r1", read_both());
        std::string text;
        for (const std::string& each : history)
            text += each + "\n";
        const auto has = [&](const char* part)
        { CPPUNIT_ASSERT_MESSAGE(text, text.find(part) != std::string::npos); };
        has("attempt_failed request=r1");
        has("believed (configuration): 2026-03-18T08:30:14.000");
        has("believed (store): 2026-03-18T08:30:16.000 gateway: store_lost");
        has("replica_left replica=i-1");
        CPPUNIT_ASSERT(text.find("version=6") == std::string::npos);
        CPPUNIT_ASSERT(text.find("i-2") == std::string::npos);
    }

    void unknown_request_has_empty_history()
    {
        CPPUNIT_ASSERT(explain_request("r9", read_both()).empty());
    }

    void truncated_lines_do_not_crash()
    {
        for (std::size_t i = 0; i < log_of_first.size(); ++i)
        {
            std::vector<log_line> lines;
            std::istringstream cut(log_of_first.substr(i, 90));
            read_log("x", cut, lines);
            parse_log_line("x", log_of_first.substr(0, i));
            parse_log_line("x", "2026-03-18T08:30:13.018 a: b c=\"" + std::string(i % 3, '\\'));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(explain_test);

} // namespace tanagerspur
