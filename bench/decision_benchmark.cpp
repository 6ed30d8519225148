// Cost of the decisions alone, on one core.

#include "tanagerspur/dispatch/shard_dispatcher.hpp"
#include "tanagerspur/ownership/capacity_rights.hpp"
#include "tanagerspur/query/coordinator.hpp"

#include <benchmark/benchmark.h>

namespace
{

using namespace tanagerspur;

service_limits make_limits()
{
    return {.slots = 3,
            .waiting = 1,
            .max_connections = 30,
            .connect_time = duration{0},
            .default_deadline = std::chrono::seconds{1},
            .max_deadline = std::chrono::seconds{1},
            .max_attempt_time = std::chrono::milliseconds{400},
            .queue_limit = 1'000,
            .extra_load_budget = 0.018};
}

shard_key make_key(std::uint32_t number)
{
    return {.service = service_id{"order-desk"},
            .layout = layout_id{"main"},
            .number = shard_number{number}};
}

struct last_attempt final : dispatch_actions
{
    void send(attempt_id attempt, std::size_t, const sub_request&, time_point) override
    {
        attempts.push_back(attempt);
    }
    void cancel(attempt_id, std::size_t) override {}
    void complete(sub_request_id, const sub_result&) override {}
    std::vector<attempt_id> attempts;
};

// One sub-request through the dispatcher, with six others under way.
void dispatch_sub_request(benchmark::State& state)
{
    last_attempt actions;
    shard_dispatcher tested({.limits = make_limits(), .replica_count = 3, .health = {}}, actions);
    time_point now{std::chrono::seconds{1}};
    tested.set_allowed_in_flight(now, 4);
    std::uint64_t id = 0;
    const auto rows = std::make_shared<const std::string>("[]");
    const auto submit = [&]
    {
        tested.submit(now, {.id = sub_request_id{++id},
                            .version = index_version{1},
                            .deadline = now + std::chrono::seconds{1}});
    };
    for (int i = 0; i < 6; ++i)
        submit();
    std::size_t oldest = 0;
    for (auto _ : state)
    {
        now += std::chrono::microseconds{800};
        submit();
        tested.on_result(now, actions.attempts[oldest++],
                         {.end = attempt_end::answered,
                          .message = {},
                          .version = index_version{1},
                          .rows = rows});
        benchmark::DoNotOptimize(tested.next_timer());
    }
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(dispatch_sub_request);

struct collected_subs final : query_actions
{
    void send(const shard_key& shard, const sub_request& request) override
    {
        sent.emplace_back(shard, request.id);
    }
    void cancel(const shard_key&, sub_request_id) override {}
    void complete(query_id, const answer&) override {}
    std::vector<std::pair<shard_key, sub_request_id>> sent;
};

// One query through the coordinator; items are its sub-requests.
void coordinate_query(benchmark::State& state)
{
    const auto shards = static_cast<std::uint32_t>(state.range(0));
    auto present = std::make_shared<manifest>();
    service desk{.id = service_id{"order-desk"}, .limits = make_limits(), .layouts = {}};
    desk.layouts.push_back(
        {.id = layout_id{"main"},
         .shards = std::vector<std::vector<replica>>(shards, std::vector<replica>(3))});
    present->services.emplace(desk.id, desk);
    collected_subs actions;
    coordinator tested({}, actions);
    tested.set_manifest(present);
    time_point now{std::chrono::seconds{1}};
    for (std::uint32_t i = 0; i < shards; ++i)
        tested.catalog().update(now, make_key(i), {index_version{1}}, duration{0});
    const auto rows = std::make_shared<const std::string>("[]");
    std::uint64_t id = 0;
    for (auto _ : state)
    {
        now += std::chrono::milliseconds{1};
        tested.submit(now, query_id{++id},
                      {.request = {},
                       .service = service_id{"order-desk"},
                       .key = std::nullopt,
                       .body = nullptr,
                       .deadline = now + std::chrono::seconds{1}});
        const auto sent = std::exchange(actions.sent, {});
        for (const auto& [shard, sub] : sent)
            tested.on_result(now, shard, sub,
                             {.outcome = verdict::done,
                              .message = {},
                              .version = index_version{1},
                              .rows = rows});
    }
    state.SetItemsProcessed(state.iterations() * shards);
}
BENCHMARK(coordinate_query)->Arg(10)->Arg(100)->Arg(2'000);

planner_input make_fleet(std::uint32_t hosts, std::uint32_t shards)
{
    planner_input input;
    for (std::uint32_t i = 0; i < shards; ++i)
        input.shards.push_back(make_key(i));
    for (std::uint32_t i = 0; i < hosts; ++i)
    {
        const host_id id{"host-" + std::to_string(10'000 + i)};
        input.candidates.push_back({.id = id, .zone = zone_id{"zone-" + std::to_string(i % 6)}});
        input.may_act.push_back(id);
    }
    return input;
}

// A host is lost: the planner's pass over the whole table.
void plan_after_loss(benchmark::State& state)
{
    const auto hosts = static_cast<std::uint32_t>(state.range(0));
    planner_input input = make_fleet(hosts, hosts * 3 / 2);
    const assignment_table table = *plan({}, input);
    input.candidates.pop_back();
    input.dead.push_back(input.may_act.back());
    input.may_act.pop_back();
    for (auto _ : state)
        benchmark::DoNotOptimize(plan(table, input));
}
BENCHMARK(plan_after_loss)->Arg(7)->Arg(70)->Arg(700)->Unit(benchmark::kMicrosecond);

// The table's text, as it is written to the store and read by every host.
void serialize_table(benchmark::State& state)
{
    const auto hosts = static_cast<std::uint32_t>(state.range(0));
    const assignment_table table = *plan({}, make_fleet(hosts, hosts * 3 / 2));
    std::size_t bytes = 0;
    for (auto _ : state)
    {
        const std::string text = serialize(table);
        bytes = text.size();
        benchmark::DoNotOptimize(parse_assignment(text));
    }
    state.counters["bytes"] = static_cast<double>(bytes);
    state.counters["rows"] = static_cast<double>(table.rows.size());
}
BENCHMARK(serialize_table)->Arg(7)->Arg(70)->Arg(700)->Unit(benchmark::kMicrosecond);

// The check of a right before a decision.
void check_share(benchmark::State& state)
{
    const auto hosts = static_cast<std::uint32_t>(state.range(0));
    const auto table =
        std::make_shared<assignment_table>(*plan({}, make_fleet(hosts, hosts * 3 / 2)));
    const host_id self = table->rows.begin()->second.owner;
    capacity_rights tested({.self = self});
    const time_point now{std::chrono::seconds{1}};
    tested.install(now, table);
    for (auto _ : state)
        benchmark::DoNotOptimize(tested.share(now, table->rows.begin()->first));
}
BENCHMARK(check_share)->Arg(7)->Arg(700);

} // namespace

BENCHMARK_MAIN();
