// Sub-requests between hosts: to the shard's owner, or to its deputy when the owner is out of
// reach, and results back.

#include "tanagerspur/host/host_core.hpp"
#include "tanagerspur/rpc/wire_ids.hpp"

#include <algorithm>

namespace tanagerspur
{

namespace
{

verdict verdict_from_wire(std::uint32_t value)
{
    constexpr auto last = static_cast<std::uint32_t>(verdict::may_have_run);
    return value <= last ? static_cast<verdict>(value) : verdict::may_have_run;
}

reason reason_from_wire(std::uint32_t value)
{
    constexpr auto last = static_cast<std::uint32_t>(reason::repeated_request_id);
    return value <= last ? static_cast<reason>(value) : reason::target_error;
}

} // namespace

void host_core::send(const shard_key& shard, const sub_request& request)
{
    route(shard, {.host = {}, .id = request.id}, request, false);
}

// A sub-request for this host's own coordinator is routed freely; one from a peer goes on at
// most once, so that it cannot circle.
void host_core::route(const shard_key& shard, const sub_origin& origin, const sub_request& request,
                      bool relayed)
{
    const shard_assignment* row = m_capacity_rights.table().find(shard);
    if (row == nullptr)
        return refuse(shard, origin, reason::no_owner);
    const host_id& self = m_options.settings.id;
    const bool is_from_peer = !origin.host.value().empty();
    if (row->owner == self)
    {
        if (!serve_here(shard, origin, request))
            refuse(shard, origin, reason::not_owner);
        return;
    }
    if (!relayed && m_peers.is_heard(m_now, row->owner) && (row->deputy == self || !is_from_peer) &&
        send_remote(row->owner, shard, origin, request, is_from_peer))
        return;
    if (row->deputy == self && serve_here(shard, origin, request))
        return;
    if (!is_from_peer && m_peers.is_heard(m_now, row->deputy) &&
        send_remote(row->deputy, shard, origin, request, false))
        return;
    refuse(shard, origin, is_from_peer ? reason::not_owner : reason::owner_unreachable);
}

void host_core::to_target(target_command command)
{
    m_environment.to_target(std::move(command));
}

bool host_core::serve_here(const shard_key& shard, const sub_origin& origin,
                           const sub_request& request)
{
    return m_shards.submit(m_now, shard, origin, request);
}

bool host_core::send_remote(const host_id& to, const shard_key& shard, const sub_origin& origin,
                            const sub_request& request, bool relayed)
{
    const std::uint64_t id = m_next_remote++;
    wire::sub_request& message = *m_requests_out[to].add_requests();
    message.set_id(id);
    *message.mutable_where() = to_wire(shard);
    message.set_version(request.version.value());
    message.set_budget_us(
        static_cast<std::uint64_t>(std::max<duration::rep>(0, (request.deadline - m_now).count())));
    message.set_idempotent(request.idempotent);
    message.set_request_id(request.request.value());
    message.set_body(*request.body);
    message.set_relayed(relayed);
    m_remote_subs[id] = {.host = to, .shard = shard, .origin = origin};
    m_relayed[origin] = id;
    return true;
}

void host_core::on_sub_request(const host_id& from, const wire::sub_request& message)
{
    const duration budget{
        static_cast<duration::rep>(std::min<std::uint64_t>(message.budget_us(), 600'000'000))};
    sub_request request{.id = sub_request_id{message.id()},
                        .version = index_version{message.version()},
                        .deadline = m_now + budget,
                        .idempotent = message.idempotent(),
                        .request = request_id{message.request_id()},
                        .body = std::make_shared<const std::string>(message.body())};
    const sub_origin origin{.host = from, .id = request.id};
    const shard_key shard = from_wire(message.where());
    m_served[origin] = shard;
    route(shard, origin, request, message.relayed());
}

void host_core::deliver(const sub_origin& origin, const shard_key& shard, const sub_result& result)
{
    if (origin.host.value().empty())
    {
        m_results.push_back({.shard = shard, .id = origin.id, .result = result});
        return;
    }
    m_served.erase(origin);
    wire::sub_reply& message = *m_replies_out[origin.host].add_replies();
    message.set_id(origin.id.value());
    *message.mutable_where() = to_wire(shard);
    message.set_version(result.version.value());
    message.set_verdict(static_cast<std::uint32_t>(result.outcome));
    message.set_reason(static_cast<std::uint32_t>(result.why));
    message.set_message(result.message);
    message.set_attempts(result.attempts);
    message.set_estimated_wait_us(static_cast<std::uint64_t>(result.estimated_wait.count()));
    for (const index_version version : result.versions)
        message.add_versions(version.value());
    if (result.rows != nullptr)
        message.set_rows(*result.rows);
}

void host_core::refuse(const shard_key& shard, const sub_origin& origin, reason why)
{
    deliver(origin, shard,
            {.outcome = verdict::not_run,
             .why = why,
             .message = "no host that serves shard " + to_string(shard) + " can be reached",
             .version = {},
             .rows = {}});
}

void host_core::on_sub_reply(const host_id& from, const wire::sub_reply& message)
{
    const auto found = m_remote_subs.find(message.id());
    // A late answer, or one from a host that was not asked.
    if (found == m_remote_subs.end() || found->second.host != from ||
        found->second.shard != from_wire(message.where()))
        return;
    const remote_sub sub = found->second;
    m_remote_subs.erase(found);
    m_relayed.erase(sub.origin);
    sub_result result{.outcome = verdict_from_wire(message.verdict()),
                      .why = reason_from_wire(message.reason()),
                      .message = message.message(),
                      .version = index_version{message.version()},
                      .rows = {},
                      .attempts = message.attempts(),
                      .estimated_wait =
                          duration{static_cast<duration::rep>(message.estimated_wait_us())}};
    for (const std::uint64_t version : message.versions())
        result.versions.push_back(index_version{version});
    if (result.outcome == verdict::done)
        result.rows = std::make_shared<const std::string>(message.rows());
    deliver(sub.origin, sub.shard, result);
}

void host_core::cancel(const shard_key& shard, sub_request_id id)
{
    const sub_origin origin{.host = {}, .id = id};
    const auto remote = m_relayed.find(origin);
    if (remote == m_relayed.end())
        return m_shards.cancel(m_now, shard, origin);
    const auto sub = m_remote_subs.find(remote->second);
    m_requests_out[sub->second.host].add_cancelled(remote->second);
    m_remote_subs.erase(sub);
    m_relayed.erase(remote);
}

void host_core::on_cancelled(const host_id& from, std::uint64_t id)
{
    const sub_origin origin{.host = from, .id = sub_request_id{id}};
    const auto served = m_served.find(origin);
    if (served == m_served.end())
        return;
    const shard_key shard = served->second;
    m_served.erase(served);
    const auto remote = m_relayed.find(origin);
    if (remote == m_relayed.end())
        return m_shards.cancel(m_now, shard, origin);
    const auto sub = m_remote_subs.find(remote->second);
    m_requests_out[sub->second.host].add_cancelled(remote->second);
    m_remote_subs.erase(sub);
    m_relayed.erase(remote);
}

// What was sent to the peer may have run, or may run yet.
void host_core::fail_remote_subs(const host_id& peer)
{
    std::vector<remote_sub> lost;
    boost::unordered::erase_if(m_remote_subs,
                               [&](const auto& entry)
                               {
                                   if (entry.second.host != peer)
                                       return false;
                                   lost.push_back(entry.second);
                                   m_relayed.erase(entry.second.origin);
                                   return true;
                               });
    for (const remote_sub& each : lost)
        deliver(each.origin, each.shard,
                {.outcome = verdict::may_have_run,
                 .why = reason::link_lost,
                 .message = "the link to host " + peer.value() + " broke",
                 .version = {},
                 .rows = {}});
}

} // namespace tanagerspur
