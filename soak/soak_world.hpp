// The soak's world: store, replicas, hosts as processes, callers, a schedule of faults that a seed
// draws, and the promises that are checked while it runs.

#ifndef TANAGERSPUR_SOAK_SOAK_WORLD_HPP
#define TANAGERSPUR_SOAK_SOAK_WORLD_HPP

#include "soak/soak_hosts.hpp"
#include "stand_ins/kv_stand_in.hpp"
#include "stand_ins/replica_stand_in.hpp"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>

namespace tanagerspur::soak
{

struct soak_options
{
    std::uint64_t seed = 1;
    std::chrono::seconds length{16};
    std::size_t hosts = 4;
    std::size_t callers = 12;
    std::uint16_t first_port = 24'000;
    // Path of tanagerspur_gateway, and a folder for settings and logs.
    std::string program;
    std::string folder;
};

class soak_caller;

// What the requests were, by their routes.
enum class request_kind
{
    scatter,
    idempotent,
    at_most_once
};

struct soak_report
{
    std::uint64_t requests = 0;
    std::map<int, std::uint64_t> by_status;
    std::uint64_t without_answer = 0;
    std::uint64_t partial = 0;
    // Requests that were refused, answered in part or lost, and whose logs tell why.
    std::map<std::string, std::uint64_t> explained;
    std::uint64_t faults = 0;
    std::vector<std::string> violations;
};

class soak_world
{
public:
    explicit soak_world(soak_options options);
    ~soak_world();

    // Runs the whole schedule.
    soak_report run();

    // For the callers.
    boost::asio::io_context& io() { return m_io; }
    std::vector<std::unique_ptr<soak_host>>& hosts() { return m_hosts; }
    std::mt19937_64& random() { return m_random; }
    soak_report& report() { return m_report; }
    const stand_ins::run_log& runs() const { return m_log; }
    void violation(const std::string& what);
    void count_answer(bool is_good, time_point when);
    // True for a few of the requests while one that crashes replicas is sent by many callers.
    bool draws_deadly_request();
    // What is added to the paths of these requests.
    std::string deadly_path() const;

    // A success on the route that moves with each version: which version served it, against what
    // the host must know and has shown before.
    void check_version(const soak_host& host, int incarnation, const std::string& service,
                       time_point sent);

    static constexpr const char* site = "soak.example";
    static constexpr std::size_t shard_count = 5;
    static constexpr double min_coverage = 0.8;
    static constexpr std::size_t top_records = 6;

private:
    struct shown_version
    {
        std::uint64_t version = 0;
        time_point since;
    };

    void make_replicas();
    void write_odd_entries();
    void make_hosts();
    void write_configuration();
    void schedule_fault();
    void strike();
    void strike_host();
    void strike_store();
    void restore_store(duration age, duration length);
    void strike_replica();
    void send_deadly_requests(duration length);
    void check_deadly_requests();
    void later(duration wait, std::function<void()> action);
    void tick();
    void final_checks();
    // Each complaint leads to its cause in the hosts' logs.
    void check_explanations();
    std::uint64_t version_of(const std::string& service) const;
    bool is_store_calm(time_point since) const { return since > m_store_calm_since; }
    void disturb_store(duration length);
    std::uint64_t draw(std::uint64_t below) { return m_random() % below; }
    duration draw_ms(std::uint64_t least, std::uint64_t most);

    soak_options m_options;
    boost::asio::io_context m_io;
    std::mt19937_64 m_random;
    soak_report m_report;
    stand_ins::run_log m_log;
    std::optional<stand_ins::kv_stand_in> m_platform;
    std::vector<std::unique_ptr<stand_ins::replica_stand_in>> m_replicas;
    std::vector<std::unique_ptr<soak_host>> m_hosts;
    std::vector<std::unique_ptr<soak_caller>> m_callers;
    boost::asio::steady_timer m_tick_timer;
    boost::asio::steady_timer m_fault_timer;
    time_point m_end;
    time_point m_faults_end;
    time_point m_store_calm_since{};
    std::uint64_t m_version = 0;
    std::string m_configuration;
    time_point m_deadly_until{};
    std::uint64_t m_deadly_requests = 0;
    // When the store acknowledged each version.
    std::map<std::uint64_t, time_point> m_acknowledged;
    std::map<std::pair<const soak_host*, int>, shown_version> m_shown;
    std::uint64_t m_last_good = 0;
    std::uint64_t m_last_asked = 0;
};

} // namespace tanagerspur::soak

#endif
