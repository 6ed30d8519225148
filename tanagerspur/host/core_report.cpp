// What operators see: the dump of every aggregate, the status, metrics, and the drain call.

#include "tanagerspur/host/host_core.hpp"

#include <boost/json/serialize.hpp>

#include <sstream>

namespace tanagerspur
{

namespace
{

boost::json::object describe(const dispatch_counts& counts)
{
    return {{"submitted", counts.submitted},
            {"first_attempts", counts.first_attempts},
            {"hedges", counts.hedges},
            {"hedge_wins", counts.hedge_wins},
            {"retries", counts.retries},
            {"done", counts.done},
            {"not_run", counts.not_run},
            {"may_have_run", counts.may_have_run},
            {"expired_in_queue", counts.expired_in_queue},
            {"refused_early", counts.refused_early},
            {"unmatched_results", counts.unmatched_results}};
}

boost::json::object describe(const coordinator_counts& counts)
{
    return {{"admitted", counts.admitted},
            {"refused", counts.refused},
            {"done", counts.done},
            {"partial", counts.partial},
            {"failed", counts.failed},
            {"sub_requests", counts.sub_requests},
            {"rerouted", counts.rerouted},
            {"restarted", counts.restarted},
            {"unmatched_results", counts.unmatched_results}};
}

boost::json::object describe(const store_calls& calls)
{
    return {{"reads", calls.reads},
            {"watches", calls.watches},
            {"writes", calls.writes},
            {"lists", calls.lists},
            {"failures", calls.failures}};
}

boost::json::object describe(const replica& target, const replica_view& view)
{
    boost::json::array versions;
    for (const index_version version : view.versions)
        versions.push_back(version.value());
    return {{"target", to_string(target.address)},     {"in_flight", view.in_flight},
            {"health", to_string(view.health)},        {"draining", view.draining},
            {"mean_latency_us", view.mean_latency_us}, {"versions", std::move(versions)}};
}

} // namespace

void host_core::serve_operator(const http_call& call, const http_responder& respond)
{
    if (call.path == "/admin/dump" && call.method == "GET")
        return respond({.body = boost::json::serialize(dump()) + "\n"});
    if (call.path == "/admin/status" && call.method == "GET")
        return respond({.body = boost::json::serialize(status()) + "\n"});
    if (call.path == "/metrics" && call.method == "GET")
        return respond({.content_type = "text/plain; version=0.0.4", .body = metrics()});
    if (call.path == "/admin/drain" && call.method == "POST")
    {
        on_event(drain_wanted{});
        return respond({.status = 202, .body = boost::json::serialize(status()) + "\n"});
    }
    const bool is_known = call.path == "/admin/dump" || call.path == "/admin/status" ||
                          call.path == "/metrics" || call.path == "/admin/drain";
    respond(error_reply(is_known ? 405 : 404,
                        is_known ? "wrong method for this path" : "no such path"));
}

boost::json::object host_core::status()
{
    std::size_t owned = 0;
    std::size_t deputized = 0;
    for (const auto& [key, row] : m_capacity_rights.table().rows)
    {
        owned += row.owner == m_options.settings.id ? 1 : 0;
        deputized += row.deputy == m_options.settings.id ? 1 : 0;
    }
    std::size_t heard = 0;
    for (const auto& [id, each] : m_peers.peers())
        heard += m_peers.is_heard(m_now, id) ? 1 : 0;
    return {{"host", m_options.settings.id.value()},
            {"zone", m_options.settings.zone.value()},
            {"state", to_string(m_life.state())},
            {"generation", m_configuration.current().value()},
            {"operation", m_configuration.stored().operation},
            {"epoch", m_capacity_rights.table().current.value()},
            {"shards_owned", owned},
            {"shards_deputized", deputized},
            {"peers_listed", m_peers.peers().size()},
            {"peers_heard", heard},
            {"queries_under_way", m_coordinator.queries_in_progress()},
            {"store_reachable", m_manifest_failures == 0 && m_assignment_failures == 0}};
}

boost::json::object host_core::dump_shards()
{
    boost::json::object shards;
    m_shards.for_each(
        [&](const shard_key& key, shard_dispatcher& dispatcher, bool is_owner)
        {
            boost::json::array replicas;
            const auto* targets = m_configuration.present()->find(key);
            const auto views = dispatcher.replicas(m_now);
            for (std::size_t i = 0; targets != nullptr && i < views.size() && i < targets->size();
                 ++i)
                replicas.push_back(describe((*targets)[i], views[i]));
            shards[to_string(key)] =
                boost::json::object{{"role", is_owner ? "owner" : "deputy"},
                                    {"share", to_string(m_capacity_rights.share(m_now, key))},
                                    {"queued", dispatcher.queued()},
                                    {"in_flight", dispatcher.in_flight()},
                                    {"estimated_wait_us", dispatcher.estimated_wait().count()},
                                    {"replicas", std::move(replicas)},
                                    {"counts", describe(dispatcher.counts())}};
        });
    return shards;
}

boost::json::object host_core::dump_peers()
{
    boost::json::object peers;
    for (const auto& [id, each] : m_peers.peers())
        peers[id.value()] =
            boost::json::object{{"zone", each.zone.value()},
                                {"address", each.address},
                                {"listed", each.is_listed},
                                {"leaving", each.is_leaving || each.is_listed_leaving},
                                {"heard", m_peers.is_heard(m_now, id)},
                                {"dead", m_peers.is_dead(m_now, id)},
                                {"incarnation", each.start.value()},
                                {"generation", each.manifest_generation.value()},
                                {"epoch", each.assignment_epoch.value()}};
    return peers;
}

boost::json::object host_core::dump()
{
    boost::json::object assignment;
    for (const auto& [key, row] : m_capacity_rights.table().rows)
        assignment[to_string(key)] = boost::json::object{{"owner", row.owner.value()},
                                                         {"deputy", row.deputy.value()},
                                                         {"predecessor", row.predecessor.value()},
                                                         {"since", row.since.value()}};
    return {{"status", status()},
            {"incarnation", m_options.start.value()},
            {"uptime_ms",
             std::chrono::duration_cast<std::chrono::milliseconds>(m_now - m_started).count()},
            {"assignment", std::move(assignment)},
            {"peers", dump_peers()},
            {"shards", dump_shards()},
            {"coordinator", describe(m_coordinator.counts())},
            {"request_ids", boost::json::object{{"remembered", m_ledger.size()},
                                                {"repeats", m_may_have_run_repeats}}},
            {"remote_sub_requests", m_remote_subs.size()},
            {"store_calls", describe(m_environment.store().calls())},
            {"adapters", m_environment.adapter_report()}};
}

std::string host_core::metrics()
{
    static constexpr double quantiles[] = {0.5, 0.9, 0.99, 0.999};
    std::ostringstream text;
    text << "# TYPE tanagerspur_query_seconds summary\n";
    for (auto& [service, each] : m_metrics)
    {
        for (const double quantile : quantiles)
            text << "tanagerspur_query_seconds{service=\"" << service.value() << "\",quantile=\""
                 << quantile << "\"} " << to_ms(each.latency.quantile(quantile)) / 1'000 << "\n";
        text << "tanagerspur_query_seconds_count{service=\"" << service.value() << "\"} "
             << each.latency.count() << "\n";
    }
    text << "# TYPE tanagerspur_answers_total counter\n";
    for (const auto& [service, each] : m_metrics)
        for (const auto& [code, count] : each.by_status)
            text << "tanagerspur_answers_total{service=\"" << service.value() << "\",code=\""
                 << code << "\"} " << count << "\n";
    const auto gauge = [&](const char* name, auto value)
    {
        text << "# TYPE tanagerspur_" << name << " gauge\ntanagerspur_" << name << " " << value
             << "\n";
    };
    gauge("generation", m_configuration.current().value());
    gauge("epoch", m_capacity_rights.table().current.value());
    gauge("queries_under_way", m_coordinator.queries_in_progress());
    const coordinator_counts& counts = m_coordinator.counts();
    const auto counter = [&](const char* name, std::uint64_t value)
    {
        text << "# TYPE tanagerspur_" << name << "_total counter\ntanagerspur_" << name << "_total "
             << value << "\n";
    };
    counter("queries_admitted", counts.admitted);
    counter("queries_refused", counts.refused);
    counter("queries_partial", counts.partial);
    counter("sub_requests", counts.sub_requests);
    dispatch_counts total;
    m_shards.for_each(
        [&](const shard_key&, shard_dispatcher& dispatcher, bool)
        {
            total.first_attempts += dispatcher.counts().first_attempts;
            total.hedges += dispatcher.counts().hedges;
            total.retries += dispatcher.counts().retries;
        });
    counter("first_attempts", total.first_attempts);
    counter("hedges", total.hedges);
    counter("retries", total.retries);
    return text.str();
}

} // namespace tanagerspur
