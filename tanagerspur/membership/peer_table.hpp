// What this host knows of its peers: the platform's list as a hint, and direct evidence by
// heartbeats and probes, which goes before the list.
//
// A peer that is not heard from for a while becomes silent. A silent peer is only thought lost
// when other hosts cannot reach it either, and known dead when its port refuses connections.

#ifndef TANAGERSPUR_MEMBERSHIP_PEER_TABLE_HPP
#define TANAGERSPUR_MEMBERSHIP_PEER_TABLE_HPP

#include "tanagerspur/common/ids.hpp"
#include "tanagerspur/common/time.hpp"
#include "tanagerspur/ownership/assignment.hpp"
#include "tanagerspur/store/key_value_store.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tanagerspur
{

struct peer_options
{
    host_id self;
    zone_id zone;
    std::string address;
    // Not heard from for this long: silent.
    duration silence = std::chrono::milliseconds{1'000};
    // How long a refused probe shows that the process is gone.
    duration death_validity = std::chrono::milliseconds{1'500};
    // How long another host's word that it cannot reach a peer counts.
    duration report_validity = std::chrono::seconds{2};
};

struct peer
{
    host_id id;
    zone_id zone;
    std::string address;
    bool is_listed = false;
    bool is_listed_leaving = false;
    // By the peer's own word.
    bool is_leaving = false;
    incarnation start;
    generation manifest_generation;
    epoch assignment_epoch;
    std::uint32_t load_permille = 0;
    bool is_serving = false;
    std::optional<time_point> heard;
    time_point first_listed;
    std::optional<time_point> refused;
    // Hosts that cannot reach the peer, and when they said so.
    std::map<host_id, time_point> unreached_by;
};

// What a peer tells of itself.
struct peer_word
{
    incarnation start;
    bool leaving = false;
    generation manifest_generation;
    epoch assignment_epoch;
    std::uint32_t load_permille = 0;
    // Accepts queries.
    bool serving = false;
};

class peer_table
{
public:
    explicit peer_table(peer_options options);

    void on_list(time_point now, const host_list& list);
    // True when the word is of another incarnation than the last: the old process is gone.
    bool on_word(time_point now, const host_id& from, const peer_word& word);
    void on_refused(time_point sent, const host_id& host);
    void on_reach_report(time_point now, const host_id& reporter, const host_id& host,
                         bool reached);

    // Heard from lately, and not known dead since.
    bool is_heard(time_point now, const host_id& host) const;
    bool is_silent(time_point now, const host_id& host) const;
    bool is_dead(time_point now, const host_id& host) const;
    // Silent, and no host that was asked reaches it: refused, or every one of the asked answers
    // lately that it does not.
    bool is_lost(time_point now, const host_id& host, std::size_t asked) const;

    // Hosts that may own shards, this one included unless it is leaving itself.
    std::vector<candidate_host> candidates(time_point now, bool self_leaving) const;
    // Hosts that may still act on their rows.
    std::vector<host_id> may_act(time_point now) const;
    std::vector<host_id> dead(time_point now) const;
    // Up to count peers that are heard from, to ask whether they reach a host; this host's
    // neighbours in the order of ids, so that the asked are spread over the fleet.
    std::vector<host_id> witnesses(time_point now, const host_id& of, std::size_t count) const;

    const std::map<host_id, peer>& peers() const { return m_peers; }
    const peer* find(const host_id& id) const;
    bool has_list() const { return m_has_list; }
    // The targets that the platform lists as leaving, as "address:port".
    const std::vector<std::string>& leaving_targets() const { return m_leaving_targets; }

private:
    peer_options m_options;
    std::map<host_id, peer> m_peers;
    std::vector<std::string> m_leaving_targets;
    bool m_has_list = false;
};

} // namespace tanagerspur

#endif
