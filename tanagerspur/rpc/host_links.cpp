#include "tanagerspur/rpc/host_links.hpp"

#include "tanagerspur/rpc/generated/host_link.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>

namespace tanagerspur
{

namespace
{

// Frames that wait for a write, merged into one. Bounded; the caller holds the lock.
class outbox
{
public:
    explicit outbox(std::size_t max_bytes)
        : m_max_bytes(max_bytes)
    {
    }

    bool add(const wire::frame& frame)
    {
        const std::size_t size = frame.ByteSizeLong();
        if (m_bytes + size > m_max_bytes)
            return false;
        m_waiting.MergeFrom(frame);
        m_bytes += size;
        return true;
    }

    bool empty() const { return m_bytes == 0; }

    void take(wire::frame& into)
    {
        into.Clear();
        into.Swap(&m_waiting);
        m_bytes = 0;
    }

private:
    std::size_t m_max_bytes;
    std::size_t m_bytes = 0;
    wire::frame m_waiting;
};

} // namespace

struct host_links::state : std::enable_shared_from_this<host_links::state>
{
    class client_stream;
    class server_stream;
    class service;

    state(host_links_options wanted, link_listener& receiver)
        : options(std::move(wanted))
        , listener(receiver)
    {
    }

    void count_sent(const wire::frame& frame)
    {
        ++frames_sent;
        bytes_sent += frame.ByteSizeLong();
    }
    void count_received(const wire::frame& frame)
    {
        ++frames_received;
        bytes_received += frame.ByteSizeLong();
    }

    host_links_options options;
    link_listener& listener;
    std::unique_ptr<service> receiver;
    std::unique_ptr<grpc::Server> server;
    std::mutex mutex;
    std::condition_variable all_closed;
    std::size_t open_streams = 0;
    bool stopping = false;
    std::map<host_id, client_stream*> outgoing;
    std::map<host_id, server_stream*> incoming;
    std::atomic<std::uint64_t> frames_sent = 0;
    std::atomic<std::uint64_t> bytes_sent = 0;
    std::atomic<std::uint64_t> frames_received = 0;
    std::atomic<std::uint64_t> bytes_received = 0;
};

// A stream that this host has opened. Deletes itself when gRPC is done with it.
class host_links::state::client_stream final
    : public grpc::ClientBidiReactor<wire::frame, wire::frame>
{
public:
    client_stream(std::shared_ptr<state> owner, host_id peer, const endpoint& where)
        : m_owner(std::move(owner))
        , m_peer(std::move(peer))
        , m_outbox(m_owner->options.max_pending_bytes)
    {
        grpc::ChannelArguments arguments;
        // A new connection for each stream: a silent one must not be handed out again.
        arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
        arguments.SetMaxReceiveMessageSize(m_owner->options.max_frame_bytes);
        m_channel = grpc::CreateCustomChannel(tanagerspur::to_string(where),
                                              grpc::InsecureChannelCredentials(), arguments);
        m_stub = wire::host_link::NewStub(m_channel);
        m_stub->async()->exchange(&m_context, this);
    }

    void open()
    {
        wire::frame hello;
        hello.set_hello(m_owner->options.self.value());
        const std::lock_guard lock(m_owner->mutex);
        m_outbox.add(hello);
        write_next();
        StartRead(&m_incoming);
        StartCall();
    }

    // The owner's lock is held.
    bool queue(const wire::frame& frame)
    {
        if (!m_outbox.add(frame))
            return false;
        if (!m_writing)
            write_next();
        return true;
    }

    void close() { m_context.TryCancel(); }

    void OnWriteDone(bool ok) override
    {
        const std::lock_guard lock(m_owner->mutex);
        m_writing = false;
        if (ok && !m_outbox.empty())
            write_next();
    }

    void OnReadDone(bool ok) override
    {
        if (!ok)
            return;
        m_owner->count_received(m_incoming);
        m_owner->listener.on_reply_frame(m_peer, std::move(m_incoming));
        m_incoming.Clear();
        StartRead(&m_incoming);
    }

    void OnDone(const grpc::Status& /*status*/) override
    {
        const auto owner = m_owner;
        const host_id peer = m_peer;
        bool is_news = false;
        {
            const std::lock_guard lock(owner->mutex);
            const auto found = owner->outgoing.find(peer);
            // A stream that was disconnected here is no longer in the map.
            if (found != owner->outgoing.end() && found->second == this)
            {
                owner->outgoing.erase(found);
                is_news = !owner->stopping;
            }
        }
        if (is_news)
            owner->listener.on_link_lost(peer);
        delete this;
        const std::lock_guard lock(owner->mutex);
        --owner->open_streams;
        owner->all_closed.notify_all();
    }

private:
    void write_next()
    {
        m_outbox.take(m_written);
        m_owner->count_sent(m_written);
        m_writing = true;
        StartWrite(&m_written);
    }

    std::shared_ptr<state> m_owner;
    host_id m_peer;
    outbox m_outbox;
    std::shared_ptr<grpc::Channel> m_channel;
    std::unique_ptr<wire::host_link::Stub> m_stub;
    grpc::ClientContext m_context;
    wire::frame m_written;
    wire::frame m_incoming;
    bool m_writing = false;
};

// A stream that a peer has opened. Deletes itself when gRPC is done with it.
class host_links::state::server_stream final
    : public grpc::ServerBidiReactor<wire::frame, wire::frame>
{
public:
    explicit server_stream(std::shared_ptr<state> owner)
        : m_owner(std::move(owner))
        , m_outbox(m_owner->options.max_pending_bytes)
    {
        StartRead(&m_incoming);
    }

    // The owner's lock is held.
    bool queue(const wire::frame& frame)
    {
        if (m_finished || !m_outbox.add(frame))
            return false;
        if (!m_writing)
            write_next();
        return true;
    }

    void OnReadDone(bool ok) override
    {
        if (!ok)
        {
            const std::lock_guard lock(m_owner->mutex);
            finish();
            return;
        }
        m_owner->count_received(m_incoming);
        if (!m_incoming.hello().empty())
        {
            m_peer = host_id{m_incoming.hello()};
            const std::lock_guard lock(m_owner->mutex);
            m_owner->incoming[m_peer] = this;
        }
        if (!m_peer.value().empty())
            m_owner->listener.on_request_frame(m_peer, std::move(m_incoming));
        m_incoming.Clear();
        StartRead(&m_incoming);
    }

    void OnWriteDone(bool ok) override
    {
        const std::lock_guard lock(m_owner->mutex);
        m_writing = false;
        if (!ok)
            finish();
        else if (!m_outbox.empty() && !m_finished)
            write_next();
    }

    void OnDone() override
    {
        const auto owner = m_owner;
        {
            const std::lock_guard lock(owner->mutex);
            forget();
        }
        delete this;
        const std::lock_guard lock(owner->mutex);
        --owner->open_streams;
        owner->all_closed.notify_all();
    }

private:
    void write_next()
    {
        m_outbox.take(m_written);
        m_owner->count_sent(m_written);
        m_writing = true;
        StartWrite(&m_written);
    }

    void forget()
    {
        const auto found = m_owner->incoming.find(m_peer);
        if (found != m_owner->incoming.end() && found->second == this)
            m_owner->incoming.erase(found);
    }

    void finish()
    {
        if (std::exchange(m_finished, true))
            return;
        forget();
        Finish(grpc::Status::OK);
    }

    std::shared_ptr<state> m_owner;
    host_id m_peer;
    outbox m_outbox;
    wire::frame m_written;
    wire::frame m_incoming;
    bool m_writing = false;
    bool m_finished = false;
};

class host_links::state::service final : public wire::host_link::CallbackService
{
public:
    explicit service(std::weak_ptr<state> owner)
        : m_owner(std::move(owner))
    {
    }

    grpc::ServerBidiReactor<wire::frame, wire::frame>*
    exchange(grpc::CallbackServerContext* /*context*/) override
    {
        const auto owner = m_owner.lock();
        {
            const std::lock_guard lock(owner->mutex);
            ++owner->open_streams;
        }
        return new server_stream(owner);
    }

private:
    std::weak_ptr<state> m_owner;
};

host_links::host_links(host_links_options options, link_listener& listener)
    : m_state(std::make_shared<state>(std::move(options), listener))
{
}

host_links::~host_links()
{
    stop();
}

std::string host_links::start()
{
    m_state->receiver = std::make_unique<state::service>(m_state);
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(to_string(m_state->options.listen), grpc::InsecureServerCredentials(),
                             &port);
    // Two daemons must not share a port: a probe of it would reach either.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.SetMaxReceiveMessageSize(m_state->options.max_frame_bytes);
    builder.RegisterService(m_state->receiver.get());
    m_state->server = builder.BuildAndStart();
    if (m_state->server == nullptr || port == 0)
        return "cannot listen on " + to_string(m_state->options.listen);
    return {};
}

void host_links::connect(const host_id& peer, const endpoint& where)
{
    state::client_stream* stream = nullptr;
    {
        const std::lock_guard lock(m_state->mutex);
        if (m_state->stopping || m_state->outgoing.contains(peer))
            return;
        stream = new state::client_stream(m_state, peer, where);
        m_state->outgoing[peer] = stream;
        ++m_state->open_streams;
    }
    stream->open();
}

void host_links::disconnect(const host_id& peer)
{
    const std::lock_guard lock(m_state->mutex);
    const auto found = m_state->outgoing.find(peer);
    if (found == m_state->outgoing.end())
        return;
    found->second->close();
    m_state->outgoing.erase(found);
}

bool host_links::send(const host_id& peer, const wire::frame& frame)
{
    const std::lock_guard lock(m_state->mutex);
    const auto found = m_state->outgoing.find(peer);
    return found != m_state->outgoing.end() && found->second->queue(frame);
}

bool host_links::reply(const host_id& peer, const wire::frame& frame)
{
    const std::lock_guard lock(m_state->mutex);
    const auto found = m_state->incoming.find(peer);
    return found != m_state->incoming.end() && found->second->queue(frame);
}

void host_links::stop()
{
    {
        const std::lock_guard lock(m_state->mutex);
        if (std::exchange(m_state->stopping, true))
            return;
        for (auto& [peer, stream] : m_state->outgoing)
            stream->close();
    }
    if (m_state->server != nullptr)
        m_state->server->Shutdown(std::chrono::system_clock::now());
    std::unique_lock lock(m_state->mutex);
    m_state->all_closed.wait(lock, [this] { return m_state->open_streams == 0; });
}

link_counts host_links::counts() const
{
    return {.frames_sent = m_state->frames_sent,
            .bytes_sent = m_state->bytes_sent,
            .frames_received = m_state->frames_received,
            .bytes_received = m_state->bytes_received};
}

} // namespace tanagerspur
