#include "tanagerspur/gateway/gateway.hpp"

#include "tanagerspur/common/http_status.hpp"
#include "tanagerspur/gateway/startup_retry_after.hpp"

#include <algorithm>

namespace tanagerspur
{

namespace
{

constexpr duration tick_interval = std::chrono::milliseconds{50};
// Share of the deployment's bound on extra attempts that is used. The rest is left because requests
// that never reached this host do not count towards the bound.
constexpr double retry_ratio_share = 0.9;
// Replicas that are leaving get no work for this long before they stop serving.
constexpr duration drain_margin = std::chrono::milliseconds{500};
// Assumed while the round-trip time to a caller has not been measured.
constexpr duration default_round_trip = std::chrono::milliseconds{6};
// Allowance for wake-ups, processing and writing the answer.
constexpr duration processing_margin = std::chrono::milliseconds{3};
// One of this many requests answered completely and within the latency objective is logged.
constexpr std::uint64_t requests_per_logged_sample = 64;

} // namespace

gateway::gateway(boost::asio::io_context& io, gateway_settings settings,
                 wire_header_names header_names, const store_codec& codec, shared_store& store)
    : m_io(io)
    , m_settings(std::move(settings))
    , m_header_names(std::move(header_names))
    , m_codec(codec)
    , m_store(io, store)
    , m_log("gateway")
    , m_attempt_log("attempts")
    , m_registry({.leaving_grace = m_settings.drain - std::min(m_settings.drain, drain_margin),
                  .seed = std::hash<std::string>{}(m_settings.id.value()) + 2},
                 *this)
    , m_pool(io, m_header_names,
             [this](std::uint64_t attempt, attempt_outcome outcome)
             { m_forwarder.attempt_ended(attempt, std::move(outcome), boot_now()); })
    , m_forwarder({.own_zone = m_settings.zone,
                   .seed = std::hash<std::string>{}(m_settings.id.value()),
                   .retries = {.ratio = m_settings.retry_ratio * retry_ratio_share,
                               .length = m_settings.retry_window}},
                  m_registry, *this)
    , m_ingress(io, m_header_names, *this)
    , m_mirror(io, m_store, {.seed = std::hash<std::string>{}(m_settings.id.value())}, *this)
    , m_registration(io, store, {.key = codec.host_key(m_settings.id)})
    , m_directory({.id = m_settings.id,
                   .zone = m_settings.zone,
                   .callers = m_settings.callers,
                   .peers = m_settings.peers,
                   .capacity = m_settings.capacity})
    , m_host_connections(
          io,
          {.opened = [this](const host_id& id) { m_host_monitor.opened(id, boot_now()); },
           .open_failed = [this](const host_id& id) { m_host_monitor.open_failed(id, boot_now()); },
           .lost = [this](const host_id& id) { m_host_monitor.connection_lost(id, boot_now()); }})
    , m_host_monitor({}, m_host_connections, *this)
    , m_caller_zones{m_settings.zone}
    , m_relay(m_mirror.log())
    , m_relay_http(io, {.listen = m_settings.peers}, m_relay)
    , m_random(std::hash<std::string>{}(m_settings.id.value()) + 1)
    , m_tick_timer(io)
    , m_started(boot_now())
{
}

gateway::~gateway() = default;

std::string gateway::start()
{
    m_log.write("start", {{"host", m_settings.id.value()},
                          {"zone", m_settings.zone.value()},
                          {"callers", to_string(m_settings.callers)},
                          {"store", to_string(m_settings.store)}});
    std::string error = m_ingress.start(m_settings.callers);
    if (error.empty())
        error = m_relay_http.start();
    if (!error.empty())
        return error;
    m_mirror.start();
    schedule_tick();
    return {};
}

bool gateway::is_ready() const
{
    return m_table != nullptr && m_has_snapshot && !m_is_stopping;
}

// ---- Requests

void gateway::on_request(session_id session, inbound_request inbound)
{
    if (m_table == nullptr || !m_has_snapshot)
        return refuse(session, inbound, status_unavailable, "no_configuration");
    const std::string_view target = inbound.request.target;
    const route* on = m_table->match(inbound.host, target.substr(0, target.find('?')));
    if (on == nullptr)
    {
        ++m_requests_without_route;
        return refuse(session, inbound, status_not_found, "no_route");
    }
    if (m_is_stopping &&
        !may_start_request(stop_times(), boot_now() - m_stop_requested_at, on->latency_objective))
        return refuse(session, inbound, status_unavailable, "stopping");
    inbound.request.fingerprint =
        fingerprint_of(inbound.host, inbound.request.method, target, inbound.request.body);
    if (const auto left = m_quarantine.time_left(inbound.request.fingerprint, boot_now()))
    {
        ++m_quarantined_requests;
        return refuse(session, inbound, status_unavailable, cause_crashes_replicas, left);
    }
    const duration round_trip =
        inbound.round_trip.count() > 0 ? inbound.round_trip : default_round_trip;
    inbound.request.network_time =
        (inbound.is_first_on_connection ? 2 : 1) * round_trip + processing_margin;
    // A look-up of addresses opens a connection and makes one call, which a host serves.
    inbound.request.lookup_time = 2 * round_trip + processing_margin;
    const exchange_id exchange{m_next_exchange++};
    m_sessions[exchange.value()] = session;
    m_exchanges[session.value()] = exchange;
    m_forwarder.begin(exchange, std::make_shared<const caller_request>(std::move(inbound.request)),
                      m_table, *on, boot_now());
}

void gateway::refuse(session_id session, const inbound_request& request, int status,
                     std::string_view why, std::optional<duration> retry_after)
{
    m_log.write_limited("request_refused",
                        {{"request", request.request.id.value()},
                         {"host_name", request.host},
                         {"status", std::to_string(status)},
                         {"cause", std::string{why}},
                         {"version", std::to_string(m_table ? m_table->version().value() : 0)}},
                        boot_now());
    caller_answer answer{.status = status};
    // Another host can serve the caller at once while this one stops.
    if (status == status_unavailable && retry_after)
        answer.retry_after = retry_after;
    else if (status == status_unavailable)
        answer.retry_after = m_is_stopping ? duration{0}
                                           : startup_retry_after(m_mirror.is_failing(),
                                                                 request.request.caller_timeout);
    m_ingress.respond(session, answer);
}

void gateway::on_caller_disconnected(session_id session)
{
    const auto found = m_exchanges.find(session.value());
    if (found != m_exchanges.end())
        m_forwarder.cancel(exchange_id{found->second}, boot_now());
}

void gateway::on_rejected(int status, std::string_view why)
{
    m_log.write_limited("request_rejected",
                        {{"status", std::to_string(status)}, {"why", std::string{why}}},
                        boot_now());
}

void gateway::answer(exchange_id exchange, caller_answer answer)
{
    const auto found = m_sessions.find(exchange.value());
    if (found == m_sessions.end())
        return;
    const session_id session = found->second;
    unlink_exchange(exchange);
    m_ingress.respond(session, answer);
}

void gateway::wake_at(exchange_id exchange, time_point when)
{
    std::unique_ptr<boost::asio::steady_timer>& timer = m_timers[exchange.value()];
    if (timer == nullptr)
        timer = std::make_unique<boost::asio::steady_timer>(m_io);
    timer->expires_after(when - boot_now());
    timer->async_wait(
        [this, exchange](boost::system::error_code error)
        {
            if (!error)
                m_forwarder.wake(exchange, boot_now());
        });
}

void gateway::on_attempt_event(const attempt_event& note)
{
    m_attempt_log.write_limited("attempt_failed",
                                {{"request", note.request->id.value()},
                                 {"replica", note.to->record.id.value()},
                                 {"service", note.to->record.service.value()},
                                 {"result", std::string{note.result}},
                                 {"status", std::to_string(note.status)},
                                 {"detail", note.detail.empty() ? "-" : std::string{note.detail}},
                                 {"ms", std::to_string(note.took.count() / 1000)},
                                 {"failure_share", std::to_string(note.failure_share).substr(0, 4)},
                                 {"in_flight", std::to_string(note.in_flight)}},
                                boot_now());
}

void gateway::on_suspect(const caller_request& request,
                         const std::vector<replica_incarnation>& lost_at)
{
    const auto notice = m_quarantine.suspect(request.fingerprint, lost_at, boot_now());
    m_log.write_limited("request_suspect",
                        {{"request", request.id.value()},
                         {"fingerprint", request.fingerprint.value()},
                         {"target", request.target},
                         {"replicas", std::to_string(lost_at.size())},
                         {"quarantined", notice ? "now" : "before"}},
                        boot_now());
    if (notice)
        tell_hosts(*notice);
}

void gateway::on_cleared(const caller_request& request)
{
    const auto notice = m_quarantine.lift(request.fingerprint, boot_now());
    if (!notice)
        return;
    m_log.write_limited(
        "quarantine_lifted",
        {{"request", request.id.value()}, {"fingerprint", request.fingerprint.value()}},
        boot_now());
    tell_hosts(*notice);
}

void gateway::unlink_exchange(exchange_id exchange)
{
    const auto found = m_sessions.find(exchange.value());
    if (found == m_sessions.end())
        return;
    m_exchanges.erase(found->second.value());
    m_sessions.erase(found);
}

void gateway::on_exchange_finished(const exchange_summary& summary)
{
    m_timers.erase(summary.id.value());
    if (summary.status == 0)
        unlink_exchange(summary.id);
    const bool is_complete = summary.cause == "complete";
    (is_complete ? m_success_latency : m_other_latency).record(summary.took);
    const bool is_within_objective =
        is_complete && summary.took <= summary.matched_route->latency_objective;
    if (is_within_objective && ++m_requests_within_objective % requests_per_logged_sample != 0)
        return;
    m_log.write_limited(
        "request_done",
        {{"request", summary.request->id.value()},
         {"route", summary.matched_route->name},
         {"version", std::to_string(summary.version.value())},
         {"status", std::to_string(summary.status)},
         {"cause", std::string{summary.cause}},
         {"ms", std::to_string(summary.took.count() / 1000)},
         {"objective_ms", std::to_string(summary.matched_route->latency_objective.count() / 1000)},
         {"parts", std::to_string(summary.parts) + "/" + std::to_string(summary.expected_parts)},
         {"attempts", std::to_string(summary.attempts)},
         {"extra", std::to_string(summary.extra_attempts)},
         {"missing", summary.missing.empty() ? "-" : summary.missing},
         {"last", summary.parts == 0 ? "-"
                                     : summary.last_part.value() + ":" +
                                           std::to_string(summary.last_part_after.count() / 1000)},
         {"store", m_mirror.is_connected() ? "connected" : "lost"}},
        boot_now());
}

// ---- Timer and shutdown

void gateway::schedule_tick()
{
    m_tick_due = boot_now() + tick_interval;
    m_tick_timer.expires_after(tick_interval);
    m_tick_timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (error)
                return;
            // Scheduled before the work, because an exception may end the work early.
            const time_point due = m_tick_due;
            schedule_tick();
            tick(due);
        });
}

void gateway::tick(time_point due)
{
    const time_point now = boot_now();
    m_pause_detector.timer_fired(due, now);
    m_registry.tick(now);
    m_pool.tick(now);
    m_ingress.tick(now);
    m_directory.tick(now);
    m_host_monitor.tick(now);
    m_relay.tick(now);
    confirm_quarantines(now);
    update_load(now, now - due);
    update_registration(now);
    if (m_is_stopping)
        advance_stop(now);
}

void gateway::stop(std::function<void()> stopped)
{
    if (m_is_stopping)
        return;
    const time_point now = boot_now();
    m_is_stopping = true;
    m_stop_requested_at = m_pause_detector.earliest_signal_time(now, m_tick_due);
    m_log.write("stopping",
                {{"under_way", std::to_string(m_forwarder.open_exchanges())},
                 {"paused_ms", std::to_string((now - m_stop_requested_at).count() / 1000)}});
    m_stopped = std::move(stopped);
    m_ingress.close_after_answers();
    publish_own_entry();
}

stop_options gateway::stop_times() const
{
    return {.time_to_stop = m_settings.stop_within,
            .address_validity = m_settings.address_validity};
}

void gateway::advance_stop(time_point now)
{
    const duration since = now - m_stop_requested_at;
    const stop_options times = stop_times();
    if (stop_phase_at(times, since, false) == stop_phase::accepting || m_stopped == nullptr)
        return;
    // Before the check for open requests, since it may read further ones.
    m_ingress.stop();
    const bool is_idle = m_forwarder.open_exchanges() == 0 && m_ingress.busy_sessions() == 0;
    const stop_phase phase = stop_phase_at(times, since, is_idle);
    if (phase == stop_phase::expiring)
        m_forwarder.expire_all(now);
    if (phase != stop_phase::done)
        return;
    m_log.write("stop", {{"under_way", std::to_string(m_forwarder.open_exchanges())},
                         {"after_ms", std::to_string(since.count() / 1000)}});
    m_registration.withdraw();
    std::exchange(m_stopped, nullptr)();
}

void gateway::reload(const gateway_settings& settings)
{
    const bool is_restart_needed = needs_restart(m_settings, settings);
    apply_reloadable(m_settings, settings);
    m_log.write("reloaded",
                {{"retry_slack", std::to_string(m_settings.retry_slack)},
                 {"address_validity_s", std::to_string(m_settings.address_validity.count())},
                 {"restart_needed", is_restart_needed ? "true" : "false"}});
    on_hosts_changed();
}

} // namespace tanagerspur
