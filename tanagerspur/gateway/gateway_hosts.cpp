// Publishes this host's own entry and computes its share of what all hosts divide among
// themselves: callers, connections to replicas, extra attempts, and the reading of the store.

#include "tanagerspur/gateway/gateway.hpp"

#include <algorithm>
#include <set>

namespace tanagerspur
{

namespace
{

// Share of a replica's connection limit that all hosts use together. The rest is reserved for
// connections that the replica still counts although their host has lost power, which may happen to
// all hosts at once.
constexpr double connection_share = 0.5;
constexpr std::size_t max_connections_per_replica = 6;
// Share of the deployment's retry slack that is used. The rest is a margin for the moments in which
// hosts disagree on how many of them share it.
constexpr double retry_slack_share = 0.7;
// Bounds of the random interval at which an unregistered host checks whether it should register.
// When many entries are missing, the first hosts to check fill the gap.
constexpr duration min_registration_check_interval = std::chrono::milliseconds{500};
constexpr duration max_registration_check_interval = std::chrono::milliseconds{1'500};

} // namespace

// Callers ask the hosts of their own zone first, so most hosts watch only their zone.
std::vector<endpoint> gateway::addresses(const zone_id& caller_zone, std::size_t max_count)
{
    const std::vector<host_record> known = m_directory.all_hosts();
    const bool is_known_zone =
        std::any_of(known.begin(), known.end(),
                    [&](const host_record& each) { return each.zone == caller_zone; });
    if (is_known_zone && m_caller_zones.insert(caller_zone).second)
        update_watched_hosts();
    return m_directory.addresses(caller_zone, max_count, m_host_monitor);
}

void gateway::update_watched_hosts()
{
    std::map<host_id, endpoint> watched;
    for (const host_record& each : m_directory.hosts_to_watch(m_caller_zones, m_host_monitor))
        watched[each.id] = each.peers;
    m_host_monitor.watch(watched, boot_now());
}

void gateway::reachability_changed(const host_id& id, reachability current)
{
    if (current == reachability::unreachable)
        ++m_hosts_lost;
    m_log.write_limited("host_reachability",
                        {{"host", id.value()},
                         {"now", std::string{to_string(current)}},
                         {"watched", std::to_string(m_host_monitor.watched())},
                         {"unreachable", std::to_string(m_host_monitor.unreachable())},
                         {"revision", std::to_string(m_mirror.as_of().revision.value())}},
                        boot_now());
    on_hosts_changed();
}

void gateway::publish_own_entry()
{
    m_directory.set_own_state({.is_ready = is_ready(),
                               .is_busy = m_overload_detector.is_busy(),
                               .is_leaving = m_is_stopping,
                               .load = m_cpu_load.load()});
    if (m_is_registered)
        m_registration.publish(m_codec.encode_host(m_directory.self()));
}

void gateway::update_registration(time_point now)
{
    if (!m_has_snapshot || m_is_registered || m_is_stopping || now < m_next_registration_check)
        return;
    m_next_registration_check = now + duration{std::uniform_int_distribution<duration::rep>{
                                          min_registration_check_interval.count(),
                                          max_registration_check_interval.count()}(m_random)};
    if (!m_directory.should_register())
        return;
    m_is_registered = true;
    m_log.write("entry_wanted", {{"known_hosts", std::to_string(m_directory.known_hosts())},
                                 {"revision", std::to_string(m_mirror.as_of().revision.value())}});
    publish_own_entry();
}

// Divides connections and extra attempts among the advertised hosts. Any other host is limited to
// one connection to each replica and to the ratio of extra attempts, without slack. A host that
// replaces unreachable ones takes a share at once. The shares do not grow by what is unreachable
// from here: it may be this host that is cut off.
void gateway::on_hosts_changed()
{
    publish_own_entry();
    update_readers();
    update_watched_hosts();
    const std::vector<host_record> registered = m_directory.advertised_hosts();
    const std::vector<host_record> running = m_directory.advertised_hosts(m_host_monitor);
    const auto contains_self = [this](const std::vector<host_record>& hosts)
    {
        return std::any_of(hosts.begin(), hosts.end(),
                           [this](const host_record& each) { return each.id == m_settings.id; });
    };
    const bool is_advertised = contains_self(registered) || contains_self(running);
    const std::size_t sharing = std::max(registered.size(), running.size());
    const double hosts = static_cast<double>(std::max<std::size_t>(1, sharing));
    if (std::exchange(m_sharing_hosts, is_advertised ? sharing : 0) !=
        (is_advertised ? sharing : 0))
        m_log.write("shares_changed", {{"used", is_advertised ? "true" : "false"},
                                       {"used_hosts", std::to_string(sharing)},
                                       {"known_hosts", std::to_string(m_directory.known_hosts())}});
    set_limit_share(m_directory.share_of_limits(registered, running));
    m_forwarder.set_retry_slack(
        is_advertised ? m_settings.retry_slack * retry_slack_share / hosts : 0.0, boot_now());
    if (m_table != nullptr)
        for (const auto& [service, rule] : m_table->configuration().services)
        {
            const auto share =
                is_advertised
                    ? static_cast<std::size_t>(connection_share * rule.max_connections / hosts)
                    : std::size_t{1};
            m_pool.set_limit(service,
                             std::clamp<std::size_t>(share, 1, max_connections_per_replica));
        }
}

void gateway::set_limit_share(double share)
{
    const double before = m_registry.limit_share();
    m_registry.set_limit_share(share, boot_now());
    if (share != before && m_registry.limited() > 0)
        m_log.write_limited("limit_share_changed",
                            {{"share", std::to_string(share)},
                             {"before", std::to_string(before)},
                             {"load_thousandths", std::to_string(m_cpu_load.load())},
                             {"replicas_limited", std::to_string(m_registry.limited())},
                             {"revision", std::to_string(m_mirror.as_of().revision.value())}},
                            boot_now());
}

// A host that is a reader for the others reads the store directly, as does a host without a reader.
void gateway::update_readers()
{
    std::set<host_id> advertised;
    for (const host_record& each : m_directory.advertised_hosts())
        advertised.insert(each.id);
    std::vector<reader_candidate> candidates;
    for (const host_record& each : m_directory.all_hosts())
        if (!each.is_leaving && (m_is_registered || each.id != m_settings.id))
            candidates.push_back({.id = each.id,
                                  .zone = each.zone,
                                  .peers = each.peers,
                                  .capacity = each.capacity,
                                  .is_advertised = advertised.contains(each.id)});
    std::vector<reader_candidate> readers = choose_readers(std::move(candidates));
    const bool is_reader =
        std::any_of(readers.begin(), readers.end(),
                    [this](const reader_candidate& each) { return each.id == m_settings.id; });
    if (is_reader)
        readers.clear();
    sort_by_preference(m_settings.id, m_settings.zone, readers);
    m_store.set_readers(std::move(readers));
}

void gateway::update_load(time_point now, duration lateness)
{
    const bool has_busy_changed = m_overload_detector.timer_fired(now, lateness);
    const bool has_cpu_load_changed = m_cpu_load.update(now, m_forwarder.counters().attempts);
    if (!has_busy_changed && !has_cpu_load_changed)
        return;
    m_log.write("load_changed",
                {{"busy", m_overload_detector.is_busy() ? "true" : "false"},
                 {"late_us", std::to_string(m_overload_detector.lateness().count())},
                 {"load_thousandths", std::to_string(m_cpu_load.load())}});
    on_hosts_changed();
}

} // namespace tanagerspur
