// The gRPC streams between this host and its peers. Each host opens one stream to each peer that
// it talks to: its requests go out on it, and the peer's replies come back on it. What gathers
// while a write is under way leaves as one frame.

#ifndef TANAGERSPUR_RPC_HOST_LINKS_HPP
#define TANAGERSPUR_RPC_HOST_LINKS_HPP

#include "tanagerspur/common/endpoint.hpp"
#include "tanagerspur/common/ids.hpp"
#include "tanagerspur/rpc/generated/host_link.pb.h"

#include <cstdint>
#include <memory>
#include <string>

namespace tanagerspur
{

// Receives frames and changes of links; called from gRPC's threads.
class link_listener
{
public:
    virtual ~link_listener() = default;

    // A peer's requests, on a stream that the peer has opened.
    virtual void on_request_frame(const host_id& from, wire::frame frame) = 0;
    // A peer's replies, on the stream that this host has opened.
    virtual void on_reply_frame(const host_id& from, wire::frame frame) = 0;
    // The stream to a peer has broken; nothing more will arrive on it.
    virtual void on_link_lost(const host_id& peer) = 0;
};

struct link_counts
{
    std::uint64_t frames_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t frames_received = 0;
    std::uint64_t bytes_received = 0;
};

struct host_links_options
{
    host_id self;
    endpoint listen;
    // Bytes that may wait for one stream's write; a frame beyond is refused.
    std::size_t max_pending_bytes = std::size_t{16} * 1024 * 1024;
    int max_frame_bytes = 64 * 1024 * 1024;
};

class host_links
{
public:
    host_links(host_links_options options, link_listener& listener);
    ~host_links();

    // Begins to accept streams; an error text, or an empty one on success.
    std::string start();

    // Opens a stream unless one is open; sends may follow at once.
    void connect(const host_id& peer, const endpoint& where);
    // Closes the stream to a peer.
    void disconnect(const host_id& peer);

    // Queues a frame on the stream to the peer. False: there is no stream or too much waits, and
    // surely nothing of the frame was sent.
    bool send(const host_id& peer, const wire::frame& frame);
    // Queues a frame on the stream that the peer has opened; same result.
    bool reply(const host_id& peer, const wire::frame& frame);

    // Ends all streams and stops to accept; no listener call follows.
    void stop();

    link_counts counts() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace tanagerspur

#endif
