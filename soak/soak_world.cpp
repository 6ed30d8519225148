#include "soak/soak_world.hpp"

#include "platform/header_names.hpp"
#include "soak/soak_caller.hpp"
#include "tanagerspur/operations/explain.hpp"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <set>

namespace tanagerspur::soak
{

namespace
{

// A replica that a request crashed is back after this time.
constexpr duration crash_length = std::chrono::milliseconds{1'500};
// One of this many requests is the one that crashes replicas, while it is sent.
constexpr std::uint64_t deadly_share = 10;
constexpr std::size_t crashes_to_learn = 3;
constexpr std::size_t most_late_requests = 3;
constexpr duration tick_interval = std::chrono::milliseconds{50};
// The first configuration is written and hosts are up before callers begin.
constexpr duration lead = std::chrono::milliseconds{1'500};
// No faults at the end: the last two seconds must be served again.
constexpr duration calm_end = std::chrono::seconds{8};
constexpr duration measured_end = std::chrono::seconds{2};
constexpr double least_served_at_end = 0.95;
// Bounds of the platform's rules.
constexpr duration config_bound = std::chrono::seconds{3};
constexpr duration settle_time = std::chrono::seconds{4};
constexpr duration rollback_slack = std::chrono::milliseconds{250};
// A service for each version that a run can reach, so that an answer tells its version for sure.
constexpr std::size_t moving_services = 12;
constexpr std::size_t once_replicas = 3;
constexpr std::uint16_t ports_of_host = 6;
// More than a page of the store, so that one of them is the last on its page.
constexpr int odd_entry_count = 60;
// Requests of each kind whose causes are looked up: enough to see all causes of a run.
constexpr std::size_t most_explanations = 20;

const std::vector<std::string>& zones()
{
    static const std::vector<std::string> names{"a", "b"};
    return names;
}

std::string moving_service(std::uint64_t version)
{
    return "moving-" + std::to_string(version % moving_services);
}

boost::json::object make_route(const std::string& name, const char* kind, int objective_ms)
{
    return {{"name", name},
            {"host", soak_world::site},
            {"prefix", "/" + name + "/"},
            {"type", kind},
            {"timeout-ms", 1'000},
            {"target-latency-ms", objective_ms},
            {"max-attempts", 2},
            {"priority", 1}};
}

} // namespace

soak_world::soak_world(soak_options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_tick_timer(m_io)
    , m_fault_timer(m_io)
{
    m_log.is_calm = [this]
    {
        const time_point since = boot_now();
        return is_store_calm(since) &&
               std::all_of(m_hosts.begin(), m_hosts.end(),
                           [since](const auto& each) { return each->calm_since() < since; });
    };
    m_log.crash = [this](stand_ins::replica_stand_in& which)
    {
        which.link().reset_all();
        which.link().set_faults({.is_refusing = true});
        later(crash_length,
              [this, &which]
              {
                  which.link().set_faults({});
                  which.restart_in(m_platform->store());
              });
    };
    m_platform.emplace(m_io, endpoint{.address = "127.0.0.1", .port = m_options.first_port},
                       m_options.seed);
    const std::string error = m_platform->start();
    if (!error.empty())
        throw std::runtime_error("store: " + error);
    make_replicas();
    write_odd_entries();
    make_hosts();
}

soak_world::~soak_world() = default;

void soak_world::make_replicas()
{
    std::vector<std::string> services;
    for (std::size_t i = 0; i < shard_count; ++i)
        services.insert(services.end(), 2, "shard-" + std::to_string(i));
    for (std::size_t i = 0; i < moving_services; ++i)
        services.push_back(moving_service(i));
    services.insert(services.end(), once_replicas, "once");
    std::uint16_t port = static_cast<std::uint16_t>(m_options.first_port + 10);
    for (std::size_t i = 0; i < services.size(); ++i)
    {
        const endpoint listen{.address = "127.0.0.1", .port = port++};
        const endpoint proxy{.address = "127.0.0.1", .port = port++};
        m_replicas.push_back(std::make_unique<stand_ins::replica_stand_in>(
            m_io, "i-" + std::to_string(i), services[i], zones()[i % zones().size()], listen, proxy,
            m_log, m_options.seed + i + 1));
        m_replicas.back()->register_in(m_platform->store());
    }
}

// Another writer's entries in the list of replicas. They name no replica to use.
void soak_world::write_odd_entries()
{
    for (int i = 0; i < odd_entry_count; ++i)
        m_platform->store().set(platform::replica_prefix + ("a&+#% " + std::to_string(i)), "{}");
}

void soak_world::make_hosts()
{
    const endpoint store{.address = "127.0.0.1", .port = m_options.first_port};
    for (std::size_t i = 0; i < m_options.hosts; ++i)
    {
        const auto first =
            static_cast<std::uint16_t>(m_options.first_port + 100 + ports_of_host * i);
        m_hosts.push_back(std::make_unique<soak_host>(m_io, m_options.program, m_options.folder,
                                                      static_cast<int>(i),
                                                      zones()[i % zones().size()], first, store));
        m_hosts.back()->start();
    }
}

void soak_world::write_configuration()
{
    ++m_version;
    boost::json::object scatter = make_route("scatter", "idempotent", 150);
    boost::json::array shards;
    for (std::size_t i = 0; i < shard_count; ++i)
        shards.emplace_back("shard-" + std::to_string(i));
    scatter["gather"] = shards;
    scatter["top-k"] = top_records;
    scatter["min-coverage"] = min_coverage;
    boost::json::object moving = make_route("moving", "idempotent", 150);
    moving["service"] = moving_service(m_version);
    boost::json::object once = make_route("once", "non_idempotent", 150);
    once["service"] = "once";
    const boost::json::object configuration{
        {"version", m_version},
        {"routes", boost::json::array{scatter, moving, once}},
        {"services", boost::json::array{}},
        {"limits", boost::json::object{{"max-header-bytes", 16'384},
                                       {"max-body-bytes", 65'536},
                                       {"header-timeout-ms", 3'000},
                                       {"idle-timeout-ms", 15'000}}}};
    m_configuration = boost::json::serialize(configuration);
    m_platform->store().set(platform::configuration_key_name, m_configuration);
    m_acknowledged[m_version] = boot_now();
}

std::uint64_t soak_world::version_of(const std::string& service) const
{
    for (std::uint64_t version = m_version; version > 0; --version)
        if (moving_service(version) == service)
            return version;
    return 0;
}

void soak_world::check_version(const soak_host& host, int incarnation, const std::string& service,
                               time_point sent)
{
    const std::uint64_t served = version_of(service);
    shown_version& shown = m_shown[{&host, incarnation}];
    if (served < shown.version && sent > shown.since + rollback_slack)
        violation("version went back from " + std::to_string(shown.version) + " to " +
                  std::to_string(served));
    if (served > shown.version)
        shown = {.version = served, .since = boot_now()};
    const bool is_in_touch = host.calm_since() < sent && is_store_calm(sent);
    for (const auto& [version, when] : m_acknowledged)
        if (is_in_touch && version > served && sent > when + config_bound)
            return violation("version " + std::to_string(version) + " is late, served by " +
                             std::to_string(served));
}

void soak_world::violation(const std::string& what)
{
    std::cout << "VIOLATION seed " << m_options.seed << ": " << what << std::endl;
    m_report.violations.push_back(what);
}

void soak_world::count_answer(bool is_good, time_point when)
{
    if (when < m_end - measured_end)
        return;
    ++m_last_asked;
    m_last_good += is_good ? 1 : 0;
}

void soak_world::later(duration wait, std::function<void()> action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, wait);
    timer->async_wait([timer, action = std::move(action)](boost::system::error_code) { action(); });
}

duration soak_world::draw_ms(std::uint64_t least, std::uint64_t most)
{
    return std::chrono::milliseconds{least + draw(most - least)};
}

void soak_world::disturb_store(duration length)
{
    m_store_calm_since = std::max(m_store_calm_since, boot_now() + length + settle_time);
}

// Faults come in series that overlap: the next one does not wait for the end of the last.
void soak_world::schedule_fault()
{
    m_fault_timer.expires_after(draw_ms(50, 600));
    m_fault_timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (error || boot_now() > m_faults_end)
                return;
            strike();
            schedule_fault();
        });
}

void soak_world::strike()
{
    ++m_report.faults;
    switch (draw(5))
    {
    case 0:
        return strike_host();
    case 1:
        return strike_store();
    case 2:
        return strike_replica();
    case 3:
        if (draw(3) == 0)
            return send_deadly_requests(draw_ms(1'000, 6'000));
        break;
    default:
        break;
    }
    const bool is_long_ago =
        m_version == 0 || boot_now() > m_acknowledged[m_version] + std::chrono::seconds{1};
    if (is_long_ago)
        write_configuration();
}

void soak_world::strike_host()
{
    soak_host* host = m_hosts[draw(m_hosts.size())].get();
    switch (draw(6))
    {
    case 0:
        return host->signal(SIGTERM);
    case 1:
        return host->signal(SIGKILL);
    case 2:
        host->signal(SIGSTOP);
        return later(draw_ms(300, 2'500), [host] { host->signal(SIGCONT); });
    case 3:
        return host->signal(SIGHUP);
    case 4:
    {
        const duration length = draw_ms(300, 4'000);
        host->store_link().set_faults({.is_silent_forward = draw(2) == 0, .is_silent_back = true});
        host->disturbed(boot_now() + length + settle_time);
        return later(length, [host] { host->store_link().set_faults({}); });
    }
    default:
        host->disturbed(boot_now() + settle_time);
        return draw(2) == 0 ? host->store_link().reset_all() : host->store_link().silence_open();
    }
}

void soak_world::strike_store()
{
    const duration length = draw_ms(300, 3'500);
    disturb_store(length);
    switch (draw(6))
    {
    case 0:
        m_platform->set_faults({.is_busy = true});
        break;
    case 1:
        m_platform->set_faults({.delay = std::chrono::milliseconds{150}});
        break;
    case 2:
        m_platform->set_faults({.lost_writes = 0.5});
        break;
    case 3:
        return m_platform->store().compact();
    case 4:
        return restore_store(draw_ms(300, 5'000), length);
    default:
        return m_platform->store().end_all_leases();
    }
    later(length, [this] { m_platform->set_faults({}); });
}

// The store loses what is written from now on, is away after that age, and comes back from a copy.
// The operator and the replicas write again what is lost.
void soak_world::restore_store(duration age, duration length)
{
    m_platform->store().take_copy();
    later(age,
          [this, length]
          {
              disturb_store(length);
              m_platform->set_faults({.is_busy = true});
          });
    later(age + length,
          [this]
          {
              m_platform->set_faults({});
              m_platform->store().restore_copy();
              const duration written_again = draw_ms(50, 1'000);
              later(written_again,
                    [this]
                    {
                        m_platform->store().set(platform::configuration_key_name, m_configuration);
                        for (const auto& each : m_replicas)
                            each->write_again(m_platform->store());
                    });
          });
}

// One request, which comes again at any host.
void soak_world::send_deadly_requests(duration length)
{
    if (boot_now() < m_deadly_until)
        return;
    ++m_deadly_requests;
    m_deadly_until = std::min(m_faults_end, boot_now() + length);
}

bool soak_world::draws_deadly_request()
{
    return boot_now() < m_deadly_until && draw(deadly_share) == 0;
}

std::string soak_world::deadly_path() const
{
    return std::string{stand_ins::deadly_text} + std::to_string(m_deadly_requests);
}

// After a third crash, hosts have some time to learn of the request.
void soak_world::check_deadly_requests()
{
    for (const auto& [path, crashes] : m_log.crashes)
    {
        if (crashes.size() <= crashes_to_learn)
            continue;
        const time_point learnt = crashes[crashes_to_learn - 1].when + settle_time;
        std::set<std::string> late;
        for (const stand_ins::crash_record& each : crashes)
            if (each.when > learnt && learnt > m_store_calm_since)
                late.insert(each.request);
        if (late.size() > most_late_requests)
            violation(path + " crashed " + std::to_string(late.size()) +
                      " times replicas after it was known");
    }
}

void soak_world::strike_replica()
{
    // The replicas of requests that may run once are the last ones; they get a third of the faults,
    // since a mistake there is the worst.
    const bool is_once = draw(3) == 0;
    const std::uint64_t chosen =
        is_once ? m_replicas.size() - 1 - draw(once_replicas) : draw(m_replicas.size());
    stand_ins::replica_stand_in* replica = m_replicas[chosen].get();
    const duration length = draw_ms(300, 4'000);
    switch (draw(10))
    {
    case 0:
        replica->drain_in(m_platform->store());
        return later(std::chrono::seconds{4},
                     [this, replica] { replica->register_in(m_platform->store()); });
    case 1:
        replica->remove_from(m_platform->store());
        return later(std::chrono::seconds{4},
                     [this, replica] { replica->register_in(m_platform->store()); });
    case 2:
        return replica->link().reset_all();
    case 3:
        replica->link().set_faults({.is_silent_forward = draw(2) == 0, .is_silent_back = true});
        return later(length, [replica] { replica->link().set_faults({}); });
    case 4:
        replica->link().set_faults({.delay = std::chrono::milliseconds{40}});
        return later(length, [replica] { replica->link().set_faults({}); });
    case 5:
        replica->set_faults({.slowness = 12, .limit = 20});
        break;
    case 6:
        replica->set_faults({.refused = 0.5, .errors = 0.2});
        break;
    case 7:
        replica->set_faults({.hangs = 0.3});
        break;
    default:
        replica->set_faults({.lost = 0.3});
        break;
    }
    later(length, [replica] { replica->set_faults({}); });
}

void soak_world::tick()
{
    const time_point now = boot_now();
    for (const auto& each : m_hosts)
        each->tick(now);
    if (now > m_end)
        return m_io.stop();
    m_tick_timer.expires_after(tick_interval);
    m_tick_timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
                tick();
        });
}

soak_report soak_world::run()
{
    m_end = boot_now() + lead + m_options.length;
    m_faults_end = m_end - calm_end;
    write_configuration();
    tick();
    later(lead,
          [this]
          {
              for (std::size_t i = 0; i < m_options.callers; ++i)
              {
                  m_callers.push_back(std::make_unique<soak_caller>(
                      *this, zones()[i % zones().size()], "c" + std::to_string(i)));
                  m_callers.back()->start();
              }
              schedule_fault();
          });
    m_io.run();
    final_checks();
    return m_report;
}

void soak_world::check_explanations()
{
    std::vector<log_line> lines;
    for (std::size_t i = 0; i < m_hosts.size(); ++i)
    {
        const std::string name = "host-" + std::to_string(i) + ".log";
        std::ifstream log(m_options.folder + "/" + name);
        read_log(name, log, lines);
    }
    // Lines over the limit are left out, and counted; with any of them a story may lack its end.
    const bool is_complete =
        std::none_of(lines.begin(), lines.end(),
                     [](const log_line& each) { return each.event == "lines_left_out"; });
    std::map<std::string, std::size_t> checked;
    for (const auto& caller : m_callers)
        for (const soak_caller::complaint& each : caller->complaints())
        {
            const std::string kind = each.status == 200   ? "partial"
                                     : each.status == 503 ? "refused"
                                                          : "lost";
            if (++checked[kind] > most_explanations)
                continue;
            const std::vector<std::string> story = explain_request(each.id, lines);
            const auto tells = [&](const char* part)
            {
                return std::any_of(story.begin(), story.end(),
                                   [part](const std::string& line)
                                   { return line.find(part) != std::string::npos; });
            };
            if (tells("cause=") && tells("believed (configuration)"))
                ++m_report.explained[kind];
            else if (is_complete)
                violation("no log tells why " + each.id + " was " + kind);
        }
}

void soak_world::final_checks()
{
    check_explanations();
    check_deadly_requests();
    for (const std::string& each : m_log.late_runs)
        violation("a leaving replica got new work: " + each);
    for (const auto& caller : m_callers)
        caller->final_checks();
    for (const auto& host : m_hosts)
        for (const std::string& each : host->unexpected_ends())
            violation("a host ended by itself or outlived its grace: " + each);
    if (static_cast<double>(m_last_good) < least_served_at_end * static_cast<double>(m_last_asked))
        violation("only " + std::to_string(m_last_good) + " of " + std::to_string(m_last_asked) +
                  " requests were served at the end");
    if (m_last_asked == 0)
        violation("no requests at the end");
}

} // namespace tanagerspur::soak
