// A few real host_cores on virtual time, joined by small fakes at host_environment: a store, a
// network, and targets. Hosts can be paused, killed, restarted and cut off; the store can be
// away, and can lose its replies. Targets check their limits at every arrival.

#ifndef TANAGERSPUR_TESTING_FAKE_FLEET_HPP
#define TANAGERSPUR_TESTING_FAKE_FLEET_HPP

#include "tanagerspur/host/host_core.hpp"

#include <boost/json/value.hpp>
#include <boost/random/mersenne_twister.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace tanagerspur::testing
{

class fake_node;

// One caller's request and what became of it.
struct caller_record
{
    std::string request;
    bool idempotent = true;
    std::size_t host = 0;
    int answers = 0;
    int status = 0;
    boost::json::object body;
};

struct fake_fleet_options
{
    std::size_t hosts = 4;
    std::size_t shards = 4;
    std::size_t replicas = 2;
    std::uint32_t slots = 2;
    std::uint64_t seed = 1;
    // Longest service time; a request takes a random time up to it.
    duration max_service = std::chrono::milliseconds{8};
};

class fake_fleet
{
public:
    explicit fake_fleet(fake_fleet_options options);
    ~fake_fleet();

    time_point now() const { return m_now; }
    void run_for(duration time);
    void at(time_point when, std::function<void()> what);
    void after(duration wait, std::function<void()> what) { at(m_now + wait, std::move(what)); }

    // Faults. A host is named by its number, from 0.
    void pause(std::size_t host);
    void resume(std::size_t host);
    void kill(std::size_t host);
    void restart(std::size_t host);
    void set_cut(std::size_t left, std::size_t right, bool is_cut);
    void set_store_cut(std::size_t host, bool is_cut);
    void set_store_outage(bool is_out) { m_store_out = is_out; }
    void lose_write_replies(int count) { m_lose_replies = count; }
    void serve_stale_reads(int count) { m_stale_reads = count; }
    // Streams between the two go silent for good; new ones work.
    void silence_streams(std::size_t left, std::size_t right);
    void set_listed(std::size_t host, bool is_listed);
    void drain(std::size_t host);
    void set_target_draining(std::size_t shard, std::size_t replica, bool is_draining);

    // What every target can bear from now on.
    void set_target_limit(std::uint32_t limit);

    // Writes a manifest into the store, as an operator's apply does.
    void apply_manifest(std::uint64_t generation_number, std::uint32_t slots);

    // Sends a query at a host; with an empty request id the host makes one. With a key it is a
    // look-up.
    std::size_t query(std::size_t host, bool idempotent, const std::string& request = "",
                      const std::string& key = "");
    // Issues a request id at a host; empty when it does not answer.
    std::string issue_id(std::size_t host);

    bool is_alive(std::size_t host) const;
    boost::json::object status(std::size_t host);
    boost::json::object dump(std::size_t host);

    const std::vector<caller_record>& callers() const { return m_callers; }
    // Starts of a request at targets of one shard.
    std::uint64_t runs(const std::string& request) const;
    std::uint64_t most_runs_at_a_shard(const std::string& request) const;
    // Arrivals that found a target at its limit.
    std::uint64_t over_limit() const { return m_over_limit; }
    std::uint64_t generations_gone_back() const { return m_generations_gone_back; }
    time_point last_arrival(std::size_t shard, std::size_t replica) const;
    std::uint64_t store_calls() const { return m_store_calls; }

private:
    friend class fake_node;

    struct target
    {
        std::map<std::string, std::uint64_t> in_flight;
        std::uint32_t limit = 0;
        bool is_draining = false;
        time_point last_arrival = time_point::min();
    };

    void deliver(std::size_t host, core_event event);
    void step_timers();
    void start_node(std::size_t host);
    void arrive(std::size_t host, const target_attempt& attempt);
    void end_attempt(std::size_t host, std::uint64_t start, const target_attempt& attempt,
                     attempt_end end);
    bool is_linked(std::size_t left, std::size_t right) const;
    void answer_watches();
    host_list listed() const;
    endpoint address(std::size_t shard, std::size_t replica) const;
    std::string manifest_text(std::uint32_t slots) const;
    std::size_t number_of(const host_id& id) const;
    boost::json::object ask_operator(std::size_t host, const std::string& path);
    void call(std::size_t host, http_call message, http_responder respond);

    fake_fleet_options m_options;
    time_point m_now{std::chrono::seconds{1}};
    boost::random::mt19937_64 m_random;
    std::multimap<time_point, std::function<void()>> m_events;
    std::vector<std::unique_ptr<fake_node>> m_nodes;
    std::set<std::pair<std::size_t, std::size_t>> m_cuts;
    std::set<std::size_t> m_store_cuts;
    std::set<std::size_t> m_unlisted;
    std::map<std::string, store_value> m_values;
    std::map<std::string, store_value> m_previous;
    bool m_store_out = false;
    int m_lose_replies = 0;
    int m_stale_reads = 0;
    std::uint64_t m_store_calls = 0;
    std::map<endpoint, target> m_targets;
    std::map<std::string, std::map<std::string, std::uint64_t>> m_runs;
    std::vector<caller_record> m_callers;
    std::uint64_t m_over_limit = 0;
    std::uint64_t m_generations_gone_back = 0;
    std::uint64_t m_next_incarnation = 1;
    std::uint64_t m_next_token = 1;
};

} // namespace tanagerspur::testing

#endif
