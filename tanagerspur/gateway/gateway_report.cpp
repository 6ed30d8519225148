// Metrics of the gateway and the dump of its state.

#include "tanagerspur/gateway/gateway.hpp"
#include "tanagerspur/gateway/metrics_text.hpp"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <cmath>

namespace tanagerspur
{

namespace
{

boost::json::value limit_of(const replica& of)
{
    const std::optional<request_rate> limit = of.restrictions->limit();
    return limit ? boost::json::value{limit->per_second} : boost::json::value{};
}

} // namespace

std::string gateway::metrics() const
{
    metrics_text text;
    report_requests(text);
    report_services(text);
    report_state(text);
    report_store(text);
    report_latencies(text);
    return text.take();
}

void gateway::report_requests(metrics_text& text) const
{
    const forwarder_counters& counts = m_forwarder.counters();
    const auto add_answers = [&text](std::string_view outcome, std::uint64_t count) {
        text.add("answers_total", {{"outcome", outcome}}, count);
    };
    text.add("requests_total", counts.begun);
    add_answers("complete", counts.succeeded);
    add_answers("partial", counts.partial);
    add_answers("refused", counts.refused);
    add_answers("failed", counts.failed);
    add_answers("timed_out", counts.timed_out);
    add_answers("caller_left", counts.cancelled_by_caller);
    add_answers("no_route", m_requests_without_route);
    text.add("attempts_total", counts.attempts);
    text.add("attempts_extra_total", {{"why", "hedge"}}, counts.hedges);
    text.add("attempts_extra_total", {{"why", "retry"}}, counts.retries);
    text.add("attempts_denied_by_budget_total", counts.budget_denied);
    text.add("scatters_turned_away_total", counts.rejected_by_admission);
    text.add("legs_held_back_total", counts.held_back);
    text.add("legs_waited_for_room_total", counts.waited_for_connection);
    text.add("legs_waiting_for_room", m_forwarder.legs_waiting_for_connection());
    text.add("requests_under_way", m_forwarder.open_exchanges());
}

void gateway::report_services(metrics_text& text) const
{
    const time_point now = boot_now();
    for (const auto& [id, counts] : m_forwarder.service_counts())
    {
        const metric_label service{.name = "service", .value = id.value()};
        const auto add_ended = [&](std::string_view outcome, std::uint64_t count) {
            text.add("service_attempts_ended_total", {service, {"outcome", outcome}}, count);
        };
        text.add("service_attempts_total", {service}, counts.sent);
        text.add("service_attempts_extra_total", {service}, counts.extra);
        add_ended("succeeded", counts.succeeded);
        add_ended("refused", counts.refused);
        add_ended("failed", counts.failed);
        const double left = std::max(0.0, m_forwarder.budget_left(id, now));
        text.add("service_budget_left", {service}, static_cast<std::uint64_t>(left));
    }
}

void gateway::report_state(metrics_text& text) const
{
    text.add("replica_connections", m_pool.open_connections());
    text.add("replica_connections_opened_total", m_pool.counters().connections_opened);
    text.add("replica_connections_failed_total", m_pool.counters().connections_failed);
    text.add("replica_connections_lost_total", m_pool.counters().connections_lost);
    text.add("unfinished_answer_bytes", m_pool.buffered_bytes());
    text.add("caller_connections", m_ingress.open_sessions());
    text.add("replicas", m_registry.size());
    text.add("replicas_leaving_total", m_replicas_leaving);
    text.add("replica_entries_outdated_total", m_outdated_entries);
    text.add("replica_pauses_total", m_replica_pauses);
    text.add("replicas_limited", m_registry.limited());
    text.add("limit_share_thousandths",
             static_cast<std::uint64_t>(std::lround(1'000 * m_registry.limit_share())));
    text.add("hosts_ready", m_directory.ready_hosts());
    text.add("hosts_watched", m_host_monitor.watched());
    text.add("hosts_unreachable", m_host_monitor.unreachable());
    text.add("hosts_lost_total", m_hosts_lost);
    text.add("ready", is_ready() ? 1 : 0);
    text.add("configuration_version", m_table ? m_table->version().value() : 0);
    text.add("timer_lateness_us",
             static_cast<std::uint64_t>(m_overload_detector.lateness().count()));
    text.add("busy", m_overload_detector.is_busy() ? 1 : 0);
    text.add("load_thousandths", m_cpu_load.load());
    text.add("listed", m_is_registered ? 1 : 0);
    text.add("log_lines_left_out_total", m_log.left_out() + m_attempt_log.left_out());
}

void gateway::report_store(metrics_text& text) const
{
    const shared_store_calls calls = m_store.calls();
    text.add("store_connected", m_mirror.is_connected() ? 1 : 0);
    text.add("store_era", m_mirror.as_of().era.value());
    text.add("store_revision", m_mirror.as_of().revision.value());
    text.add("store_restores_total", m_store_restores);
    text.add("store_calls_total", {{"kind", "range"}}, calls.ranges);
    text.add("store_calls_total", {{"kind", "watch"}}, calls.watches);
    text.add("store_calls_total", {{"kind", "write"}}, calls.writes);
    text.add("store_calls_total", {{"kind", "renewal"}}, calls.renewals);
    text.add("store_calls_failed_total", calls.failures);
    text.add("store_full_reads_total", m_full_reads);
    text.add("store_pages_repeated_total", m_repeated_pages);
    text.add("requests_quarantined", m_quarantine.size(boot_now()));
    text.add("quarantined_requests_refused_total", m_quarantined_requests);
    text.add("repeats_postponed_total", m_forwarder.counters().postponed_repeats);
    text.add("requests_ended_as_suspect_total", m_forwarder.counters().ended_as_suspect);
    text.add("store_values_malformed_total", m_malformed_values);
    text.add("unexpected_errors_total", m_unexpected_errors);
    text.add("relay_watches_total", m_store.counters().watches);
    text.add("relay_watches_failed_total", m_store.counters().failures);
    text.add("relay_fallbacks_total", m_store.counters().fallbacks);
    text.add("relay_followers", m_relay.waiting());
}

void gateway::report_latencies(metrics_text& text) const
{
    for (const auto& [outcome, histogram] :
         {std::pair{"complete", &m_success_latency}, std::pair{"other", &m_other_latency}})
        for (const auto& [quantile, fraction] :
             {std::pair{"0.5", 0.5}, std::pair{"0.9", 0.9}, std::pair{"0.99", 0.99}})
            text.add("answer_latency_us", {{"outcome", outcome}, {"quantile", quantile}},
                     static_cast<std::uint64_t>(histogram->quantile(fraction).count()));
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
                    {"expected_ratio",
                     each->estimate.expected_latency_ratio(now, each->record.slots)},
                    {"failure_share", each->estimate.failure_share(now)},
                    {"in_flight", each->estimate.in_flight()},
                    {"is_leaving", each->is_leaving()},
                    {"is_held_back", each->is_held_back(now)},
                    {"limit_per_s", limit_of(*each)},
                    {"is_reachable", each->estimate.is_reachable(now)}});
            services.push_back(
                boost::json::object{{"service", service.value()}, {"replicas", replicas}});
        }
    boost::json::array hosts;
    for (const host_record& each : m_directory.all_hosts())
        hosts.push_back(
            boost::json::object{{"id", each.id.value()},
                                {"zone", each.zone.value()},
                                {"is_ready", each.is_ready},
                                {"reachability", to_string(m_host_monitor.of(each.id))}});
    return boost::json::serialize(boost::json::object{
               {"host", m_settings.id.value()},
               {"is_ready", is_ready()},
               {"is_stopping", m_is_stopping},
               {"uptime_ms", (now - m_started).count() / 1000},
               {"configuration_version", m_table ? m_table->version().value() : 0},
               {"store_connected", m_mirror.is_connected()},
               {"store_era", m_mirror.as_of().era.value()},
               {"store_revision", m_mirror.as_of().revision.value()},
               {"limit_share", m_registry.limit_share()},
               {"known_hosts", m_directory.known_hosts()},
               {"ready_hosts", m_directory.ready_hosts()},
               {"under_way", m_forwarder.open_exchanges()},
               {"hosts", hosts},
               {"services", services}}) +
           "\n";
}

} // namespace tanagerspur
