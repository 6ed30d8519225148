#include "tanagerspur/testing/shard_simulation.hpp"

#include <cmath>
#include <set>

namespace tanagerspur::testing
{

namespace
{

constexpr duration one_way_latency = std::chrono::microseconds{500};
constexpr std::string_view path = "/search/";
// Sigma of the lognormal work, as on the users' replicas.
constexpr double work_spread = 0.35;
// One request in a hundred takes five times as long.
constexpr double straggler_share = 0.01;
constexpr double straggler_factor = 5;

std::shared_ptr<const route_table> make_table(const simulation_options& options)
{
    route on{.name = "search",
             .host = "h",
             .prefix = std::string{path},
             .is_idempotent = true,
             .timeout = options.timeout,
             .latency_objective = options.objective,
             .max_attempts = 2};
    on.scatter = scatter_rule{.top_records = 4, .min_coverage = options.min_coverage};
    for (std::size_t i = 0; i < options.shards; ++i)
        on.scatter->shards.push_back(service_id{"shard-" + std::to_string(i)});
    routing_configuration made{.version = configuration_version{1}};
    made.routes = {on};
    return std::make_shared<const route_table>(std::move(made));
}

} // namespace

// One host with its registry of replicas and its forwarder.
class shard_simulation::host final : public forwarder_environment, private registry_observer
{
public:
    host(shard_simulation& simulation, std::size_t number)
        : m_simulation(simulation)
        , m_registry({}, *this)
        , m_forwarder({.own_zone = zone_id{"zone-" + std::to_string(number % 3)},
                       .seed = simulation.m_options.seed + number,
                       .retries = {.ratio = simulation.m_options.retry_ratio},
                       .admission = simulation.m_options.admission,
                       .partial = simulation.m_options.partial},
                      m_registry, *this)
    {
        const simulation_options& options = simulation.m_options;
        for (std::size_t i = 0; i < options.shards * options.replicas_of_shard; ++i)
            m_registry.put(
                {.id = replica_id{std::to_string(i)},
                 .service = service_id{"shard-" + std::to_string(i / options.replicas_of_shard)},
                 .zone = zone_id{"zone-" + std::to_string(i % options.replicas_of_shard)},
                 .slots = options.slots,
                 .started_ms = 1},
                simulation.m_now);
        m_forwarder.set_retry_slack(options.retry_slack / static_cast<double>(options.hosts),
                                    simulation.m_now);
    }

    void begin()
    {
        auto request = std::make_shared<caller_request>();
        request->id = request_id{std::to_string(m_simulation.m_next_request)};
        request->lookup_time = m_simulation.m_options.lookup_time;
        if (m_simulation.m_options.lookup_share > 0 &&
            m_simulation.draw(m_simulation.m_options.lookup_share))
        {
            m_after_lookup.insert(m_simulation.m_next_request);
            ++m_simulation.m_outcome.requests_after_lookup;
        }
        m_forwarder.begin(exchange_id{m_simulation.m_next_request++}, request, m_simulation.m_table,
                          *m_simulation.m_table->match("h", path), m_simulation.m_now);
    }

    void deliver(std::uint64_t attempt, attempt_outcome outcome)
    {
        m_simulation.schedule(m_simulation.m_now + one_way_latency,
                              [this, attempt, outcome = std::move(outcome)]
                              {
                                  if (m_open_attempts.erase(attempt) > 0)
                                      m_forwarder.attempt_ended(attempt, outcome,
                                                                m_simulation.m_now);
                              });
    }

    // True if the host still waits for the attempt; replicas skip other queued attempts.
    bool is_open(std::uint64_t attempt) const { return m_open_attempts.contains(attempt); }

    void send(const attempt_order& order) override
    {
        m_open_attempts.insert(order.number);
        const std::size_t to = std::stoul(order.to->record.id.value());
        m_simulation.schedule(m_simulation.m_now + one_way_latency,
                              [this, to, attempt = order.number]
                              { m_simulation.arrive(to, {.from = this, .attempt = attempt}); });
        m_simulation.schedule(order.deadline, [this, attempt = order.number] { abort(attempt); });
    }

    void abort_at(std::uint64_t attempt, time_point end) override
    {
        m_simulation.schedule(end, [this, attempt] { abort(attempt); });
    }

    void abort(std::uint64_t attempt) override
    {
        if (m_open_attempts.contains(attempt))
            deliver(attempt, {.result = attempt_result::abandoned});
    }

    bool withdraw(std::uint64_t /*attempt*/) override { return false; }

    bool has_free_connection(const replica& at) override
    {
        return at.estimate.in_flight() < m_simulation.m_options.connections;
    }

    void answer(exchange_id exchange, caller_answer answer) override
    {
        if (exchange.value() < m_simulation.m_first_counted)
            return;
        load_outcome& outcome = m_simulation.m_outcome;
        if (answer.status == 503)
            ++outcome.refused;
        else if (answer.status != 200)
            ++outcome.failed;
    }

    void wake_at(exchange_id exchange, time_point when) override
    {
        m_simulation.schedule(when,
                              [this, exchange] { m_forwarder.wake(exchange, m_simulation.m_now); });
    }

    void on_exchange_finished(const exchange_summary& summary) override
    {
        if (summary.id.value() < m_simulation.m_first_counted)
            return;
        m_simulation.m_first_attempts += summary.attempts - summary.extra_attempts;
        m_simulation.m_extra_attempts += summary.extra_attempts;
        if (summary.status != 200)
            return;
        load_outcome& outcome = m_simulation.m_outcome;
        ++outcome.answered;
        outcome.complete += summary.parts == summary.expected_parts ? 1 : 0;
        const bool is_after_lookup = m_after_lookup.contains(summary.id.value());
        const duration spent = is_after_lookup ? m_simulation.m_options.lookup_time : duration{0};
        const bool is_in_time = summary.took + spent <= m_simulation.m_options.objective;
        outcome.in_time += is_in_time ? 1 : 0;
        outcome.in_time_after_lookup += is_in_time && is_after_lookup ? 1 : 0;
    }

    void on_suspect(const caller_request& /*request*/,
                    const std::vector<replica_incarnation>& /*lost_at*/) override
    {
    }
    void on_cleared(const caller_request& /*request*/) override {}
    void on_attempt_event(const attempt_event& /*note*/) override {}

private:
    void replica_added(const replica& /*added*/) override {}
    void replica_entry_outdated(const replica_record& /*entry*/) override {}
    void replica_left(const replica& /*left*/, removal /*why*/) override {}
    void replica_leaving(const replica& /*which*/) override {}
    void replica_paused(const replica& /*which*/, duration /*pause*/) override {}
    void replica_limited(const replica& /*which*/, std::optional<request_rate> /*limit*/) override
    {
    }

    shard_simulation& m_simulation;
    replica_registry m_registry;
    forwarder m_forwarder;
    std::set<std::uint64_t> m_open_attempts;
    // Numbers of the requests whose callers looked up addresses before.
    std::set<std::uint64_t> m_after_lookup;
};

shard_simulation::shard_simulation(simulation_options options)
    : m_options(options)
    , m_random(options.seed)
    , m_table(make_table(options))
    , m_replicas(options.shards * options.replicas_of_shard)
{
    for (std::size_t i = 0; i < options.hosts; ++i)
        m_hosts.push_back(std::make_unique<host>(*this, i));
}

shard_simulation::~shard_simulation() = default;

void shard_simulation::set_fault(std::size_t shard, std::size_t replica, replica_fault fault)
{
    m_replicas.at(shard * m_options.replicas_of_shard + replica).fault = fault;
}

load_outcome shard_simulation::run_load(duration time, duration warm_up_time)
{
    run_until(m_now + m_options.timeout);
    m_outcome = {};
    m_first_attempts = 0;
    m_extra_attempts = 0;
    const time_point begin = m_now + warm_up_time;
    const time_point end = begin + time;
    schedule(begin,
             [this]
             {
                 m_first_counted = m_next_request;
                 m_outcome = {};
             });
    std::exponential_distribution<> gap_s{m_options.requests_per_second};
    time_point next = m_now;
    while (next < end)
    {
        schedule(next,
                 [this]
                 {
                     ++m_outcome.requests;
                     m_hosts[m_random() % m_hosts.size()]->begin();
                 });
        next += duration{static_cast<duration::rep>(1e6 * gap_s(m_random))};
    }
    run_until(end + m_options.timeout);
    m_outcome.extra_share =
        static_cast<double>(m_extra_attempts) / static_cast<double>(m_first_attempts);
    return m_outcome;
}

void shard_simulation::schedule(time_point when, std::function<void()> what)
{
    m_events.emplace(when, std::move(what));
}

void shard_simulation::run_until(time_point end)
{
    while (!m_events.empty() && m_events.begin()->first <= end)
    {
        auto event = m_events.extract(m_events.begin());
        m_now = std::max(m_now, event.key());
        event.mapped()();
    }
    m_now = end;
}

bool shard_simulation::draw(double share)
{
    return std::uniform_real_distribution<>{}(m_random) < share;
}

duration shard_simulation::draw_work()
{
    const double mean = static_cast<double>(m_options.mean_work.count());
    std::lognormal_distribution<> work{std::log(mean) - work_spread * work_spread / 2, work_spread};
    const double factor = draw(straggler_share) ? straggler_factor : 1;
    return duration{static_cast<duration::rep>(factor * work(m_random))};
}

// The phase of a replica's pauses is derived from its number.
time_point shard_simulation::end_of_work(std::size_t number, duration work) const
{
    const duration phase = m_options.pause_period *
                           static_cast<int>(number * 7 % m_replicas.size()) /
                           static_cast<int>(m_replicas.size());
    const duration since_pause = (m_now.time_since_epoch() + phase) % m_options.pause_period;
    const duration left_of_pause = std::max(duration{0}, m_options.pause - since_pause);
    const duration next_pause = m_options.pause_period - since_pause;
    const duration busy = left_of_pause + work;
    return m_now + busy + (busy > next_pause ? m_options.pause : duration{0});
}

reported_load shard_simulation::load_of(std::size_t number) const
{
    const simulated_replica& of = m_replicas[number];
    return {.running = of.running,
            .waiting = static_cast<std::uint32_t>(of.queue.size()),
            .slots = m_options.slots};
}

void shard_simulation::arrive(std::size_t number, queued_attempt queued)
{
    simulated_replica& to = m_replicas[number];
    if (to.fault.is_unresponsive)
        return;
    if (draw(to.fault.refusal_share) || to.queue.size() >= m_options.queue_length)
        return queued.from->deliver(queued.attempt,
                                    {.result = attempt_result::refused, .load = load_of(number)});
    if (to.running < m_options.slots)
        return start(number, queued);
    to.queue.push_back(queued);
}

void shard_simulation::start(std::size_t number, queued_attempt queued)
{
    simulated_replica& by = m_replicas[number];
    ++by.running;
    const auto work = duration{
        static_cast<duration::rep>(by.fault.slowdown * static_cast<double>(draw_work().count()))};
    schedule(end_of_work(number, work), [this, number, queued] { end(number, queued); });
}

void shard_simulation::end(std::size_t number, const queued_attempt& queued)
{
    simulated_replica& by = m_replicas[number];
    --by.running;
    attempt_outcome outcome{.result = attempt_result::answered, .load = load_of(number)};
    outcome.answer.status = 200;
    outcome.answer.signature = std::to_string(queued.attempt);
    if (draw(by.fault.loss_share))
        outcome = {.result = attempt_result::failed};
    queued.from->deliver(queued.attempt, std::move(outcome));
    while (!by.queue.empty() && by.running < m_options.slots)
    {
        const queued_attempt next = by.queue.front();
        by.queue.pop_front();
        if (next.from->is_open(next.attempt))
            start(number, next);
    }
}

} // namespace tanagerspur::testing
