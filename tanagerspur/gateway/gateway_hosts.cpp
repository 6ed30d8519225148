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

std::vector<endpoint> gateway::addresses(const zone_id& caller_zone, std::size_t max_count) const
{
    return m_directory.addresses(caller_zone, max_count);
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
                                 {"revision", std::to_string(m_mirror.as_of().value())}});
    publish_own_entry();
}

// Divides connections and extra attempts among the advertised hosts. Any other host is limited to
// one connection to each replica and to the ratio of extra attempts, without slack.
void gateway::on_hosts_changed()
{
    publish_own_entry();
    update_readers();
    const std::vector<host_record> advertised = m_directory.advertised_hosts();
    const bool is_advertised =
        std::any_of(advertised.begin(), advertised.end(),
                    [this](const host_record& each) { return each.id == m_settings.id; });
    const double hosts = static_cast<double>(std::max<std::size_t>(1, advertised.size()));
    if (std::exchange(m_sharing_hosts, is_advertised ? advertised.size() : 0) !=
        (is_advertised ? advertised.size() : 0))
        m_log.write("shares_changed", {{"used", is_advertised ? "true" : "false"},
                                       {"used_hosts", std::to_string(advertised.size())},
                                       {"known_hosts", std::to_string(m_directory.known_hosts())}});
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
