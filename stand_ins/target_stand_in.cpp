#include "stand_ins/target_stand_in.hpp"

#include <boost/json/serialize.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_01.hpp>

#include <algorithm>
#include <cmath>

namespace tanagerspur::stand_ins
{

namespace
{

constexpr double service_sigma = 0.5;
constexpr double straggler_factor = 10;
constexpr double cold_factor = 5;
constexpr std::string_view attempt_prefix = "/attempts/";

} // namespace

target_stand_in::target_stand_in(boost::asio::io_context& io, target_options options)
    : m_io(io)
    , m_options(std::move(options))
    , m_server(io,
               {.listen = m_options.listen,
                .max_connections = m_options.limits.max_connections,
                .max_connections_per_peer = m_options.limits.max_connections,
                .idle_timeout = std::chrono::seconds{3'600}},
               *this)
    , m_random(m_options.seed)
{
}

std::string target_stand_in::start()
{
    return m_server.start();
}

duration target_stand_in::on_accept()
{
    ++m_newest_connection;
    ++m_counters.connections_opened;
    m_counters.most_connections = std::max(m_counters.most_connections, ++m_connections);
    return m_options.limits.connect_time;
}

void target_stand_in::handle(http_call call, std::uint64_t token, http_responder respond)
{
    if (call.connection <= m_faults.silent_up_to)
        return;
    if (call.path == "/search" && call.method == "POST")
        return serve_search(call, token, respond);
    if (call.path == "/load" && call.method == "GET")
        return respond({.body = boost::json::serialize(load())});
    if (call.path.starts_with(attempt_prefix) && call.method == "DELETE")
        return serve_cancel(call.path.substr(attempt_prefix.size()), respond);
    respond(error_reply(404, "no such path"));
}

void target_stand_in::serve_search(const http_call& call, std::uint64_t token,
                                   const http_responder& respond)
{
    auto each = std::make_shared<work>();
    each->attempt = call.field("attempt-id");
    each->request = call.field("request-id");
    each->shard = call.field("shard");
    each->version = call.number_field("index-version").value_or(0);
    each->token = token;
    each->deadline = steady_now() + duration{call.number_field("deadline-us").value_or(0)};
    each->respond = respond;
    each->body = call.body;
    if (m_faults.draining)
        return refuse(respond, "draining");
    if (m_faults.shedding)
        return refuse(respond, "overloaded");
    const auto& versions = m_options.versions;
    if (std::find(versions.begin(), versions.end(), each->version) == versions.end())
        return refuse(respond, "version");
    const std::size_t in_flight = m_running.size() + m_waiting.size() + 1;
    m_counters.most_in_flight = std::max(m_counters.most_in_flight, in_flight);
    if (m_running.size() < m_options.limits.slots)
        return run(each);
    m_waiting.push_back(std::move(each));
}

void target_stand_in::refuse(const http_responder& respond, const std::string& why)
{
    ++m_counters.refused;
    http_reply reply = error_reply(503, why);
    reply.fields["Not-Run"] = why;
    std::string& held = reply.fields["Index-Versions"];
    for (const std::int64_t version : m_options.versions)
        held += (held.empty() ? "" : ",") + std::to_string(version);
    respond(reply);
}

void target_stand_in::run(const std::shared_ptr<work>& each)
{
    const time_point now = steady_now();
    if (each->deadline <= now)
    {
        ++m_counters.expired;
        return refuse(each->respond, "deadline");
    }
    ++m_counters.started;
    ++m_runs[each->request];
    m_running[each->token] = each;
    // The work stops at the deadline.
    const duration needed = std::min(service_time(), each->deadline - now);
    each->timer = std::make_shared<boost::asio::steady_timer>(m_io, needed);
    each->timer->async_wait(
        [this, each](boost::system::error_code error)
        {
            if (!error && m_running.contains(each->token))
                finish(each);
        });
}

void target_stand_in::finish(const std::shared_ptr<work>& each)
{
    m_running.erase(each->token);
    if (steady_now() >= each->deadline)
    {
        ++m_counters.expired;
        each->respond(error_reply(504, "the deadline passed while the request ran"));
    }
    else
    {
        ++m_counters.finished;
        if (!m_faults.lose_answers)
            each->respond(answer(*each));
    }
    start_waiting();
}

void target_stand_in::stop(const std::shared_ptr<work>& each)
{
    ++m_counters.cancelled;
    each->timer->cancel();
    m_running.erase(each->token);
    http_reply reply = error_reply(409, "cancelled");
    reply.fields["Cancelled"] = "true";
    each->respond(reply);
    start_waiting();
}

void target_stand_in::start_waiting()
{
    while (!m_waiting.empty() && m_running.size() < m_options.limits.slots)
    {
        auto next = std::move(m_waiting.front());
        m_waiting.pop_front();
        run(next);
    }
}

void target_stand_in::serve_cancel(const std::string& attempt, const http_responder& respond)
{
    respond({.status = 204});
    const auto running =
        std::find_if(m_running.begin(), m_running.end(),
                     [&](const auto& each) { return each.second->attempt == attempt; });
    if (running != m_running.end())
        return stop(std::shared_ptr<work>{running->second});
    const auto waiting = std::find_if(m_waiting.begin(), m_waiting.end(),
                                      [&](const auto& each) { return each->attempt == attempt; });
    if (waiting == m_waiting.end())
        return;
    refuse((*waiting)->respond, "cancelled");
    m_waiting.erase(waiting);
}

// A closed connection cancels its work, as a dead host's connections do.
void target_stand_in::abandoned(std::uint64_t token)
{
    const auto running = m_running.find(token);
    if (running != m_running.end())
        return stop(std::shared_ptr<work>{running->second});
    std::erase_if(m_waiting, [&](const auto& each) { return each->token == token; });
}

void target_stand_in::start_cold(duration length)
{
    m_faults.cold_begin = steady_now();
    m_faults.cold_end = m_faults.cold_begin + length;
}

duration target_stand_in::service_time()
{
    const double mean = static_cast<double>(m_options.mean_service.count());
    boost::random::lognormal_distribution<double> lognormal(
        std::log(mean) - service_sigma * service_sigma / 2, service_sigma);
    boost::random::uniform_01<double> uniform;
    double time = lognormal(m_random) * m_faults.slow_factor;
    if (uniform(m_random) < m_options.straggler_share)
        time *= straggler_factor;
    const time_point now = steady_now();
    if (now < m_faults.cold_end)
    {
        const duration whole = m_faults.cold_end - m_faults.cold_begin;
        const double left = std::chrono::duration<double>(m_faults.cold_end - now) / whole;
        time *= 1 + (cold_factor - 1) * left;
    }
    return duration{static_cast<duration::rep>(time)};
}

http_reply target_stand_in::answer(const work& each) const
{
    const std::int64_t version =
        m_faults.wrong_version != 0 ? m_faults.wrong_version : each.version;
    http_reply reply{.body = boost::json::serialize(
                         boost::json::array{boost::json::object{{"shard", each.shard},
                                                                {"version", version},
                                                                {"request", each.request},
                                                                {"found", *each.body}}})};
    reply.fields["Index-Version"] = std::to_string(version);
    return reply;
}

boost::json::object target_stand_in::load() const
{
    boost::json::array versions;
    for (const std::int64_t version : m_options.versions)
        versions.push_back(version);
    const bool is_frozen = m_faults.frozen_report;
    return {{"slots", m_options.limits.slots},
            {"running", is_frozen ? 0 : m_running.size()},
            {"waiting", is_frozen ? 0 : m_waiting.size()},
            {"draining", !is_frozen && m_faults.draining},
            {"versions", std::move(versions)}};
}

boost::json::object target_stand_in::report() const
{
    return {{"started", m_counters.started},
            {"finished", m_counters.finished},
            {"cancelled", m_counters.cancelled},
            {"refused", m_counters.refused},
            {"expired", m_counters.expired},
            {"most_in_flight", m_counters.most_in_flight},
            {"in_flight_limit", m_options.limits.in_flight_limit()},
            {"connections", m_connections},
            {"most_connections", m_counters.most_connections},
            {"max_connections", m_options.limits.max_connections},
            {"connections_opened", m_counters.connections_opened}};
}

} // namespace tanagerspur::stand_ins
