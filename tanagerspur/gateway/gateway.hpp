// The forwarding daemon of one host. Connects the mirror of the platform's store, the replica
// registry, the forwarder, the connections to replicas and the server for callers. Runs on a single
// thread, that of the io_context; only log lines are written by another thread.
//
//   gateway host{io, settings, header_names, codec, store};
//   std::string error = host.start();
//   io.run();          // returns after stop() once requests have ended

#ifndef TANAGERSPUR_GATEWAY_GATEWAY_HPP
#define TANAGERSPUR_GATEWAY_GATEWAY_HPP

#include "tanagerspur/common/event_log.hpp"
#include "tanagerspur/common/latency_histogram.hpp"
#include "tanagerspur/forwarding/forwarder.hpp"
#include "tanagerspur/gateway/cpu_load_estimator.hpp"
#include "tanagerspur/gateway/host_directory.hpp"
#include "tanagerspur/gateway/host_monitor.hpp"
#include "tanagerspur/gateway/overload_detector.hpp"
#include "tanagerspur/gateway/pause_detector.hpp"
#include "tanagerspur/gateway/settings.hpp"
#include "tanagerspur/gateway/stop_schedule.hpp"
#include "tanagerspur/net/host_connections.hpp"
#include "tanagerspur/net/http_server.hpp"
#include "tanagerspur/net/ingress_server.hpp"
#include "tanagerspur/net/replica_pool.hpp"
#include "tanagerspur/quarantine/request_quarantine.hpp"
#include "tanagerspur/registry/replica_registry.hpp"
#include "tanagerspur/store/host_registration.hpp"
#include "tanagerspur/store/relay_server.hpp"
#include "tanagerspur/store/relayed_store.hpp"
#include "tanagerspur/store/store_codec.hpp"
#include "tanagerspur/store/store_mirror.hpp"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <random>
#include <unordered_map>

namespace tanagerspur
{

class metrics_text;

class gateway final : private mirror_observer,
                      private registry_observer,
                      private reachability_observer,
                      private forwarder_environment,
                      private ingress_handler
{
public:
    gateway(boost::asio::io_context& io, gateway_settings settings, wire_header_names header_names,
            const store_codec& codec, shared_store& store);
    ~gateway() override;

    // Listens for callers and starts to read the store. Returns an error text, empty on success.
    std::string start();

    // Directs callers to other hosts, answers the requests already read, then calls the handler.
    void stop(std::function<void()> stopped);

    // Logs and counts an unexpected error that ended the named operation.
    void report_error(std::string_view what, const std::exception& error);

    // Applies the settings that can change without a restart.
    void reload(const gateway_settings& settings);

    // True while this host may be advertised to callers.
    bool is_ready() const;
    // Returns addresses for a caller in the zone. From then on, the reachability of the hosts of
    // its zone is known.
    std::vector<endpoint> addresses(const zone_id& caller_zone, std::size_t max_count);
    std::chrono::seconds address_validity() const { return m_settings.address_validity; }

    // Returns counters and latencies in the Prometheus exposition format.
    std::string metrics() const;
    // Returns the state of every aggregate as JSON.
    std::string dump() const;

private:
    duration on_first_read(const std::vector<store_change>& items) override;
    void on_full_read(full_read_cause why, store_position as_of) override;
    void on_page_repeated(const std::string& last_key) override;
    void on_store_restored(store_position now, store_position last_known) override;
    void on_snapshot(const std::vector<store_change>& items) override;
    void on_change(const store_change& change) override;
    void on_read() override;
    void on_store_lost() override;
    void on_store_regained() override;

    void reachability_changed(const host_id& id, reachability current) override;

    // Number of other replicas of the same service.
    std::size_t others_of(const replica& which) const;
    void replica_added(const replica& added) override;
    void replica_left(const replica& left, removal why) override;
    void replica_entry_outdated(const replica_record& entry) override;
    void replica_leaving(const replica& which) override;
    void replica_paused(const replica& which, duration pause) override;
    void replica_limited(const replica& which, std::optional<request_rate> limit) override;

    void send(const attempt_order& order) override { m_pool.send(order); }
    void abort_at(std::uint64_t attempt, time_point end) override { m_pool.abort_at(attempt, end); }
    void abort(std::uint64_t attempt) override { m_pool.abort(attempt); }
    bool withdraw(std::uint64_t attempt) override { return m_pool.withdraw(attempt); }
    bool has_free_connection(const replica& at) override { return m_pool.has_free_connection(at); }
    void answer(exchange_id exchange, caller_answer answer) override;
    void wake_at(exchange_id exchange, time_point when) override;
    void on_exchange_finished(const exchange_summary& summary) override;
    void on_attempt_event(const attempt_event& note) override;
    void on_suspect(const caller_request& request,
                    const std::vector<replica_incarnation>& lost_at) override;

    void on_request(session_id session, inbound_request request) override;
    void on_caller_disconnected(session_id session) override;
    void on_rejected(int status, std::string_view why) override;

    // What a snapshot holds besides what is applied item by item.
    struct snapshot_contents
    {
        std::vector<replica_record> replicas;
        std::vector<host_id> hosts;
        bool has_own_entry = false;
    };

    // Runs the operation; an exception ends only it, and is reported under the name.
    template<class Operation> void run_guarded(std::string_view name, Operation&& operation);
    void apply_snapshot(const std::vector<store_change>& items);
    void apply_item(const store_change& item, snapshot_contents& contents);
    void apply_change(const store_change& change);
    void apply_configuration(const std::string& value);
    void apply_replica(const replica_id& id, const std::string& value);
    void apply_host(const host_id& id, const std::string& value);
    void on_cleared(const caller_request& request) override;
    void apply_quarantine(const request_fingerprint& request, const std::string& value);
    void tell_hosts(const quarantine_notice& notice);
    void confirm_quarantines(time_point now);
    void on_hosts_changed();
    void publish_own_entry();
    void update_registration(time_point now);
    void refuse(session_id session, const inbound_request& request, int status,
                std::string_view why, std::optional<duration> retry_after = std::nullopt);
    void unlink_exchange(exchange_id exchange);
    void report_requests(metrics_text& text) const;
    void report_services(metrics_text& text) const;
    void report_state(metrics_text& text) const;
    void report_store(metrics_text& text) const;
    void report_latencies(metrics_text& text) const;
    void schedule_tick();
    void tick(time_point due);
    void set_limit_share(double share);
    void update_readers();
    void update_watched_hosts();
    void update_load(time_point now, duration lateness);
    stop_options stop_times() const;
    void advance_stop(time_point now);
    time_point host_entry_expiry() const;

    boost::asio::io_context& m_io;
    gateway_settings m_settings;
    wire_header_names m_header_names;
    const store_codec& m_codec;
    relayed_store m_store;
    // The last answered watch went to the store itself.
    bool m_has_read_store = false;
    event_log m_log;
    // A separate log with its own rate limit, so that many failed attempts do not displace the
    // lines of requests.
    event_log m_attempt_log;
    // Requests answered completely and within the latency objective; a sample of them is logged.
    std::uint64_t m_requests_within_objective = 0;
    replica_registry m_registry;
    replica_pool m_pool;
    forwarder m_forwarder;
    request_quarantine m_quarantine;
    std::uint64_t m_quarantined_requests = 0;
    ingress_server m_ingress;
    store_mirror m_mirror;
    host_registration m_registration;
    host_directory m_directory;
    host_connections m_host_connections;
    host_monitor m_host_monitor;
    // Zones whose callers ask this host for addresses.
    std::set<zone_id> m_caller_zones;
    std::uint64_t m_hosts_lost = 0;
    // Replicas that announced in an answer that they are leaving.
    std::uint64_t m_replicas_leaving = 0;
    // Entries from before their replicas left.
    std::uint64_t m_outdated_entries = 0;
    // Answers of replicas that wanted no requests for a while.
    std::uint64_t m_replica_pauses = 0;
    relay_server m_relay;
    http_server m_relay_http;
    overload_detector m_overload_detector;
    cpu_load_estimator m_cpu_load;
    pause_detector m_pause_detector;
    std::mt19937_64 m_random;
    std::shared_ptr<const route_table> m_table;
    std::unordered_map<std::uint64_t, std::unique_ptr<boost::asio::steady_timer>> m_timers;
    // Session of each exchange, and exchange of each session.
    std::unordered_map<std::uint64_t, session_id> m_sessions;
    std::unordered_map<std::uint64_t, exchange_id> m_exchanges;
    std::uint64_t m_next_exchange = 1;
    boost::asio::steady_timer m_tick_timer;
    time_point m_tick_due{};
    // Number of hosts that share connections and extra attempts; 0 while this host is not
    // advertised.
    std::size_t m_sharing_hosts = 0;
    bool m_has_first_read = false;
    std::uint64_t m_full_reads = 0;
    std::uint64_t m_repeated_pages = 0;
    std::uint64_t m_store_restores = 0;
    bool m_has_snapshot = false;
    // True once this host publishes an entry in the store.
    bool m_is_registered = false;
    time_point m_next_registration_check{};
    bool m_is_stopping = false;
    time_point m_started;
    time_point m_stop_requested_at{};
    std::function<void()> m_stopped;
    std::uint64_t m_malformed_values = 0;
    std::uint64_t m_unexpected_errors = 0;
    std::uint64_t m_requests_without_route = 0;
    latency_histogram m_success_latency;
    latency_histogram m_other_latency;
};

} // namespace tanagerspur

#endif
