// Tells other hosts what this one has read from the store: GET /v1/changes?after=R&wait-ms=W
// answers with the changes after revision R as soon as there are any, or after the wait. 503
// means that this host doesn't read the store itself, can't reach it, or has followers enough; 410
// means that R lies too far back.
//
// Only hosts that read the store themselves answer. Hosts may disagree for a moment on who reads,
// and two that followed each other would never hear of a change again.

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
    // Followers whose waits are kept: each costs a call a second, and an answer for each change.
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

    // New changes are in the log.
    void publish(time_point now);
    // This host's own connection to the store. After a loss, followers are told for a while that
    // the store was away, so that they judge vanished entries accordingly.
    void set_connected(bool is_connected, time_point now);
    // Whether the last changes came from the store itself.
    void set_reads_store(bool reads_store, time_point now);
    // Answers waits that are over.
    void tick(time_point now);

    std::size_t waiting() const { return m_waiting.size(); }

    void handle(http_call call, std::uint64_t token, http_responder respond) override;
    void abandoned(std::uint64_t token) override { m_waiting.erase(token); }

private:
    struct follower
    {
        store_revision after;
        time_point end;
        http_responder respond;
    };

    bool can_answer() const { return m_is_connected && m_reads_store; }
    // Answers all waits with what is known, or with a refusal.
    void answer_all_waits(time_point now);
    http_reply make_reply(store_revision after, time_point now) const;
    bool has_changes_after(store_revision after) const;

    const change_log& m_log;
    relay_server_options m_options;
    std::map<std::uint64_t, follower> m_waiting;
    bool m_is_connected = false;
    bool m_reads_store = false;
    // The first connection after a start follows no loss.
    bool m_has_had_outage = false;
    time_point m_outage_reported_until{};
};

// Decodes an answer of a relay.
change_list decode_relay_answer(const http_reply& reply);

// The call that asks for changes.
http_call make_relay_call(store_revision after, duration wait);

} // namespace tanagerspur

#endif
