// Tells other hosts what this one has read from the store: GET /v1/changes?after=R&wait-ms=W
// answers with the changes after revision R as soon as there are any, or after the wait. 503
// means that this host can't reach the store itself, 410 that R lies too far back.

#ifndef TANAGERSPUR_STORE_RELAY_SERVER_HPP
#define TANAGERSPUR_STORE_RELAY_SERVER_HPP

#include "tanagerspur/net/http_server.hpp"
#include "tanagerspur/store/change_log.hpp"

#include <functional>
#include <map>

namespace tanagerspur
{

class relay_server final : public http_handler
{
public:
    explicit relay_server(const change_log& log)
        : m_log(log)
    {
    }

    // New changes are in the log.
    void publish(time_point now);
    // This host's own connection to the store. After a loss, followers are told for a while that
    // the store was away, so that they judge vanished entries accordingly.
    void set_connected(bool is_connected, time_point now);
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

    http_reply reply_to(store_revision after, time_point now) const;
    bool has_news(store_revision after) const;

    const change_log& m_log;
    std::map<std::uint64_t, follower> m_waiting;
    bool m_is_connected = false;
    // The first connection after a start follows no loss.
    bool m_has_lost = false;
    time_point m_unsettled_until{};
};

// Decodes an answer of a relay.
change_list decode_relay_answer(const http_reply& reply);

// The call that asks for changes.
http_call make_relay_call(store_revision after, duration wait);

} // namespace tanagerspur

#endif
