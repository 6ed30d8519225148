#include "tanagerspur/host/daemon.hpp"

#include "tanagerspur/common/log.hpp"
#include "tanagerspur/host/host_core.hpp"
#include "tanagerspur/rpc/host_links.hpp"
#include "tanagerspur/store/http_store.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <condition_variable>
#include <random>
#include <thread>

namespace tanagerspur
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t core_ring_size = 65'536;
constexpr std::size_t target_ring_size = 65'536;
constexpr duration probe_timeout = std::chrono::milliseconds{250};
constexpr duration min_timer_wait = std::chrono::microseconds{100};

// A thread that runs one io_context for one duty.
class duty
{
public:
    duty()
        : m_guard(asio::make_work_guard(m_io))
    {
    }
    ~duty() { stop(); }
    duty(const duty&) = delete;
    duty& operator=(const duty&) = delete;

    asio::io_context& io() { return m_io; }
    void start()
    {
        m_thread = std::thread([this] { m_io.run(); });
    }
    void stop()
    {
        m_guard.reset();
        m_io.stop();
        if (m_thread.joinable())
            m_thread.join();
    }

private:
    asio::io_context m_io{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_guard;
    std::thread m_thread;
};

using core_ring = message_ring<core_event>;

// Calls from the callers' port.
class caller_handler final : public http_handler
{
public:
    explicit caller_handler(core_ring& ring)
        : m_ring(ring)
    {
    }

    void handle(http_call call, std::uint64_t token, http_responder respond) override
    {
        core_event event{
            caller_arrived{.call = std::move(call), .token = token, .respond = std::move(respond)}};
        if (m_ring.push(std::move(event)))
            return;
        std::get<caller_arrived>(event).respond(
            error_reply(503, "this host is overloaded; the request was not run"));
    }

    void abandoned(std::uint64_t token) override
    {
        m_ring.push(core_event{caller_gone{.token = token}});
    }

private:
    core_ring& m_ring;
};

// Calls from the operators' port.
class operator_handler final : public http_handler
{
public:
    explicit operator_handler(core_ring& ring)
        : m_ring(ring)
    {
    }

    void handle(http_call call, std::uint64_t /*token*/, http_responder respond) override
    {
        core_event event{operator_arrived{.call = std::move(call), .respond = std::move(respond)}};
        if (!m_ring.push(std::move(event)))
            std::get<operator_arrived>(event).respond(error_reply(503, "this host is overloaded"));
    }

private:
    core_ring& m_ring;
};

// Brings the store's answers from the platform's thread to the core's.
class ring_store final : public key_value_store
{
public:
    ring_store(asio::io_context& io, http_store_options options, core_ring& ring)
        : m_io(io)
        , m_store(io, std::move(options))
        , m_ring(ring)
    {
    }

    void read(const std::string& key, value_handler handler) override
    {
        asio::post(m_io,
                   [this, key, handler = wrap(std::move(handler))] { m_store.read(key, handler); });
    }
    void watch(const std::string& key, std::uint64_t known_version, duration wait,
               value_handler handler) override
    {
        asio::post(m_io, [this, key, known_version, wait, handler = wrap(std::move(handler))]
                   { m_store.watch(key, known_version, wait, handler); });
    }
    void write(const std::string& key, std::uint64_t expected_version, std::string text,
               value_handler handler) override
    {
        asio::post(m_io, [this, key, expected_version, text = std::move(text),
                          handler = wrap(std::move(handler))]
                   { m_store.write(key, expected_version, text, handler); });
    }
    void list_hosts(list_handler handler) override
    {
        asio::post(m_io,
                   [this, handler = std::move(handler)]
                   {
                       m_store.list_hosts(
                           [this, handler](host_list list)
                           { push(hosts_listed{.handler = handler, .list = std::move(list)}); });
                   });
    }
    store_calls calls() const override { return m_store.calls(); }

private:
    value_handler wrap(value_handler handler)
    {
        return [this, handler = std::move(handler)](store_result result)
        { push(store_answered{.handler = handler, .result = std::move(result)}); };
    }

    // A full ring is tried again: an answer that is dropped would leave its asker waiting.
    void push(core_event event)
    {
        if (m_ring.push(std::move(event)))
            return;
        // A refused push leaves the event as it was. NOLINTNEXTLINE(bugprone-use-after-move)
        auto again = [this, event = std::move(event)]() mutable { push(std::move(event)); };
        asio::post(m_io, std::move(again));
    }

    asio::io_context& m_io;
    http_store m_store;
    core_ring& m_ring;
};

} // namespace

struct host_daemon::state final : host_environment, link_listener, target_listener
{
    explicit state(host_settings wanted);

    // host_environment, on the core's thread.
    void to_target(target_command command) override;
    void connect(const host_id& peer, const std::string& address) override;
    void disconnect(const host_id& peer) override { links->disconnect(peer); }
    bool send(const host_id& peer, const wire::frame& frame) override
    {
        return links->send(peer, frame);
    }
    bool reply(const host_id& peer, const wire::frame& frame) override
    {
        return links->reply(peer, frame);
    }
    void probe(const host_id& peer, const std::string& address) override;
    key_value_store& store() override { return platform_store; }
    void on_stopped() override;
    boost::json::object adapter_report() override;

    // link_listener, on gRPC's threads.
    void on_request_frame(const host_id& from, wire::frame frame) override;
    void on_reply_frame(const host_id& from, wire::frame frame) override;
    void on_link_lost(const host_id& peer) override;

    // target_listener, on the targets' thread.
    void on_attempt_end(const shard_key& shard, attempt_id attempt, attempt_result result) override;
    void on_load_report(const endpoint& target, load_report report) override;

    void push_surely(asio::io_context& io, core_event event);
    void arm_timer();
    void stop();

    host_settings settings;
    duty front;
    duty core_duty;
    duty target_duty;
    duty platform;
    core_ring events;
    message_ring<target_command> target_commands;
    ring_store platform_store;
    target_pool pool;
    std::unique_ptr<host_links> links;
    std::unique_ptr<host_core> core;
    caller_handler callers;
    operator_handler operators;
    std::unique_ptr<http_server> caller_server;
    std::unique_ptr<http_server> operator_server;
    asio::steady_timer timer;
    // When the timer is set to end.
    time_point armed = time_point::min();
    std::mutex mutex;
    std::condition_variable stopped_changed;
    bool stopped = false;
};

host_daemon::state::state(host_settings wanted)
    : settings(std::move(wanted))
    , events(core_duty.io(), core_ring_size,
             [this](core_event&& event)
             {
                 core->handle(steady_now(), std::move(event));
                 arm_timer();
             })
    , target_commands(target_duty.io(), target_ring_size,
                      [this](target_command&& command) { pool.handle(std::move(command)); })
    , platform_store(platform.io(), {.platform = settings.platform, .caller = settings.id.value()},
                     events)
    , pool(target_duty.io(), *this)
    , callers(events)
    , operators(events)
    , timer(core_duty.io())
{
    std::random_device entropy;
    const std::uint64_t seed = (static_cast<std::uint64_t>(entropy()) << 32U) | entropy();
    // Wall-clock milliseconds: unique to a start of this host without anything to remember.
    const auto started = std::chrono::duration_cast<std::chrono::milliseconds>(
                             std::chrono::system_clock::now().time_since_epoch())
                             .count();
    const incarnation start{static_cast<std::uint64_t>(started)};
    links = std::make_unique<host_links>(
        host_links_options{.self = settings.id,
                           .listen = {.address = settings.address, .port = settings.link_port}},
        *this);
    core = std::make_unique<host_core>(
        host_core_options{.settings = settings,
                          .start = start,
                          .random_seed = seed,
                          .capacity_rights = {.self = settings.id},
                          .ledger = {.self = settings.id, .start = start}},
        *this);
    caller_server = std::make_unique<http_server>(
        front.io(),
        http_server_options{.listen = {.address = settings.address, .port = settings.caller_port},
                            .max_body_bytes = settings.max_body_bytes,
                            .max_connections_per_peer = settings.max_connections_per_caller},
        callers);
    operator_server = std::make_unique<http_server>(
        front.io(),
        http_server_options{.listen = {.address = settings.address, .port = settings.admin_port},
                            .max_connections = 64},
        operators);
}

// The core may not wait for the targets' ring. A full one means that far more is under way than
// the replicas' limits allow, so an attempt that does not fit has surely not run.
void host_daemon::state::to_target(target_command command)
{
    if (target_commands.push(std::move(command)))
        return;
    if (const auto* attempt = std::get_if<target_attempt>(&command))
        push_surely(core_duty.io(),
                    attempt_ended{.shard = attempt->shard,
                                  .attempt = attempt->attempt,
                                  .result = {.end = attempt_end::not_connected,
                                             .message = "the ring to the targets is full"}});
}

void host_daemon::state::connect(const host_id& peer, const std::string& address)
{
    links->connect(peer, {.address = address, .port = settings.link_port});
}

void host_daemon::state::probe(const host_id& peer, const std::string& address)
{
    asio::post(platform.io(),
               [this, peer, address]
               {
                   auto socket = std::make_shared<asio::ip::tcp::socket>(platform.io());
                   auto limit = std::make_shared<asio::steady_timer>(platform.io(), probe_timeout);
                   const time_point sent = steady_now();
                   boost::system::error_code error;
                   const auto where = asio::ip::make_address(address, error);
                   limit->async_wait(
                       [socket](boost::system::error_code)
                       {
                           boost::system::error_code ignored;
                           socket->close(ignored);
                       });
                   socket->async_connect(
                       {where, settings.link_port},
                       [this, socket, limit, peer, sent](boost::system::error_code result)
                       {
                           limit->cancel();
                           push_surely(
                               platform.io(),
                               port_probed{.host = peer,
                                           .sent = sent,
                                           .refused = result == asio::error::connection_refused});
                       });
               });
}

void host_daemon::state::on_stopped()
{
    const std::lock_guard lock(mutex);
    stopped = true;
    stopped_changed.notify_all();
}

boost::json::object host_daemon::state::adapter_report()
{
    const target_counts targets = pool.counts();
    const link_counts between = links->counts();
    return {{"target_connections_opened", targets.opened},
            {"target_connections_failed", targets.open_failures},
            {"target_calls", targets.calls},
            {"target_calls_lost", targets.lost},
            {"link_frames_sent", between.frames_sent},
            {"link_bytes_sent", between.bytes_sent},
            {"link_frames_received", between.frames_received},
            {"link_bytes_received", between.bytes_received},
            {"caller_connections", caller_server->open_connections()},
            {"events_waiting", events.size()}};
}

// Frames that do not fit are dropped: their senders hear nothing and their deadlines end them.
void host_daemon::state::on_request_frame(const host_id& from, wire::frame frame)
{
    events.push(request_frame_arrived{.from = from, .frame = std::move(frame)});
}

void host_daemon::state::on_reply_frame(const host_id& from, wire::frame frame)
{
    events.push(reply_frame_arrived{.from = from, .frame = std::move(frame)});
}

void host_daemon::state::on_link_lost(const host_id& peer)
{
    push_surely(core_duty.io(), link_lost{.peer = peer});
}

void host_daemon::state::on_attempt_end(const shard_key& shard, attempt_id attempt,
                                        attempt_result result)
{
    push_surely(target_duty.io(),
                attempt_ended{.shard = shard, .attempt = attempt, .result = std::move(result)});
}

void host_daemon::state::on_load_report(const endpoint& target, load_report report)
{
    events.push(load_reported{.target = target, .report = std::move(report)});
}

// An event that the accounting depends on: a full ring is tried again.
void host_daemon::state::push_surely(asio::io_context& io, core_event event)
{
    if (events.push(std::move(event)))
        return;
    // A refused push leaves the event as it was. NOLINTNEXTLINE(bugprone-use-after-move)
    auto again = [this, &io, event = std::move(event)]() mutable
    { push_surely(io, std::move(event)); };
    asio::post(io, std::move(again));
}

// A timer that is already set for no later is left alone: it costs two handlers to set again.
void host_daemon::state::arm_timer()
{
    const time_point now = steady_now();
    const time_point next = std::max(core->next_timer(), now + min_timer_wait);
    if (armed > now && armed <= next)
        return;
    armed = next;
    timer.expires_after(next - now);
    timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (error)
                return;
            armed = time_point::min();
            core->on_timer(steady_now());
            arm_timer();
        });
}

void host_daemon::state::stop()
{
    asio::post(front.io(), [this] { caller_server->stop_accepting(); });
    // Answers that were given are on their way through the front's thread.
    std::this_thread::sleep_for(std::chrono::milliseconds{200});
    target_duty.stop();
    pool.close();
    platform.stop();
    front.stop();
    core_duty.stop();
    // Last of all, for peers take a refused port as proof that this host can no longer act.
    links->stop();
}

host_daemon::host_daemon(host_settings settings)
    : m_state(std::make_unique<state>(std::move(settings)))
{
}

host_daemon::~host_daemon() = default;

std::string host_daemon::start()
{
    state& s = *m_state;
    std::string error = s.links->start();
    if (error.empty())
        error = s.caller_server->start();
    if (error.empty())
        error = s.operator_server->start();
    if (!error.empty())
        return error;
    asio::post(s.core_duty.io(),
               [&s]
               {
                   s.core->on_timer(steady_now());
                   s.arm_timer();
               });
    s.platform.start();
    s.target_duty.start();
    s.core_duty.start();
    s.front.start();
    return {};
}

void host_daemon::drain()
{
    m_state->push_surely(m_state->core_duty.io(), drain_wanted{});
}

void host_daemon::wait()
{
    {
        std::unique_lock lock(m_state->mutex);
        m_state->stopped_changed.wait(lock, [this] { return m_state->stopped; });
    }
    m_state->stop();
}

} // namespace tanagerspur
