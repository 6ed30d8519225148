#include "stand_ins/kv_stand_in.hpp"

#include "platform/header_names.hpp"
#include "tanagerspur/common/base64.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

namespace tanagerspur::stand_ins
{

namespace
{

constexpr duration tick_interval = std::chrono::milliseconds{50};
constexpr std::size_t page_items = 50;
constexpr std::string_view renew_prefix = "/v1/kv-keep/";
constexpr std::string_view end_prefix = "/v1/kv-lease-end/";

std::string parameter(const http_call& call, const char* name)
{
    const auto found = call.parameters.find(name);
    return found == call.parameters.end() ? "" : found->second;
}

boost::json::object encode(const store_change& change)
{
    boost::json::object made{{"key", change.key}, {"revision", change.position.revision.value()}};
    if (change.value)
        made["value"] = encode_base64(*change.value);
    else
        made["tombstone"] = true;
    return made;
}

boost::json::array encode(const std::vector<store_change>& changes)
{
    boost::json::array made;
    for (const store_change& each : changes)
        made.push_back(encode(each));
    return made;
}

http_reply json_reply(int status, const boost::json::object& body)
{
    return {.status = status, .body = boost::json::serialize(body)};
}

// The status of an outcome that is not ok.
int status_of(store_outcome outcome)
{
    switch (outcome)
    {
    case store_outcome::history_lost:
        return 410;
    case store_outcome::no_lease:
        return 404;
    default:
        return 503;
    }
}

} // namespace

kv_stand_in::kv_stand_in(boost::asio::io_context& io, endpoint listen, std::uint64_t seed)
    : m_io(io)
    , m_store(io)
    , m_server(io,
               {.listen = std::move(listen),
                .max_connections = 10'000,
                .max_connections_per_peer = 10'000},
               *this)
    , m_timer(io)
    , m_random(seed)
{
    m_store.page_size = page_items;
}

std::string kv_stand_in::start()
{
    schedule_tick();
    return m_server.start();
}

void kv_stand_in::schedule_tick()
{
    m_timer.expires_after(tick_interval);
    m_timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (error)
                return;
            if (!m_faults.is_busy)
                m_store.expire_leases(boot_now());
            schedule_tick();
        });
}

void kv_stand_in::handle(http_call call, std::uint64_t /*token*/, http_responder reply_to)
{
    const http_responder respond = [this, reply_to](http_reply reply)
    {
        reply.fields[platform::store_era_field] = std::to_string(m_store.era().value());
        reply_to(std::move(reply));
    };
    if (m_faults.is_busy)
        return respond(error_reply(503, "busy"));
    if (m_faults.delay.count() == 0)
        return serve(call, respond);
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, m_faults.delay);
    timer->async_wait([this, timer, call = std::move(call), respond](boost::system::error_code)
                      { serve(call, respond); });
}

void kv_stand_in::serve(const http_call& call, const http_responder& respond)
{
    if (call.path == "/v1/kv-range")
        serve_range(call, respond);
    else if (call.path == "/v1/kv-watch")
        serve_watch(call, respond);
    else if (call.path == "/v1/kv-txn")
        serve_transaction(call, respond);
    else
        serve_lease(call, respond);
}

void kv_stand_in::serve_range(const http_call& call, const http_responder& respond)
{
    m_store.range(parameter(call, "prefix"), parameter(call, "after"), false,
                  [respond](const range_page& page)
                  {
                      respond(json_reply(200, {{"items", encode(page.items)},
                                               {"truncated", page.is_truncated},
                                               {"as-of", page.as_of.revision.value()}}));
                  });
}

void kv_stand_in::serve_watch(const http_call& call, const http_responder& respond)
{
    const auto after = call.number_parameter("after").value_or(0);
    const auto wait = call.number_parameter("wait-ms").value_or(0);
    m_store.watch(parameter(call, "prefix"),
                  {m_store.era(), store_revision{static_cast<std::uint64_t>(after)}},
                  std::chrono::milliseconds{wait},
                  [respond](const change_list& list)
                  {
                      if (list.outcome != store_outcome::ok)
                          return respond(error_reply(status_of(list.outcome), "no changes"));
                      respond(json_reply(200, {{"events", encode(list.changes)},
                                               {"as-of", list.as_of.revision.value()}}));
                  });
}

void kv_stand_in::serve_transaction(const http_call& call, const http_responder& respond)
{
    const boost::json::value body = boost::json::parse(*call.body);
    const bool is_lost = std::uniform_real_distribution<>{}(m_random) < m_faults.lost_writes;
    for (const boost::json::value& each : body.at("set-keys").as_array())
    {
        const lease_id lease{boost::json::value_to<std::uint64_t>(each.at("lease"))};
        m_store.put(std::string{each.at("key").as_string()},
                    decode_base64(each.at("value").as_string()).value_or(""), lease,
                    [respond, is_lost](store_outcome outcome)
                    {
                        if (is_lost)
                            return;
                        if (outcome != store_outcome::ok)
                            return respond(error_reply(status_of(outcome), "not written"));
                        respond(json_reply(200, {{"revision", 1}}));
                    });
    }
}

void kv_stand_in::serve_lease(const http_call& call, const http_responder& respond)
{
    const auto done = [respond](store_outcome outcome)
    {
        if (outcome != store_outcome::ok)
            return respond(error_reply(status_of(outcome), "no lease"));
        respond(json_reply(200, {}));
    };
    const auto id_after = [&call](std::string_view prefix)
    {
        return lease_id{
            static_cast<std::uint64_t>(parse_number(call.path.substr(prefix.size())).value_or(0))};
    };
    if (call.path.starts_with(renew_prefix))
        return m_store.renew_lease(id_after(renew_prefix), done);
    if (call.path.starts_with(end_prefix))
        return m_store.end_lease(id_after(end_prefix), done);
    if (call.path != "/v1/kv-lease")
        return respond(error_reply(404, "unknown call"));
    const boost::json::value body = boost::json::parse(*call.body);
    const std::chrono::milliseconds length{boost::json::value_to<std::int64_t>(body.at("ttl-ms"))};
    m_store.open_lease(
        length,
        [respond, length](const lease_grant& grant) {
            respond(json_reply(200, {{"lease", grant.lease.value()}, {"ttl-ms", length.count()}}));
        });
}

} // namespace tanagerspur::stand_ins
