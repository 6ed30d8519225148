#include "tanagerspur/query/coordinator.hpp"

#include <algorithm>

namespace tanagerspur
{

namespace
{

// Sub-requests that may be repeated at once after the loss of a host, before any first attempt has
// deposited into the budget.
constexpr double repeat_burst = 50;

// True if the sub-request failed only because it was sent to a host that does not serve the shard.
bool is_misrouted(reason why)
{
    return why == reason::not_owner || why == reason::owner_unreachable ||
           why == reason::no_owner || why == reason::host_leaving;
}

} // namespace

coordinator::coordinator(coordinator_options options, query_actions& actions)
    : m_options(options)
    , m_actions(actions)
{
}

void coordinator::set_manifest(std::shared_ptr<const manifest> present)
{
    m_manifest = std::move(present);
    m_catalog.retain(*m_manifest);
    for (const auto& [id, each] : m_manifest->services)
        m_budgets.try_emplace(id, each.limits.extra_load_budget, repeat_burst, repeat_burst)
            .first->second.set_fraction(each.limits.extra_load_budget);
}

void coordinator::submit(time_point now, query_id id, query submitted)
{
    const service* target = m_manifest != nullptr ? m_manifest->find(submitted.service) : nullptr;
    if (m_manifest == nullptr)
        return refuse(id, submitted, reason::no_configuration,
                      "this host has no configuration yet");
    if (target == nullptr)
        return refuse(id, submitted, reason::unknown_service,
                      "unknown service \"" + submitted.service.value() + "\"");
    if (!admit(now, id, submitted, *target))
        return;
    const auto pinned = submitted.key ? m_catalog.choose_for_key(*target, *submitted.key)
                                      : m_catalog.choose(*target);
    if (!pinned)
        return refuse(id, submitted, reason::version_unavailable,
                      "no version of the index is known to be served");
    const double time_left = static_cast<double>((submitted.deadline - now).count());
    const duration max_estimated_wait = m_catalog.max_estimated_wait(now, *target, pinned->layout);
    if (static_cast<double>(max_estimated_wait.count()) >=
        m_options.max_queue_wait_fraction * time_left)
        return refuse(id, submitted, reason::overloaded,
                      "the shards' queues are too long for the deadline");
    ++m_counts.admitted;
    ++m_queries_by_service[submitted.service];
    m_deadlines.emplace(submitted.deadline, id);
    running_query& running = m_queries[id];
    running.submitted = std::move(submitted);
    start(id, running, *pinned);
}

// Once half of the places are in use, a service is admitted only up to its share by weight, so
// that no service can take all places.
bool coordinator::admit(time_point now, query_id id, const query& submitted, const service& target)
{
    if (submitted.deadline <= now + m_options.answer_margin)
    {
        refuse(id, submitted, reason::deadline_passed, "the deadline is too near");
        return false;
    }
    std::uint32_t weights = 0;
    for (const auto& [service, each] : m_manifest->services)
        weights += each.limits.weight;
    const std::size_t share =
        std::max<std::size_t>(1, m_options.max_queries * target.limits.weight / weights);
    const bool is_busy = m_queries.size() * 2 >= m_options.max_queries;
    const bool is_over_share = m_queries_by_service[submitted.service] >= share;
    if (m_queries.size() < m_options.max_queries && !(is_busy && is_over_share))
        return true;
    refuse(id, submitted, reason::overloaded, "this host has too many queries under way");
    return false;
}

void coordinator::start(query_id id, running_query& running, const snapshot& pinned)
{
    running.pinned = pinned;
    running.tried_snapshots.push_back(pinned);
    running.parts.clear();
    const layout* part_layout = m_manifest->find(running.submitted.service)->find(pinned.layout);
    const std::size_t shard_count = part_layout->shards.size();
    if (running.submitted.key)
        running.parts.push_back({.number = shard_of_key(*running.submitted.key, shard_count)});
    else
        for (std::uint32_t number = 0; number < shard_count; ++number)
            running.parts.push_back({.number = shard_number{number}});
    running.open_parts = running.parts.size();
    auto& budget = m_budgets.at(running.submitted.service);
    for (std::size_t index = 0; index < running.parts.size(); ++index)
    {
        budget.deposit(0);
        send_part(id, running, index);
    }
}

shard_key coordinator::key_of(const running_query& running, const part& each) const
{
    return {.service = running.submitted.service,
            .layout = running.pinned.layout,
            .number = each.number};
}

void coordinator::send_part(query_id id, running_query& running, std::size_t index)
{
    part& each = running.parts[index];
    each.sub_id = sub_request_id{m_next_sub_request++};
    ++m_counts.sub_requests;
    m_sub_requests[each.sub_id.value()] = {.query = id, .part = index};
    m_actions.send(key_of(running, each),
                   {.id = each.sub_id,
                    .version = running.pinned.version,
                    .deadline = running.submitted.deadline - m_options.answer_margin,
                    .idempotent = running.submitted.idempotent,
                    .request = running.submitted.request,
                    .body = running.submitted.body});
}

void coordinator::on_result(time_point now, const shard_key& shard, sub_request_id id,
                            const sub_result& result)
{
    const auto entry = m_sub_requests.find(id.value());
    if (entry == m_sub_requests.end())
    {
        ++m_counts.unmatched_results;
        return;
    }
    const part_ref found = entry->second;
    running_query& running = m_queries.at(found.query);
    part& each = running.parts[found.part];
    const bool is_mismatched =
        key_of(running, each) != shard ||
        (result.outcome == verdict::done && result.version != running.pinned.version);
    if (is_mismatched)
    {
        ++m_counts.unmatched_results;
        return;
    }
    m_sub_requests.erase(entry);
    m_catalog.update_wait(now, shard, result.estimated_wait);
    if (!result.versions.empty())
        m_catalog.update(now, shard, result.versions, result.estimated_wait);
    if (result.outcome == verdict::may_have_run)
        each.may_have_run = true;
    if (result.outcome != verdict::done)
    {
        if (may_reroute(now, running, each, result))
            return schedule_reroute(now, found.query, running, found.part);
        if (may_restart(now, running, result) && restart(found.query, running))
            return;
    }
    end_part(found.query, running, found.part, result);
}

bool coordinator::may_reroute(time_point now, const running_query& running, const part& ended,
                              const sub_result& result)
{
    if (ended.reroutes >= m_options.max_reroutes ||
        now + reroute_backoff(ended) + m_options.answer_margin >= running.submitted.deadline)
        return false;
    if (result.outcome == verdict::not_run)
        return is_misrouted(result.why);
    return running.submitted.idempotent && result.why == reason::link_lost &&
           m_budgets.at(running.submitted.service).try_withdraw();
}

duration coordinator::reroute_backoff(const part& each) const
{
    return m_options.initial_reroute_backoff * (duration::rep{1} << each.reroutes);
}

void coordinator::schedule_reroute(time_point now, query_id id, running_query& running,
                                   std::size_t index)
{
    part& each = running.parts[index];
    const duration backoff = reroute_backoff(each);
    ++each.reroutes;
    ++m_counts.rerouted;
    each.sub_id = sub_request_id{0};
    m_scheduled_reroutes.emplace(
        now + backoff, scheduled_reroute{.query = id, .part = index, .reroutes = each.reroutes});
}

// A shard no longer serves the pinned version. Rows of different versions must not be mixed, so
// the whole query is restarted on another snapshot if the deadline and the budget allow.
bool coordinator::may_restart(time_point now, const running_query& running,
                              const sub_result& result)
{
    if (result.why != reason::version_unavailable ||
        running.tried_snapshots.size() > m_options.max_restarts || running.submitted.key)
        return false;
    const bool is_safe =
        running.submitted.idempotent ||
        std::all_of(running.parts.begin(), running.parts.end(),
                    [](const part& each)
                    { return each.is_ended && each.result.outcome == verdict::not_run; });
    const duration remaining = running.submitted.deadline - now;
    return is_safe && remaining > m_options.answer_margin * 4;
}

bool coordinator::restart(query_id id, running_query& running)
{
    const service* target = m_manifest->find(running.submitted.service);
    const auto pinned =
        target != nullptr ? m_catalog.choose(*target, running.tried_snapshots) : std::nullopt;
    const auto cost = static_cast<double>(running.parts.size());
    if (!pinned || pinned->version < running.pinned.version ||
        !m_budgets.at(running.submitted.service).try_withdraw(cost))
        return false;
    ++m_counts.restarted;
    m_counts.discarded_sub_requests += running.parts.size();
    cancel_sub_requests(running);
    start(id, running, *pinned);
    return true;
}

void coordinator::end_part(query_id id, running_query& running, std::size_t index,
                           const sub_result& result)
{
    part& each = running.parts[index];
    if (each.is_ended)
        return;
    each.is_ended = true;
    each.result = result;
    if (each.may_have_run && result.outcome == verdict::not_run)
        each.result.outcome = verdict::may_have_run;
    if (--running.open_parts == 0)
        finish(id, running);
}

void coordinator::on_timer(time_point now)
{
    while (!m_scheduled_reroutes.empty() && m_scheduled_reroutes.begin()->first <= now)
    {
        const scheduled_reroute due = m_scheduled_reroutes.begin()->second;
        m_scheduled_reroutes.erase(m_scheduled_reroutes.begin());
        const auto found = m_queries.find(due.query);
        if (found == m_queries.end() || due.part >= found->second.parts.size())
            continue;
        const part& each = found->second.parts[due.part];
        if (!each.is_ended && each.reroutes == due.reroutes && each.sub_id.value() == 0)
            send_part(due.query, found->second, due.part);
    }
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now + m_options.answer_margin / 2)
        expire(m_deadlines.begin()->second);
}

void coordinator::expire(query_id id)
{
    running_query& running = m_queries.at(id);
    for (part& each : running.parts)
    {
        if (each.is_ended)
            continue;
        // A part that waits for its next route was last refused as not run.
        const bool was_sent = each.sub_id.value() != 0;
        each.is_ended = true;
        each.result = {.outcome =
                           was_sent || each.may_have_run ? verdict::may_have_run : verdict::not_run,
                       .why = reason::deadline_passed,
                       .message = "the deadline passed before the shard answered"};
    }
    finish(id, running);
}

void coordinator::finish(query_id id, running_query& running)
{
    const answer response = make_answer(running);
    if (response.outcome != verdict::done)
        ++m_counts.failed;
    else if (response.missing.empty())
        ++m_counts.done;
    else
        ++m_counts.partial;
    cancel_sub_requests(running);
    remove_query(id);
    m_actions.complete(id, response);
}

answer coordinator::make_answer(const running_query& running) const
{
    answer response{.outcome = verdict::done,
                    .request = running.submitted.request,
                    .service = running.submitted.service,
                    .layout = running.pinned.layout,
                    .version = running.pinned.version,
                    .shards_expected = running.parts.size()};
    verdict missing_outcome = verdict::not_run;
    for (const part& each : running.parts)
    {
        if (each.result.outcome == verdict::done)
        {
            ++response.shards_answered;
            response.rows.push_back(each.result.rows);
            continue;
        }
        missing_outcome = combine(missing_outcome, each.result.outcome);
        response.missing.push_back(
            {.number = each.number, .outcome = each.result.outcome, .why = each.result.why});
        response.why = each.result.why;
        response.message = each.result.message;
    }
    if (response.shards_answered == 0)
        response.outcome = missing_outcome;
    else if (!running.submitted.idempotent && !response.missing.empty())
        response.outcome = verdict::may_have_run;
    return response;
}

void coordinator::cancel_sub_requests(running_query& running)
{
    for (part& each : running.parts)
    {
        if (each.sub_id.value() == 0 || m_sub_requests.erase(each.sub_id.value()) == 0)
            continue;
        m_actions.cancel(key_of(running, each), each.sub_id);
    }
}

void coordinator::abandon(query_id id)
{
    const auto found = m_queries.find(id);
    if (found == m_queries.end())
        return;
    cancel_sub_requests(found->second);
    remove_query(id);
}

void coordinator::remove_query(query_id id)
{
    const auto found = m_queries.find(id);
    m_deadlines.erase({found->second.submitted.deadline, id});
    --m_queries_by_service[found->second.submitted.service];
    m_queries.erase(found);
}

void coordinator::refuse(query_id id, const query& submitted, reason why,
                         const std::string& message)
{
    ++m_counts.refused;
    m_actions.complete(id, {.outcome = verdict::not_run,
                            .why = why,
                            .message = message,
                            .request = submitted.request,
                            .service = submitted.service});
}

time_point coordinator::next_timer() const
{
    time_point next = m_scheduled_reroutes.empty() ? never : m_scheduled_reroutes.begin()->first;
    if (!m_deadlines.empty())
        next = std::min(next, m_deadlines.begin()->first - m_options.answer_margin / 2);
    return next;
}

} // namespace tanagerspur
