// Checks the guarantees of the forwarder on virtual time, under generated schedules of requests,
// outcomes of every kind, cancelled requests and changing replicas; and its decisions one by one.

#include "tanagerspur/forwarding/forwarder.hpp"
#include "tanagerspur/forwarding/record_merge.hpp"
#include "tanagerspur/testing/steps.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <set>

namespace tanagerspur
{

namespace
{

constexpr std::size_t shard_count = 5;
constexpr std::size_t replicas_of_shard = 3;
constexpr double slack = 3;
constexpr double ratio = 0.17;
constexpr double limit_per_second = 20;

service_id shard(std::size_t number)
{
    return service_id{"shard-" + std::to_string(number)};
}

enum class route_kind
{
    scatter,
    idempotent,
    at_most_once
};

std::shared_ptr<const route_table> make_table()
{
    routing_configuration made{.version = configuration_version{1}};
    route scatter{.name = "scatter",
                  .host = "h",
                  .prefix = "/scatter/",
                  .is_idempotent = true,
                  .timeout = std::chrono::milliseconds{400},
                  .latency_objective = std::chrono::milliseconds{80},
                  .max_attempts = 2};
    scatter.scatter = scatter_rule{.top_records = 4, .min_coverage = 0.8};
    for (std::size_t i = 0; i < shard_count; ++i)
        scatter.scatter->shards.push_back(shard(i));
    route single = scatter;
    single.name = "single";
    single.prefix = "/single/";
    single.scatter.reset();
    single.services = {{.service = shard(0)}};
    route once = single;
    once.name = "once";
    once.prefix = "/once/";
    once.is_idempotent = false;
    made.routes = {scatter, single, once};
    return std::make_shared<const route_table>(std::move(made));
}

struct sent_attempt
{
    attempt_order order;
    bool is_over = false;
    time_point at;
};

// One request, with its attempts and answers.
struct request_trace
{
    route_kind kind = route_kind::scatter;
    time_point begun;
    bool is_cancelled = false;
    std::vector<caller_answer> answers;
    time_point answered;
    // By shard: replicas that it was sent to, and what came of it.
    std::map<service_id, std::vector<std::uint64_t>> attempts;
    std::set<std::string> parts;
};

// Simulates the network: records every attempt and checks the guarantees at each call.
class simulated_network final : public forwarder_environment, private registry_observer
{
public:
    // hedge_reserve: number of extra attempts that hedges may not use.
    explicit simulated_network(double hedge_reserve = 0.3)
        : m_registry({}, *this)
        , m_forwarder({.own_zone = zone_id{"a"},
                       .retries = {.ratio = ratio},
                       .hedge_reserve = hedge_reserve / slack},
                      m_registry, *this)
        , m_table(make_table())
    {
        m_forwarder.set_retry_slack(slack, m_now);
        m_now += std::chrono::seconds{10};
        for (std::size_t i = 0; i < shard_count; ++i)
            for (std::size_t j = 0; j < replicas_of_shard; ++j)
                m_registry.put(record_of(i, j, 1), m_now);
    }

    static replica_record record_of(std::size_t shard_number, std::size_t number,
                                    std::uint64_t started)
    {
        const std::string id = std::to_string(shard_number) + "-" + std::to_string(number);
        return {.id = replica_id{id},
                .service = shard(shard_number),
                .zone = zone_id{number == 0 ? "a" : "b"},
                .slots = 2,
                .started_ms = started};
    }

    std::uint64_t begin(route_kind kind, const std::string& fingerprint = "")
    {
        const std::uint64_t number = m_next_request++;
        static const std::array paths{"/scatter/x", "/single/x", "/once/x"};
        auto request = std::make_shared<caller_request>();
        request->id = request_id{std::to_string(number)};
        request->fingerprint = request_fingerprint{fingerprint};
        request->caller_timeout = std::chrono::milliseconds{300};
        m_traces[number] = {.kind = kind, .begun = m_now};
        const route* on = m_table->match("h", paths.at(static_cast<std::size_t>(kind)));
        for (std::size_t i = 0; i < (kind == route_kind::scatter ? shard_count : 1); ++i)
            m_request_times[shard(i)].push_back(m_now);
        m_forwarder.begin(exchange_id{number}, request, m_table, *on, m_now);
        return number;
    }

    void advance(duration by)
    {
        const time_point end = m_now + by;
        while (!m_wakes.empty())
        {
            const auto first = std::min_element(m_wakes.begin(), m_wakes.end(),
                                                [](const auto& left, const auto& right)
                                                { return left.second < right.second; });
            if (first->second > end)
                break;
            const exchange_id id{first->first};
            m_now = std::max(m_now, first->second);
            m_wakes.erase(first);
            m_forwarder.wake(id, m_now);
        }
        m_now = end;
    }

    // Ends the attempt; the part of a success holds one record that names its shard.
    void end(std::uint64_t number, attempt_result result, int status = 200)
    {
        attempt_outcome outcome{.result = result};
        if (result == attempt_result::answered)
        {
            outcome.answer.status = status;
            outcome.answer.body = std::string(record_bytes, static_cast<char>('a' + number % 26));
            outcome.answer.signature = std::to_string(number);
        }
        end(number, outcome);
    }

    void end(std::uint64_t number, const attempt_outcome& outcome)
    {
        if (std::exchange(m_sent.at(number).is_over, true))
            return;
        m_results[number] = outcome.result;
        if (outcome.result == attempt_result::answered || outcome.result == attempt_result::refused)
            record_notice(m_sent.at(number).order.to->record.id, outcome.notice);
        m_forwarder.attempt_ended(number, outcome, m_now);
    }

    // The replica refuses the attempt and announces one restriction, or none.
    void refuse(std::uint64_t number, std::uint32_t restriction)
    {
        attempt_outcome outcome{.result = attempt_result::refused};
        outcome.notice.is_leaving = restriction == 1;
        if (restriction == 2)
            outcome.notice.pause = std::chrono::milliseconds{200};
        if (restriction == 3)
            outcome.notice.limit = request_rate{limit_per_second};
        end(number, outcome);
    }

    void cancel_request(std::uint64_t request)
    {
        request_trace& trace = m_traces.at(request);
        if (!trace.answers.empty())
            return;
        trace.is_cancelled = true;
        m_forwarder.cancel(exchange_id{request}, m_now);
    }

    std::vector<std::uint64_t> open_attempts() const
    {
        std::vector<std::uint64_t> open;
        for (const auto& [number, sent] : m_sent)
            if (!sent.is_over)
                open.push_back(number);
        return open;
    }

    void send(const attempt_order& order) override
    {
        m_sent[order.number] = {.order = order};
        if (order.number % 7 == 0)
            m_connecting.insert(order.number);
        const std::uint64_t request = std::stoull(order.request->id.value());
        request_trace& trace = m_traces.at(request);
        RC_ASSERT(order.deadline <= trace.begun + std::chrono::milliseconds{300});
        auto& attempts = trace.attempts[order.to->record.service];
        check_repeat(trace, attempts);
        attempts.push_back(order.number);
        std::size_t counted = 0;
        for (const std::uint64_t each : attempts)
        {
            const auto known = m_results.find(each);
            counted += known == m_results.end() || known->second != attempt_result::not_sent;
        }
        RC_ASSERT(counted <= 2U);
        m_sent[order.number].at = m_now;
        check_budget(order.to->record.service);
        check_restrictions(order.to->record.id);
    }

    void abort_at(std::uint64_t attempt, time_point when) override
    {
        RC_ASSERT(when >= m_now);
        m_scheduled_aborts.insert(attempt);
    }
    void abort(std::uint64_t attempt) override { m_aborted.insert(attempt); }
    bool has_free_connection(const replica& at) override
    {
        const auto limit = m_max_in_flight.find(at.record.service);
        return limit == m_max_in_flight.end() || at.estimate.in_flight() < limit->second;
    }
    bool withdraw(std::uint64_t attempt) override
    {
        if (!m_connecting.contains(attempt) || m_sent.at(attempt).is_over)
            return false;
        m_sent.at(attempt).is_over = true;
        m_results[attempt] = attempt_result::not_sent;
        return true;
    }

    void answer(exchange_id exchange, caller_answer answer) override
    {
        request_trace& trace = m_traces.at(exchange.value());
        RC_ASSERT(trace.answers.empty());
        RC_ASSERT(!trace.is_cancelled);
        RC_ASSERT(m_now <= trace.begun + std::chrono::milliseconds{300});
        trace.answered = m_now;
        if (answer.status == 503)
            for (const auto& [service, attempts] : trace.attempts)
                for (const std::uint64_t each : attempts)
                    RC_ASSERT(did_not_run(each));
        if (trace.kind == route_kind::scatter && answer.status == 200)
            check_scatter(trace, answer);
        trace.answers.push_back(std::move(answer));
    }

    void on_suspect(const caller_request& /*request*/,
                    const std::vector<replica_incarnation>& lost_at) override
    {
        m_suspect_at = lost_at.size();
    }
    void on_cleared(const caller_request& /*request*/) override { ++m_cleared; }
    void on_attempt_event(const attempt_event& event) override
    {
        RC_ASSERT(event.request != nullptr && !event.result.empty());
    }

    void wake_at(exchange_id exchange, time_point when) override
    {
        m_wakes[exchange.value()] = when;
    }
    void on_exchange_finished(const exchange_summary& summary) override
    {
        m_wakes.erase(summary.id.value());
        m_last_cause = summary.cause;
        m_last_missing = summary.missing;
    }

    bool did_not_run(std::uint64_t attempt) const
    {
        const auto known = m_results.find(attempt);
        return known != m_results.end() && (known->second == attempt_result::not_sent ||
                                            known->second == attempt_result::refused);
    }

    // What a replica has announced about itself.
    struct announcements
    {
        time_point leaves_at = never;
        time_point paused_until{};
        // Since when it has named a limit; never if it names none.
        time_point limited_at = never;
        std::size_t sent_since = 0;
    };

    time_point m_now{std::chrono::seconds{100}};
    std::map<replica_id, announcements> m_announced;
    replica_registry m_registry;
    forwarder m_forwarder;
    std::shared_ptr<const route_table> m_table;
    std::map<std::uint64_t, sent_attempt> m_sent;
    std::map<std::uint64_t, attempt_result> m_results;
    std::map<std::uint64_t, request_trace> m_traces;
    std::map<std::uint64_t, time_point> m_wakes;
    // Maximum number of attempts in flight per replica of a service; unlimited by default.
    std::map<service_id, std::size_t> m_max_in_flight;
    std::set<std::uint64_t> m_aborted;
    // Attempts whose connections are still being opened.
    std::set<std::uint64_t> m_connecting;
    std::set<std::uint64_t> m_scheduled_aborts;
    std::uint64_t m_next_request = 1;
    std::map<service_id, std::vector<time_point>> m_request_times;
    // Cause and missing shards of the request that ended last.
    std::string m_last_cause;
    std::string m_last_missing;
    // Number of replicas at which the last suspect request was lost.
    std::size_t m_suspect_at = 0;
    std::size_t m_cleared = 0;

private:
    void replica_added(const replica&) override {}
    void replica_entry_outdated(const replica_record&) override {}
    void replica_left(const replica&, removal) override {}
    void replica_leaving(const replica&) override {}
    void replica_paused(const replica&, duration) override {}
    void replica_limited(const replica&, std::optional<request_rate>) override {}

    void check_repeat(const request_trace& trace, const std::vector<std::uint64_t>& before) const
    {
        if (trace.kind != route_kind::at_most_once)
            return;
        for (const std::uint64_t each : before)
            RC_ASSERT(did_not_run(each));
    }

    // Number of attempts of a request at a service beyond its first one, without those not sent.
    std::size_t extra_arrivals(const std::vector<std::uint64_t>& attempts, time_point begin) const
    {
        std::size_t arrived = 0;
        std::size_t extra = 0;
        for (const std::uint64_t each : attempts)
        {
            const auto end = m_results.find(each);
            if (end != m_results.end() && end->second == attempt_result::not_sent)
                continue;
            if (arrived++ > 0 && m_sent.at(each).at > begin)
                ++extra;
        }
        return extra;
    }

    void record_notice(const replica_id& id, const replica_notice& notice)
    {
        announcements& known = m_announced[id];
        if (notice.is_leaving)
            known.leaves_at = std::min(known.leaves_at, m_now + registry_options{}.leaving_grace);
        if (notice.pause)
            known.paused_until = std::max(known.paused_until, m_now + *notice.pause);
        if (!notice.limit)
            known.limited_at = never;
        else if (known.limited_at == never)
        {
            known.limited_at = m_now;
            known.sent_since = 0;
        }
    }

    // Checks that the replica accepts the attempt that was just sent to it.
    void check_restrictions(const replica_id& id)
    {
        const auto found = m_announced.find(id);
        if (found == m_announced.end())
            return;
        announcements& known = found->second;
        RC_ASSERT(m_now < known.leaves_at);
        RC_ASSERT(m_now >= known.paused_until);
        if (known.limited_at == never)
            return;
        const duration time = m_now - known.limited_at + request_rate_limiter::permit_lifetime;
        RC_ASSERT(++known.sent_since <=
                  limit_per_second * std::chrono::duration<double>{time}.count() + 1);
    }

    // Checks the number of extra attempts in the window that ends now.
    void check_budget(const service_id& service)
    {
        const time_point begin = m_now - std::chrono::seconds{10};
        const auto& request_times = m_request_times[service];
        const auto requests = std::count_if(request_times.begin(), request_times.end(),
                                            [begin](time_point each) { return each > begin; });
        std::size_t extra = 0;
        for (auto& [request, trace] : m_traces)
            extra += extra_arrivals(trace.attempts[service], begin);
        RC_ASSERT(static_cast<double>(extra) <= slack + ratio * static_cast<double>(requests));
    }

    void check_scatter(const request_trace& trace, const caller_answer& answer) const
    {
        const std::size_t parts = answer.part_signatures.size();
        RC_ASSERT(parts + *answer.missing_parts == shard_count);
        RC_ASSERT(static_cast<double>(parts) >= 0.8 * shard_count - 1e-9);
        std::set<service_id> services;
        std::vector<std::string> bodies;
        for (const std::string& signature : answer.part_signatures)
        {
            const std::uint64_t number = std::stoull(signature);
            const sent_attempt& sent = m_sent.at(number);
            RC_ASSERT(m_traces.at(std::stoull(sent.order.request->id.value())).begun ==
                      trace.begun);
            RC_ASSERT(services.insert(sent.order.to->record.service).second);
            bodies.emplace_back(record_bytes, static_cast<char>('a' + number % 26));
        }
        std::sort(bodies.begin(), bodies.end(), std::greater<>{});
        std::string expected;
        for (std::size_t i = 0; i < std::min<std::size_t>(4, bodies.size()); ++i)
            expected += bodies[i];
        RC_ASSERT(answer.body == expected);
    }
};

void apply_step(simulated_network& network, const testing::step& each)
{
    const std::vector<std::uint64_t> open = network.open_attempts();
    const std::uint64_t chosen = open.empty() ? 0 : open[each.first % open.size()];
    switch (each.kind)
    {
    case 0:
        network.begin(static_cast<route_kind>(each.first % 3));
        break;
    case 1:
    case 2:
        if (chosen != 0)
            network.end(chosen, attempt_result::answered, each.second % 5 == 0 ? 500 : 200);
        break;
    case 3:
        if (chosen != 0)
            network.end(chosen, static_cast<attempt_result>(each.second % 5));
        break;
    case 4:
        network.advance(std::chrono::milliseconds{each.second % 60});
        break;
    case 5:
        if (network.m_next_request > 1)
            network.cancel_request(1 + each.first % (network.m_next_request - 1));
        break;
    case 6:
        if (chosen != 0)
            network.refuse(chosen, each.second % 4);
        break;
    case 7:
        network.m_registry.remove(
            simulated_network::record_of(each.first % shard_count, each.second % 3, 1).id,
            network.m_now);
        break;
    default:
        network.m_registry.put(
            simulated_network::record_of(each.first % shard_count, each.second % 3, 1),
            network.m_now);
        break;
    }
}

} // namespace

class forwarder_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(forwarder_test);
    CPPUNIT_TEST(guarantees_hold_under_any_schedule);
    CPPUNIT_TEST(skips_shard_without_replicas_when_coverage_allows);
    CPPUNIT_TEST(refuses_request_without_replicas_immediately);
    CPPUNIT_TEST(sends_nothing_for_scatter_without_coverage);
    CPPUNIT_TEST(hedges_paused_replica_before_objective);
    CPPUNIT_TEST(sends_no_hedge_to_replica_with_limit);
    CPPUNIT_TEST(returns_partial_answer_by_objective);
    CPPUNIT_TEST(does_not_refuse_lost_request_that_may_have_run);
    CPPUNIT_TEST(refuses_unsent_request_at_deadline);
    CPPUNIT_TEST(answers_open_requests_on_shutdown);
    CPPUNIT_TEST(counts_attempts_by_service);
    CPPUNIT_TEST(aborts_only_idempotent_attempts_on_cancel);
    CPPUNIT_TEST(reserves_last_extra_attempts_for_retries);
    CPPUNIT_TEST(queues_burst_for_connections_by_priority);
    CPPUNIT_TEST(avoids_misdirected_replica);
    CPPUNIT_TEST(scatter_that_crashes_replicas_is_not_repeated);
    CPPUNIT_TEST(scatter_that_a_replica_answers_is_repeated_where_it_was_lost);
    CPPUNIT_TEST(scatter_that_no_shard_has_answered_is_not_hedged);
    CPPUNIT_TEST(hosts_are_warned_of_scatter_lost_at_two_replicas);
    CPPUNIT_TEST(merge_matches_full_sort);
    CPPUNIT_TEST_SUITE_END();

public:
    void guarantees_hold_under_any_schedule()
    {
        const bool holds = rc::check(
            []
            {
                simulated_network network;
                if (*rc::gen::arbitrary<bool>())
                    for (std::size_t i = 0; i < shard_count; ++i)
                        network.m_max_in_flight[shard(i)] = 1;
                for (const testing::step& each : *testing::make_steps(9))
                    apply_step(network, each);
                if (*rc::gen::arbitrary<bool>())
                    network.m_forwarder.expire_all(network.m_now);
                else
                    network.advance(std::chrono::seconds{1});
                for (const auto& [number, trace] : network.m_traces)
                    RC_ASSERT(trace.answers.size() == (trace.is_cancelled ? 0U : 1U));
                for (const std::uint64_t each : network.open_attempts())
                    network.end(each, attempt_result::answered);
                RC_ASSERT(network.m_forwarder.open_exchanges() == 0U);
                RC_ASSERT(network.m_forwarder.legs_waiting_for_connection() == 0U);
            });
        CPPUNIT_ASSERT(holds);
    }

    void scatter_that_crashes_replicas_is_not_repeated()
    {
        simulated_network network;
        const std::uint64_t request = network.begin(route_kind::scatter, "deadly");
        const std::uint64_t other = network.begin(route_kind::scatter, "deadly");
        const std::size_t sent = network.m_sent.size();
        for (const std::uint64_t each : network.open_attempts())
            if (std::stoull(network.m_sent.at(each).order.request->id.value()) == request)
                network.end(each, attempt_result::failed);
        CPPUNIT_ASSERT_EQUAL(sent, network.m_sent.size());
        CPPUNIT_ASSERT_EQUAL(502, network.m_traces[request].answers.at(0).status);
        CPPUNIT_ASSERT_EQUAL(std::string{cause_crashes_replicas}, network.m_last_cause);
        CPPUNIT_ASSERT_EQUAL(shard_count, network.m_suspect_at);
        network.m_forwarder.end_all(request_fingerprint{"deadly"}, network.m_now);
        CPPUNIT_ASSERT_EQUAL(502, network.m_traces[other].answers.at(0).status);
        // One attempt was not sent yet and is withdrawn.
        CPPUNIT_ASSERT_EQUAL(network.open_attempts().size(), network.m_aborted.size());
        CPPUNIT_ASSERT_EQUAL(shard_count - 1, network.m_aborted.size());
    }

    void scatter_that_a_replica_answers_is_repeated_where_it_was_lost()
    {
        simulated_network network;
        const std::uint64_t request = network.begin(route_kind::scatter, "harmless");
        const std::vector<std::uint64_t> first = network.open_attempts();
        for (std::size_t i = 0; i + 1 < first.size(); ++i)
            network.end(first[i], attempt_result::failed);
        CPPUNIT_ASSERT_EQUAL(first.size(), network.m_sent.size());
        network.end(first.back(), attempt_result::answered);
        CPPUNIT_ASSERT_EQUAL(2 * first.size() - 1, network.m_sent.size());
        for (const std::uint64_t each : network.open_attempts())
            network.end(each, attempt_result::answered);
        CPPUNIT_ASSERT_EQUAL(200, network.m_traces[request].answers.at(0).status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, network.m_cleared);
    }

    void scatter_that_no_shard_has_answered_is_not_hedged()
    {
        simulated_network network;
        network.begin(route_kind::scatter, "deadly");
        const std::vector<std::uint64_t> sent = network.open_attempts();
        network.advance(std::chrono::milliseconds{60});
        CPPUNIT_ASSERT_EQUAL(sent.size(), network.m_sent.size());
        network.end(sent[0], attempt_result::answered);
        network.advance(std::chrono::milliseconds{1});
        CPPUNIT_ASSERT_EQUAL(2 * sent.size() - 1, network.m_sent.size());
    }

    void hosts_are_warned_of_scatter_lost_at_two_replicas()
    {
        simulated_network network;
        network.begin(route_kind::scatter, "deadly");
        const std::vector<std::uint64_t> sent = network.open_attempts();
        network.end(sent[0], attempt_result::failed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, network.m_suspect_at);
        network.end(sent[1], attempt_result::failed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, network.m_suspect_at);
        CPPUNIT_ASSERT_EQUAL(sent.size() - 2, network.open_attempts().size());
    }

    void skips_shard_without_replicas_when_coverage_allows()
    {
        simulated_network network;
        lose_first_shard(network);
        const std::uint64_t request = network.begin(route_kind::scatter);
        for (const std::uint64_t each : network.open_attempts())
            network.end(each, attempt_result::answered);
        const caller_answer& answer = network.m_traces[request].answers.at(0);
        CPPUNIT_ASSERT_EQUAL(200, answer.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, *answer.missing_parts);
    }

    void refuses_request_without_replicas_immediately()
    {
        simulated_network network;
        lose_first_shard(network);
        const std::uint64_t request = network.begin(route_kind::at_most_once);
        const caller_answer& answer = network.m_traces[request].answers.at(0);
        CPPUNIT_ASSERT_EQUAL(503, answer.status);
        CPPUNIT_ASSERT(answer.retry_after.has_value());
    }

    // Guards against work on the other shards for a scatter that can't reach its coverage.
    void sends_nothing_for_scatter_without_coverage()
    {
        simulated_network network;
        for (std::size_t i = 0; i < 2; ++i)
            for (std::size_t j = 0; j < replicas_of_shard; ++j)
                network.m_registry.remove(simulated_network::record_of(i, j, 1).id, network.m_now);
        network.m_now += std::chrono::seconds{3};
        network.m_registry.tick(network.m_now);
        const std::uint64_t request = network.begin(route_kind::scatter);
        CPPUNIT_ASSERT(network.m_sent.empty());
        CPPUNIT_ASSERT_EQUAL(503, network.m_traces[request].answers.at(0).status);
        CPPUNIT_ASSERT(network.m_traces[request].answers.at(0).retry_after.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string{"no_replica"}, network.m_last_cause);
        CPPUNIT_ASSERT_EQUAL(std::string{"shard-0:no_replica,shard-1:no_replica"},
                             network.m_last_missing);
    }

    void sends_no_hedge_to_replica_with_limit()
    {
        simulated_network network;
        warm_up(network);
        for (const replica_ref& each : network.m_registry.of_service(shard(0)))
            network.m_registry.heard(*each, {.limit = request_rate{1'000}}, network.m_now);
        network.advance(std::chrono::milliseconds{10});
        network.begin(route_kind::idempotent);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, network.open_attempts().size());
        network.advance(std::chrono::milliseconds{40});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, network.open_attempts().size());
    }

    void hedges_paused_replica_before_objective()
    {
        simulated_network network;
        warm_up(network);
        const std::uint64_t request = network.begin(route_kind::idempotent);
        const std::uint64_t first = network.open_attempts().at(0);
        network.advance(std::chrono::milliseconds{40});
        const std::vector<std::uint64_t> open = network.open_attempts();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, open.size());
        const std::uint64_t second = open[0] == first ? open[1] : open[0];
        CPPUNIT_ASSERT(network.m_sent[first].order.to != network.m_sent[second].order.to);
        network.end(second, attempt_result::answered);
        CPPUNIT_ASSERT_EQUAL(200, network.m_traces[request].answers.at(0).status);
        CPPUNIT_ASSERT(network.m_scheduled_aborts.contains(first));
    }

    void returns_partial_answer_by_objective()
    {
        simulated_network network;
        const std::uint64_t request = network.begin(route_kind::scatter);
        const std::vector<std::uint64_t> open = network.open_attempts();
        for (std::size_t i = 0; i + 1 < open.size(); ++i)
            network.end(open[i], attempt_result::answered);
        CPPUNIT_ASSERT(network.m_traces[request].answers.empty());
        network.advance(std::chrono::milliseconds{81});
        const caller_answer& answer = network.m_traces[request].answers.at(0);
        CPPUNIT_ASSERT_EQUAL(200, answer.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, *answer.missing_parts);
        CPPUNIT_ASSERT(network.m_traces[request].answered - network.m_traces[request].begun <=
                       duration{std::chrono::milliseconds{80}});
    }

    void does_not_refuse_lost_request_that_may_have_run()
    {
        simulated_network network;
        const std::uint64_t request = network.begin(route_kind::at_most_once);
        network.end(network.open_attempts().at(0), attempt_result::failed);
        CPPUNIT_ASSERT_EQUAL(502, network.m_traces[request].answers.at(0).status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, network.m_sent.size());
    }

    void refuses_unsent_request_at_deadline()
    {
        simulated_network network;
        const std::uint64_t request = network.begin(route_kind::at_most_once);
        network.m_connecting.insert(network.open_attempts().at(0));
        network.advance(std::chrono::milliseconds{301});
        CPPUNIT_ASSERT_EQUAL(503, network.m_traces[request].answers.at(0).status);
        const std::uint64_t sent = network.begin(route_kind::at_most_once);
        network.advance(std::chrono::milliseconds{301});
        CPPUNIT_ASSERT_EQUAL(504, network.m_traces[sent].answers.at(0).status);
    }

    void answers_open_requests_on_shutdown()
    {
        simulated_network network;
        const std::uint64_t scatter = network.begin(route_kind::scatter);
        const std::vector<std::uint64_t> parts = network.open_attempts();
        for (std::size_t i = 0; i + 1 < parts.size(); ++i)
            network.end(parts[i], attempt_result::answered);
        const std::uint64_t sent = network.begin(route_kind::at_most_once);
        // This request waits for a connection, so nothing of it has been sent.
        network.m_max_in_flight[shard(0)] = 0;
        const std::uint64_t waiting = network.begin(route_kind::at_most_once);
        network.m_forwarder.expire_all(network.m_now);
        CPPUNIT_ASSERT_EQUAL(200, network.m_traces[scatter].answers.at(0).status);
        CPPUNIT_ASSERT_EQUAL(504, network.m_traces[sent].answers.at(0).status);
        CPPUNIT_ASSERT_EQUAL(503, network.m_traces[waiting].answers.at(0).status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, network.m_forwarder.open_exchanges());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, network.m_forwarder.legs_waiting_for_connection());
    }

    void counts_attempts_by_service()
    {
        simulated_network network;
        network.begin(route_kind::idempotent);
        network.end(network.open_attempts().at(0), attempt_result::refused);
        network.end(network.open_attempts().at(0), attempt_result::answered);
        network.begin(route_kind::at_most_once);
        network.end(network.open_attempts().at(0), attempt_result::answered, 500);
        const service_counters counts = network.m_forwarder.service_counts().at(shard(0));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, counts.sent);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, counts.extra);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, counts.refused);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, counts.succeeded);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, counts.failed);
        // Slack of 3, plus two requests at a ratio of 0.17, minus one extra attempt.
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.34, network.m_forwarder.budget_left(shard(0), network.m_now),
                                     1e-9);
    }

    void aborts_only_idempotent_attempts_on_cancel()
    {
        simulated_network network;
        const std::uint64_t once = network.begin(route_kind::at_most_once);
        const std::uint64_t kept = network.open_attempts().at(0);
        network.cancel_request(once);
        const std::uint64_t scatter = network.begin(route_kind::scatter);
        network.cancel_request(scatter);
        CPPUNIT_ASSERT(!network.m_aborted.contains(kept));
        CPPUNIT_ASSERT_EQUAL(shard_count, network.m_aborted.size());
    }

    void reserves_last_extra_attempts_for_retries()
    {
        // Four requests allow 3.68 extra attempts; the reserve is 0.8 of one.
        simulated_network network{0.8};
        for (int i = 0; i < 4; ++i)
            network.begin(route_kind::idempotent);
        network.advance(std::chrono::milliseconds{60});
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, network.m_sent.size());
        for (const std::uint64_t each : network.open_attempts())
            network.end(each, attempt_result::failed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{7}, network.m_sent.size());
    }

    // Eight requests arrive at the same time at a service that can process three at once.
    void queues_burst_for_connections_by_priority()
    {
        simulated_network network;
        network.m_max_in_flight[shard(0)] = 1;
        std::vector<std::uint64_t> requests;
        requests.reserve(12);
        for (int i = 0; i < 8; ++i)
            requests.push_back(network.begin(route_kind::at_most_once));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, network.open_attempts().size());
        for (int turn = 0; turn < 3; ++turn)
        {
            network.advance(std::chrono::milliseconds{8});
            for (const std::uint64_t each : network.open_attempts())
                network.end(each, attempt_result::answered);
        }
        for (const std::uint64_t each : requests)
            CPPUNIT_ASSERT_EQUAL(200, network.m_traces[each].answers.at(0).status);
        // A request that waits too long is refused early enough for the caller to use another host.
        for (int i = 0; i < 4; ++i)
            requests.push_back(network.begin(route_kind::at_most_once));
        network.advance(std::chrono::milliseconds{33});
        CPPUNIT_ASSERT_EQUAL(503, network.m_traces[requests.back()].answers.at(0).status);
    }

    void avoids_misdirected_replica()
    {
        simulated_network network;
        network.begin(route_kind::at_most_once);
        const std::uint64_t first = network.open_attempts().at(0);
        const replica_ref gone = network.m_sent[first].order.to;
        attempt_outcome misdirected{.result = attempt_result::refused};
        misdirected.is_misdirected = true;
        network.end(first, misdirected);
        for (int i = 0; i < 100; ++i)
        {
            network.begin(route_kind::at_most_once);
            for (const std::uint64_t each : network.open_attempts())
            {
                CPPUNIT_ASSERT(network.m_sent[each].order.to != gone);
                network.end(each, attempt_result::answered);
            }
            network.advance(std::chrono::milliseconds{50});
        }
    }

    void merge_matches_full_sort()
    {
        const bool holds = rc::check(
            []
            {
                const auto bodies = *rc::gen::container<std::vector<std::string>>(
                    rc::gen::container<std::string>(rc::gen::arbitrary<char>()));
                std::vector<std::string_view> parts;
                std::vector<std::vector<unsigned char>> records;
                for (const std::string& each : bodies)
                {
                    parts.emplace_back(each);
                    for (std::size_t at = 0; at + record_bytes <= each.size(); at += record_bytes)
                        records.emplace_back(each.begin() + static_cast<std::ptrdiff_t>(at),
                                             each.begin() +
                                                 static_cast<std::ptrdiff_t>(at + record_bytes));
                }
                const std::size_t count = *rc::gen::inRange<std::size_t>(0, 12);
                std::sort(records.begin(), records.end(), std::greater<>{});
                std::string expected;
                for (std::size_t i = 0; i < std::min(count, records.size()); ++i)
                    expected.append(records[i].begin(), records[i].end());
                RC_ASSERT(merge_greatest(parts, count) == expected);
            });
        CPPUNIT_ASSERT(holds);
    }

private:
    // Removes all replicas of the first shard, and waits for the grace period of the last one.
    static void lose_first_shard(simulated_network& network)
    {
        for (std::size_t j = 0; j < replicas_of_shard; ++j)
            network.m_registry.remove(simulated_network::record_of(0, j, 1).id, network.m_now);
        network.m_now += std::chrono::seconds{3};
        network.m_registry.tick(network.m_now);
    }

    // Plays enough normal answers to estimate the route's latency and to earn extra attempts.
    static void warm_up(simulated_network& network)
    {
        for (int i = 0; i < 200; ++i)
        {
            network.begin(route_kind::idempotent);
            network.advance(std::chrono::milliseconds{8});
            for (const std::uint64_t each : network.open_attempts())
                network.end(each, attempt_result::answered);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(forwarder_test);

} // namespace tanagerspur
