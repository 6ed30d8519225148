// Relays the changes that this host has read from the store to other hosts (followers).
// GET /v1/changes?era=E&after=R&wait-ms=W is a long poll: it returns the changes after revision R
// of era E as soon as there are any, or an empty list when the wait is over. 503 means that this
// host does not read the store itself, cannot reach it, is still in an earlier era, or has too many
// followers; 410 means that the history does not reach back to that position.
//
// Only hosts that read the store themselves answer. Hosts may briefly disagree on which hosts are
// readers, and two hosts that followed each other would never receive another change.

#ifndef TANAGERSPUR_STORE_RELAY_SERVER_HPP
#define TANAGERSPUR_STORE_RELAY_SERVER_HPP

#include "tanagerspur/net/http_server.hpp"
#include "tanagerspur/store/change_log.hpp"

#include <functional>
#include <map>

namespace tanagerspur
{

struct relay_server_options
{
    // Limit on pending waits: each follower costs a call a second, and an answer for each change.
    std::size_t max_followers = 160;
};

class relay_server final : public http_handler
{
public:
    explicit relay_server(const change_log& log, relay_server_options options = {})
        : m_log(log)
        , m_options(options)
    {
    }

    // Answers the waits for which the log now has changes.
    void publish(time_point now);
    // Sets whether this host is connected to the store. After an outage, answers report it for a
    // while, so that followers keep entries that disappeared because of it for a grace period.
    void set_connected(bool is_connected, time_point now);
    // Sets whether the last changes came from the store itself and not from another host.
    void set_reads_store(bool reads_store, time_point now);
    // Answers the waits that have expired.
    void tick(time_point now);

    std::size_t waiting() const { return m_waiting.size(); }

    void handle(http_call call, std::uint64_t token, http_responder respond) override;
    void abandoned(std::uint64_t token) override { m_waiting.erase(token); }

private:
    struct follower
    {
        store_position after;
        time_point end;
        http_responder respond;
    };

    bool can_answer() const { return m_is_connected && m_reads_store; }
    // Answers all pending waits: with the changes known so far, or with a refusal.
    void answer_all_waits(time_point now);
    http_reply make_reply(store_position after, time_point now) const;
    bool has_changes_after(store_position after) const;

    const change_log& m_log;
    relay_server_options m_options;
    std::map<std::uint64_t, follower> m_waiting;
    bool m_is_connected = false;
    bool m_reads_store = false;
    // False until the first outage: the first connection after start-up does not follow one.
    bool m_has_had_outage = false;
    time_point m_outage_reported_until{};
};

// Decodes an answer of a relay; a refusal or a malformed answer counts as unavailable.
change_list decode_relay_answer(const http_reply& reply);

// Builds the call that requests the changes after the position.
http_call make_relay_call(store_position after, duration wait);

} // namespace tanagerspur

#endif
