// The core of a host: every decision of the daemon, on one thread, driven by events and time.
// It joins the aggregates (configuration, assignment and tenure, peers, shards, queries) and
// has no sockets, threads or clock; host_environment is all that it can touch.
//
// Sources: host_core.cpp (events and time), core_queries.cpp (callers), core_routing.cpp
// (sub-requests between hosts), core_state.cpp (manifest, assignment, planning),
// core_membership.cpp (heartbeats and probes), core_report.cpp (dump, status, metrics).

#ifndef TANAGERSPUR_HOST_HOST_CORE_HPP
#define TANAGERSPUR_HOST_HOST_CORE_HPP

#include "tanagerspur/common/latency_histogram.hpp"
#include "tanagerspur/entry/address_book.hpp"
#include "tanagerspur/host/events.hpp"
#include "tanagerspur/host/lifecycle.hpp"
#include "tanagerspur/host/settings.hpp"
#include "tanagerspur/host/shard_set.hpp"
#include "tanagerspur/manifest/configuration.hpp"
#include "tanagerspur/membership/peer_table.hpp"
#include "tanagerspur/ownership/capacity_rights.hpp"
#include "tanagerspur/query/coordinator.hpp"
#include "tanagerspur/query/request_ledger.hpp"

#include <boost/json/value.hpp>
#include <boost/random/mersenne_twister.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>

namespace tanagerspur
{

// What the core may do to the world. Called on the core's thread only.
class host_environment
{
public:
    virtual ~host_environment() = default;

    virtual void to_target(target_command command) = 0;
    // Opens the stream to a peer unless it is open.
    virtual void connect(const host_id& peer, const std::string& address) = 0;
    virtual void disconnect(const host_id& peer) = 0;
    // False when nothing of the frame was or will be sent.
    virtual bool send(const host_id& peer, const wire::frame& frame) = 0;
    virtual bool reply(const host_id& peer, const wire::frame& frame) = 0;
    // Tries a peer's port; a port_probed event follows.
    virtual void probe(const host_id& peer, const std::string& address) = 0;
    // Answers arrive as store_answered and hosts_listed events.
    virtual key_value_store& store() = 0;
    // The drain is over; the process may end.
    virtual void on_stopped() = 0;
    // Counters of the adapters, for the dump.
    virtual boost::json::object adapter_report() = 0;
};

struct host_core_options
{
    host_settings settings;
    incarnation start;
    std::uint64_t random_seed = 0;
    capacity_rights_options capacity_rights;
    request_ledger_options ledger;
};

class host_core final : query_actions, shard_set_actions
{
public:
    host_core(host_core_options options, host_environment& environment);

    void handle(time_point now, core_event event);
    void on_timer(time_point now);
    time_point next_timer() const;

private:
    // A caller's request under way.
    struct open_call
    {
        std::uint64_t token = 0;
        http_responder respond;
        time_point started;
        service_id service;
        // Set for a request that is not idempotent: its entry in the ledger.
        request_id ledger_entry;
    };
    // A sub-request that was sent to a peer.
    struct remote_sub
    {
        host_id host;
        shard_key shard;
        // Where the result goes; an empty host means this host's coordinator.
        sub_origin origin;
    };
    // A result that waits until the present event is handled.
    struct local_result
    {
        shard_key shard;
        sub_request_id id;
        sub_result result;
    };
    struct sent_beat
    {
        std::uint64_t sequence = 0;
        time_point sent;
    };
    struct peer_link
    {
        std::deque<sent_beat> beats;
        time_point next_heartbeat = time_point::min();
        time_point next_probe = time_point::min();
        bool was_silent = false;
    };
    struct forwarded
    {
        http_responder respond;
        host_id home;
        request_id request;
    };
    struct service_metrics
    {
        latency_histogram latency;
        std::map<int, std::uint64_t> by_status;
    };

    // query_actions
    void send(const shard_key& shard, const sub_request& request) override;
    void cancel(const shard_key& shard, sub_request_id id) override;
    void complete(query_id id, const answer& result) override;
    // shard_set_actions
    void to_target(target_command command) override;
    void deliver(const sub_origin& origin, const shard_key& shard,
                 const sub_result& result) override;

    void on_event(const caller_arrived& event);
    void on_event(const caller_gone& event);
    void on_event(const operator_arrived& event);
    void on_event(request_frame_arrived& event);
    void on_event(reply_frame_arrived& event);
    void on_event(const link_lost& event);
    void on_event(const attempt_ended& event);
    void on_event(const load_reported& event);
    void on_event(const store_answered& event);
    void on_event(const hosts_listed& event);
    void on_event(const port_probed& event);
    void on_event(const drain_wanted& event);
    void settle();
    void flush();
    bool is_drained();

    // Queries.
    void serve_query(const http_call& call, std::uint64_t token, http_responder respond);
    void start_query(query wanted, std::uint64_t token, http_responder respond);
    bool claim_request(query& wanted, const http_call& call, const http_responder& respond);
    void forward_call(const http_call& call, const request_id& request, const host_id& home,
                      http_responder respond);
    void on_forwarded_call(const host_id& from, const wire::forwarded_call& call);
    void on_forwarded_reply(const wire::forwarded_reply& reply);
    void answer_recorded(const request_id& request, const http_responder& respond);
    entry_self self_entry() const;

    // Sub-requests between hosts.
    void route(const shard_key& shard, const sub_origin& origin, const sub_request& request,
               bool relayed);
    bool send_remote(const host_id& to, const shard_key& shard, const sub_origin& origin,
                     const sub_request& request, bool relayed);
    bool serve_here(const shard_key& shard, const sub_origin& origin, const sub_request& request);
    void on_sub_request(const host_id& from, const wire::sub_request& message);
    void on_sub_reply(const host_id& from, const wire::sub_reply& message);
    void on_cancelled(const host_id& from, std::uint64_t id);
    void fail_remote_subs(const host_id& peer);
    void refuse(const shard_key& shard, const sub_origin& origin, reason why);

    // Shared state.
    void watch_manifest();
    void watch_assignment();
    void list_hosts();
    void read_assignment();
    void on_manifest_text(const std::string& text);
    void on_assignment_value(const store_value& value);
    bool install_assignment(const std::string& text);
    void reinstall();
    void begin_serving();
    void plan_changes();
    std::optional<assignment_table> next_table();
    std::optional<assignment_table> next_takeover();
    void write_assignment(const assignment_table& table);
    void on_written(const assignment_table& table, const store_result& result);
    void end_write();
    void update_leaving_targets();
    duration backoff(std::uint32_t failures);
    duration jitter(duration base);

    // Membership.
    void tick_peers();
    void send_beat(const host_id& peer, peer_link& link);
    void fill_heartbeat(wire::heartbeat& beat, bool with_shards);
    void on_heartbeat(const host_id& from, const wire::heartbeat& beat);
    void on_beat_reply(const host_id& from, const wire::heartbeat_reply& reply);
    void learn(const host_id& from, const wire::heartbeat& beat);
    void ask_values(const host_id& from, const wire::heartbeat& beat);
    void probe_silent(const host_id& peer, peer_link& link);
    void on_reach_request(const host_id& from, const wire::reach_request& request);

    // Reports.
    void serve_operator(const http_call& call, const http_responder& respond);
    boost::json::object dump();
    boost::json::object dump_shards();
    boost::json::object dump_peers();
    boost::json::object status();
    std::string metrics();

    host_core_options m_options;
    host_environment& m_environment;
    time_point m_now;
    boost::random::mt19937_64 m_random;

    configuration m_configuration;
    peer_table m_peers;
    capacity_rights m_capacity_rights;
    shard_set m_shards;
    coordinator m_coordinator;
    request_ledger m_ledger;
    lifecycle m_life;

    std::map<query_id, open_call> m_calls;
    std::map<std::uint64_t, query_id> m_query_of_token;
    std::map<std::uint64_t, forwarded> m_forwarded;
    std::uint64_t m_next_query = 1;
    std::uint64_t m_next_forward = 1;

    boost::unordered_flat_map<std::uint64_t, remote_sub> m_remote_subs;
    std::map<sub_origin, std::uint64_t> m_relayed;
    std::map<sub_origin, shard_key> m_served;
    std::uint64_t m_next_remote = 1;
    std::vector<local_result> m_results;
    std::map<host_id, wire::frame> m_requests_out;
    std::map<host_id, wire::frame> m_replies_out;

    std::map<host_id, peer_link> m_links;
    std::uint64_t m_next_beat = 1;
    std::uint64_t m_next_reach = 1;

    std::uint64_t m_manifest_version = 0;
    std::uint64_t m_assignment_version = 0;
    std::uint32_t m_manifest_failures = 0;
    std::uint32_t m_assignment_failures = 0;
    bool m_manifest_watching = false;
    bool m_assignment_watching = false;
    bool m_assignment_reading = false;
    bool m_writing = false;
    bool m_table_known = false;
    std::optional<host_id> m_deposing;
    time_point m_store_read_sent = time_point::min();
    epoch m_store_epoch;
    time_point m_next_manifest_watch = time_point::min();
    time_point m_next_assignment_watch = time_point::min();
    time_point m_next_assignment_read = time_point::min();
    time_point m_next_list = time_point::min();
    time_point m_next_plan = time_point::min();
    time_point m_next_rebalance = time_point::min();
    time_point m_next_tick = time_point::min();
    time_point m_next_load_poll = time_point::min();
    time_point m_started = time_point::min();
    // When a manifest and a table were first both there.
    time_point m_installed = time_point::min();
    std::map<endpoint, time_point> m_peer_leaving;

    std::map<service_id, service_metrics> m_metrics;
    std::uint64_t m_may_have_run_repeats = 0;
    bool m_stopped = false;
};

} // namespace tanagerspur

#endif
