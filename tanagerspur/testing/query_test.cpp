// Property tests of the coordinator under results that are late, repeated, from the wrong shard or
// of the wrong version; and of the request ledger's guarantee against a simple model.

#include "tanagerspur/query/coordinator.hpp"
#include "tanagerspur/query/request_ledger.hpp"
#include "tanagerspur/testing/steps.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <set>

namespace tanagerspur
{

namespace
{

constexpr std::uint32_t shard_count = 5;

std::shared_ptr<const manifest> make_manifest()
{
    auto made = std::make_shared<manifest>();
    service desk{.id = service_id{"desk"}, .limits = {.extra_load_budget = 0.02}};
    for (const char* name : {"old", "new"})
        desk.layouts.push_back(
            {.id = layout_id{name},
             .shards = std::vector<std::vector<replica>>(shard_count, std::vector<replica>(1))});
    made->services.emplace(desk.id, desk);
    return made;
}

using testing::step;

class caller_model final : public query_actions
{
public:
    struct sent_sub_request
    {
        shard_key shard;
        sub_request request;
        bool is_cancelled = false;
        // The owner ran it, so the query must not be answered as not_run.
        bool has_run = false;
        bool has_ended = false;
        bool is_known_not_run = false;
    };

    caller_model()
        : m_coordinator({.max_queries = 50}, *this)
    {
        m_coordinator.set_manifest(make_manifest());
        for (std::uint32_t i = 0; i < shard_count; ++i)
            m_coordinator.catalog().update(m_now, key(i), {index_version{1}}, duration{0});
    }

    static shard_key key(std::uint32_t number, const char* layout = "old")
    {
        return {.service = service_id{"desk"},
                .layout = layout_id{layout},
                .number = shard_number{number}};
    }

    void send(const shard_key& shard, const sub_request& request) override
    {
        RC_ASSERT(request.deadline > m_now);
        if (!request.idempotent)
            for (const auto& [id, each] : m_sub_requests)
                RC_ASSERT(each.request.request != request.request || each.shard != shard ||
                          each.is_known_not_run);
        m_sub_requests[request.id.value()] = {.shard = shard, .request = request};
    }

    void cancel(const shard_key& shard, sub_request_id id) override
    {
        sent_sub_request& sub = m_sub_requests.at(id.value());
        RC_ASSERT(sub.shard == shard);
        sub.is_cancelled = true;
    }

    void complete(query_id id, const answer& made) override
    {
        RC_ASSERT(m_answers.emplace(id.value(), made).second);
        RC_ASSERT(m_now <= m_deadlines.at(id.value()));
        RC_ASSERT(made.request == request_id{std::to_string(id.value())});
        RC_ASSERT(made.rows.size() == made.shards_answered);
        RC_ASSERT(made.outcome == verdict::not_run ||
                  made.missing.size() + made.shards_answered == made.shards_expected);
        // In this test every row names the request, layout and version that it is from.
        std::set<std::string> shards;
        for (const auto& rows : made.rows)
        {
            const std::string origin = std::to_string(id.value()) + "/" + made.layout.value() +
                                       "/" + std::to_string(made.version.value()) + "/";
            RC_ASSERT(rows->starts_with(origin));
            RC_ASSERT(shards.insert(*rows).second);
        }
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
        case 5:
            return answer_sub_request(each);
        case 6:
            return advance(duration{each.first % 20'000});
        case 7:
            return update_versions(each);
        default:
            return abandon(each);
        }
    }

    void finish()
    {
        advance(std::chrono::seconds{2});
        for (const auto& [id, deadline] : m_deadlines)
        {
            RC_ASSERT(m_abandoned.contains(id) || m_answers.contains(id));
            if (!m_answers.contains(id) || m_answers.at(id).outcome != verdict::not_run)
                continue;
            for (const auto& [sub, each] : m_sub_requests)
                RC_ASSERT(each.request.request != request_id{std::to_string(id)} || !each.has_run);
        }
        RC_ASSERT(m_coordinator.queries_in_progress() == 0U);
    }

private:
    void submit(const step& each)
    {
        const query_id id{++m_next};
        m_deadlines[id.value()] = m_now + duration{each.first % 80'000};
        query submitted{.request = request_id{std::to_string(id.value())},
                        .service = service_id{"desk"},
                        .key = std::nullopt,
                        .body = nullptr,
                        .deadline = m_deadlines[id.value()],
                        .idempotent = each.second % 3 != 0};
        if (each.second % 4 == 0)
            submitted.key = std::to_string(each.second);
        m_coordinator.submit(m_now, id, submitted);
    }

    // Gives a result for one of the last 12 sub-requests: it may be late, repeated, or of a wrong
    // shard or version.
    void answer_sub_request(const step& each)
    {
        if (m_sub_requests.empty())
            return;
        auto found = m_sub_requests.begin();
        const std::size_t window = std::min<std::size_t>(m_sub_requests.size(), 12);
        std::advance(found, m_sub_requests.size() - 1 - each.first % window);
        sent_sub_request& sub = found->second;
        shard_key shard = sub.shard;
        index_version version = sub.request.version;
        if (each.second % 11 == 0)
            shard.number = shard_number{(shard.number.value() + 1) % shard_count};
        if (each.second % 13 == 0)
            version = index_version{version.value() + 1};
        const bool is_matching = shard == sub.shard && version == sub.request.version;
        sub_result result = make_result(each.second, sub, version);
        // An owner gives one result. It may be repeated, but not_run never comes with another one.
        if (sub.has_ended && (sub.is_known_not_run || result.outcome == verdict::not_run))
            return;
        if (is_matching)
        {
            sub.has_ended = true;
            sub.has_run = sub.has_run || result.outcome != verdict::not_run;
            sub.is_known_not_run = result.outcome == verdict::not_run;
        }
        else if (result.outcome != verdict::done)
            return;
        m_coordinator.on_result(m_now, shard, found->second.request.id, result);
    }

    sub_result make_result(std::uint32_t choice, const sent_sub_request& sub, index_version version)
    {
        static constexpr reason reasons[] = {reason::not_owner, reason::owner_unreachable,
                                             reason::overloaded, reason::version_unavailable};
        if (choice % 5 == 0)
            return {.outcome = verdict::not_run,
                    .why = reasons[choice / 5 % 4],
                    .version = sub.request.version,
                    .rows = {}};
        if (choice % 5 == 1)
            return {.outcome = verdict::may_have_run,
                    .why = choice % 2 == 0 ? reason::link_lost : reason::connection_lost,
                    .version = sub.request.version,
                    .rows = {}};
        const std::string rows = sub.request.request.value() + "/" + sub.shard.layout.value() +
                                 "/" + std::to_string(version.value()) + "/" +
                                 std::to_string(sub.shard.number.value());
        return {.outcome = verdict::done,
                .version = version,
                .rows = std::make_shared<const std::string>(rows)};
    }

    void advance(duration time)
    {
        const time_point end = m_now + time;
        while (m_now < end)
        {
            m_now = std::max(m_now, std::min(end, m_coordinator.next_timer()));
            m_coordinator.on_timer(m_now);
            RC_ASSERT(m_coordinator.next_timer() > m_now);
        }
    }

    void update_versions(const step& each)
    {
        const char* layout = each.first % 2 == 0 ? "old" : "new";
        const std::uint64_t version = 1 + each.second % 3;
        m_coordinator.catalog().update(m_now, key(each.first / 2 % shard_count, layout),
                                       {index_version{version}, index_version{version + 1}},
                                       duration{each.second % 30'000});
    }

    void abandon(const step& each)
    {
        if (m_next == 0)
            return;
        const std::uint64_t id = 1 + each.first % m_next;
        if (!m_answers.contains(id))
            m_abandoned.insert(id);
        m_coordinator.abandon(query_id{id});
    }

    time_point m_now{std::chrono::seconds{1}};
    std::uint64_t m_next = 0;
    std::map<std::uint64_t, sent_sub_request> m_sub_requests;
    std::map<std::uint64_t, answer> m_answers;
    std::map<std::uint64_t, time_point> m_deadlines;
    std::set<std::uint64_t> m_abandoned;
    coordinator m_coordinator;
};

} // namespace

class query_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(query_test);
    CPPUNIT_TEST(keeps_invariants_under_any_results);
    CPPUNIT_TEST(catalog_prefers_coverage_then_newest_version);
    CPPUNIT_TEST(ledger_allows_one_run_per_id);
    CPPUNIT_TEST_SUITE_END();

public:
    void keeps_invariants_under_any_results()
    {
        const bool holds =
            rc::check("coordinator",
                      []
                      {
                          const auto numbers = rc::gen::inRange<std::uint32_t>(0, 1'000'000);
                          const auto steps = *rc::gen::scale(
                              4.0, rc::gen::container<std::vector<step>>(rc::gen::build<step>(
                                       rc::gen::set(&step::kind, rc::gen::inRange(0, 9)),
                                       rc::gen::set(&step::first, numbers),
                                       rc::gen::set(&step::second, numbers))));
                          caller_model tested;
                          for (const step& each : steps)
                              tested.apply(each);
                          tested.finish();
                      });
        CPPUNIT_ASSERT(holds);
    }

    void catalog_prefers_coverage_then_newest_version()
    {
        const auto present = make_manifest();
        const service& desk = *present->find(service_id{"desk"});
        version_catalog catalog;
        const time_point now{std::chrono::seconds{1}};
        const auto set = [&](std::uint32_t shard, const std::vector<index_version>& versions)
        { catalog.update(now, caller_model::key(shard), versions, duration{0}); };
        CPPUNIT_ASSERT(!catalog.choose(desk));
        for (std::uint32_t i = 0; i < shard_count; ++i)
            set(i, {index_version{1}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, catalog.choose(desk)->version.value());
        // A newer version is not chosen while one shard lacks it.
        for (std::uint32_t i = 1; i < shard_count; ++i)
            set(i, {index_version{1}, index_version{2}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, catalog.choose(desk)->version.value());
        set(0, {index_version{2}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, catalog.choose(desk)->version.value());
        // A new layout is chosen once all of its shards serve the version.
        for (std::uint32_t i = 0; i + 1 < shard_count; ++i)
            catalog.update(now, caller_model::key(i, "new"), {index_version{3}}, duration{0});
        CPPUNIT_ASSERT_EQUAL(std::string{"old"}, catalog.choose(desk)->layout.value());
        catalog.update(now, caller_model::key(shard_count - 1, "new"), {index_version{3}},
                       duration{0});
        CPPUNIT_ASSERT_EQUAL(std::string{"new"}, catalog.choose(desk)->layout.value());
    }

    void ledger_allows_one_run_per_id()
    {
        const bool holds =
            rc::check("ledger",
                      []
                      {
                          request_ledger tested({.self = host_id{"h"},
                                                 .start = incarnation{7},
                                                 .validity = std::chrono::seconds{60}});
                          time_point now{std::chrono::seconds{1}};
                          std::vector<std::pair<request_id, time_point>> issued;
                          std::map<std::string, int> runs;
                          const auto choices =
                              *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1'000));
                          for (const int choice : choices)
                          {
                              now += duration{std::chrono::seconds{choice % 7}};
                              if (choice % 3 == 0 || issued.empty())
                                  issued.emplace_back(tested.issue(now), now);
                              const auto& [id, time] =
                                  issued[static_cast<std::size_t>(choice) % issued.size()];
                              const claim found = tested.take(now, id);
                              const bool is_within_validity =
                                  now - time <= std::chrono::seconds{60};
                              RC_ASSERT(!is_within_validity || found != claim::expired);
                              RC_ASSERT(found == claim::first || found == claim::running ||
                                        found == claim::finished || found == claim::expired);
                              if (found == claim::first)
                                  RC_ASSERT(++runs[id.value()] == 1);
                              else if (found != claim::expired)
                                  RC_ASSERT(runs[id.value()] == 1);
                              if (found == claim::first && choice % 5 == 0)
                                  tested.finish(id, 200, "answer");
                              // Known not to have run: the id may be used again.
                              if (found == claim::first && choice % 5 == 1)
                              {
                                  tested.release(id);
                                  --runs[id.value()];
                              }
                          }
                      });
        CPPUNIT_ASSERT(holds);
        request_ledger other({.self = host_id{"h"}, .start = incarnation{8}});
        const time_point now{std::chrono::seconds{1}};
        const auto take = [&](const char* id) { return other.take(now, request_id{id}); };
        CPPUNIT_ASSERT(take("h.7.1") == claim::lost);
        CPPUNIT_ASSERT(take("g.8.1") == claim::foreign);
        CPPUNIT_ASSERT(take("h.8.1") == claim::unknown);
        CPPUNIT_ASSERT(take("h.8.") == claim::unknown);
        CPPUNIT_ASSERT(take("") == claim::unknown);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(query_test);

} // namespace tanagerspur
