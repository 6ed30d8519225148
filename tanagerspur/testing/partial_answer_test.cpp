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

double mean_value_with_overloaded_shard(duration estimated_lookup_time)
{
    std::mt19937_64 random{20261204};
    const partial_answer plan{{.begun = begun,
                               .answer_at = begun + milliseconds{145},
                               .lookup_time = estimated_lookup_time},
                              {}};
    std::uniform_real_distribution<> overloaded_ms{60, 300};
    constexpr int requests = 3'000;
    double sum = 0;
    for (int i = 0; i < requests; ++i)
    {
        std::vector<duration> answers(9, milliseconds{30});
        answers.push_back(duration{static_cast<duration::rep>(overloaded_ms(random) * 1'000)});
        const duration spent = milliseconds{i % 7 == 0 ? 8 : 4};
        sum += value_of_answer(answers, plan, 9, spent, milliseconds{150});
    }
    return sum / requests;
}

} // namespace

class partial_answer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(partial_answer_test);
    CPPUNIT_TEST(waits_for_coverage);
    CPPUNIT_TEST(incomplete_answer_leaves_time_for_lookup);
    CPPUNIT_TEST(waits_for_parts_that_are_worth_the_risk);
    CPPUNIT_TEST(waits_at_least_half_of_the_time);
    CPPUNIT_TEST(early_answers_help_many_shards_without_harming_few);
    CPPUNIT_TEST(early_answers_reach_callers_while_a_shard_is_overloaded);
    CPPUNIT_TEST_SUITE_END();

public:
    void waits_for_coverage()
    {
        const partial_answer plan = make(milliseconds{31}, milliseconds{12});
        CPPUNIT_ASSERT(!plan.is_due(76, 90, 77, begun + milliseconds{500}));
        CPPUNIT_ASSERT(!plan.is_due(77, 90, 77, begun + milliseconds{30}));
        CPPUNIT_ASSERT(plan.is_due(77, 90, 77, begun + milliseconds{31}));
    }

    void incomplete_answer_leaves_time_for_lookup()
    {
        const partial_answer plan = make(milliseconds{144}, milliseconds{7});
        for (const std::size_t parts : {9U, 8U})
        {
            CPPUNIT_ASSERT(!plan.is_due(parts, 10, 8, begun + milliseconds{136}));
            CPPUNIT_ASSERT(plan.is_due(parts, 10, 8, begun + milliseconds{137}));
        }
        CPPUNIT_ASSERT(plan.next_check(begun) == begun + milliseconds{137});
        CPPUNIT_ASSERT(plan.next_check(begun + milliseconds{137}) == begun + milliseconds{144});
        CPPUNIT_ASSERT(plan.next_check(begun + milliseconds{144}) == never);
    }

    // A look-up takes 12 of 31 ms. A missing part arrives in that time with a probability of 0.39
    // and is worth one less the square of the share of the others; one look-up in seven is lost.
    void waits_for_parts_that_are_worth_the_risk()
    {
        const partial_answer plan = make(milliseconds{31}, milliseconds{12});
        for (std::size_t parts = 1; parts <= 90; ++parts)
        {
            const double value = static_cast<double>(parts * parts) / (90.0 * 90.0);
            const bool is_early = 12.0 / 31 * (1 - value) <= 0.14 * value;
            CPPUNIT_ASSERT(!plan.is_due(parts, 90, 1, begun + milliseconds{18}));
            CPPUNIT_ASSERT_EQUAL(is_early, plan.is_due(parts, 90, 1, begun + milliseconds{19}));
            CPPUNIT_ASSERT_EQUAL(is_early, plan.is_due(parts, 90, 1, begun + milliseconds{30}));
            CPPUNIT_ASSERT(plan.is_due(parts, 90, 1, begun + milliseconds{31}));
        }
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

    // Ten shards of which one is overloaded and answers at any time up to twice the objective of
    // 150 ms; a look-up takes 4 ms. Every answer that waits for that shard until the last moment is
    // late for callers that did a look-up.
    void early_answers_reach_callers_while_a_shard_is_overloaded()
    {
        const double patient = mean_value_with_overloaded_shard(duration{0});
        const double early = mean_value_with_overloaded_shard(milliseconds{7});
        CPPUNIT_ASSERT_MESSAGE(std::to_string(patient) + " to " + std::to_string(early),
                               early > patient + 0.02);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(partial_answer_test);

} // namespace tanagerspur
