// Compares admission of scatters with a count of the shards that can answer, for all combinations
// of shard states.

#include "tanagerspur/forwarding/scatter_admission.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <array>

namespace tanagerspur
{

namespace
{

constexpr duration typical = std::chrono::milliseconds{10};
constexpr duration objective = std::chrono::milliseconds{80};
constexpr std::size_t shard_count = 4;

enum class shard_state
{
    idle,
    busy,
    unreachable,
    empty,
    count
};

time_point now()
{
    return time_point{std::chrono::seconds{100}};
}

replica_ref make_replica(std::uint32_t waiting, bool is_reachable)
{
    auto made = std::make_shared<replica>();
    made->record.slots = 2;
    made->estimate.load_reported({.running = 2, .waiting = waiting, .slots = 2}, now());
    if (!is_reachable)
        made->estimate.connect_failed(now());
    return made;
}

std::vector<replica_ref> make_shard(shard_state state)
{
    switch (state)
    {
    case shard_state::idle:
        return {make_replica(40, true), make_replica(0, true)};
    case shard_state::busy:
        return {make_replica(40, true), make_replica(30, true), make_replica(0, false)};
    case shard_state::unreachable:
        return {make_replica(0, false)};
    default:
        return {};
    }
}

} // namespace

class scatter_admission_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(scatter_admission_test);
    CPPUNIT_TEST(matches_reference_count_of_shards);
    CPPUNIT_TEST(rejects_scatter_that_cannot_meet_deadline);
    CPPUNIT_TEST(counts_shards_without_free_connection_as_overloaded);
    CPPUNIT_TEST(rejects_scatter_whose_replicas_want_no_requests);
    CPPUNIT_TEST_SUITE_END();

public:
    void matches_reference_count_of_shards()
    {
        constexpr std::size_t states = static_cast<std::size_t>(shard_state::count);
        for (std::size_t code = 0; code < states * states * states * states; ++code)
            for (std::size_t needed = 1; needed <= shard_count; ++needed)
                check(code, needed);
    }

    void rejects_scatter_that_cannot_meet_deadline()
    {
        const std::vector<replica_ref> shard = {make_replica(0, true)};
        shard[0]->estimate.attempt_sent(1, now(), typical, 2);
        admission_request wanted{.shards = {&shard},
                                 .typical = typical,
                                 .objective_left = objective,
                                 .time_left = std::chrono::milliseconds{400}};
        CPPUNIT_ASSERT(scatter_admission{}.decide(wanted, now()).outcome == admission::admitted);
        wanted.time_left = std::chrono::milliseconds{4};
        CPPUNIT_ASSERT(scatter_admission{}.decide(wanted, now()).outcome == admission::overloaded);
    }

    void rejects_scatter_whose_replicas_want_no_requests()
    {
        const std::vector<replica_ref> shard = {make_replica(0, true), make_replica(0, false)};
        const std::vector<replica_ref> others = {make_replica(0, true)};
        shard[0]->restrictions->pause(now() + std::chrono::milliseconds{1});
        const admission_request wanted{.shards = {&shard, &others},
                                       .needed = 2,
                                       .typical = typical,
                                       .objective_left = objective,
                                       .time_left = std::chrono::milliseconds{400}};
        const admission_verdict paused = scatter_admission{}.decide(wanted, now());
        CPPUNIT_ASSERT(paused.outcome == admission::overloaded);
        CPPUNIT_ASSERT(paused.shards[0] == shard_prospect::held_back);
        CPPUNIT_ASSERT(paused.shards[1] == shard_prospect::in_time);
        const time_point after = now() + std::chrono::milliseconds{1};
        CPPUNIT_ASSERT(scatter_admission{}.decide(wanted, after).outcome == admission::admitted);
    }

    void counts_shards_without_free_connection_as_overloaded()
    {
        const std::vector<replica_ref> shard = {make_replica(0, true)};
        for (std::size_t full = 0; full <= shard_count; ++full)
            for (std::size_t needed = 1; needed <= shard_count; ++needed)
            {
                admission_request wanted{.max_connection_wait = std::chrono::milliseconds{32},
                                         .needed = needed,
                                         .typical = typical,
                                         .objective_left = objective,
                                         .time_left = std::chrono::milliseconds{800}};
                for (std::size_t i = 0; i < shard_count; ++i)
                {
                    wanted.shards.push_back(&shard);
                    wanted.connection_waits.push_back(
                        std::chrono::milliseconds{i < full ? 17 : 16});
                }
                const admission_verdict verdict = scatter_admission{}.decide(wanted, now());
                const bool is_served = shard_count - full >= needed;
                CPPUNIT_ASSERT(verdict.outcome ==
                               (is_served ? admission::admitted : admission::overloaded));
                CPPUNIT_ASSERT(full == 0 ||
                               verdict.shards[0] == shard_prospect::no_free_connection);
            }
    }

private:
    static void check(std::size_t code, std::size_t needed)
    {
        std::vector<std::vector<replica_ref>> shards;
        std::size_t idle = 0;
        std::size_t busy = 0;
        for (std::size_t i = 0; i < shard_count; ++i, code /= 4)
        {
            const auto state = static_cast<shard_state>(code % 4);
            idle += state == shard_state::idle ? 1 : 0;
            busy += state == shard_state::busy ? 1 : 0;
            shards.push_back(make_shard(state));
        }
        admission_request wanted{.needed = needed,
                                 .typical = typical,
                                 .objective_left = objective,
                                 .time_left = std::chrono::milliseconds{800}};
        for (const auto& each : shards)
            wanted.shards.push_back(&each);
        const admission expected = idle >= needed          ? admission::admitted
                                   : idle + busy >= needed ? admission::overloaded
                                                           : admission::no_replica;
        CPPUNIT_ASSERT(scatter_admission{}.decide(wanted, now()).outcome == expected);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(scatter_admission_test);

} // namespace tanagerspur
