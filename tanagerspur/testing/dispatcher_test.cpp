// Property tests of shard_dispatcher: compares it with a simple model under generated schedules of
// submissions, results of every kind, losses, cancellations, load reports and changes of limits.

#include "tanagerspur/dispatch/shard_dispatcher.hpp"
#include "tanagerspur/testing/steps.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <set>

namespace tanagerspur
{

namespace
{

constexpr std::size_t replica_count = 3;
constexpr duration max_attempt_time = std::chrono::milliseconds{40};

service_limits test_limits()
{
    return {.slots = 2,
            .waiting = 1,
            .max_connections = 30,
            .connect_time = duration{0},
            .default_deadline = std::chrono::seconds{1},
            .max_deadline = std::chrono::seconds{1},
            .max_attempt_time = max_attempt_time,
            .queue_limit = 20,
            .extra_load_budget = 0.5};
}

using testing::step;

// Records everything that the dispatcher did and checks its guarantees.
class model final : public dispatch_actions
{
public:
    struct sent_attempt
    {
        std::uint64_t sub = 0;
        std::size_t replica = 0;
        time_point deadline;
        bool has_ended = false;
        // Lost before its deadline, so it occupies a slot of the replica until then.
        bool occupies_slot_until_deadline = false;
        attempt_end end = attempt_end::answered;
    };
    struct sub_state
    {
        sub_request request;
        bool is_cancelled = false;
        std::vector<sub_result> results;
        std::vector<std::uint64_t> attempts;
    };

    explicit model(std::uint32_t allowed)
        : m_dispatcher({.limits = test_limits(), .replica_count = replica_count, .health = {}},
                       *this)
    {
        set_allowed_in_flight(allowed);
    }

    void send(attempt_id attempt, std::size_t replica, const sub_request& request,
              time_point attempt_deadline) override
    {
        RC_ASSERT(attempt_deadline <= request.deadline);
        RC_ASSERT(attempt_deadline <= m_now + max_attempt_time);
        RC_ASSERT(m_now < request.deadline);
        RC_ASSERT(!m_draining.contains(replica));
        sub_state& sub = m_subs.at(request.id.value());
        RC_ASSERT(!sub.is_cancelled);
        RC_ASSERT(sub.results.empty());
        if (!request.idempotent)
            for (const std::uint64_t earlier : sub.attempts)
                RC_ASSERT(m_attempts.at(earlier).has_ended && is_known_not_run(earlier));
        sub.attempts.push_back(attempt.value());
        m_attempts[attempt.value()] = {
            .sub = request.id.value(), .replica = replica, .deadline = attempt_deadline};
        RC_ASSERT(in_flight(replica) <= std::min(m_allowed_in_flight, m_limits.in_flight_limit()));
    }

    void cancel(attempt_id attempt, std::size_t replica) override
    {
        RC_ASSERT(m_attempts.at(attempt.value()).replica == replica);
    }

    void complete(sub_request_id id, const sub_result& result) override
    {
        sub_state& sub = m_subs.at(id.value());
        RC_ASSERT(!sub.is_cancelled);
        RC_ASSERT(sub.results.empty());
        sub.results.push_back(result);
        if (result.outcome == verdict::done)
            RC_ASSERT(result.version == sub.request.version);
        if (result.outcome == verdict::not_run)
            for (const std::uint64_t attempt : sub.attempts)
                RC_ASSERT(m_attempts.at(attempt).has_ended && is_known_not_run(attempt));
    }

    void apply(const step& each)
    {
        switch (each.kind)
        {
        case 0:
        case 1:
            return submit(each);
        case 2:
        case 3:
        case 4:
            return end_attempt(each);
        case 5:
            return advance(duration{each.first % 30'000});
        case 6:
            return cancel_sub(each);
        case 7:
            return set_allowed_in_flight(each.first % 5);
        case 8:
            return report(each);
        default:
            return change_limits(each);
        }
    }

    // Ends all open attempts; each sub-request must then have had exactly one result.
    void finish()
    {
        m_draining.clear();
        set_allowed_in_flight(3);
        advance(std::chrono::seconds{2});
        for (auto& [id, each] : m_attempts)
            if (!each.has_ended)
                end(id, attempt_end::lost);
        advance(std::chrono::seconds{2});
        for (const auto& [id, sub] : m_subs)
            RC_ASSERT(sub.results.size() == (sub.is_cancelled ? 0U : 1U));
        RC_ASSERT(m_dispatcher.in_flight() == 0U);
        RC_ASSERT(m_dispatcher.queued() == 0U);
    }

private:
    bool is_known_not_run(std::uint64_t attempt) const
    {
        const attempt_end end = m_attempts.at(attempt).end;
        return end == attempt_end::refused || end == attempt_end::draining ||
               end == attempt_end::version_missing || end == attempt_end::not_connected;
    }

    std::uint32_t in_flight(std::size_t replica) const
    {
        std::uint32_t count = 0;
        for (const auto& [id, each] : m_attempts)
            if (each.replica == replica &&
                (!each.has_ended || (each.occupies_slot_until_deadline && each.deadline > m_now)))
                ++count;
        return count;
    }

    void submit(const step& each)
    {
        const std::uint64_t id = ++m_next_sub;
        sub_request request{.id = sub_request_id{id},
                            .version = index_version{1 + each.first % 2},
                            .deadline = m_now + duration{each.second % 100'000},
                            .idempotent = each.first % 3 != 0,
                            .request = {},
                            .body = nullptr};
        m_subs[id].request = request;
        m_dispatcher.submit(m_now, request);
    }

    void end_attempt(const step& each)
    {
        std::vector<std::uint64_t> open;
        for (const auto& [id, attempt] : m_attempts)
            if (!attempt.has_ended)
                open.push_back(id);
        if (open.empty())
            return;
        end(open[each.first % open.size()], static_cast<attempt_end>(each.second % 8));
    }

    void end(std::uint64_t id, attempt_end how)
    {
        sent_attempt& attempt = m_attempts.at(id);
        attempt.has_ended = true;
        attempt.end = how;
        attempt.occupies_slot_until_deadline = how == attempt_end::lost && attempt.deadline > m_now;
        if (how == attempt_end::draining)
            m_draining.insert(attempt.replica);
        const attempt_result result{.end = how,
                                    .message = "test",
                                    .version = m_subs.at(attempt.sub).request.version,
                                    .rows = std::make_shared<const std::string>("[]")};
        m_dispatcher.on_result(m_now, attempt_id{id}, result);
        // A second result of the same attempt must be ignored.
        m_dispatcher.on_result(m_now, attempt_id{id}, result);
    }

    // Advances the time from timer to timer. Every attempt ends at its deadline at the latest.
    void advance(duration step)
    {
        const time_point end_time = m_now + step;
        while (m_now < end_time)
        {
            time_point next = std::min(end_time, m_dispatcher.next_timer());
            for (const auto& [id, attempt] : m_attempts)
                if (!attempt.has_ended)
                    next = std::min(next, attempt.deadline);
            m_now = std::max(next, m_now);
            std::vector<std::uint64_t> due;
            for (const auto& [id, attempt] : m_attempts)
                if (!attempt.has_ended && attempt.deadline <= m_now)
                    due.push_back(id);
            for (const std::uint64_t id : due)
                end(id, attempt_end::lost);
            m_dispatcher.on_timer(m_now);
            RC_ASSERT(m_dispatcher.next_timer() > m_now);
        }
    }

    void cancel_sub(const step& each)
    {
        if (m_subs.empty())
            return;
        const std::uint64_t id = 1 + each.first % m_subs.size();
        if (m_subs.at(id).results.empty())
            m_subs.at(id).is_cancelled = true;
        m_dispatcher.cancel(m_now, sub_request_id{id});
    }

    void set_allowed_in_flight(std::uint32_t allowed)
    {
        m_allowed_in_flight = allowed;
        m_dispatcher.set_allowed_in_flight(m_now, allowed);
    }

    void report(const step& each)
    {
        const std::size_t replica = each.first % replica_count;
        const bool draining = each.second % 5 == 0;
        if (draining)
            m_draining.insert(replica);
        else
            m_draining.erase(replica);
        load_report made{.slots = 1 + each.second % 3, .draining = draining};
        for (std::uint64_t version = 1; version <= 2; ++version)
            if ((each.second >> version & 1U) == 0)
                made.versions.push_back(index_version{version});
        m_dispatcher.on_load_report(m_now, replica, made);
    }

    void change_limits(const step& each)
    {
        m_limits.slots = 1 + each.first % 3;
        m_dispatcher.set_limits(m_now, m_limits);
    }

    service_limits m_limits = test_limits();
    time_point m_now{std::chrono::seconds{1}};
    std::uint32_t m_allowed_in_flight = 0;
    std::uint64_t m_next_sub = 0;
    std::map<std::uint64_t, sub_state> m_subs;
    std::map<std::uint64_t, sent_attempt> m_attempts;
    std::set<std::size_t> m_draining;
    shard_dispatcher m_dispatcher;
};

} // namespace

class dispatcher_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(dispatcher_test);
    CPPUNIT_TEST(keeps_invariants_under_any_schedule);
    CPPUNIT_TEST(health_ejects_probes_and_ramps_up);
    CPPUNIT_TEST(hedges_onto_idle_slots_within_budget);
    CPPUNIT_TEST(reports_version_unavailable);
    CPPUNIT_TEST(tries_replicas_for_version_newer_than_reports);
    CPPUNIT_TEST_SUITE_END();

public:
    void keeps_invariants_under_any_schedule()
    {
        const bool holds =
            rc::check("dispatcher",
                      []
                      {
                          const auto numbers = rc::gen::inRange<std::uint32_t>(0, 1'000'000);
                          const auto steps = *rc::gen::scale(
                              4.0, rc::gen::container<std::vector<step>>(rc::gen::build<step>(
                                       rc::gen::set(&step::kind, rc::gen::inRange(0, 10)),
                                       rc::gen::set(&step::first, numbers),
                                       rc::gen::set(&step::second, numbers))));
                          model tested(3);
                          for (const step& each : steps)
                              tested.apply(each);
                          tested.finish();
                      });
        CPPUNIT_ASSERT(holds);
    }

    void health_ejects_probes_and_ramps_up()
    {
        replica_health health({});
        time_point now{std::chrono::seconds{1}};
        health.on_failure(now);
        health.on_failure(now);
        CPPUNIT_ASSERT(health.state(now) == health_state::active);
        health.on_failure(now);
        CPPUNIT_ASSERT(health.state(now) == health_state::ejected);
        CPPUNIT_ASSERT_EQUAL(0U, health.limit(now, 4));
        now += std::chrono::milliseconds{500};
        CPPUNIT_ASSERT(health.state(now) == health_state::probing);
        CPPUNIT_ASSERT_EQUAL(1U, health.limit(now, 4));
        health.on_failure(now);
        now += std::chrono::milliseconds{999};
        CPPUNIT_ASSERT(health.state(now) == health_state::ejected);
        now += std::chrono::milliseconds{1};
        for (int i = 0; i < 3; ++i)
        {
            CPPUNIT_ASSERT(health.state(now) == health_state::probing);
            health.on_success(now);
        }
        CPPUNIT_ASSERT(health.state(now) == health_state::active);
        CPPUNIT_ASSERT_EQUAL(1U, health.limit(now, 4));
        now += std::chrono::seconds{1};
        CPPUNIT_ASSERT_EQUAL(2U, health.limit(now, 4));
        now += std::chrono::seconds{1};
        CPPUNIT_ASSERT_EQUAL(4U, health.limit(now, 4));
    }

    void hedges_onto_idle_slots_within_budget()
    {
        struct counter final : dispatch_actions
        {
            void send(attempt_id attempt, std::size_t, const sub_request&, time_point) override
            {
                last = attempt;
                ++sent;
            }
            void cancel(attempt_id, std::size_t) override { ++cancelled; }
            void complete(sub_request_id, const sub_result&) override {}
            attempt_id last;
            int sent = 0;
            int cancelled = 0;
        };
        counter actions;
        shard_dispatcher tested(
            {.limits = test_limits(), .replica_count = replica_count, .health = {}}, actions);
        time_point now{std::chrono::seconds{1}};
        tested.set_allowed_in_flight(now, 3);
        constexpr std::uint64_t request_count = 1'000;
        for (std::uint64_t id = 1; id <= request_count; ++id)
        {
            const sub_request request{.id = sub_request_id{id},
                                      .version = index_version{1},
                                      .deadline = now + std::chrono::seconds{1}};
            tested.submit(now, request);
            const attempt_id first = actions.last;
            // Every tenth attempt is slow, so that more hedges are due than the budget allows.
            now += std::chrono::milliseconds{id % 10 == 0 ? 100 : 5};
            tested.on_timer(now);
            tested.on_result(now, actions.last,
                             {.end = attempt_end::answered, .version = index_version{1}});
            if (actions.last != first)
                tested.on_result(now, first, {.end = attempt_end::cancelled});
        }
        CPPUNIT_ASSERT(tested.counts().hedges > 10);
        CPPUNIT_ASSERT(tested.counts().hedges <= request_count * 45 / 100);
        CPPUNIT_ASSERT_EQUAL(tested.counts().first_attempts + tested.counts().hedges,
                             static_cast<std::uint64_t>(actions.sent));
        CPPUNIT_ASSERT_EQUAL(0U, tested.in_flight());
    }

    // Load reports lag behind a rollout, so a version newer than all reports must be tried: a
    // replica that lacks it refuses without running the request.
    void tries_replicas_for_version_newer_than_reports()
    {
        struct sent_replicas final : dispatch_actions
        {
            void send(attempt_id attempt, std::size_t replica, const sub_request&,
                      time_point) override
            {
                last = attempt;
                replicas.push_back(replica);
            }
            void cancel(attempt_id, std::size_t) override {}
            void complete(sub_request_id, const sub_result&) override {}
            attempt_id last;
            std::vector<std::size_t> replicas;
        };
        sent_replicas actions;
        shard_dispatcher tested(
            {.limits = test_limits(), .replica_count = replica_count, .health = {}}, actions);
        const time_point now{std::chrono::seconds{1}};
        tested.set_allowed_in_flight(now, 3);
        for (std::size_t i = 0; i < replica_count; ++i)
            tested.on_load_report(now, i, {.slots = 2, .versions = {index_version{1}}});
        const auto submit = [&](std::uint64_t id)
        {
            tested.submit(now, {.id = sub_request_id{id},
                                .version = index_version{2},
                                .deadline = now + std::chrono::seconds{1}});
        };
        submit(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.replicas.size());
        tested.on_result(now, actions.last,
                         {.end = attempt_end::answered, .version = index_version{2}});
        // Once one replica is known to hold the version, the others are not tried.
        tested.on_load_report(now, 2, {.slots = 2, .versions = {index_version{2}}});
        submit(2);
        submit(3);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, actions.replicas[1]);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, actions.replicas[2]);
    }

    // On this reason the entry host restarts the query on a version that is available.
    void reports_version_unavailable()
    {
        struct last_result final : dispatch_actions
        {
            void send(attempt_id, std::size_t, const sub_request&, time_point) override {}
            void cancel(attempt_id, std::size_t) override {}
            void complete(sub_request_id, const sub_result& made) override { result = made; }
            sub_result result;
        };
        last_result actions;
        shard_dispatcher tested(
            {.limits = test_limits(), .replica_count = replica_count, .health = {}}, actions);
        const time_point now{std::chrono::seconds{1}};
        tested.set_allowed_in_flight(now, 3);
        for (std::size_t i = 0; i < replica_count; ++i)
            tested.on_load_report(now, i, {.slots = 2, .versions = {index_version{2}}});
        tested.submit(now, {.id = sub_request_id{1},
                            .version = index_version{1},
                            .deadline = now + std::chrono::seconds{1}});
        CPPUNIT_ASSERT(actions.result.outcome == verdict::not_run);
        CPPUNIT_ASSERT(actions.result.why == reason::version_unavailable);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.result.versions.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatcher_test);

} // namespace tanagerspur
