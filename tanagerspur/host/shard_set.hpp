// The shards that this host owns or deputizes, each with its dispatcher, and where their
// results go. Sits between the hosts' streams and the targets.

#ifndef TANAGERSPUR_HOST_SHARD_SET_HPP
#define TANAGERSPUR_HOST_SHARD_SET_HPP

#include "tanagerspur/dispatch/shard_dispatcher.hpp"
#include "tanagerspur/host/target_pool.hpp"
#include "tanagerspur/ownership/capacity_rights.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace tanagerspur
{

// Who asked for a sub-request: this host's coordinator (an empty host), or a peer.
struct sub_origin
{
    host_id host;
    sub_request_id id;

    friend auto operator<=>(const sub_origin&, const sub_origin&) = default;
};

class shard_set_actions
{
public:
    virtual ~shard_set_actions() = default;
    virtual void to_target(target_command command) = 0;
    virtual void deliver(const sub_origin& origin, const shard_key& shard,
                         const sub_result& result) = 0;
};

struct shard_set_options
{
    host_id self;
    incarnation start;
};

class shard_set
{
public:
    // The tenure is asked before each decision, and must outlive the set.
    shard_set(shard_set_options options, const capacity_rights& rights, shard_set_actions& actions);
    ~shard_set();

    // Follows the manifest and the assignment. A shard that is no longer this host's refuses
    // what is queued as not_run, and goes once nothing of it is in flight.
    void install(time_point now, const manifest& present, const assignment_table& table);

    // False when the shard is not here.
    bool submit(time_point now, const shard_key& shard, const sub_origin& origin,
                sub_request request);
    void cancel(time_point now, const shard_key& shard, const sub_origin& origin);

    void on_attempt_end(time_point now, const shard_key& shard, attempt_id attempt,
                        const attempt_result& result);
    void on_load_report(time_point now, const endpoint& target, const load_report& report);
    // The targets that are known to be leaving, from whatever source.
    void set_leaving(time_point now, const std::set<endpoint>& leaving);

    // Gives each dispatcher the share that the tenure allows now.
    void apply_shares(time_point now);
    // Asks the replicas of the shards that this host owns for their load.
    void poll_load();

    void on_timer(time_point now);
    time_point next_timer() const;

    // Nothing of the shard is in flight at its replicas.
    bool is_idle(const shard_key& shard) const;
    // Nothing is queued or in flight.
    bool is_idle() const;

    // Calls visit(key, dispatcher, is_owner) for each shard.
    template<class Visitor> void for_each(Visitor visit) const
    {
        for (const auto& [key, each] : m_shards)
            visit(key, each->dispatcher, each->is_owner);
    }

    // Targets whose own answers say that they are leaving.
    const std::set<endpoint>& reported_leaving() const { return m_reported_leaving; }

private:
    struct shard final : dispatch_actions
    {
        shard(shard_set& owner, shard_key which, const std::vector<replica>& targets,
              const service_limits& limits, std::uint64_t first_attempt);

        void send(attempt_id attempt, std::size_t replica, const sub_request& request,
                  time_point attempt_deadline) override;
        void cancel(attempt_id attempt, std::size_t replica) override;
        void complete(sub_request_id id, const sub_result& result) override;

        std::string attempt_key(attempt_id attempt) const;

        shard_set& set;
        shard_key key;
        std::vector<replica> replicas;
        service_limits limits;
        shard_dispatcher dispatcher;
        std::map<std::uint64_t, sub_origin> origins;
        std::map<sub_origin, std::uint64_t> local_ids;
        std::uint64_t first_attempt;
        bool is_owner = false;
        bool is_here = false;
    };
    using shard_map = std::map<shard_key, std::unique_ptr<shard>>;

    shard* find(const shard_key& key);
    shard& make(time_point now, const shard_key& key, const std::vector<replica>& replicas,
                const service_limits& limits);
    void install_one(time_point now, const shard_key& key, const manifest& present, bool is_owner);
    void retire(const shard_key& key);
    bool has_retired(const shard_key& key) const;
    void refresh(time_point now, shard& each);
    void limit_connections(const shard& each);
    void drop_departed();

    shard_set_options m_options;
    const capacity_rights& m_rights;
    shard_set_actions& m_actions;
    shard_map m_shards;
    // Shards whose replicas have changed, until nothing of theirs is in flight.
    std::vector<std::unique_ptr<shard>> m_retired;
    std::multimap<endpoint, std::pair<shard_key, std::size_t>> m_by_target;
    std::set<endpoint> m_reported_leaving;
    std::set<endpoint> m_leaving;
    std::uint64_t m_next_local = 1;
    std::uint64_t m_next_shard = 0;
};

} // namespace tanagerspur

#endif
