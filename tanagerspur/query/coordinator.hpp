// The coordinator of queries at an entry host. It admits a query, pins it to one snapshot, sends a
// sub-request to each shard, collects the results and merges them into one answer.
//
// It is deterministic: its inputs are the time and events, its outputs are calls of query_actions.
// It guarantees:
//   - every query ends with exactly one answer, at its deadline at the latest, provided that
//     on_timer is called when next_timer asks for it;
//   - all rows of an answer come from one snapshot;
//   - a result is accepted once, and only for the query, shard and snapshot that it was requested
//     for; any other result is dropped and counted;
//   - coverage names every shard that the answer lacks, with the reason;
//   - not_run is answered only if no part of the query ran or can still run;
//   - a shard's part of a query that is not idempotent is sent again only after not_run.

#ifndef TANAGERSPUR_QUERY_COORDINATOR_HPP
#define TANAGERSPUR_QUERY_COORDINATOR_HPP

#include "tanagerspur/dispatch/budget.hpp"
#include "tanagerspur/dispatch/sub_request.hpp"
#include "tanagerspur/query/version_catalog.hpp"

#include <boost/unordered/unordered_flat_map.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tanagerspur
{

// Identifies a query in progress at this host.
using query_id = detail::strong_id<struct query_tag, std::uint64_t>;

struct query
{
    request_id request;
    service_id service;
    // Set for a look-up, which is sent only to the shard that holds the key.
    std::optional<std::string> key;
    std::shared_ptr<const std::string> body;
    time_point deadline;
    bool idempotent = true;
};

struct missing_shard
{
    shard_number number;
    verdict outcome = verdict::not_run;
    reason why = reason::none;
};

struct answer
{
    verdict outcome = verdict::not_run;
    reason why = reason::none;
    std::string message;
    request_id request;
    service_id service;
    layout_id layout;
    index_version version;
    std::size_t shards_expected = 0;
    std::size_t shards_answered = 0;
    std::vector<missing_shard> missing;
    // One JSON array for each shard that answered, in the order of the shards.
    std::vector<std::shared_ptr<const std::string>> rows;
};

// The operations that the coordinator needs from its host. They may be called from within any of
// the coordinator's functions and must not call it back.
class query_actions
{
public:
    virtual ~query_actions() = default;

    // Sends a sub-request to the host that serves the shard. It ends with on_result.
    virtual void send(const shard_key& shard, const sub_request& request) = 0;
    // Cancels a sub-request whose result is no longer needed.
    virtual void cancel(const shard_key& shard, sub_request_id id) = 0;
    virtual void complete(query_id id, const answer& result) = 0;
};

struct coordinator_options
{
    // Maximum number of queries in progress, over all services.
    std::size_t max_queries = 10'000;
    // The deadline of sub-requests is this long before the query's, to leave time for the answer.
    duration answer_margin = std::chrono::milliseconds{3};
    // Maximum number of times that one shard's part is rerouted.
    std::uint32_t max_reroutes = 6;
    // Backoff before the first reroute; it doubles with each further one.
    duration initial_reroute_backoff = std::chrono::milliseconds{2};
    // Maximum number of other snapshots on which a query is restarted.
    std::uint32_t max_restarts = 2;
    // A query is refused if the estimated queue wait is this fraction of its remaining time or
    // more.
    double max_queue_wait_fraction = 0.5;
};

struct coordinator_counts
{
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t done = 0;
    std::uint64_t partial = 0;
    std::uint64_t failed = 0;
    std::uint64_t sub_requests = 0;
    std::uint64_t rerouted = 0;
    std::uint64_t restarted = 0;
    // Sub-requests whose work was discarded because their query was restarted.
    std::uint64_t discarded_sub_requests = 0;
    std::uint64_t unmatched_results = 0;
};

class coordinator
{
public:
    coordinator(coordinator_options options, query_actions& actions);

    void set_manifest(std::shared_ptr<const manifest> present);

    // Starts a query. The answer may be given before the function returns.
    void submit(time_point now, query_id id, query submitted);
    void on_result(time_point now, const shard_key& shard, sub_request_id id,
                   const sub_result& result);
    // Ends a query whose caller has disconnected: cancels its sub-requests and gives no answer.
    void abandon(query_id id);
    void on_timer(time_point now);
    time_point next_timer() const;

    version_catalog& catalog() { return m_catalog; }
    std::size_t queries_in_progress() const { return m_queries.size(); }
    const coordinator_counts& counts() const { return m_counts; }

private:
    struct part
    {
        shard_number number;
        sub_request_id sub_id;
        bool is_ended = false;
        std::uint32_t reroutes = 0;
        bool may_have_run = false;
        sub_result result;
    };

    struct running_query
    {
        query submitted;
        snapshot pinned;
        std::vector<snapshot> tried_snapshots;
        std::vector<part> parts;
        std::size_t open_parts = 0;
    };

    struct part_ref
    {
        query_id query;
        std::size_t part = 0;
    };

    struct scheduled_reroute
    {
        query_id query;
        std::size_t part = 0;
        std::uint32_t reroutes = 0;
    };

    bool admit(time_point now, query_id id, const query& submitted, const service& target);
    void start(query_id id, running_query& running, const snapshot& pinned);
    void send_part(query_id id, running_query& running, std::size_t index);
    bool may_reroute(time_point now, const running_query& running, const part& ended,
                     const sub_result& result);
    duration reroute_backoff(const part& each) const;
    void schedule_reroute(time_point now, query_id id, running_query& running, std::size_t index);
    bool may_restart(time_point now, const running_query& running, const sub_result& result);
    bool restart(query_id id, running_query& running);
    void end_part(query_id id, running_query& running, std::size_t index, const sub_result& result);
    void expire(query_id id);
    void finish(query_id id, running_query& running);
    answer make_answer(const running_query& running) const;
    void cancel_sub_requests(running_query& running);
    void refuse(query_id id, const query& submitted, reason why, const std::string& message);
    void remove_query(query_id id);
    shard_key key_of(const running_query& running, const part& each) const;

    coordinator_options m_options;
    query_actions& m_actions;
    std::shared_ptr<const manifest> m_manifest;
    version_catalog m_catalog;
    std::map<query_id, running_query> m_queries;
    boost::unordered_flat_map<std::uint64_t, part_ref> m_sub_requests;
    std::multimap<time_point, scheduled_reroute> m_scheduled_reroutes;
    std::set<std::pair<time_point, query_id>> m_deadlines;
    std::map<service_id, std::size_t> m_queries_by_service;
    std::map<service_id, extra_load_budget> m_budgets;
    std::uint64_t m_next_sub_request = 1;
    coordinator_counts m_counts;
};

} // namespace tanagerspur

#endif
