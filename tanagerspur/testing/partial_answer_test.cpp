// Tests when a scatter is answered with the parts that have arrived.

#include "tanagerspur/forwarding/partial_answer.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

namespace tanagerspur
{

namespace
{

using std::chrono::milliseconds;

constexpr time_point begun{std::chrono::seconds{100}};

partial_answer make(milliseconds answer_after, milliseconds lookup_time)
{
    return {{.begun = begun, .answer_at = begun + answer_after, .lookup_time = lookup_time}, {}};
}

// Response times of shards. One shard in 25 is in a pause of 100 ms; the work takes about 3 ms,
// and five times as long for one in a hundred.
std::vector<duration> draw_response_times(std::size_t shards, std::mt19937_64& random)
{
    std::vector<duration> answers;
    std::lognormal_distribution<> work{std::log(3.0), 0.35};
    std::uniform_real_distribution<> share{0, 1};
    for (std::size_t i = 0; i < shards; ++i)
    {
        double ms = 8 + work(random) * (share(random) < 0.01 ? 5 : 1);
        if (share(random) < 0.04)
            ms += 100 * share(random);
        answers.push_back(duration{static_cast<duration::rep>(ms * 1'000)});
    }
    std::sort(answers.begin(), answers.end());
    return answers;
}

// Value of the answer to the caller: the square of the share of the parts, a tenth of it if late.
double value_of_answer(const std::vector<duration>& answers, const partial_answer& plan,
                       std::size_t needed, duration caller_spent, duration objective)
{
    std::size_t parts = 0;
    time_point at = begun;
    const auto answered = [&](time_point now)
    {
        const double share = static_cast<double>(parts) / static_cast<double>(answers.size());
        const bool is_late = now - begun + caller_spent > objective;
        return share * share * (is_late ? 0.1 : 1);
    };
    for (const duration each : answers)
    {
        for (time_point check_time = plan.next_check(at); check_time <= begun + each;
             check_time = plan.next_check(at))
        {
            at = check_time;
            if (plan.is_due(parts, answers.size(), needed, at))
                return answered(at);
        }
        at = begun + each;
        ++parts;
        if (parts == answers.size() || plan.is_due(parts, answers.size(), needed, at))
            return answered(at);
    }
    return 0;
}

// Mean value over many requests; one caller in seven has done an address look-up before.
double mean_value(std::size_t shards, double coverage, duration estimated_lookup_time)
{
    std::mt19937_64 random{20261204};
    const auto needed = static_cast<std::size_t>(std::ceil(coverage * static_cast<double>(shards)));
    const partial_answer plan{{.begun = begun,
                               .answer_at = begun + milliseconds{31},
                               .lookup_time = estimated_lookup_time},
                              {}};
    constexpr int requests = 3'000;
    double sum = 0;
    for (int i = 0; i < requests; ++i)
    {
        const duration spent = milliseconds{i % 7 == 0 ? 18 : 6};
        sum += value_of_answer(draw_response_times(shards, random), plan, needed, spent,
                               milliseconds{40});
    }
    return sum / requests;
}

} // namespace

class partial_answer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(partial_answer_test);
    CPPUNIT_TEST(waits_for_coverage);
    CPPUNIT_TEST(nearly_complete_answer_leaves_time_for_lookup);
    CPPUNIT_TEST(waits_at_least_half_of_the_time);
    CPPUNIT_TEST(early_answers_help_many_shards_without_harming_few);
    CPPUNIT_TEST_SUITE_END();

public:
    void waits_for_coverage()
    {
        const partial_answer plan = make(milliseconds{31}, milliseconds{12});
        CPPUNIT_ASSERT(!plan.is_due(76, 90, 77, begun + milliseconds{500}));
        CPPUNIT_ASSERT(!plan.is_due(77, 90, 77, begun + milliseconds{30}));
        CPPUNIT_ASSERT(plan.is_due(77, 90, 77, begun + milliseconds{31}));
    }

    void nearly_complete_answer_leaves_time_for_lookup()
    {
        const partial_answer plan = make(milliseconds{31}, milliseconds{12});
        CPPUNIT_ASSERT(!plan.is_due(89, 90, 77, begun + milliseconds{18}));
        CPPUNIT_ASSERT(plan.is_due(89, 90, 77, begun + milliseconds{19}));
        CPPUNIT_ASSERT(plan.is_due(84, 90, 77, begun + milliseconds{19}));
        CPPUNIT_ASSERT(!plan.is_due(83, 90, 77, begun + milliseconds{19}));
        // One missing part of ten is worth waiting for.
        CPPUNIT_ASSERT(!plan.is_due(9, 10, 8, begun + milliseconds{30}));
        CPPUNIT_ASSERT(plan.next_check(begun) == begun + milliseconds{19});
        CPPUNIT_ASSERT(plan.next_check(begun + milliseconds{19}) == begun + milliseconds{31});
        CPPUNIT_ASSERT(plan.next_check(begun + milliseconds{31}) == never);
    }

    void waits_at_least_half_of_the_time()
    {
        const partial_answer plan = make(milliseconds{30}, milliseconds{200});
        CPPUNIT_ASSERT(!plan.is_due(89, 90, 77, begun + milliseconds{14}));
        CPPUNIT_ASSERT(plan.is_due(89, 90, 77, begun + milliseconds{15}));
        // No time is left at all: the parts that have arrived are returned.
        const partial_answer late = make(milliseconds{-5}, milliseconds{12});
        CPPUNIT_ASSERT(late.is_due(77, 90, 77, begun));
    }

    void early_answers_help_many_shards_without_harming_few()
    {
        const double before = mean_value(90, 0.85, duration{0});
        const double now = mean_value(90, 0.85, milliseconds{12});
        CPPUNIT_ASSERT(now > before + 0.05);
        CPPUNIT_ASSERT(mean_value(10, 0.75, milliseconds{12}) >=
                       mean_value(10, 0.75, duration{0}) - 0.01);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(partial_answer_test);

} // namespace tanagerspur
