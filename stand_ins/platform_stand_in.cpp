#include "stand_ins/platform_stand_in.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace tanagerspur::stand_ins
{

namespace
{

constexpr duration tick_interval = std::chrono::milliseconds{20};
constexpr std::string_view kv_prefix = "/kv/";
constexpr std::string_view lease_prefix = "/leases";

std::uint64_t parse_tag(const std::string& tag)
{
    return tag.size() < 3 ? 0
                          : static_cast<std::uint64_t>(
                                parse_number(tag.substr(1, tag.size() - 2)).value_or(0));
}

std::string make_tag(std::uint64_t version)
{
    return '"' + std::to_string(version) + '"';
}

duration read_wait(const http_call& call)
{
    const std::string& prefer = call.field("prefer");
    const auto value = prefer.starts_with("wait=") ? parse_number(prefer.substr(5)) : std::nullopt;
    return std::chrono::seconds{value.value_or(0)};
}

std::int64_t number_of(const boost::json::object& object, const char* name, std::int64_t fallback)
{
    const auto* found = object.if_contains(name);
    return found != nullptr && found->is_int64() ? found->as_int64() : fallback;
}

} // namespace

platform_stand_in::platform_stand_in(boost::asio::io_context& io, platform_options options)
    : m_io(io)
    , m_options(std::move(options))
    , m_server(io,
               {.listen = m_options.listen,
                .max_body_bytes = m_options.max_value_bytes + 1'000'000,
                .max_connections = 50'000,
                .max_connections_per_peer = 50'000},
               *this)
    , m_timer(io)
{
}

std::string platform_stand_in::start()
{
    tick();
    return m_server.start();
}

void platform_stand_in::handle(http_call call, std::uint64_t token, http_responder respond)
{
    if (call.path.starts_with("/control/"))
        return serve_control(call, respond);
    const std::string& from = call.field("from-host");
    const bool is_cut =
        std::find(m_faults.cut.begin(), m_faults.cut.end(), from) != m_faults.cut.end();
    if (m_faults.outage == "silent" || (is_cut && !from.empty()))
        return;
    if (m_faults.outage == "error")
        return respond(error_reply(503, "outage"));
    if (m_faults.delay.count() == 0)
        return serve(call, token, respond);
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, m_faults.delay);
    timer->async_wait([this, timer, call = std::move(call), token, respond = std::move(respond)](
                          boost::system::error_code) { serve(call, token, respond); });
}

void platform_stand_in::serve(const http_call& call, std::uint64_t token,
                              const http_responder& respond)
{
    if (!admit(call.method != "GET"))
    {
        ++m_counters.limited;
        return respond(error_reply(429, "too many calls"));
    }
    if (call.path.starts_with(kv_prefix))
        return serve_kv(call, token, respond);
    if (call.path.starts_with(lease_prefix))
        return serve_lease(call, respond);
    if (call.path == "/hosts")
    {
        ++m_counters.lists;
        return respond({.body = m_hosts});
    }
    respond(error_reply(404, "no such path"));
}

bool platform_stand_in::admit(bool is_write)
{
    const time_point now = steady_now();
    if (now - m_second >= std::chrono::seconds{1})
    {
        m_second = now;
        m_reads_in_second = 0;
        m_writes_in_second = 0;
    }
    std::uint64_t& used = is_write ? m_writes_in_second : m_reads_in_second;
    std::uint64_t& most =
        is_write ? m_counters.most_writes_in_a_second : m_counters.most_reads_in_a_second;
    most = std::max(most, ++used);
    return used <= (is_write ? m_options.writes_per_second : m_options.reads_per_second);
}

void platform_stand_in::serve_kv(const http_call& call, std::uint64_t token,
                                 const http_responder& respond)
{
    const std::string key = call.path.substr(kv_prefix.size());
    if (call.method == "GET")
        return read(key, call, token, respond);
    if (call.method == "PUT")
        return write(key, call, respond);
    respond(error_reply(405, "wrong method"));
}

http_reply platform_stand_in::value_reply(const value& found)
{
    if (found.version == 0)
        return error_reply(404, "no such key");
    http_reply reply{.content_type = "application/octet-stream", .body = found.text};
    reply.fields["ETag"] = make_tag(found.version);
    return reply;
}

void platform_stand_in::read(const std::string& key, const http_call& call, std::uint64_t token,
                             const http_responder& respond)
{
    const duration wait = read_wait(call);
    ++(wait.count() > 0 ? m_counters.watches : m_counters.reads);
    if (m_faults.stale_reads > 0 && m_previous.contains(key))
    {
        --m_faults.stale_reads;
        return respond(value_reply(m_previous[key]));
    }
    const value& found = m_values[key];
    const std::string& known = call.field("if-none-match");
    if (known.empty() || parse_tag(known) != found.version)
        return respond(value_reply(found));
    m_watches.push_back({.token = token,
                         .key = key,
                         .known_version = found.version,
                         .respond = respond,
                         .end = steady_now() + wait});
}

void platform_stand_in::write(const std::string& key, const http_call& call,
                              const http_responder& respond)
{
    ++m_counters.writes;
    if (call.body->size() > m_options.max_value_bytes)
        return respond(error_reply(413, "the value is too large"));
    value& found = m_values[key];
    const bool wants_new = call.field("if-none-match") == "*";
    const std::string& wanted = call.field("if-match");
    if ((wants_new && found.version != 0) ||
        (!wanted.empty() && parse_tag(wanted) != found.version))
    {
        ++m_counters.conflicts;
        return respond(error_reply(412, "the version has changed"));
    }
    m_previous[key] = found;
    found = {.version = m_next_version++, .text = *call.body, .lease = call.field("lease")};
    answer_watches(key);
    if (m_faults.lose_write_replies > 0)
    {
        --m_faults.lose_write_replies;
        return;
    }
    http_reply reply;
    reply.fields["ETag"] = make_tag(found.version);
    respond(reply);
}

void platform_stand_in::answer_watches(const std::string& key)
{
    const value& found = m_values[key];
    for (auto each = m_watches.begin(); each != m_watches.end();)
    {
        if (each->key != key)
        {
            ++each;
            continue;
        }
        each->respond(value_reply(found));
        each = m_watches.erase(each);
    }
}

// POST /leases?ttl_s=N grants; POST /leases/ID renews.
void platform_stand_in::serve_lease(const http_call& call, const http_responder& respond)
{
    ++m_counters.writes;
    const time_point now = steady_now();
    if (call.path == lease_prefix)
    {
        const duration ttl = std::chrono::seconds{call.number_parameter("ttl_s").value_or(10)};
        const std::string id = std::to_string(m_next_lease++);
        m_leases[id] = {ttl, now + ttl};
        return respond({.body = boost::json::serialize(boost::json::object{{"lease", id}})});
    }
    const auto found = m_leases.find(call.path.substr(lease_prefix.size() + 1));
    if (found == m_leases.end())
        return respond(error_reply(404, "the lease has lapsed"));
    found->second.second = now + found->second.first;
    respond({.body = "{}"});
}

void platform_stand_in::serve_control(const http_call& call, const http_responder& respond)
{
    if (call.path == "/control/counters")
        return respond({.body = boost::json::serialize(report())});
    boost::json::error_code error;
    const auto parsed = boost::json::parse(*call.body, error);
    if (error || !parsed.is_object())
        return respond(error_reply(400, "a JSON object is expected"));
    if (call.path == "/control/hosts")
        m_coming_hosts.emplace(steady_now() + m_faults.list_lag, *call.body);
    else if (call.path == "/control/faults")
        set_faults(parsed.as_object());
    else
        return respond(error_reply(404, "no such path"));
    respond({.body = "{}"});
}

void platform_stand_in::set_faults(const boost::json::object& wanted)
{
    if (const auto* outage = wanted.if_contains("outage"))
        m_faults.outage = outage->as_string();
    m_faults.delay = std::chrono::milliseconds{
        number_of(wanted, "delay_ms",
                  std::chrono::duration_cast<std::chrono::milliseconds>(m_faults.delay).count())};
    m_faults.lose_write_replies =
        number_of(wanted, "lose_write_replies", m_faults.lose_write_replies);
    m_faults.stale_reads = number_of(wanted, "stale_reads", m_faults.stale_reads);
    m_faults.list_lag = std::chrono::milliseconds{number_of(
        wanted, "list_lag_ms",
        std::chrono::duration_cast<std::chrono::milliseconds>(m_faults.list_lag).count())};
    if (const auto* cut = wanted.if_contains("cut"))
    {
        m_faults.cut.clear();
        for (const auto& each : cut->as_array())
            m_faults.cut.emplace_back(each.as_string());
        // A cut also swallows the watches that wait.
        std::erase_if(m_watches, [&](const watch&) { return !m_faults.cut.empty(); });
    }
    if (m_faults.outage != "none")
        m_watches.clear();
}

void platform_stand_in::abandoned(std::uint64_t token)
{
    std::erase_if(m_watches, [&](const watch& each) { return each.token == token; });
}

void platform_stand_in::tick()
{
    const time_point now = steady_now();
    while (!m_coming_hosts.empty() && m_coming_hosts.begin()->first <= now)
    {
        m_hosts = m_coming_hosts.begin()->second;
        m_coming_hosts.erase(m_coming_hosts.begin());
    }
    for (auto each = m_watches.begin(); each != m_watches.end();)
    {
        if (each->end > now)
        {
            ++each;
            continue;
        }
        http_reply reply{.status = 304};
        reply.fields["ETag"] = make_tag(each->known_version);
        each->respond(reply);
        each = m_watches.erase(each);
    }
    for (auto each = m_leases.begin(); each != m_leases.end();)
    {
        if (each->second.second > now)
        {
            ++each;
            continue;
        }
        for (auto& [key, held] : m_values)
            if (held.lease == each->first)
            {
                held = {};
                answer_watches(key);
            }
        each = m_leases.erase(each);
    }
    m_timer.expires_after(tick_interval);
    m_timer.async_wait([this](boost::system::error_code error) { error ? void() : tick(); });
}

boost::json::object platform_stand_in::report() const
{
    return {{"reads", m_counters.reads},
            {"watches", m_counters.watches},
            {"writes", m_counters.writes},
            {"lists", m_counters.lists},
            {"conflicts", m_counters.conflicts},
            {"limited", m_counters.limited},
            {"most_reads_in_a_second", m_counters.most_reads_in_a_second},
            {"most_writes_in_a_second", m_counters.most_writes_in_a_second},
            {"watches_waiting", m_watches.size()}};
}

} // namespace tanagerspur::stand_ins
