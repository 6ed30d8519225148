// The life cycle of an attempt: its start, its end, and the retry, result or failure that follows.

#include "tanagerspur/dispatch/shard_dispatcher.hpp"

#include <algorithm>

namespace tanagerspur
{

namespace
{

// True if the end shows that the replica did not run the work.
bool guarantees_not_run(attempt_end end)
{
    return end == attempt_end::refused || end == attempt_end::draining ||
           end == attempt_end::version_missing || end == attempt_end::not_connected;
}

reason reason_of(attempt_end end)
{
    switch (end)
    {
    case attempt_end::answered:
        return reason::none;
    case attempt_end::refused:
    case attempt_end::draining:
        return reason::target_refused;
    case attempt_end::version_missing:
        return reason::version_unavailable;
    case attempt_end::not_connected:
        return reason::replicas_unavailable;
    case attempt_end::cancelled:
        return reason::cancelled;
    case attempt_end::failed:
        return reason::target_error;
    case attempt_end::lost:
        return reason::connection_lost;
    }
    return reason::target_error;
}

} // namespace

void shard_dispatcher::start_attempt(time_point now, pending& entry, std::size_t replica,
                                     bool is_hedge)
{
    const attempt_id id{m_next_attempt++};
    const time_point deadline =
        std::min(entry.request.deadline, now + m_options.limits.max_attempt_time);
    ++entry.attempts;
    ++entry.running;
    if (entry.attempts == 1)
    {
        ++m_counts.first_attempts;
        update_utilisation();
        m_hedge_budget.deposit(m_utilisation);
        m_repeat_budget.deposit(m_utilisation);
    }
    ++m_replicas[replica].in_flight;
    ++m_in_flight;
    m_attempts.push_back({.id = id,
                          .parent_id = entry.request.id,
                          .replica = replica,
                          .started = now,
                          .deadline = deadline,
                          .is_hedge = is_hedge});
    m_actions.send(id, replica, entry.request, deadline);
}

void shard_dispatcher::on_result(time_point now, attempt_id id, const attempt_result& result)
{
    const auto found = std::find_if(m_attempts.begin(), m_attempts.end(),
                                    [&](const attempt& each) { return each.id == id; });
    if (found == m_attempts.end() || id.value() == 0)
    {
        ++m_counts.unmatched_results;
        return;
    }
    const attempt ended = *found;
    if (result.end == attempt_end::lost && now < ended.deadline)
    {
        // The replica may continue working until the deadline that was sent to it, so the attempt
        // occupies its slot until then.
        found->id = attempt_id{0};
        found->is_abandoned = true;
    }
    else
    {
        m_attempts.erase(found);
        --m_replicas[ended.replica].in_flight;
        --m_in_flight;
    }
    update_replica(now, ended, result);
    update_sub_request(now, ended, result);
    start_queued(now);
    hedge(now);
}

// Updates the replica's health and latency from the end of an attempt.
void shard_dispatcher::update_replica(time_point now, const attempt& ended,
                                      const attempt_result& result)
{
    replica_state& state = m_replicas[ended.replica];
    const duration latency = now - ended.started;
    switch (result.end)
    {
    case attempt_end::answered:
        state.health.on_success(now);
        record_latency(state, latency);
        break;
    case attempt_end::draining:
        state.draining = true;
        break;
    case attempt_end::lost:
        // A loss on a reused connection may be a stale connection, so it is not counted against
        // the replica.
        if (!result.reused_connection)
            state.health.on_failure(now);
        break;
    case attempt_end::not_connected:
    case attempt_end::failed:
        state.health.on_failure(now);
        break;
    case attempt_end::cancelled:
        // An attempt that was cancelled after its hedge had answered still shows the replica's
        // latency.
        record_latency(state, latency);
        break;
    case attempt_end::refused:
    case attempt_end::version_missing:
        break;
    }
}

// Limits the sample for the replica's mean to a multiple of the overall mean, because a single
// straggler says little about its replica.
void shard_dispatcher::record_latency(replica_state& state, duration latency)
{
    constexpr double max_over_mean = 4;
    m_hedge_latency.record(latency);
    m_mean_latency.record(latency);
    const duration most{static_cast<duration::rep>(max_over_mean * m_mean_latency.mean_us())};
    state.latency.record(std::min(latency, most));
}

// Updates the replica's versions from a refusal, which is more recent than its last report.
void shard_dispatcher::update_versions(std::size_t replica, const attempt_result& result,
                                       index_version requested)
{
    if (result.end != attempt_end::version_missing)
        return;
    replica_state& state = m_replicas[replica];
    if (!result.versions.empty())
        set_versions(state, result.versions);
    std::erase(state.versions, requested);
}

void shard_dispatcher::update_sub_request(time_point now, const attempt& ended,
                                          const attempt_result& result)
{
    const auto found = m_pending.find(ended.parent_id.value());
    if (ended.is_abandoned || found == m_pending.end())
        return;
    pending& entry = found->second;
    --entry.running;
    update_versions(ended.replica, result, entry.request.version);
    if (result.end == attempt_end::answered && result.version == entry.request.version)
    {
        if (ended.is_hedge)
            ++m_counts.hedge_wins;
        return finish(entry,
                      {.outcome = verdict::done, .version = result.version, .rows = result.rows});
    }
    entry.excluded |= std::uint64_t{1} << ended.replica;
    if (result.end == attempt_end::version_missing)
        entry.lacking_version |= std::uint64_t{1} << ended.replica;
    if (!guarantees_not_run(result.end))
        entry.may_have_run = true;
    entry.last_message = result.message;
    entry.last_reason = reason_of(result.end);
    // The other attempt of a hedged pair is still in flight and may answer.
    if (entry.running > 0)
        return;
    retry_or_fail(now, entry, ended, result.end);
}

void shard_dispatcher::retry_or_fail(time_point now, pending& entry, const attempt& ended,
                                     attempt_end end)
{
    if (entry.request.deadline <= now)
        return fail(entry, reason::deadline_passed, "the deadline passed during the attempt");
    const bool has_attempts = entry.attempts < m_options.max_attempts;
    if (guarantees_not_run(end) && !entry.may_have_run && has_attempts)
    {
        // A replica that sheds load may accept the request later.
        if (end == attempt_end::refused && has_no_eligible_replica(entry))
            entry.excluded &= entry.lacking_version;
        return requeue(entry);
    }
    const bool may_repeat = entry.request.idempotent && has_attempts;
    const bool cannot_have_run = guarantees_not_run(end);
    if (may_repeat && (cannot_have_run || m_repeat_budget.try_withdraw()))
    {
        m_counts.repeats += cannot_have_run ? 0 : 1;
        // No other replica is eligible, so the same one is tried again over a new connection.
        if (has_no_eligible_replica(entry))
            entry.excluded &= ~(std::uint64_t{1} << ended.replica);
        return requeue(entry);
    }
    fail(entry, entry.last_reason, entry.last_message);
}

void shard_dispatcher::requeue(pending& entry)
{
    ++m_counts.retries;
    entry.is_queued = true;
    m_queue.emplace(entry.position, entry.request.id);
}

void shard_dispatcher::fail(pending& entry, reason why, const std::string& message)
{
    sub_result result{.outcome = entry.may_have_run ? verdict::may_have_run : verdict::not_run,
                      .why = why,
                      .message = message,
                      .version = entry.request.version,
                      .rows = {}};
    if (why == reason::version_unavailable)
        result.versions = versions();
    finish(entry, std::move(result));
}

void shard_dispatcher::finish(pending& entry, sub_result result)
{
    result.attempts = entry.attempts;
    result.estimated_wait = estimated_wait();
    switch (result.outcome)
    {
    case verdict::done:
        ++m_counts.done;
        break;
    case verdict::not_run:
        ++m_counts.not_run;
        break;
    case verdict::may_have_run:
        ++m_counts.may_have_run;
        break;
    }
    const sub_request_id id = entry.request.id;
    m_pending.erase(id.value());
    abandon_attempts(id);
    m_actions.complete(id, result);
}

// Cancels the attempts of a finished sub-request. They count as in flight until the replica
// confirms that they have stopped.
void shard_dispatcher::abandon_attempts(sub_request_id id)
{
    for (attempt& each : m_attempts)
    {
        if (each.parent_id != id || each.is_abandoned)
            continue;
        each.is_abandoned = true;
        m_actions.cancel(each.id, each.replica);
    }
}

} // namespace tanagerspur
