#include "tanagerspur/testing/fake_fleet.hpp"

#include "tanagerspur/host/caller_api.hpp"

#include <boost/json/parse.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>

namespace tanagerspur::testing
{

namespace
{

constexpr duration hop = std::chrono::microseconds{300};
constexpr duration store_time = std::chrono::milliseconds{2};
constexpr duration store_timeout = std::chrono::seconds{2};
constexpr duration settle = std::chrono::milliseconds{100};

} // namespace

// A host's core with the fakes around it.
class fake_node final : public host_environment, public key_value_store
{
public:
    fake_node(fake_fleet& fleet, std::size_t number, std::uint64_t start)
        : m_fleet(fleet)
        , m_number(number)
        , m_start(start)
    {
        host_settings settings{.id = host_id{"h" + std::to_string(number)},
                               .zone = zone_id{"z" + std::to_string(number % 3)},
                               .address = "127.0.0." + std::to_string(number + 1),
                               .platform = {},
                               .address_validity = std::chrono::seconds{1},
                               .drain_timeout = std::chrono::seconds{5}};
        m_core = std::make_unique<host_core>(
            host_core_options{.settings = settings,
                              .start = incarnation{start},
                              .random_seed = fleet.m_options.seed + start,
                              .capacity_rights = {.self = settings.id, .max_attempt_time = settle},
                              .ledger = {.self = settings.id, .start = incarnation{start}}},
            *this);
    }

    void take(core_event event)
    {
        if (m_is_paused)
        {
            m_backlog.push_back(std::move(event));
            return;
        }
        m_core->handle(m_fleet.now(), std::move(event));
    }

    void resume()
    {
        m_is_paused = false;
        // Timers that are due run among the first things after a pause, as in the daemon.
        for (auto backlog = std::exchange(m_backlog, {}); core_event & event : backlog)
            m_core->handle(m_fleet.now(), std::move(event));
        m_core->on_timer(m_fleet.now());
    }

    void to_target(target_command command) override
    {
        if (const auto* attempt = std::get_if<target_attempt>(&command))
            m_fleet.arrive(m_number, *attempt);
        else if (const auto* cancelled = std::get_if<target_cancel>(&command))
            m_fleet.after(hop, [this, key = cancelled->key] { m_cancelled.insert(key); });
        else if (const auto* poll = std::get_if<target_poll>(&command))
            report_load(poll->target);
    }

    void report_load(const endpoint& where)
    {
        const auto found = m_fleet.m_targets.find(where);
        if (found == m_fleet.m_targets.end())
            return;
        const load_report report{.slots = m_fleet.m_options.slots,
                                 .draining = found->second.is_draining,
                                 .versions = {index_version{1}}};
        m_fleet.deliver(m_number, load_reported{.target = where, .report = report});
    }

    void connect(const host_id& peer, const std::string& /*address*/) override
    {
        const std::size_t to = m_fleet.number_of(peer);
        if (m_streams.contains(to))
            return;
        if (m_fleet.m_nodes[to] == nullptr)
            m_fleet.deliver(m_number, link_lost{.peer = peer});
        else
            m_streams[to] = {.peer_start = m_fleet.m_nodes[to]->m_start, .is_silent = false};
    }
    void disconnect(const host_id& peer) override { m_streams.erase(m_fleet.number_of(peer)); }

    bool send(const host_id& peer, const wire::frame& frame) override
    {
        const std::size_t to = m_fleet.number_of(peer);
        const auto stream = m_streams.find(to);
        if (stream == m_streams.end())
            return false;
        if (!stream->second.is_silent && m_fleet.is_linked(m_number, to))
            m_fleet.deliver(to, request_frame_arrived{.from = self(), .frame = frame});
        return true;
    }
    bool reply(const host_id& peer, const wire::frame& frame) override
    {
        const std::size_t to = m_fleet.number_of(peer);
        fake_node* node = m_fleet.m_nodes[to].get();
        if (node == nullptr || !node->m_streams.contains(m_number))
            return false;
        if (!node->m_streams[m_number].is_silent && m_fleet.is_linked(m_number, to))
            m_fleet.deliver(to, reply_frame_arrived{.from = self(), .frame = frame});
        return true;
    }

    void probe(const host_id& peer, const std::string& /*address*/) override
    {
        const std::size_t to = m_fleet.number_of(peer);
        if (!m_fleet.is_linked(m_number, to))
            return;
        m_fleet.deliver(m_number, port_probed{.host = peer,
                                              .sent = m_fleet.now(),
                                              .refused = m_fleet.m_nodes[to] == nullptr});
    }

    key_value_store& store() override { return *this; }
    void on_stopped() override
    {
        m_fleet.after(hop, [fleet = &m_fleet, number = m_number] { fleet->kill(number); });
    }
    boost::json::object adapter_report() override { return {}; }

    bool can_reach_store() const
    {
        return !m_fleet.m_store_out && !m_fleet.m_store_cuts.contains(m_number);
    }

    void answer(value_handler handler, store_result result, duration wait)
    {
        m_fleet.after(wait,
                      [fleet = &m_fleet, number = m_number, start = m_start,
                       handler = std::move(handler), result = std::move(result)]
                      {
                          fake_node* node = fleet->m_nodes[number].get();
                          if (node != nullptr && node->m_start == start)
                              node->take(store_answered{.handler = handler, .result = result});
                      });
    }

    void read(const std::string& key, value_handler handler) override
    {
        ++m_fleet.m_store_calls;
        if (!can_reach_store())
            return answer(std::move(handler), {}, store_timeout);
        answer(std::move(handler), {.status = store_status::ok, .value = m_fleet.m_values[key]},
               store_time);
    }

    void watch(const std::string& key, std::uint64_t known_version, duration wait,
               value_handler handler) override
    {
        ++m_fleet.m_store_calls;
        if (!can_reach_store())
            return answer(std::move(handler), {}, store_timeout);
        if (m_fleet.m_stale_reads > 0 && m_fleet.m_previous.contains(key))
        {
            --m_fleet.m_stale_reads;
            return answer(std::move(handler),
                          {.status = store_status::ok, .value = m_fleet.m_previous[key]},
                          store_time);
        }
        if (m_fleet.m_values[key].version != known_version)
            return answer(std::move(handler),
                          {.status = store_status::ok, .value = m_fleet.m_values[key]}, store_time);
        m_watches.push_back({key, known_version, std::move(handler), m_fleet.now() + wait});
    }

    void write(const std::string& key, std::uint64_t expected_version, std::string text,
               value_handler handler) override
    {
        ++m_fleet.m_store_calls;
        if (!can_reach_store())
            return answer(std::move(handler), {.status = store_status::unknown}, store_timeout);
        store_value& found = m_fleet.m_values[key];
        if (found.version != expected_version)
            return answer(std::move(handler), {.status = store_status::conflict}, store_time);
        m_fleet.m_previous[key] = found;
        found = {.version = found.version + 1, .text = std::move(text)};
        m_fleet.answer_watches();
        if (m_fleet.m_lose_replies > 0)
        {
            --m_fleet.m_lose_replies;
            return answer(std::move(handler), {.status = store_status::unknown}, store_timeout);
        }
        answer(std::move(handler),
               {.status = store_status::ok, .value = {.version = found.version, .text = {}}},
               store_time);
    }

    void list_hosts(list_handler handler) override
    {
        ++m_fleet.m_store_calls;
        const host_list list = can_reach_store() ? m_fleet.listed() : host_list{};
        m_fleet.after(store_time,
                      [fleet = &m_fleet, number = m_number, start = m_start,
                       handler = std::move(handler), list]
                      {
                          fake_node* node = fleet->m_nodes[number].get();
                          if (node != nullptr && node->m_start == start)
                              node->take(hosts_listed{.handler = handler, .list = list});
                      });
    }

    tanagerspur::store_calls calls() const override { return {}; }

    host_id self() const { return host_id{"h" + std::to_string(m_number)}; }

    struct stream
    {
        std::uint64_t peer_start = 0;
        bool is_silent = false;
    };
    struct waiting_watch
    {
        std::string key;
        std::uint64_t known_version = 0;
        value_handler handler;
        time_point end;
    };

    fake_fleet& m_fleet;
    std::size_t m_number;
    std::uint64_t m_start;
    std::unique_ptr<host_core> m_core;
    bool m_is_paused = false;
    std::deque<core_event> m_backlog;
    std::map<std::size_t, stream> m_streams;
    std::vector<waiting_watch> m_watches;
    std::set<std::string> m_cancelled;
    std::uint64_t m_last_generation = 0;
};

fake_fleet::fake_fleet(fake_fleet_options options)
    : m_options(options)
    , m_random(options.seed)
    , m_nodes(options.hosts)
{
    for (std::size_t shard = 0; shard < options.shards; ++shard)
        for (std::size_t i = 0; i < options.replicas; ++i)
            m_targets[address(shard, i)].limit = options.slots + 1;
    apply_manifest(1, options.slots);
    for (std::size_t i = 0; i < options.hosts; ++i)
        start_node(i);
}

fake_fleet::~fake_fleet() = default;

endpoint fake_fleet::address(std::size_t shard, std::size_t replica) const
{
    return {.address = "127.1." + std::to_string(shard) + "." + std::to_string(replica + 1),
            .port = 9000};
}

std::string fake_fleet::manifest_text(std::uint32_t slots) const
{
    std::string text =
        "[manifest]\ndeployment = test\n[service desk]\nslots = " + std::to_string(slots) +
        "\nmax_connections = 30\nmax_attempt_ms = 100\ndefault_deadline_ms = 500\n"
        "layouts = main\n[layout desk/main]\n";
    for (std::size_t shard = 0; shard < m_options.shards; ++shard)
    {
        text += "shard." + std::to_string(shard) + " = ";
        for (std::size_t i = 0; i < m_options.replicas; ++i)
            text += (i == 0 ? "" : ", ") + to_string(address(shard, i)) + "@z";
        text += "\n";
    }
    return text;
}

void fake_fleet::apply_manifest(std::uint64_t generation_number, std::uint32_t slots)
{
    store_value& found = m_values[manifest_key];
    m_previous[manifest_key] = found;
    found = {.version = found.version + 1,
             .text = serialize({.number = generation{generation_number},
                                .operation = "test",
                                .text = manifest_text(slots)})};
    answer_watches();
}

void fake_fleet::start_node(std::size_t host)
{
    const std::uint64_t start = m_next_incarnation++;
    m_nodes[host] = std::make_unique<fake_node>(*this, host, start);
    m_nodes[host]->m_core->on_timer(m_now);
}

void fake_fleet::at(time_point when, std::function<void()> what)
{
    m_events.emplace(std::max(when, m_now), std::move(what));
}

// Events and timers in the order of their times.
void fake_fleet::run_for(duration time)
{
    const time_point end = m_now + time;
    while (m_now < end)
    {
        time_point next = m_events.empty() ? end : std::min(end, m_events.begin()->first);
        for (const auto& node : m_nodes)
            if (node != nullptr && !node->m_is_paused)
                next = std::min(next, std::max(node->m_core->next_timer(), m_now));
        m_now = next;
        while (!m_events.empty() && m_events.begin()->first <= m_now)
        {
            const auto what = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            what();
        }
        step_timers();
    }
}

void fake_fleet::step_timers()
{
    for (auto& node : m_nodes)
    {
        if (node == nullptr || node->m_is_paused)
            continue;
        auto& watches = node->m_watches;
        for (std::size_t i = 0; i < watches.size();)
        {
            if (watches[i].end > m_now)
            {
                ++i;
                continue;
            }
            const auto due = watches[i];
            watches.erase(watches.begin() + static_cast<std::ptrdiff_t>(i));
            node->answer(
                due.handler,
                {.status = node->can_reach_store() ? store_status::ok : store_status::unavailable,
                 .value = m_values[due.key]},
                store_time);
        }
        if (node->m_core->next_timer() <= m_now)
            node->m_core->on_timer(m_now);
    }
}

void fake_fleet::answer_watches()
{
    for (auto& node : m_nodes)
    {
        if (node == nullptr || !node->can_reach_store())
            continue;
        auto watches = std::exchange(node->m_watches, {});
        for (const auto& each : watches)
        {
            if (m_values[each.key].version == each.known_version)
                node->m_watches.push_back(each);
            else
                node->answer(each.handler,
                             {.status = store_status::ok, .value = m_values[each.key]}, store_time);
        }
    }
}

void fake_fleet::deliver(std::size_t host, core_event event)
{
    const std::uint64_t start = m_nodes[host] != nullptr ? m_nodes[host]->m_start : 0;
    after(hop,
          [this, host, start, event = std::make_shared<core_event>(std::move(event))]
          {
              if (m_nodes[host] != nullptr && m_nodes[host]->m_start == start)
                  m_nodes[host]->take(std::move(*event));
          });
}

bool fake_fleet::is_linked(std::size_t left, std::size_t right) const
{
    return !m_cuts.contains({std::min(left, right), std::max(left, right)});
}

std::size_t fake_fleet::number_of(const host_id& id) const
{
    return std::stoul(id.value().substr(1));
}

host_list fake_fleet::listed() const
{
    host_list list{.available = true, .hosts = {}};
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
        if (!m_unlisted.contains(i))
            list.hosts.push_back({.id = host_id{"h" + std::to_string(i)},
                                  .zone = zone_id{"z" + std::to_string(i % 3)},
                                  .address = "127.0.0." + std::to_string(i + 1)});
    return list;
}

void fake_fleet::pause(std::size_t host)
{
    if (m_nodes[host] != nullptr)
        m_nodes[host]->m_is_paused = true;
}

void fake_fleet::resume(std::size_t host)
{
    if (m_nodes[host] != nullptr && m_nodes[host]->m_is_paused)
        m_nodes[host]->resume();
}

// The process ends: its connections close, so targets stop its work and peers lose its streams.
void fake_fleet::kill(std::size_t host)
{
    if (m_nodes[host] == nullptr)
        return;
    const std::uint64_t start = m_nodes[host]->m_start;
    m_nodes[host].reset();
    for (auto& [where, each] : m_targets)
        std::erase_if(each.in_flight, [&](const auto& work) { return work.second == start; });
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
        if (m_nodes[i] != nullptr && m_nodes[i]->m_streams.erase(host) > 0 && is_linked(i, host))
            deliver(i, link_lost{.peer = host_id{"h" + std::to_string(host)}});
}

void fake_fleet::restart(std::size_t host)
{
    if (m_nodes[host] == nullptr)
        start_node(host);
}

void fake_fleet::set_cut(std::size_t left, std::size_t right, bool is_cut)
{
    const std::pair pair{std::min(left, right), std::max(left, right)};
    if (is_cut && left != right)
        m_cuts.insert(pair);
    else
        m_cuts.erase(pair);
}

void fake_fleet::set_store_cut(std::size_t host, bool is_cut)
{
    if (is_cut)
        m_store_cuts.insert(host);
    else
        m_store_cuts.erase(host);
}

void fake_fleet::silence_streams(std::size_t left, std::size_t right)
{
    for (const auto& [from, to] : {std::pair{left, right}, std::pair{right, left}})
        if (m_nodes[from] != nullptr && m_nodes[from]->m_streams.contains(to))
            m_nodes[from]->m_streams[to].is_silent = true;
}

void fake_fleet::set_listed(std::size_t host, bool is_listed)
{
    if (is_listed)
        m_unlisted.erase(host);
    else
        m_unlisted.insert(host);
}

void fake_fleet::drain(std::size_t host)
{
    if (m_nodes[host] != nullptr)
        m_nodes[host]->take(drain_wanted{});
}

void fake_fleet::set_target_draining(std::size_t shard, std::size_t replica, bool is_draining)
{
    m_targets[address(shard, replica)].is_draining = is_draining;
}

void fake_fleet::set_target_limit(std::uint32_t limit)
{
    for (auto& [where, each] : m_targets)
        each.limit = limit;
}

// The work ends after a random time, when it is cancelled, or at its deadline.
void fake_fleet::arrive(std::size_t host, const target_attempt& attempt)
{
    const std::uint64_t start = m_nodes[host] != nullptr ? m_nodes[host]->m_start : 0;
    target& to = m_targets[attempt.target];
    if (to.is_draining)
        return end_attempt(host, start, attempt, attempt_end::draining);
    to.last_arrival = m_now;
    to.in_flight[attempt.key] = start;
    if (to.in_flight.size() > to.limit)
        ++m_over_limit;
    ++m_runs[attempt.request.value()][to_string(attempt.shard)];
    boost::random::uniform_int_distribution<duration::rep> service(500,
                                                                   m_options.max_service.count());
    const duration needed = std::min(duration{service(m_random)}, attempt.deadline - m_now);
    after(needed,
          [this, host, start, attempt]
          {
              m_targets[attempt.target].in_flight.erase(attempt.key);
              const bool is_late = m_now >= attempt.deadline;
              end_attempt(host, start, attempt,
                          is_late ? attempt_end::failed : attempt_end::answered);
          });
}

void fake_fleet::end_attempt(std::size_t host, std::uint64_t start, const target_attempt& attempt,
                             attempt_end end)
{
    after(hop,
          [this, host, start, attempt, end]
          {
              fake_node* node = m_nodes[host].get();
              if (node == nullptr || node->m_start != start)
                  return;
              node->take(
                  attempt_ended{.shard = attempt.shard,
                                .attempt = attempt.attempt,
                                .result = {.end = end,
                                           .message = "test",
                                           .version = attempt.version,
                                           .rows = std::make_shared<const std::string>("[1]")}});
          });
}

void fake_fleet::call(std::size_t host, http_call message, http_responder respond)
{
    deliver(host, caller_arrived{.call = std::move(message),
                                 .token = m_next_token++,
                                 .respond = std::move(respond)});
}

std::size_t fake_fleet::query(std::size_t host, bool idempotent, const std::string& request,
                              const std::string& key)
{
    const std::size_t record = m_callers.size();
    const std::string id = request.empty() && idempotent ? "r" + std::to_string(record) : request;
    m_callers.push_back({.request = id, .idempotent = idempotent, .host = host, .body = {}});
    http_call message{.method = "POST", .path = key.empty() ? search_path : lookup_path};
    message.parameters["service"] = "desk";
    if (!key.empty())
        message.parameters["key"] = key;
    message.fields["request-id"] = id;
    message.fields["idempotent"] = idempotent ? "true" : "false";
    call(host, std::move(message),
         [this, record](const http_reply& reply)
         {
             caller_record& each = m_callers[record];
             ++each.answers;
             each.status = reply.status;
             each.body = boost::json::parse(reply.body).as_object();
         });
    return record;
}

std::string fake_fleet::issue_id(std::size_t host)
{
    std::string id;
    call(host, {.method = "POST", .path = request_ids_path},
         [&id](const http_reply& reply)
         {
             if (reply.status == 200)
                 id = boost::json::parse(reply.body).at("request_id").as_string();
         });
    run_for(2 * hop);
    return id;
}

bool fake_fleet::is_alive(std::size_t host) const
{
    return m_nodes[host] != nullptr;
}

// An operator's call, answered at once; a paused host gives no answer.
boost::json::object fake_fleet::ask_operator(std::size_t host, const std::string& path)
{
    boost::json::object found;
    if (m_nodes[host] == nullptr || m_nodes[host]->m_is_paused)
        return found;
    m_nodes[host]->take(operator_arrived{.call = {.path = path},
                                         .respond = [&](const http_reply& reply)
                                         { found = boost::json::parse(reply.body).as_object(); }});
    return found;
}

boost::json::object fake_fleet::status(std::size_t host)
{
    auto found = ask_operator(host, "/admin/status");
    if (found.empty())
        return found;
    const auto number = found.at("generation").to_number<std::uint64_t>();
    std::uint64_t& last = m_nodes[host]->m_last_generation;
    m_generations_gone_back += number < last ? 1 : 0;
    last = number;
    return found;
}

boost::json::object fake_fleet::dump(std::size_t host)
{
    return ask_operator(host, "/admin/dump");
}

std::uint64_t fake_fleet::runs(const std::string& request) const
{
    std::uint64_t total = 0;
    if (const auto found = m_runs.find(request); found != m_runs.end())
        for (const auto& [shard, count] : found->second)
            total += count;
    return total;
}

std::uint64_t fake_fleet::most_runs_at_a_shard(const std::string& request) const
{
    std::uint64_t most = 0;
    if (const auto found = m_runs.find(request); found != m_runs.end())
        for (const auto& [shard, count] : found->second)
            most = std::max(most, count);
    return most;
}

time_point fake_fleet::last_arrival(std::size_t shard, std::size_t replica) const
{
    return m_targets.at(address(shard, replica)).last_arrival;
}

} // namespace tanagerspur::testing
