// Small stand-ins for targets: slots, a connection cap, connection set-up time, load reports,
// cold start, shedding, drain, cancellation, deadlines, index versions, stragglers, and
// connections that go silent. They count what really ran. For tests and demos.

#ifndef TANAGERSPUR_STAND_INS_TARGET_STAND_IN_HPP
#define TANAGERSPUR_STAND_INS_TARGET_STAND_IN_HPP

#include "tanagerspur/manifest/manifest.hpp"
#include "tanagerspur/net/http_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/value.hpp>
#include <boost/random/mersenne_twister.hpp>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tanagerspur::stand_ins
{

struct target_options
{
    endpoint listen;
    service_limits limits;
    // Service time is lognormal with this mean, and now and then ten times longer.
    duration mean_service = std::chrono::milliseconds{5};
    double straggler_share = 0.01;
    std::uint64_t seed = 1;
    std::vector<std::int64_t> versions{1};
};

// What a test or an operator can switch on a target.
struct target_faults
{
    bool draining = false;
    bool shedding = false;
    // The load report goes on saying what it said when this was set.
    bool frozen_report = false;
    double slow_factor = 1;
    // A cold start: service is cold_factor times slower at first, less and less until cold_end.
    time_point cold_begin;
    time_point cold_end;
    // Connections up to this number swallow what is sent on them.
    std::uint64_t silent_up_to = 0;
    // Every answer carries this version, whatever was asked.
    std::int64_t wrong_version = 0;
    // Work is done, but the connection is dropped in place of an answer.
    bool lose_answers = false;
};

struct target_counters
{
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t refused = 0;
    std::uint64_t expired = 0;
    std::size_t most_in_flight = 0;
    std::size_t most_connections = 0;
    std::uint64_t connections_opened = 0;
    std::uint64_t connections_refused = 0;
};

class target_stand_in final : public http_handler
{
public:
    target_stand_in(boost::asio::io_context& io, target_options options);

    std::string start();

    void handle(http_call call, std::uint64_t token, http_responder respond) override;
    void abandoned(std::uint64_t token) override;
    duration on_accept() override;
    void on_close() override { --m_connections; }

    target_faults& faults() { return m_faults; }
    void set_versions(std::vector<std::int64_t> versions)
    {
        m_options.versions = std::move(versions);
    }
    // The target begins cold now, and is warm after this time.
    void start_cold(duration length);
    // Connections that are open now go silent.
    void silence_connections() { m_faults.silent_up_to = m_newest_connection; }
    const target_counters& counters() const { return m_counters; }
    // Number of times each request id was started here.
    const std::map<std::string, std::uint64_t>& runs() const { return m_runs; }
    boost::json::object report() const;

private:
    struct work
    {
        std::string attempt;
        std::string request;
        std::string shard;
        std::int64_t version = 0;
        std::uint64_t token = 0;
        time_point deadline;
        http_responder respond;
        std::shared_ptr<boost::asio::steady_timer> timer;
        std::shared_ptr<const std::string> body;
    };

    void serve_search(const http_call& call, std::uint64_t token, const http_responder& respond);
    void serve_cancel(const std::string& attempt, const http_responder& respond);
    void refuse(const http_responder& respond, const std::string& why);
    void run(const std::shared_ptr<work>& each);
    void finish(const std::shared_ptr<work>& each);
    void stop(const std::shared_ptr<work>& each);
    void start_waiting();
    duration service_time();
    http_reply answer(const work& each) const;
    boost::json::object load() const;

    boost::asio::io_context& m_io;
    target_options m_options;
    http_server m_server;
    boost::random::mt19937_64 m_random;
    target_faults m_faults;
    target_counters m_counters;
    std::map<std::uint64_t, std::shared_ptr<work>> m_running;
    std::deque<std::shared_ptr<work>> m_waiting;
    std::map<std::string, std::uint64_t> m_runs;
    std::size_t m_connections = 0;
    std::uint64_t m_newest_connection = 0;
};

// Targets of a whole manifest in one process, with one port to switch and read them.
class target_fleet final : public http_handler
{
public:
    target_fleet(boost::asio::io_context& io, const manifest& described, endpoint control,
                 const target_options& defaults);

    std::string start();
    void handle(http_call call, std::uint64_t token, http_responder respond) override;

private:
    void serve_faults(const http_call& call, const http_responder& respond);
    boost::json::object report() const;

    http_server m_server;
    std::map<std::string, std::unique_ptr<target_stand_in>> m_targets;
    std::map<std::string, std::string> m_service_of;
};

} // namespace tanagerspur::stand_ins

#endif
