#include "stand_ins/target_stand_in.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace tanagerspur::stand_ins
{

target_fleet::target_fleet(boost::asio::io_context& io, const manifest& described, endpoint control,
                           const target_options& defaults)
    : m_server(io, {.listen = std::move(control)}, *this)
{
    std::uint64_t seed = defaults.seed;
    for (const shard_key& key : described.shards())
        for (const replica& each : *described.find(key))
        {
            const std::string name = to_string(each.address);
            if (m_targets.contains(name))
                continue;
            target_options options = defaults;
            options.listen = each.address;
            options.limits = described.find(key.service)->limits;
            options.seed = seed++;
            m_targets.emplace(name, std::make_unique<target_stand_in>(io, options));
            m_service_of[name] = key.service.value();
        }
}

std::string target_fleet::start()
{
    for (auto& [name, target] : m_targets)
        if (std::string error = target->start(); !error.empty())
            return error;
    return m_server.start();
}

void target_fleet::handle(http_call call, std::uint64_t /*token*/, http_responder respond)
{
    if (call.path == "/counters")
        return respond({.body = boost::json::serialize(report())});
    if (call.path == "/faults" && call.method == "POST")
        return serve_faults(call, respond);
    if (call.path == "/runs")
    {
        const std::string wanted = call.parameters["request"];
        std::uint64_t runs = 0;
        for (const auto& [name, target] : m_targets)
            if (const auto found = target->runs().find(wanted); found != target->runs().end())
                runs += found->second;
        return respond({.body = boost::json::serialize(boost::json::object{{"runs", runs}})});
    }
    respond(error_reply(404, "no such path"));
}

// Applies the members of the body to the targets whose name starts with "target", or all.
void target_fleet::serve_faults(const http_call& call, const http_responder& respond)
{
    boost::json::error_code error;
    const auto parsed = boost::json::parse(*call.body, error);
    if (error || !parsed.is_object())
        return respond(error_reply(400, "a JSON object is expected"));
    const auto& wanted = parsed.as_object();
    const auto prefix = call.parameters.find("target");
    const auto service = call.parameters.find("service");
    for (auto& [name, target] : m_targets)
    {
        if (prefix != call.parameters.end() && !name.starts_with(prefix->second))
            continue;
        if (service != call.parameters.end() && m_service_of[name] != service->second)
            continue;
        target_faults& faults = target->faults();
        for (const auto& [key, value] : wanted)
        {
            if (key == "draining")
                faults.draining = value.as_bool();
            else if (key == "shedding")
                faults.shedding = value.as_bool();
            else if (key == "frozen_report")
                faults.frozen_report = value.as_bool();
            else if (key == "lose_answers")
                faults.lose_answers = value.as_bool();
            else if (key == "slow_factor")
                faults.slow_factor = value.to_number<double>();
            else if (key == "wrong_version")
                faults.wrong_version = value.as_int64();
            else if (key == "cold_s")
                target->start_cold(std::chrono::seconds{value.as_int64()});
            else if (key == "silence" && value.as_bool())
                target->silence_connections();
            else if (key == "versions")
            {
                std::vector<std::int64_t> versions;
                for (const auto& version : value.as_array())
                    versions.push_back(version.as_int64());
                target->set_versions(std::move(versions));
            }
        }
    }
    respond({.body = "{}"});
}

boost::json::object target_fleet::report() const
{
    boost::json::object targets;
    std::uint64_t over_limit = 0;
    std::uint64_t over_connections = 0;
    std::uint64_t started = 0;
    std::uint64_t repeated = 0;
    for (const auto& [name, target] : m_targets)
    {
        const auto each = target->report();
        const target_counters& counters = target->counters();
        started += counters.started;
        over_limit += counters.most_in_flight > each.at("in_flight_limit").to_number<std::size_t>();
        over_connections +=
            counters.most_connections >= each.at("max_connections").to_number<std::size_t>();
        for (const auto& [request, runs] : target->runs())
            repeated += runs - 1;
        targets[name] = each;
    }
    return {{"started", started},
            {"targets_over_in_flight_limit", over_limit},
            {"targets_at_connection_cap", over_connections},
            {"repeated_at_a_target", repeated},
            {"targets", std::move(targets)}};
}

} // namespace tanagerspur::stand_ins
