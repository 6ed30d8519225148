// Tests which replicas may get work after draining, removals, restarts under the same id and
// outages of the store; and how estimates follow outcomes.

#include "tanagerspur/registry/replica_registry.hpp"
#include "tanagerspur/testing/steps.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <set>

namespace tanagerspur
{

namespace
{

constexpr duration grace = std::chrono::milliseconds{2'200};

time_point at_ms(std::int64_t ms)
{
    return time_point{std::chrono::milliseconds{1'000'000 + ms}};
}

replica_record make_record(const std::string& id, std::uint64_t started = 1)
{
    static std::uint64_t sequence = 0;
    return {.id = replica_id{id},
            .service = service_id{"desk"},
            .address = {.address = "127.0.0.1", .port = 9000},
            .zone = zone_id{"a"},
            .slots = 2,
            .started_ms = started,
            .sequence = ++sequence};
}

class recorder final : public registry_observer
{
public:
    void replica_added(const replica& added) override { m_present.insert(added.number); }
    void replica_entry_outdated(const replica_record& /*entry*/) override {}
    void replica_left(const replica& left, removal why) override
    {
        CPPUNIT_ASSERT(m_present.erase(left.number) == 1);
        m_last = why;
    }

    void replica_leaving(const replica& which) override
    {
        CPPUNIT_ASSERT(m_present.contains(which.number));
        ++m_leaving;
    }

    void replica_paused(const replica& /*which*/, duration /*pause*/) override { ++m_pauses; }
    void replica_limited(const replica& /*which*/, std::optional<request_rate> /*limit*/) override
    {
    }

    std::set<std::uint64_t> m_present;
    int m_leaving = 0;
    int m_pauses = 0;
    removal m_last = removal::removed;
};

} // namespace

class registry_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(registry_test);
    CPPUNIT_TEST(stops_using_draining_replica_immediately);
    CPPUNIT_TEST(leaving_incarnation_is_dropped_while_store_is_lost);
    CPPUNIT_TEST(leaving_incarnation_does_not_return_with_its_entry);
    CPPUNIT_TEST(late_answer_restricts_replica_whose_entry_was_written_again);
    CPPUNIT_TEST(replica_that_takes_no_requests_is_asked_again);
    CPPUNIT_TEST(drops_removed_replica_immediately_if_others_remain);
    CPPUNIT_TEST(keeps_last_replica_for_grace_period_only);
    CPPUNIT_TEST(brief_loss_of_store_does_not_extend_grace_period);
    CPPUNIT_TEST(keeps_missing_entries_for_grace_period_after_outage);
    CPPUNIT_TEST(restart_under_same_id_resets_estimate);
    CPPUNIT_TEST(ignores_late_write_of_earlier_incarnation);
    CPPUNIT_TEST(replica_that_left_does_not_return_with_copy_of_store);
    CPPUNIT_TEST(observer_matches_registry_under_any_schedule);
    CPPUNIT_TEST(detects_slow_replica_within_two_answers_and_recovers);
    CPPUNIT_TEST(reports_overdue_attempt_before_it_ends);
    CPPUNIT_TEST(backs_off_after_failed_connections);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_recorder = recorder{};
        m_registry.emplace(registry_options{.return_grace = grace}, m_recorder);
    }

    void stops_using_draining_replica_immediately()
    {
        m_registry->put(make_record("x"), at_ms(0));
        replica_record leaving = make_record("x");
        leaving.state = replica_state::draining;
        m_registry->store_lost(at_ms(1));
        m_registry->put(leaving, at_ms(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, usable());
        CPPUNIT_ASSERT(m_recorder.m_last == removal::draining);
    }

    void leaving_incarnation_is_dropped_while_store_is_lost()
    {
        m_registry->put(make_record("x"), at_ms(0));
        m_registry->store_lost(at_ms(1));
        const replica_ref x = m_registry->of_service(service_id{"desk"}).front();
        m_registry->heard(*x, {.is_leaving = true}, at_ms(10));
        // Later announcements of the same incarnation do not extend its time.
        m_registry->heard(*x, {.is_leaving = true}, at_ms(2'000));
        CPPUNIT_ASSERT_EQUAL(1, m_recorder.m_leaving);
        CPPUNIT_ASSERT(x->may_get_work(at_ms(2'509)) && !x->may_get_work(at_ms(2'510)));
        m_registry->tick(at_ms(2'510));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, usable());
        CPPUNIT_ASSERT(m_recorder.m_last == removal::leaving);
    }

    void leaving_incarnation_does_not_return_with_its_entry()
    {
        m_registry->put(make_record("x", 5), at_ms(0));
        const replica_ref first = m_registry->of_service(service_id{"desk"}).front();
        m_registry->heard(*first, {.is_leaving = true}, at_ms(0));
        m_registry->tick(at_ms(3'000));
        m_registry->put(make_record("x", 5), at_ms(3'001));
        // Its entry lapses while the store is unavailable, and is written again.
        m_registry->remove(replica_id{"x"}, at_ms(4'000));
        m_registry->replace_all({}, at_ms(4'001));
        m_registry->replace_all({make_record("x", 5)}, at_ms(5'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, usable());
        m_registry->put(make_record("x", 6), at_ms(6'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, usable());
        // An answer of the earlier incarnation that arrives late says nothing about the new one.
        m_registry->heard(*first, {.is_leaving = true}, at_ms(6'001));
        m_registry->tick(at_ms(20'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, usable());
    }

    void late_answer_restricts_replica_whose_entry_was_written_again()
    {
        m_registry->put(make_record("x"), at_ms(0));
        m_registry->put(make_record("y"), at_ms(0));
        const replica_ref before = m_registry->of_service(service_id{"desk"}).front();
        m_registry->remove(before->record.id, at_ms(10));
        m_registry->put(make_record(before->record.id.value()), at_ms(20));
        const replica_ref after = m_registry->of_service(service_id{"desk"}).back();
        CPPUNIT_ASSERT(after != before && after->record.id == before->record.id);
        m_registry->heard(*before, {.pause = std::chrono::seconds{1}}, at_ms(30));
        CPPUNIT_ASSERT(!after->may_get_work(at_ms(1'029)) && after->may_get_work(at_ms(1'030)));
        m_registry->heard(*before, {.limit = request_rate{1}}, at_ms(1'040));
        CPPUNIT_ASSERT(after->restrictions->limit().has_value());
        m_registry->heard(*before, {.is_leaving = true}, at_ms(1'050));
        CPPUNIT_ASSERT(after->is_leaving());
    }

    // One of six hosts, with steady requests: at most 5 in 4 s from all of them.
    void replica_that_takes_no_requests_is_asked_again()
    {
        m_registry->put(make_record("x"), at_ms(0));
        m_registry->set_limit_share(1.0 / 6, at_ms(0));
        const replica_ref x = m_registry->of_service(service_id{"desk"}).front();
        m_registry->heard(*x, {.limit = request_rate{0}}, at_ms(0));
        std::size_t sent = 0;
        for (std::int64_t ms = 0; ms < 60'000; ms += 20)
            if (x->may_get_work(at_ms(ms)))
            {
                x->restrictions->sent(at_ms(ms));
                ++sent;
            }
        CPPUNIT_ASSERT(sent >= 4 && sent <= 60 / 4 * 5 / 6);
        m_registry->heard(*x, {}, at_ms(60'000));
        CPPUNIT_ASSERT(x->may_get_work(at_ms(60'000)));
    }

    void drops_removed_replica_immediately_if_others_remain()
    {
        m_registry->put(make_record("x"), at_ms(0));
        m_registry->put(make_record("y"), at_ms(0));
        m_registry->remove(replica_id{"x"}, at_ms(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, usable());
    }

    void keeps_last_replica_for_grace_period_only()
    {
        m_registry->put(make_record("x"), at_ms(0));
        m_registry->remove(replica_id{"x"}, at_ms(1));
        m_registry->tick(at_ms(2'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, usable());
        // A second removal of the same entry does not extend the grace period.
        m_registry->remove(replica_id{"x"}, at_ms(2'100));
        m_registry->tick(at_ms(2'202));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, usable());
    }

    // The last replica of a service drains and its entry is removed; before its grace period ends,
    // the host changes the reader through which it follows the store.
    void brief_loss_of_store_does_not_extend_grace_period()
    {
        m_registry->put(make_record("x"), at_ms(0));
        m_registry->remove(replica_id{"x"}, at_ms(1));
        m_registry->store_lost(at_ms(2'100));
        m_registry->store_regained(at_ms(2'100));
        m_registry->tick(at_ms(2'202));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, usable());
        // An outage during which entries can lapse does extend it.
        m_registry->put(make_record("y"), at_ms(3'000));
        m_registry->remove(replica_id{"y"}, at_ms(3'001));
        m_registry->store_lost(at_ms(3'500));
        m_registry->store_regained(at_ms(5'500));
        m_registry->tick(at_ms(7'600));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, usable());
        m_registry->tick(at_ms(7'701));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, usable());
    }

    void keeps_missing_entries_for_grace_period_after_outage()
    {
        for (const char* id : {"x", "y", "z"})
            m_registry->put(make_record(id), at_ms(0));
        m_registry->store_lost(at_ms(100));
        m_registry->remove(replica_id{"x"}, at_ms(4'000));
        m_registry->store_regained(at_ms(5'000));
        m_registry->replace_all({make_record("z")}, at_ms(5'000));
        m_registry->tick(at_ms(7'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, usable());
        m_registry->put(make_record("y"), at_ms(7'100));
        m_registry->tick(at_ms(7'300));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, usable());
        CPPUNIT_ASSERT(m_recorder.m_last == removal::expired);
    }

    void restart_under_same_id_resets_estimate()
    {
        m_registry->put(make_record("x", 1), at_ms(0));
        const replica_ref before = m_registry->of_service(service_id{"desk"}).front();
        m_registry->put(make_record("x", 2), at_ms(10));
        const replica_ref after = m_registry->of_service(service_id{"desk"}).front();
        CPPUNIT_ASSERT(before->number != after->number);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, usable());
    }

    void ignores_late_write_of_earlier_incarnation()
    {
        m_registry->put(make_record("x", 5), at_ms(0));
        replica_record old = make_record("x", 4);
        old.state = replica_state::draining;
        m_registry->put(old, at_ms(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, usable());
    }

    void replica_that_left_does_not_return_with_copy_of_store()
    {
        const replica_record removed = make_record("x");
        const replica_record drained = make_record("y");
        const replica_record other = make_record("z");
        m_registry->replace_all({removed, drained, other}, at_ms(0));
        m_registry->remove(removed.id, at_ms(10));
        replica_record draining = make_record("y");
        draining.state = replica_state::draining;
        m_registry->put(draining, at_ms(20));
        m_registry->store_restored(at_ms(30));
        m_registry->replace_all({removed, drained, other}, at_ms(30));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, usable());
        // Whoever runs after all writes its entry again.
        m_registry->put(make_record("x"), at_ms(40));
        m_registry->put(make_record("y", 2), at_ms(40));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, usable());
    }

    void observer_matches_registry_under_any_schedule()
    {
        const bool holds = rc::check(
            []
            {
                recorder observer;
                replica_registry registry{{.return_grace = grace}, observer};
                std::int64_t now = 0;
                for (const testing::step& each : *testing::make_steps(6))
                {
                    now += each.second % 700;
                    apply_step(registry, each, at_ms(now));
                    RC_ASSERT(registry.of_service(service_id{"desk"}).size() ==
                              observer.m_present.size());
                    RC_ASSERT(registry.size() == observer.m_present.size());
                }
            });
        CPPUNIT_ASSERT(holds);
    }

    void detects_slow_replica_within_two_answers_and_recovers()
    {
        constexpr duration typical = std::chrono::milliseconds{8};
        replica_estimate slow;
        for (std::uint64_t i = 0; i < 2; ++i)
        {
            slow.attempt_sent(i, at_ms(0), typical, 2);
            slow.attempt_answered(i, at_ms(80), 10 * typical, typical);
        }
        CPPUNIT_ASSERT(slow.expected_latency_ratio(at_ms(80), 2) > 4);
        CPPUNIT_ASSERT(slow.expected_latency_ratio(at_ms(15'000), 2) < 1.1);
    }

    void reports_overdue_attempt_before_it_ends()
    {
        constexpr duration typical = std::chrono::milliseconds{8};
        replica_estimate paused;
        paused.attempt_sent(1, at_ms(0), typical, 2);
        CPPUNIT_ASSERT(paused.overdue(at_ms(10)) == duration{0});
        CPPUNIT_ASSERT(paused.overdue(at_ms(50)) == duration{std::chrono::milliseconds{34}});
        paused.attempt_abandoned(1, at_ms(60));
        CPPUNIT_ASSERT(paused.overdue(at_ms(61)) == duration{0});
        CPPUNIT_ASSERT(paused.expected_latency_ratio(at_ms(61), 2) > 2);
    }

    void backs_off_after_failed_connections()
    {
        replica_estimate unreachable;
        unreachable.connect_failed(at_ms(0));
        CPPUNIT_ASSERT(!unreachable.is_reachable(at_ms(99)));
        CPPUNIT_ASSERT(unreachable.is_reachable(at_ms(100)));
        unreachable.connect_failed(at_ms(100));
        CPPUNIT_ASSERT(!unreachable.is_reachable(at_ms(299)));
        unreachable.connected();
        unreachable.connect_failed(at_ms(400));
        CPPUNIT_ASSERT(unreachable.is_reachable(at_ms(500)));
    }

private:
    static void apply_step(replica_registry& registry, const testing::step& each, time_point now)
    {
        const std::string id = std::to_string(each.first % 5);
        replica_record record = make_record(id, each.second % 3);
        if (each.kind == 0)
            registry.put(record, now);
        else if (each.kind == 1)
        {
            record.state = replica_state::draining;
            registry.put(record, now);
        }
        else if (each.kind == 2)
            registry.remove(replica_id{id}, now);
        else if (each.kind == 3)
            registry.replace_all({record}, now);
        else if (each.kind == 4)
            registry.store_lost(now);
        else
            registry.store_regained(now);
        registry.tick(now);
    }

    std::size_t usable() const { return m_registry->of_service(service_id{"desk"}).size(); }

    recorder m_recorder;
    std::optional<replica_registry> m_registry;
};

CPPUNIT_TEST_SUITE_REGISTRATION(registry_test);

} // namespace tanagerspur
