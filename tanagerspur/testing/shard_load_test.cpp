// Heavy loads and faults on simulated replicas: what callers get of them.

#include "tanagerspur/testing/shard_simulation.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tanagerspur::testing
{

class shard_load_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(shard_load_test);
    CPPUNIT_TEST(calm_load_is_answered_whole_and_in_time);
    CPPUNIT_TEST(replicas_that_refuse_are_avoided_while_others_have_room);
    CPPUNIT_TEST(replicas_that_lose_answers_are_avoided_while_others_have_room);
    CPPUNIT_TEST(full_shards_still_answer_in_time);
    CPPUNIT_TEST(slow_shards_are_no_reason_to_refuse);
    CPPUNIT_TEST_SUITE_END();

public:
    void calm_load_is_answered_whole_and_in_time()
    {
        shard_simulation world{{}};
        const load_outcome outcome = world.play(std::chrono::seconds{20});
        CPPUNIT_ASSERT(outcome.complete_share() >= 0.99);
        CPPUNIT_ASSERT(outcome.in_time_share() >= 0.99);
    }

    void replicas_that_refuse_are_avoided_while_others_have_room()
    {
        play_faults({.refuses = 0.5});
    }

    void replicas_that_lose_answers_are_avoided_while_others_have_room()
    {
        play_faults({.loses = 0.4});
        play_faults({.loses = 0.7});
    }

    // Three shards of fifteen are slowed until they carry nine tenths of their capacity, so that
    // queues make nearly every request late. The aim is that half of the callers are answered in
    // time all the same, and that hardly any request fails after shards have worked for it; the
    // users accept no more than 60 in 100 without an answer on any day.
    void full_shards_still_answer_in_time()
    {
        for (std::uint64_t seed = 1; seed <= 3; ++seed)
        {
            const load_outcome outcome = play_full_shards({}, seed);
            const load_outcome all_admitted = play_full_shards({.lateness = 1e6}, seed);
            const std::string seen = "seed " + std::to_string(seed) + ": " +
                                     std::to_string(outcome.in_time_share()) + " in time, " +
                                     std::to_string(all_admitted.in_time_share()) +
                                     " if all are admitted";
            CPPUNIT_ASSERT_MESSAGE(seen, outcome.in_time_share() >= 0.5);
            CPPUNIT_ASSERT_MESSAGE(seen, outcome.in_time > all_admitted.in_time);
            CPPUNIT_ASSERT(outcome.failed * 100 <= outcome.asked);
            CPPUNIT_ASSERT(outcome.unanswered_share() <= 0.6);
        }
    }

    // Two shards with room to spare take longer than the objective: answers are late, but come.
    void slow_shards_are_no_reason_to_refuse()
    {
        shard_simulation world{{.requests_per_second = 20}};
        for (const std::size_t shard : {3U, 7U})
            slow_down(world, shard, 16);
        const load_outcome outcome = world.play(std::chrono::seconds{8});
        CPPUNIT_ASSERT(outcome.answered_share() >= 0.99);
    }

private:
    static load_outcome play_full_shards(admission_options admission, std::uint64_t seed)
    {
        shard_simulation world{
            {.shards = 15, .requests_per_second = 180, .admission = admission, .seed = seed}};
        for (const std::size_t shard : {3U, 7U, 11U})
            slow_down(world, shard, 4);
        return world.play(std::chrono::seconds{8});
    }

    static void slow_down(shard_simulation& world, std::size_t shard, double factor)
    {
        for (std::size_t replica = 0; replica < 3; ++replica)
            world.set_fault(shard, replica, {.slowness = factor});
    }

    // Two of three replicas are at fault in every shard. The third one is sound and has room for
    // all requests, so 99 in 100 are to be answered, once the faults have been seen.
    static void play_faults(replica_fault fault)
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed)
        {
            shard_simulation world{{.pause = duration{0}, .seed = seed}};
            world.play(std::chrono::seconds{10});
            for (std::size_t shard = 0; shard < 10; ++shard)
                for (std::size_t replica = 0; replica < 2; ++replica)
                    world.set_fault(shard, replica, fault);
            const load_outcome outcome = world.play(std::chrono::seconds{10});
            const std::string seen = "seed " + std::to_string(seed) + ": " +
                                     std::to_string(outcome.answered_share()) + " answered, " +
                                     std::to_string(outcome.complete_share()) + " complete, " +
                                     std::to_string(outcome.extra_share) + " extra";
            CPPUNIT_ASSERT_MESSAGE(seen, outcome.answered_share() >= 0.99);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(shard_load_test);

} // namespace tanagerspur::testing
