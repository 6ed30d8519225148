// Heartbeats, grants, probes, and what peers tell of the shared state.

#include "tanagerspur/common/log.hpp"
#include "tanagerspur/host/host_core.hpp"
#include "tanagerspur/rpc/wire_ids.hpp"

#include <algorithm>

namespace tanagerspur
{

namespace
{

// Deputies are asked often, for their grants last 450 ms; other peers a third as often.
constexpr duration grant_beat_interval = std::chrono::milliseconds{150};
constexpr duration plain_beat_interval = std::chrono::milliseconds{450};
// A beat that was not granted is repeated soon, for a handover waits for it.
constexpr duration urgent_beat_interval = std::chrono::milliseconds{50};
constexpr duration probe_interval = std::chrono::milliseconds{300};
constexpr std::size_t max_beats_kept = 16;
constexpr std::size_t witness_count = 2;

peer_word word_of(const wire::heartbeat& beat)
{
    return {.start = incarnation{beat.incarnation()},
            .leaving = beat.leaving(),
            .manifest_generation = generation{beat.generation()},
            .assignment_epoch = epoch{beat.epoch()},
            .load_permille = beat.load_permille(),
            .serving = beat.serving()};
}

} // namespace

void host_core::tick_peers()
{
    const auto deputies = m_capacity_rights.deputies();
    const std::set<host_id> asked(deputies.begin(), deputies.end());
    for (const auto& [id, each] : m_peers.peers())
    {
        peer_link& link = m_links[id];
        const bool is_silent = m_peers.is_silent(m_now, id);
        if (is_silent && !link.was_silent)
        {
            // The stream may be one that went silent while new connections work.
            make_logger("peers")->warn("host {} is silent", id.value());
            m_environment.disconnect(id);
            fail_remote_subs(id);
        }
        link.was_silent = is_silent;
        if (is_silent)
            probe_silent(id, link);
        if (m_now < link.next_heartbeat)
            continue;
        const duration interval = asked.contains(id) ? grant_beat_interval : plain_beat_interval;
        link.next_heartbeat = m_now + interval;
        m_environment.connect(id, each.address);
        send_beat(id, link);
    }
    std::erase_if(m_links,
                  [this](const auto& each) { return m_peers.find(each.first) == nullptr; });
    if (m_configuration.present() == nullptr)
        return;
    m_shards.for_each(
        [this](const shard_key& key, shard_dispatcher& dispatcher, bool is_owner)
        {
            if (is_owner && dispatcher.has_version_reports())
                m_coordinator.catalog().update(m_now, key, dispatcher.versions(),
                                               dispatcher.estimated_wait());
        });
}

void host_core::send_beat(const host_id& peer, peer_link& link)
{
    wire::frame frame;
    wire::heartbeat& beat = *frame.mutable_beat();
    beat.set_sequence(m_next_beat++);
    fill_heartbeat(beat, true);
    link.beats.push_back({.sequence = beat.sequence(), .sent = m_now});
    if (link.beats.size() > max_beats_kept)
        link.beats.pop_front();
    m_environment.send(peer, frame);
}

void host_core::fill_heartbeat(wire::heartbeat& beat, bool with_shards)
{
    beat.set_host(m_options.settings.id.value());
    beat.set_incarnation(m_options.start.value());
    beat.set_leaving(m_life.is_leaving());
    beat.set_generation(m_configuration.current().value());
    beat.set_epoch(m_capacity_rights.table().current.value());
    beat.set_load_permille(self_entry().load_permille);
    beat.set_serving(m_life.accepts_queries());
    if (m_store_read_sent != time_point::min())
    {
        beat.set_store_epoch(m_store_epoch.value());
        beat.set_store_read_age_us(static_cast<std::uint64_t>((m_now - m_store_read_sent).count()));
    }
    for (const endpoint& target : m_shards.reported_leaving())
        beat.add_draining_targets(to_string(target));
    if (!with_shards)
        return;
    m_shards.for_each(
        [&](const shard_key& key, shard_dispatcher& dispatcher, bool is_owner)
        {
            // A new owner that has not heard from the replicas must not unsay what others know.
            if (!is_owner || !dispatcher.has_version_reports())
                return;
            wire::shard_status& status = *beat.add_shards();
            *status.mutable_where() = to_wire(key);
            for (const index_version version : dispatcher.versions())
                status.add_versions(version.value());
            status.set_estimated_wait_us(
                static_cast<std::uint64_t>(dispatcher.estimated_wait().count()));
        });
}

void host_core::on_heartbeat(const host_id& from, const wire::heartbeat& beat)
{
    learn(from, beat);
    wire::heartbeat_reply& reply = *m_replies_out[from].mutable_beat_reply();
    reply.set_sequence(beat.sequence());
    fill_heartbeat(*reply.mutable_state(), false);
    const grant_reply grant = m_capacity_rights.grant(
        m_now, from, [this](const shard_key& key) { return m_shards.is_idle(key); });
    reply.set_granted_epoch(grant.granted.value());
    for (const shard_key& key : grant.excluded_rows)
        *reply.add_withheld() = to_wire(key);
}

// A grant, and the age of a peer's evidence, count from when this host asked: whatever the reply
// took on its way only makes them shorter.
void host_core::on_beat_reply(const host_id& from, const wire::heartbeat_reply& reply)
{
    learn(from, reply.state());
    peer_link& link = m_links[from];
    const auto asked =
        std::find_if(link.beats.begin(), link.beats.end(),
                     [&](const sent_beat& each) { return each.sequence == reply.sequence(); });
    if (asked == link.beats.end())
        return;
    grant_reply grant{.granted = epoch{reply.granted_epoch()}, .excluded_rows = {}};
    for (const wire::shard& each : reply.withheld())
        grant.excluded_rows.push_back(from_wire(each));
    m_capacity_rights.on_grant(asked->sent, from, grant);
    if (!grant.excluded_rows.empty())
        link.next_heartbeat = std::min(link.next_heartbeat, m_now + urgent_beat_interval);
    const wire::heartbeat& state = reply.state();
    if (state.store_epoch() != 0)
        m_capacity_rights.on_epoch_confirmed(
            asked->sent - duration{static_cast<duration::rep>(state.store_read_age_us())},
            epoch{state.store_epoch()});
    m_shards.apply_shares(m_now);
}

void host_core::learn(const host_id& from, const wire::heartbeat& beat)
{
    const bool is_restarted = m_peers.on_word(m_now, from, word_of(beat));
    m_capacity_rights.on_contact(m_now);
    m_capacity_rights.on_host_alive(from);
    if (is_restarted)
    {
        make_logger("peers")->info("host {} has restarted", from.value());
        fail_remote_subs(from);
    }
    for (const wire::shard_status& status : beat.shards())
    {
        std::vector<index_version> versions;
        for (const std::uint64_t version : status.versions())
            versions.push_back(index_version{version});
        m_coordinator.catalog().update(
            m_now, from_wire(status.where()), versions,
            duration{static_cast<duration::rep>(status.estimated_wait_us())});
    }
    for (const std::string& text : beat.draining_targets())
        if (const auto target = parse_endpoint(text))
            m_peer_leaving[*target] = m_now;
    ask_values(from, beat);
}

// A peer that knows a newer manifest or assignment passes it on, also while the store is away.
void host_core::ask_values(const host_id& from, const wire::heartbeat& beat)
{
    const bool lacks_manifest = beat.generation() > m_configuration.current().value();
    const bool lacks_assignment = beat.epoch() > m_capacity_rights.table().current.value();
    if (!lacks_manifest && !lacks_assignment)
        return;
    wire::value_request& wanted = *m_requests_out[from].mutable_wanted();
    wanted.set_manifest(lacks_manifest);
    wanted.set_assignment(lacks_assignment);
}

// Tries the port itself, and asks others whether they reach the peer.
void host_core::probe_silent(const host_id& id, peer_link& link)
{
    const peer* each = m_peers.find(id);
    if (each == nullptr || m_now < link.next_probe)
        return;
    link.next_probe = m_now + probe_interval;
    m_environment.probe(id, each->address);
    for (const host_id& witness : m_peers.witnesses(m_now, id, witness_count))
    {
        wire::reach_request& request = *m_requests_out[witness].add_reach_requests();
        request.set_sequence(m_next_reach++);
        request.set_host(id.value());
    }
}

void host_core::on_reach_request(const host_id& from, const wire::reach_request& request)
{
    wire::reach_reply& reply = *m_replies_out[from].add_reach_replies();
    reply.set_sequence(request.sequence());
    reply.set_host(request.host());
    reply.set_reached(m_peers.is_heard(m_now, host_id{request.host()}));
}

} // namespace tanagerspur
