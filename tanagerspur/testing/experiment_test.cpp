// The comparison of variants: paired statistics, the bench's report, and the account of lost worth
// from hosts' logs.

#include "bench/experiment/loss_account.hpp"
#include "bench/experiment/paired_comparison.hpp"
#include "platform/experiment/bench_report.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

namespace tanagerspur::experiment
{

namespace
{

const std::string report = R"({
"G": 0.61, "breaks": {"MIXED": 2},
"all": {"n": 900, "in_aim": 850, "late": 20, "refused": 10, "failed": 20, "worth": 0.95},
"parts": [["whole day", 0.35, 0.95], ["worst windows", 0.5, 0.6], ["worst class", 0.15, 0.9]],
"windows": [
 {"name": "0", "n": 450, "in_aim": 450, "late": 0, "refused": 0, "failed": 0, "worth": 1.0},
 {"name": "2", "n": 450, "in_aim": 400, "late": 20, "refused": 10, "failed": 20, "worth": 0.8}]})";

const std::string output =
    R"(built in 1.0 s
   0.5000 host-1 2026-07-11T07:33:56.000 gateway: request_done request=r1 status=503 cause=overloaded ms=0 objective_ms=150 missing=desk-1:overloaded last=-
   2.1000 host-1 2026-07-11T07:33:57.600 gateway: request_done request=r2 status=200 cause=complete ms=300 objective_ms=150 missing=- last=desk-4:299
   2.2000 host-2 2026-07-11T07:33:57.700 gateway: request_done request=r3 status=200 cause=partial ms=140 objective_ms=150 missing=desk-1:no_room,desk-2:pending last=desk-4:90
   2.3000 host-2 2026-07-11T07:33:57.800 gateway: request_refused request=r4 status=503 cause=no_configuration
   3.3000 host-1 2026-07-11T07:33:58.800 gateway: start host=host-1
   3.4000 host-1 2026-07-11T07:33:58.900 gateway: request_done request=r5 status=504 cause=deadline ms=400 objective_ms=60 missing=desk-2:pending last=-
day score worth
)";

} // namespace

class experiment_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(experiment_test);
    CPPUNIT_TEST(interval_matches_students_t);
    CPPUNIT_TEST(verdict_needs_an_interval_without_zero);
    CPPUNIT_TEST(parses_report);
    CPPUNIT_TEST(malformed_report_gives_an_error);
    CPPUNIT_TEST(accounts_for_windows_below_the_limit);
    CPPUNIT_TEST_SUITE_END();

public:
    // Differences 1, 2, 3: mean 2, standard error 1 / sqrt(3), quantile 4.302653 with two degrees
    // of freedom.
    void interval_matches_students_t()
    {
        const comparison made = compare(
            {{.base = 1, .variant = 2}, {.base = 5, .variant = 7}, {.base = 3, .variant = 6}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, made.pairs);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, made.base_mean, 1e-12);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(5.0, made.variant_mean, 1e-12);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, made.mean_difference, 1e-12);
        CPPUNIT_ASSERT(made.half_interval.has_value());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.484, *made.half_interval, 0.001);
    }

    void verdict_needs_an_interval_without_zero()
    {
        CPPUNIT_ASSERT(compare({}).result(direction::higher) == verdict::unclear);
        CPPUNIT_ASSERT(compare({{.base = 0, .variant = 1}}).result(direction::higher) ==
                       verdict::unclear);
        CPPUNIT_ASSERT(compare({{.base = 0, .variant = 1}, {.base = 0, .variant = -1}})
                           .result(direction::higher) == verdict::unclear);
        const comparison better = compare(
            {{.base = 0, .variant = 1}, {.base = 0, .variant = 1.1}, {.base = 0, .variant = 0.9}});
        CPPUNIT_ASSERT(better.result(direction::higher) == verdict::better);
        const comparison worse = compare(
            {{.base = 1, .variant = 0}, {.base = 1.1, .variant = 0}, {.base = 0.9, .variant = 0}});
        CPPUNIT_ASSERT(worse.result(direction::higher) == verdict::worse);
        CPPUNIT_ASSERT(worse.result(direction::lower) == verdict::better);
    }

    void parses_report()
    {
        std::string error;
        const auto result = parse_bench_report(report, error);
        CPPUNIT_ASSERT_EQUAL(std::string{}, error);
        CPPUNIT_ASSERT(result.has_value());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.61, result->worth, 1e-12);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.6, result->worst_windows, 1e-12);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.35 * 0.95 + 0.5 * 0.6 + 0.15 * 0.9 - 0.61, result->prices,
                                     1e-9);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{850}, result->requests.within_objective);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, result->windows.size());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, result->windows[1].start_s, 1e-12);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, result->broken_rules);
    }

    void malformed_report_gives_an_error()
    {
        for (const std::string text : {"", "{", "[]", "{\"G\": 1}", "{\"G\": \"x\"}"})
        {
            std::string error;
            CPPUNIT_ASSERT(!parse_bench_report(text, error));
            CPPUNIT_ASSERT(!error.empty());
        }
    }

    void accounts_for_windows_below_the_limit()
    {
        std::string error;
        const auto play = parse_bench_report(report, error);
        std::istringstream text(output);
        const std::vector<host_log_line> lines = read_host_logs(text);
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, lines.size());
        const std::vector<window_account> accounts = account_losses(*play, lines, 0.97);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, accounts.size());
        const std::map<std::string, std::size_t> expected{{"late, last desk-4", 1},
                                                          {"missing desk-1 no_room", 1},
                                                          {"missing desk-2 pending", 1},
                                                          {"refused no_configuration", 1},
                                                          {"failed deadline", 1}};
        CPPUNIT_ASSERT(accounts[0].causes == expected);
        // No line between 2.3 s and the start at 3.3 s, in a window of two seconds.
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, accounts[0].lost_without_hosts, 1e-6);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(experiment_test);

} // namespace tanagerspur::experiment
