// What the gateway tells of itself: metrics and the dump of its state.

#include "tanagerspur/common/text.hpp"
#include "tanagerspur/gateway/gateway.hpp"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <algorithm>

namespace tanagerspur
{

std::string gateway::metrics() const
{
    const forwarder_counters& counts = m_forwarder.counters();
    const shared_store_calls calls = m_store.calls();
    std::string text;
    const auto add = [&text](std::string_view name, std::uint64_t value)
    { text.append("tanagerspur_").append(name).append(" ").append(std::to_string(value)) += '\n'; };
    add("requests_total", counts.begun);
    add("answers_total{outcome=\"complete\"}", counts.succeeded);
    add("answers_total{outcome=\"partial\"}", counts.partial);
    add("answers_total{outcome=\"refused\"}", counts.refused);
    add("answers_total{outcome=\"failed\"}", counts.failed);
    add("answers_total{outcome=\"timed_out\"}", counts.timed_out);
    add("answers_total{outcome=\"caller_left\"}", counts.left_by_caller);
    add("answers_total{outcome=\"no_route\"}", m_not_found);
    add("attempts_total", counts.attempts);
    add("attempts_extra_total{why=\"hedge\"}", counts.hedges);
    add("attempts_extra_total{why=\"retry\"}", counts.retries);
    add("attempts_denied_by_budget_total", counts.budget_denied);
    add("legs_waited_for_room_total", counts.waited_for_room);
    add("scatters_turned_away_total", counts.turned_away);
    add("legs_waiting_for_room", m_forwarder.waiting());
    add("requests_under_way", m_forwarder.under_way());
    add("replica_connections", m_pool.open_connections());
    add("replica_connections_opened_total", m_pool.counters().connections_opened);
    add("replica_connections_failed_total", m_pool.counters().connections_failed);
    add("replica_connections_lost_total", m_pool.counters().connections_lost);
    add("caller_connections", m_ingress.open_sessions());
    add("replicas", m_registry.size());
    add("hosts_ready", m_directory.ready_hosts());
    add("ready", is_ready() ? 1 : 0);
    add("store_connected", m_mirror.is_connected() ? 1 : 0);
    add("store_revision", m_mirror.as_of().value());
    add("configuration_version", m_table ? m_table->version().value() : 0);
    add("store_calls_total{kind=\"range\"}", calls.ranges);
    add("store_calls_total{kind=\"watch\"}", calls.watches);
    add("store_calls_total{kind=\"write\"}", calls.writes);
    add("store_calls_total{kind=\"renewal\"}", calls.renewals);
    add("store_calls_failed_total", calls.failures);
    add("relay_watches_total", m_store.counters().watches);
    add("relay_watches_failed_total", m_store.counters().failures);
    add("relay_fallbacks_total", m_store.counters().fallbacks);
    add("relay_followers", m_relay.waiting());
    add("timer_lateness_us", static_cast<std::uint64_t>(m_load.lateness().count()));
    add("busy", m_load.is_busy() ? 1 : 0);
    add("store_values_malformed_total", m_malformed);
    add("log_lines_left_out_total", m_log.left_out() + m_attempt_log.left_out());
    for (const auto& [service, counts] : m_forwarder.service_counts())
    {
        const std::string label = "{service=\"" + escape_label(service.value()) + "\"";
        add("service_attempts_total" + label + "}", counts.sent);
        add("service_attempts_extra_total" + label + "}", counts.extra);
        add("service_attempts_ended_total" + label + ",outcome=\"succeeded\"}", counts.succeeded);
        add("service_attempts_ended_total" + label + ",outcome=\"refused\"}", counts.refused);
        add("service_attempts_ended_total" + label + ",outcome=\"failed\"}", counts.failed);
        add("service_budget_left" + label + "}",
            static_cast<std::uint64_t>(
                std::max(0.0, m_forwarder.budget_left(service, boot_now()))));
    }
    for (const auto& [name, histogram] :
         {std::pair{"complete", &m_success_latency}, std::pair{"other", &m_other_latency}})
        for (const auto& [label, fraction] :
             {std::pair{"0.5", 0.5}, std::pair{"0.9", 0.9}, std::pair{"0.99", 0.99}})
            add(std::string{"answer_latency_us{outcome=\""} + name + "\",quantile=\"" + label +
                    "\"}",
                static_cast<std::uint64_t>(histogram->quantile(fraction).count()));
    return text;
}

std::string gateway::dump() const
{
    const time_point now = boot_now();
    boost::json::array services;
    if (m_table != nullptr)
        for (const auto& [service, rule] : m_table->configuration().services)
        {
            boost::json::array replicas;
            for (const replica_ref& each : m_registry.of_service(service))
                replicas.push_back(boost::json::object{
                    {"id", each->record.id.value()},
                    {"address", to_string(each->record.address)},
                    {"zone", each->record.zone.value()},
                    {"expected_ratio", each->estimate.expected_ratio(now, each->record.slots)},
                    {"failure_share", each->estimate.failure_share(now)},
                    {"in_flight", each->estimate.in_flight()},
                    {"is_reachable", each->estimate.is_reachable(now)}});
            services.push_back(
                boost::json::object{{"service", service.value()}, {"replicas", replicas}});
        }
    return boost::json::serialize(boost::json::object{
               {"host", m_settings.id.value()},
               {"is_ready", is_ready()},
               {"is_stopping", m_is_stopping},
               {"uptime_ms", (now - m_started).count() / 1000},
               {"configuration_version", m_table ? m_table->version().value() : 0},
               {"store_connected", m_mirror.is_connected()},
               {"store_revision", m_mirror.as_of().value()},
               {"known_hosts", m_directory.known_hosts()},
               {"ready_hosts", m_directory.ready_hosts()},
               {"under_way", m_forwarder.under_way()},
               {"services", services}}) +
           "\n";
}

} // namespace tanagerspur
