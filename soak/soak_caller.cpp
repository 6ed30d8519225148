#include "soak/soak_caller.hpp"

#include "platform/header_names.hpp"
#include "tanagerspur/common/ini.hpp"
#include "tanagerspur/common/text.hpp"
#include "tanagerspur/forwarding/record_merge.hpp"

#include <boost/json/parse.hpp>

#include <algorithm>

namespace tanagerspur::soak
{

namespace
{

constexpr duration think_time = std::chrono::milliseconds{40};
constexpr duration connect_timeout = std::chrono::seconds{1};
constexpr duration patience = std::chrono::milliseconds{1'000};
// Beyond the patience: the host must have answered by then.
constexpr duration answer_slack = std::chrono::milliseconds{500};
// A request that crosses the end of an idle connection is cut within this time.
constexpr duration crossing_time = std::chrono::milliseconds{200};
constexpr std::size_t max_answer_bytes = std::size_t{1} * 1024 * 1024;
constexpr std::size_t directory_tries = 3;

const wire_header_names& header_names()
{
    static const wire_header_names names = platform::make_header_names();
    return names;
}

bool is_promise(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

const char* path_of(request_kind kind)
{
    switch (kind)
    {
    case request_kind::scatter:
        return "/scatter/x";
    case request_kind::idempotent:
        return "/moving/x";
    case request_kind::at_most_once:
        return "/once/x";
    }
    return "/";
}

} // namespace

soak_caller::soak_caller(soak_world& world, std::string zone, std::string name)
    : m_world(world)
    , m_zone(std::move(zone))
    , m_name(std::move(name))
    , m_timer(world.io())
{
}

void soak_caller::schedule()
{
    m_timer.expires_after(think_time * (1 + static_cast<int>(m_world.random()() % 100)) / 50);
    m_timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
                ask();
        });
}

void soak_caller::ask()
{
    if (m_addresses.empty() || boot_now() > m_addresses_until)
        return ask_directory(directory_tries);
    connect();
}

void soak_caller::ask_directory(std::size_t tries)
{
    const auto& hosts = m_world.hosts();
    const soak_host& asked = *hosts[m_world.random()() % hosts.size()];
    http_call call{.path = "/v1/resolve",
                   .parameters = {{"name", soak_world::site}, {"zone", m_zone}}};
    call_once(m_world.io(), asked.directory(), std::move(call), connect_timeout,
              [this, tries](const call_outcome& outcome)
              {
                  if (outcome.stage == call_stage::answered && outcome.reply.status == 200)
                  {
                      const boost::json::value body = boost::json::parse(outcome.reply.body);
                      m_addresses.clear();
                      for (const auto& each : body.at("addrs").as_array())
                          m_addresses.emplace_back(each.as_string());
                      m_addresses_until =
                          boot_now() + std::chrono::seconds{body.at("ttl_s").as_int64()};
                      return connect();
                  }
                  if (tries > 1)
                      return ask_directory(tries - 1);
                  m_addresses.empty() ? schedule() : connect();
              });
}

void soak_caller::connect()
{
    // An open connection is used until the process is gone.
    if (m_connection != nullptr && m_connection->is_open())
        return send();
    const std::string address = m_addresses[m_world.random()() % m_addresses.size()];
    const auto where = parse_endpoint(address);
    for (const auto& each : m_world.hosts())
        if (each->callers() == where)
            m_host = each.get();
    m_connection = http_connection::make(m_world.io(), *where, max_answer_bytes);
    m_connection->open(connect_timeout,
                       [this, address](bool is_open)
                       {
                           if (is_open)
                               return send();
                           std::erase(m_addresses, address);
                           schedule();
                       });
}

void soak_caller::send()
{
    asked request{.id = m_name + "-" + std::to_string(m_next++),
                  .kind = static_cast<request_kind>(m_world.random()() % 3),
                  .host = m_host,
                  .incarnation = m_host->incarnation(),
                  .sent = boot_now()};
    request.is_host_sound = m_host->without_accident_since() < request.sent && !m_host->is_paused();
    http_call call{.path = path_of(request.kind)};
    if (request.kind != request_kind::at_most_once && m_world.draws_deadly_request())
    {
        request.is_deadly = true;
        call.path += m_world.deadly_path();
    }
    call.fields["host"] = soak_world::site;
    call.fields[lower_case(header_names().request_id)] = request.id;
    call.fields[lower_case(header_names().deadline_ms)] =
        std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(patience).count());
    if (request.kind == request_kind::at_most_once)
    {
        call.method = "POST";
        call.body = std::make_shared<const std::string>("order " + request.id);
        m_once.push_back(request.id);
    }
    ++m_world.report().requests;
    m_connection->send(std::move(call), patience + answer_slack,
                       [this, request](const call_outcome& outcome) { done(request, outcome); });
}

void soak_caller::done(const asked& request, const call_outcome& outcome)
{
    bool is_good = false;
    if (outcome.stage == call_stage::answered)
    {
        ++m_world.report().by_status[outcome.reply.status];
        is_good = check_answer(request, outcome.reply);
        complain(request, outcome.reply);
    }
    else if (outcome.stage == call_stage::sent)
    {
        ++m_world.report().without_answer;
        check_lost(request);
    }
    // A request that was never sent is asked again elsewhere.
    if (outcome.stage != call_stage::not_sent && !request.is_deadly)
        m_world.count_answer(is_good, request.sent);
    schedule();
}

bool soak_caller::check_answer(const asked& request, const http_reply& reply)
{
    if (reply.status == 200)
        return request.kind == request_kind::scatter ? check_scatter(request, reply)
                                                     : check_single(request, reply);
    if (reply.status >= 400 && reply.status < 500 && !is_promise(reply.status))
        violation(request, "answered " + std::to_string(reply.status));
    if (is_promise(reply.status) && request.kind == request_kind::at_most_once)
    {
        m_promised.push_back(request.id);
        if (!runs_of(request.id).empty())
            violation(request, "said not to have run, though it had");
    }
    return false;
}

bool soak_caller::check_scatter(const asked& request, const http_reply& reply)
{
    std::set<std::string> services;
    std::vector<std::string> bodies;
    const std::string& field = reply.field(lower_case(header_names().part_signatures));
    for (const std::string& signature : split_list(field, ','))
    {
        const auto& runs = runs_of(request.id);
        const auto run = std::find_if(runs.begin(), runs.end(),
                                      [&](const stand_ins::run_record& each)
                                      { return each.signature == signature; });
        if (run == runs.end() || run->status != 200)
        {
            violation(request, "names a part that is none: " + signature);
            return false;
        }
        if (!services.insert(run->service).second)
            violation(request, "names a shard twice");
        bodies.push_back(run->body);
    }
    const auto missing = reply.number_field(lower_case(header_names().missing_parts)).value_or(0);
    if (services.size() + static_cast<std::size_t>(missing) != soak_world::shard_count)
        violation(request, "parts and missing ones do not add up");
    if (static_cast<double>(services.size()) < soak_world::min_coverage * soak_world::shard_count)
        violation(request, "covers too little");
    const std::vector<std::string_view> parts(bodies.begin(), bodies.end());
    if (reply.body != merge_greatest(parts, soak_world::top_records))
        violation(request, "holds other records than the greatest of its parts");
    m_world.report().partial += missing > 0 ? 1 : 0;
    return true;
}

bool soak_caller::check_single(const asked& request, const http_reply& reply)
{
    const std::string& signature = reply.field(lower_case(header_names().signature));
    for (const stand_ins::run_record& each : runs_of(request.id))
    {
        if (each.signature != signature)
            continue;
        if (each.body != reply.body || each.status != 200)
            violation(request, "is not the replica's answer");
        if (request.kind == request_kind::idempotent)
            m_world.check_version(*request.host, request.incarnation, each.service, request.sent);
        return true;
    }
    violation(request, "bears a signature that no replica gave for it");
    return false;
}

// A host that was only asked to stop, or told to read its settings, answers what it has read.
void soak_caller::check_lost(const asked& request)
{
    const bool had_accident =
        !request.is_host_sound || request.host->without_accident_since() > request.sent;
    if (had_accident)
        return;
    const duration took = boot_now() - request.sent;
    if (!runs_of(request.id).empty() || took > crossing_time)
        violation(request, "was cut after " + std::to_string(to_ms(took)) + " ms");
}

void soak_caller::complain(const asked& request, const http_reply& reply)
{
    const auto missing = static_cast<std::size_t>(
        reply.number_field(lower_case(header_names().missing_parts)).value_or(0));
    const bool is_served = reply.status == 200 && missing == 0;
    const bool has_log =
        request.is_host_sound && request.host->without_accident_since() <= request.sent;
    if (!is_served && has_log)
        m_complaints.push_back({.id = request.id, .status = reply.status, .missing = missing});
}

void soak_caller::check_runs_once(const std::string& id)
{
    if (runs_of(id).size() > 1)
        m_world.violation("request " + id + " ran " + std::to_string(runs_of(id).size()) +
                          " times");
}

void soak_caller::final_checks()
{
    for (const std::string& id : m_once)
        check_runs_once(id);
    for (const std::string& id : m_promised)
        if (!runs_of(id).empty())
            m_world.violation("request " + id + " ran after all");
}

const std::vector<stand_ins::run_record>& soak_caller::runs_of(const std::string& id) const
{
    static const std::vector<stand_ins::run_record> none;
    const auto found = m_world.runs().runs.find(id);
    return found == m_world.runs().runs.end() ? none : found->second;
}

void soak_caller::violation(const asked& request, const std::string& what)
{
    m_world.violation("request " + request.id + " at port " +
                      std::to_string(request.host->callers().port) + ": " + what);
}

} // namespace tanagerspur::soak
