#include "stand_ins/replica_stand_in.hpp"

#include "platform/header_names.hpp"
#include "tanagerspur/common/text.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <array>
#include <chrono>
#include <iostream>

namespace tanagerspur::stand_ins
{

namespace
{

constexpr std::uint32_t slots = 4;
// Requests that are taken beyond the slots.
constexpr std::size_t queue = 12;
// Seconds for which it wants no requests from a host that it refused one.
constexpr const char* refusal_pause = "0.2";
// Statuses of failed requests, in turn. HTTP allows those from 100 to 599 only.
constexpr std::array error_statuses{500, 0, 99, 600, 999};
constexpr std::size_t records = 4;
constexpr std::size_t record_bytes = 16;
// After a replica's leaving was acknowledged, hosts that reach the store send it nothing more.
constexpr duration drain_bound = std::chrono::seconds{3};

const wire_header_names& header_names()
{
    static const wire_header_names names = platform::make_header_names();
    return names;
}

} // namespace

std::string records_of(const std::string& service, const std::string& request)
{
    std::mt19937_64 random{std::hash<std::string>{}(service + "/" + request)};
    std::string made;
    for (std::size_t i = 0; i < records * record_bytes; ++i)
        made += static_cast<char>(random() % 256);
    return made;
}

replica_stand_in::replica_stand_in(boost::asio::io_context& io, std::string id, std::string service,
                                   std::string zone, const endpoint& listen, const endpoint& proxy,
                                   run_log& log, std::uint64_t seed)
    : m_io(io)
    , m_id(std::move(id))
    , m_service(std::move(service))
    , m_zone(std::move(zone))
    , m_address(proxy)
    , m_log(log)
    , m_server(io, {.listen = listen}, *this)
    , m_link(io, proxy, listen)
    , m_random(seed)
    , m_started_ms(seed)
{
    const std::string error = m_server.start();
    if (!error.empty())
        throw std::runtime_error("replica " + m_id + ": " + error);
}

void replica_stand_in::write_entry(memory_store& store, const char* state)
{
    m_state = state;
    store.set(platform::replica_prefix + m_id,
              boost::json::serialize(boost::json::object{{"service", m_service},
                                                         {"address", to_string(m_address)},
                                                         {"zone", m_zone},
                                                         {"version", "v1"},
                                                         {"slots", slots},
                                                         {"state", state},
                                                         {"warmup-left-ms", 0},
                                                         {"seq", ++m_sequence},
                                                         {"born", m_started_ms}}));
}

void replica_stand_in::register_in(memory_store& store)
{
    m_leaving_since = never;
    ++m_started_ms;
    write_entry(store, "ready");
}

void replica_stand_in::drain_in(memory_store& store)
{
    m_leaving_since = std::min(m_leaving_since, boot_now());
    write_entry(store, "draining");
}

void replica_stand_in::remove_from(memory_store& store)
{
    m_leaving_since = std::min(m_leaving_since, boot_now());
    m_state = nullptr;
    store.erase(platform::replica_prefix + m_id);
}

void replica_stand_in::write_again(memory_store& store)
{
    if (m_state != nullptr)
        write_entry(store, m_state);
    else
        remove_from(store);
}

http_reply replica_stand_in::refusal(int status) const
{
    http_reply reply{.status = status};
    reply.fields[header_names().not_run] = "1";
    reply.fields["Retry-After"] = refusal_pause;
    add_notices(reply);
    return reply;
}

void replica_stand_in::add_notices(http_reply& reply) const
{
    if (m_leaving_since != never)
        reply.fields[header_names().leaving] = "1";
    if (m_faults.limit > 0)
        reply.fields[header_names().limit] = std::to_string(m_faults.limit);
}

void replica_stand_in::restart_in(memory_store& store)
{
    ++m_started_ms;
    m_sequence = 0;
    if (m_state != nullptr)
        write_entry(store, m_state);
}

void replica_stand_in::handle(http_call call, std::uint64_t token, http_responder respond)
{
    if (call.field(lower_case(header_names().expected_replica)) != m_id)
        return respond({.status = 421});
    if (call.path.find(deadly_text) != std::string::npos)
    {
        m_log.crashes[call.path].push_back(
            {call.field(lower_case(header_names().request_id)), boot_now()});
        return m_log.crash(*this);
    }
    if (chance() < m_faults.refused || m_running >= slots + queue)
        return respond(refusal(503));
    run(call, token, respond);
}

void replica_stand_in::run(const http_call& call, std::uint64_t token,
                           const http_responder& respond)
{
    const std::string request = call.field(lower_case(header_names().request_id));
    run_record record{
        .replica = m_id,
        .service = m_service,
        .signature = m_id + "." + std::to_string(++m_runs) + "." + request,
        .body = records_of(m_service, request),
        .status = chance() < m_faults.errors ? error_statuses[m_runs % error_statuses.size()] : 200,
        .begun = boot_now()};
    if (m_leaving_since != never && record.begun - m_leaving_since > drain_bound && m_log.is_calm())
        m_log.late_runs.push_back(m_id + " ran " + request);
    m_log.runs[request].push_back(record);
    if (chance() < m_faults.hangs)
        return;
    ++m_running;
    const double ms = std::lognormal_distribution<>{1.8, 0.35}(m_random)*m_faults.slowness;
    auto timer = std::make_shared<boost::asio::steady_timer>(
        m_io, std::chrono::microseconds{static_cast<std::int64_t>(ms * 1'000)});
    timer->async_wait([this, timer, token, record, request, respond](boost::system::error_code)
                      { finish(token, record, request, respond); });
}

void replica_stand_in::finish(std::uint64_t token, const run_record& record,
                              const std::string& request, const http_responder& respond)
{
    --m_running;
    if (m_abandoned.erase(token) > 0)
        return;
    if (chance() < m_faults.lost)
        return m_link.reset_all();
    http_reply reply{.status = record.status, .body = record.body};
    reply.fields[header_names().request_id] = request;
    reply.fields[header_names().signature] = record.signature;
    reply.fields[header_names().load] = std::to_string(m_running) + ",0," + std::to_string(slots);
    add_notices(reply);
    respond(std::move(reply));
}

} // namespace tanagerspur::stand_ins
