#include "tanagerspur/host/host_core.hpp"

#include "tanagerspur/common/log.hpp"
#include "tanagerspur/host/caller_api.hpp"

#include <algorithm>

namespace tanagerspur
{

namespace
{

constexpr duration tick_interval = std::chrono::milliseconds{50};
constexpr duration load_poll_interval = std::chrono::seconds{1};

} // namespace

host_core::host_core(host_core_options options, host_environment& environment)
    : m_options(std::move(options))
    , m_environment(environment)
    , m_random(m_options.random_seed)
    , m_peers({.self = m_options.settings.id,
               .zone = m_options.settings.zone,
               .address = m_options.settings.address})
    , m_capacity_rights(m_options.capacity_rights)
    , m_shards({.self = m_options.settings.id, .start = m_options.start}, m_capacity_rights, *this)
    , m_coordinator({.max_queries = m_options.settings.max_queries}, *this)
    , m_ledger(m_options.ledger)
    , m_life({.notice = m_options.settings.address_validity,
              .drain_timeout = m_options.settings.drain_timeout})
{
}

void host_core::handle(time_point now, core_event event)
{
    m_now = now;
    std::visit([this](auto& each) { on_event(each); }, event);
    settle();
}

void host_core::on_timer(time_point now)
{
    m_now = now;
    if (m_started == time_point::min())
        m_started = now;
    m_shards.on_timer(now);
    m_coordinator.on_timer(now);
    if (now >= m_next_tick)
    {
        m_next_tick = now + tick_interval;
        watch_manifest();
        watch_assignment();
        list_hosts();
        read_assignment();
        tick_peers();
        begin_serving();
        plan_changes();
        update_leaving_targets();
        m_shards.apply_shares(now);
        m_life.on_tick(now, m_life.is_leaving() && is_drained());
        if (m_life.state() == life_state::stopped && !std::exchange(m_stopped, true))
            m_environment.on_stopped();
    }
    if (now >= m_next_load_poll)
    {
        m_next_load_poll = now + jitter(load_poll_interval);
        m_shards.poll_load();
    }
    settle();
}

// Nothing is in flight, and no shard is owned here that another host could take.
bool host_core::is_drained()
{
    const auto candidates = m_peers.candidates(m_now, true);
    return m_calls.empty() && m_shards.is_idle() &&
           !plan_handover(m_capacity_rights.table(), m_options.settings.id, candidates);
}

time_point host_core::next_timer() const
{
    return std::min(
        {m_next_tick, m_next_load_poll, m_shards.next_timer(), m_coordinator.next_timer()});
}

// Results that arose during an event are handled after it, so that no aggregate is called from
// within its own calls. Then everything for one peer leaves as one frame.
void host_core::settle()
{
    while (!m_results.empty())
    {
        std::vector<local_result> results;
        results.swap(m_results);
        for (const local_result& each : results)
            m_coordinator.on_result(m_now, each.shard, each.id, each.result);
    }
    flush();
}

void host_core::flush()
{
    for (auto& [peer, frame] : std::exchange(m_requests_out, {}))
    {
        if (m_environment.send(peer, frame))
            continue;
        // Nothing was sent: each sub-request surely did not run there.
        for (const wire::sub_request& each : frame.requests())
        {
            const auto found = m_remote_subs.find(each.id());
            if (found == m_remote_subs.end())
                continue;
            const remote_sub lost = found->second;
            m_remote_subs.erase(found);
            m_relayed.erase(lost.origin);
            refuse(lost.shard, lost.origin, reason::owner_unreachable);
        }
    }
    for (auto& [peer, frame] : std::exchange(m_replies_out, {}))
        m_environment.reply(peer, frame);
    if (!m_results.empty())
        settle();
}

void host_core::on_event(request_frame_arrived& event)
{
    const wire::frame& frame = event.frame;
    for (const wire::sub_request& each : frame.requests())
        on_sub_request(event.from, each);
    for (const std::uint64_t id : frame.cancelled())
        on_cancelled(event.from, id);
    if (frame.has_beat())
        on_heartbeat(event.from, frame.beat());
    for (const wire::forwarded_call& call : frame.calls())
        on_forwarded_call(event.from, call);
    for (const wire::reach_request& request : frame.reach_requests())
        on_reach_request(event.from, request);
    if (!frame.has_wanted())
        return;
    wire::value_reply& values = *m_replies_out[event.from].mutable_values();
    if (frame.wanted().manifest())
        values.set_manifest(m_configuration.stored_text());
    if (frame.wanted().assignment())
        values.set_assignment(serialize(m_capacity_rights.table()));
}

void host_core::on_event(reply_frame_arrived& event)
{
    const wire::frame& frame = event.frame;
    for (const wire::sub_reply& each : frame.replies())
        on_sub_reply(event.from, each);
    if (frame.has_beat_reply())
        on_beat_reply(event.from, frame.beat_reply());
    for (const wire::forwarded_reply& reply : frame.call_replies())
        on_forwarded_reply(reply);
    for (const wire::reach_reply& reply : frame.reach_replies())
        m_peers.on_reach_report(m_now, event.from, host_id{reply.host()}, reply.reached());
    if (!frame.has_values())
        return;
    if (!frame.values().manifest().empty())
        on_manifest_text(frame.values().manifest());
    if (!frame.values().assignment().empty())
        install_assignment(frame.values().assignment());
}

void host_core::on_event(const link_lost& event)
{
    fail_remote_subs(event.peer);
    // A process that ended breaks its streams; its port tells whether it did.
    if (const peer* lost = m_peers.find(event.peer))
        m_environment.probe(lost->id, lost->address);
    std::erase_if(m_forwarded,
                  [&](const auto& entry)
                  {
                      const forwarded& each = entry.second;
                      if (each.home != event.peer)
                          return false;
                      each.respond(write_failure(each.request,
                                                 {.outcome = verdict::may_have_run,
                                                  .why = reason::link_lost,
                                                  .message = "the link to the host that issued "
                                                             "the request id broke"},
                                                 502));
                      return true;
                  });
}

void host_core::on_event(const attempt_ended& event)
{
    m_shards.on_attempt_end(m_now, event.shard, event.attempt, event.result);
}

void host_core::on_event(const load_reported& event)
{
    m_shards.on_load_report(m_now, event.target, event.report);
}

void host_core::on_event(const store_answered& event)
{
    event.handler(event.result);
}

void host_core::on_event(const hosts_listed& event)
{
    event.handler(event.list);
}

void host_core::on_event(const port_probed& event)
{
    if (!event.refused)
        return;
    m_peers.on_refused(event.sent, event.host);
    m_capacity_rights.on_host_dead(event.sent, event.host);
    fail_remote_subs(event.host);
    m_next_plan = m_now;
    m_next_tick = m_now;
}

void host_core::on_event(const drain_wanted& /*event*/)
{
    if (!m_life.is_leaving())
        make_logger("host")->info("draining");
    m_life.on_drain(m_now);
}

void host_core::on_event(const operator_arrived& event)
{
    serve_operator(event.call, event.respond);
}

} // namespace tanagerspur
