#include "tanagerspur/operations/load_generator.hpp"

#include "tanagerspur/host/caller_api.hpp"
#include "tanagerspur/net/http_connection.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/parse.hpp>
#include <boost/random/discrete_distribution.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>

#include <cstdio>
#include <iostream>
#include <sstream>

namespace tanagerspur
{

namespace
{

constexpr duration reply_grace = std::chrono::milliseconds{500};
constexpr duration connect_timeout = std::chrono::milliseconds{500};
constexpr std::size_t max_reply_bytes = std::size_t{16} * 1024 * 1024;

// Idle connections to one address.
using idle_connections = std::vector<std::shared_ptr<http_connection>>;

class load_generator
{
public:
    explicit load_generator(const load_options& options)
        : m_options(options)
        , m_random(options.seed)
        , m_arrival(m_io)
        , m_refresh(m_io)
        , m_progress(m_io)
    {
    }

    load_result run()
    {
        const std::int64_t before = read_attempts_at_targets();
        m_end = steady_now() + m_options.length;
        refresh_addresses();
        if (m_options.print_progress)
            show_progress();
        m_io.run();
        const std::int64_t after = read_attempts_at_targets();
        if (before >= 0 && after >= 0 && m_result.shards_expected > 0)
            m_result.extra_load = static_cast<double>(after - before) /
                                      static_cast<double>(m_result.shards_expected) -
                                  1;
        return std::move(m_result);
    }

private:
    struct address
    {
        endpoint where;
        double weight = 0;
    };

    void refresh_addresses(std::size_t failed_hosts = 0)
    {
        if (steady_now() >= m_end || failed_hosts >= m_options.hosts.size())
            return start_arrivals_once();
        const std::size_t host_index = (m_next_host + failed_hosts) % m_options.hosts.size();
        call_once(m_io, m_options.hosts[host_index], {.path = addresses_path}, connect_timeout,
                  [this, failed_hosts](const call_outcome& outcome)
                  {
                      if (outcome.stage != call_stage::answered || !read_addresses(outcome.reply))
                          return refresh_addresses(failed_hosts + 1);
                      m_next_host += failed_hosts + 1;
                      start_arrivals_once();
                  });
    }

    bool read_addresses(const http_reply& reply)
    {
        boost::json::error_code error;
        const auto parsed = boost::json::parse(reply.body, error);
        if (error || reply.status != 200)
            return false;
        m_addresses.clear();
        for (const auto& each : parsed.at("addresses").as_array())
            m_addresses.push_back({.where = {.address = std::string{each.at("address").as_string()},
                                             .port = each.at("port").to_number<std::uint16_t>()},
                                   .weight = each.at("weight").to_number<double>()});
        m_refresh.expires_after(std::chrono::seconds{parsed.at("keep_s").as_int64()});
        m_refresh.async_wait(
            [this](boost::system::error_code stopped)
            {
                if (!stopped)
                    refresh_addresses();
            });
        return !m_addresses.empty();
    }

    void start_arrivals_once()
    {
        if (m_has_started_arrivals)
            return;
        m_has_started_arrivals = true;
        m_next_arrival = steady_now();
        send_due_queries();
    }

    // Arrival times depend only on the seed, even if the event loop is late.
    void send_due_queries()
    {
        if (steady_now() >= m_end)
            return finish();
        boost::random::exponential_distribution<double> gap(m_options.rate);
        while (m_next_arrival <= steady_now())
        {
            send_query();
            m_next_arrival += duration{static_cast<duration::rep>(gap(m_random) * 1e6)};
        }
        m_arrival.expires_after(m_next_arrival - steady_now());
        m_arrival.async_wait([this](boost::system::error_code) { send_due_queries(); });
    }

    void finish()
    {
        m_refresh.cancel();
        m_progress.cancel();
    }

    void send_query()
    {
        ++m_result.sent;
        if (m_addresses.empty())
        {
            ++m_result.unanswered;
            return;
        }
        std::vector<double> weights;
        for (const address& each : m_addresses)
            weights.push_back(each.weight);
        std::vector<double> parts;
        for (const service_weight& each : m_options.mix)
            parts.push_back(each.relative_rate);
        boost::random::discrete_distribution<std::size_t> host(weights);
        boost::random::discrete_distribution<std::size_t> share(parts);
        const endpoint where = m_addresses[host(m_random)].where;
        http_call call{.method = "POST",
                       .path = search_path,
                       .body = std::make_shared<const std::string>("load")};
        call.parameters["service"] = m_options.mix[share(m_random)].service;
        call.fields["deadline-ms"] = std::to_string(m_options.deadline.count());
        send(where, std::move(call), steady_now());
    }

    void send(const endpoint& where, http_call call, time_point started)
    {
        idle_connections& idle = m_idle[where];
        while (!idle.empty())
        {
            auto connection = idle.back();
            idle.pop_back();
            if (connection->is_open())
                return send_on(connection, where, std::move(call), started);
        }
        auto connection = http_connection::make(m_io, where, max_reply_bytes);
        connection->open(
            connect_timeout,
            [this, connection, where, call = std::move(call), started](bool is_open) mutable
            {
                if (is_open)
                    return send_on(connection, where, std::move(call), started);
                ++m_result.unanswered;
            });
    }

    void send_on(const std::shared_ptr<http_connection>& connection, const endpoint& where,
                 http_call call, time_point started)
    {
        connection->send(std::move(call), m_options.deadline + reply_grace,
                         [this, connection, where, started](const call_outcome& outcome)
                         {
                             if (connection->is_open())
                                 m_idle[where].push_back(connection);
                             record(outcome, steady_now() - started);
                         });
    }

    void record(const call_outcome& outcome, duration latency)
    {
        if (outcome.stage != call_stage::answered)
        {
            ++m_result.unanswered;
            return;
        }
        boost::json::error_code error;
        const auto parsed = boost::json::parse(outcome.reply.body, error);
        const auto* answer = error ? nullptr : parsed.if_object();
        const auto* verdict = answer != nullptr ? answer->if_contains("verdict") : nullptr;
        if (verdict == nullptr)
        {
            ++m_result.unanswered;
            return;
        }
        ++m_result.verdicts[std::string{verdict->as_string()}];
        if (outcome.reply.status != 200)
            return;
        ++m_result.answered;
        m_result.latency.record(latency);
        record_coverage(answer->at("coverage").as_object());
    }

    void record_coverage(const boost::json::object& coverage)
    {
        m_result.shards_expected += coverage.at("expected").to_number<std::uint64_t>();
        m_result.shards_answered += coverage.at("answered").to_number<std::uint64_t>();
        ++(coverage.at("complete").as_bool() ? m_result.complete : m_result.partial);
        for (const auto& each : coverage.at("missing").as_array())
            ++m_result.missing_by_reason[std::string{each.at("reason").as_string()}];
    }

    void show_progress()
    {
        m_progress.expires_after(std::chrono::seconds{1});
        m_progress.async_wait(
            [this](boost::system::error_code stopped)
            {
                if (stopped)
                    return;
                std::cerr << "sent " << m_result.sent << ", answered " << m_result.answered
                          << ", partial " << m_result.partial << ", unanswered "
                          << m_result.unanswered << "\n";
                show_progress();
            });
    }

    std::int64_t read_attempts_at_targets() const
    {
        if (m_options.targets.port == 0)
            return -1;
        const call_outcome outcome =
            call_and_wait(m_options.targets, {.path = "/counters"}, std::chrono::seconds{2});
        boost::json::error_code error;
        const auto parsed = boost::json::parse(outcome.reply.body, error);
        return error ? -1 : parsed.at("started").to_number<std::int64_t>();
    }

    const load_options& m_options;
    boost::asio::io_context m_io;
    boost::random::mt19937_64 m_random;
    boost::asio::steady_timer m_arrival;
    boost::asio::steady_timer m_refresh;
    boost::asio::steady_timer m_progress;
    std::vector<address> m_addresses;
    std::map<endpoint, idle_connections> m_idle;
    std::size_t m_next_host = 0;
    bool m_has_started_arrivals = false;
    time_point m_next_arrival;
    time_point m_end;
    load_result m_result;
};

} // namespace

load_result run_load(const load_options& options)
{
    return load_generator(options).run();
}

boost::json::object to_json(const load_result& report)
{
    boost::json::object verdicts;
    for (const auto& [name, count] : report.verdicts)
        verdicts[name] = count;
    boost::json::object missing;
    for (const auto& [name, count] : report.missing_by_reason)
        missing[name] = count;
    const double coverage = report.shards_expected == 0
                                ? 0
                                : static_cast<double>(report.shards_answered) /
                                      static_cast<double>(report.shards_expected);
    return {{"sent", report.sent},
            {"answered", report.answered},
            {"complete", report.complete},
            {"partial", report.partial},
            {"unanswered", report.unanswered},
            {"coverage", coverage},
            {"p50_ms", to_ms(report.latency.quantile(0.5))},
            {"p99_ms", to_ms(report.latency.quantile(0.99))},
            {"p99.9_ms", to_ms(report.latency.quantile(0.999))},
            {"extra_load", report.extra_load},
            {"verdicts", std::move(verdicts)},
            {"missing_by_reason", std::move(missing)}};
}

std::string to_text(const load_result& report)
{
    std::ostringstream text;
    for (const auto& line : to_json(report))
        text << line.key() << ": " << line.value() << "\n";
    return text.str();
}

} // namespace tanagerspur
