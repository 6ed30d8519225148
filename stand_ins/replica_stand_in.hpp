// Replicas of the platform, for the soak: they register in the store, run requests with their
// identity checked, and remember every run, so that what callers are told can be compared with what
// happened.

#ifndef TANAGERSPUR_STAND_INS_REPLICA_STAND_IN_HPP
#define TANAGERSPUR_STAND_INS_REPLICA_STAND_IN_HPP

#include "stand_ins/loopback_proxy.hpp"
#include "stand_ins/memory_store.hpp"
#include "tanagerspur/net/http_server.hpp"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace tanagerspur::stand_ins
{

// One run of a request.
struct run_record
{
    std::string replica;
    std::string service;
    std::string signature;
    std::string body;
    int status = 200;
    time_point begun;
};

class replica_stand_in;

// A replica that ended because of a request.
struct crash_record
{
    std::string request;
    time_point when;
};

// What all replicas did.
struct run_log
{
    // By request id.
    std::map<std::string, std::vector<run_record>> runs;
    // Runs that a leaving replica took later than allowed.
    std::vector<std::string> late_runs;
    // True while every host has been able to reach the store for long enough to know who leaves.
    std::function<bool()> is_calm;
    // By the path of the requests.
    std::map<std::string, std::vector<crash_record>> crashes;
    // Ends the replica for a while.
    std::function<void(replica_stand_in&)> crash;
};

struct replica_faults
{
    // Work takes this many times as long.
    double slowness = 1;
    // Shares of requests that are refused, answered with an error, or never answered.
    double refused = 0;
    double errors = 0;
    double hangs = 0;
    // Share of requests that run, and whose connections are reset in place of an answer.
    double lost = 0;
    // What it names as the requests per second that it takes from all hosts; 0 for no limit.
    double limit = 0;
};

class replica_stand_in final : public http_handler
{
public:
    replica_stand_in(boost::asio::io_context& io, std::string id, std::string service,
                     std::string zone, const endpoint& listen, const endpoint& proxy, run_log& log,
                     std::uint64_t seed);

    // Writes the replica's entry: ready, draining, or none.
    void register_in(memory_store& store);
    void drain_in(memory_store& store);
    void remove_from(memory_store& store);
    // Writes again what the store has lost.
    void write_again(memory_store& store);
    // Starts anew after a crash.
    void restart_in(memory_store& store);

    void set_faults(const replica_faults& faults) { m_faults = faults; }
    loopback_proxy& link() { return m_link; }
    const std::string& id() const { return m_id; }
    const std::string& service() const { return m_service; }

    void handle(http_call call, std::uint64_t token, http_responder respond) override;
    void abandoned(std::uint64_t token) override { m_abandoned.insert(token); }

private:
    void write_entry(memory_store& store, const char* state);
    void run(const http_call& call, std::uint64_t token, const http_responder& respond);
    void finish(std::uint64_t token, const run_record& record, const std::string& request,
                const http_responder& respond);
    http_reply refusal(int status) const;
    // Adds what the replica announces about itself.
    void add_notices(http_reply& reply) const;
    double chance() { return std::uniform_real_distribution<>{}(m_random); }

    boost::asio::io_context& m_io;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    endpoint m_address;
    run_log& m_log;
    http_server m_server;
    loopback_proxy m_link;
    replica_faults m_faults;
    std::mt19937_64 m_random;
    std::uint64_t m_started_ms;
    std::uint64_t m_sequence = 0;
    // What its entry says; null if it has none.
    const char* m_state = nullptr;
    std::uint64_t m_runs = 0;
    std::size_t m_running = 0;
    time_point m_leaving_since = never;
    std::set<std::uint64_t> m_abandoned;
};

// Requests with paths that contain this text crash the replicas that run them.
inline constexpr std::string_view deadly_text = "/deadly";

// The records that a replica of the service returns for a request: the same from each of them.
std::string records_of(const std::string& service, const std::string& request);

} // namespace tanagerspur::stand_ins

#endif
