// Applies values read from the store: entries of replicas and hosts, and the configuration.

#include "tanagerspur/gateway/gateway.hpp"
#include "tanagerspur/store/leased_notice.hpp"

#include <algorithm>
#include <utility>

namespace tanagerspur
{

namespace
{

// How long entries of other hosts are kept after they were removed around a store outage.
constexpr duration host_retention = std::chrono::seconds{3};
// Maximum delay before the next store call of hosts that start together and have found no other
// host yet. The first of them are registered by the time the others choose a reader to follow.
// Without a configuration nothing can be served, so the delay may be longer.
constexpr duration first_start_jitter = std::chrono::milliseconds{4'000};
constexpr duration restart_jitter = std::chrono::milliseconds{300};
// How long a notice without a length of its own is in the store.
constexpr duration min_notice_length = std::chrono::seconds{10};

} // namespace

// Exceptions are caught here because the mirror would otherwise stop, and this host would receive
// no further changes.
template<class Operation> void gateway::run_guarded(std::string_view name, Operation&& operation)
{
    try
    {
        operation();
    }
    catch (const std::exception& error)
    {
        report_error(name, error);
    }
}

// A host that starts while others are registered reads the store itself: after a loss of many hosts
// the registered readers may have failed too, and waiting for them to time out would delay its
// first answer. When all hosts start for the first time, that would cost one store call per host,
// so each waits for a random delay instead.
duration gateway::on_first_read(const std::vector<store_change>& items)
{
    const bool is_second_read = std::exchange(m_has_first_read, true);
    bool has_configuration = false;
    for (const store_change& each : items)
    {
        const store_key key = m_codec.decode_key(each.key);
        if (const auto* host = std::get_if<host_id>(&key))
            run_guarded(each.key, [&] { apply_host(*host, *each.value); });
        has_configuration = has_configuration || std::holds_alternative<configuration_key>(key);
    }
    if (is_second_read)
        update_readers();
    if (m_directory.known_hosts() > 1)
        return duration{0};
    const duration max_jitter = has_configuration ? restart_jitter : first_start_jitter;
    return duration{std::uniform_int_distribution<duration::rep>{0, max_jitter.count()}(m_random)};
}

void gateway::on_full_read(full_read_cause why, store_position as_of)
{
    ++m_full_reads;
    m_log.write_limited("full_read",
                        {{"why", std::string{to_string(why)}},
                         {"era", std::to_string(as_of.era.value())},
                         {"revision", std::to_string(as_of.revision.value())},
                         {"before", std::to_string(m_mirror.as_of().revision.value())}},
                        boot_now());
}

void gateway::on_page_repeated(const std::string& last_key)
{
    ++m_repeated_pages;
    m_log.write_limited("page_repeated", {{"last_key", last_key}}, boot_now());
}

// What the operator and the replicas wrote since the copy is written again; entries that are
// missing until then are kept like those that lapsed in an outage.
void gateway::on_store_restored(store_position now, store_position last_known)
{
    ++m_store_restores;
    m_log.write("store_restored", {{"era", std::to_string(now.era.value())},
                                   {"revision", std::to_string(now.revision.value())},
                                   {"before", std::to_string(last_known.revision.value())}});
    m_registry.store_restored(boot_now());
    m_registration.store_restored(now.era);
    for (const quarantine_notice& each : m_quarantine.own_notices(boot_now()))
        tell_hosts(each);
}

void gateway::on_snapshot(const std::vector<store_change>& items)
{
    run_guarded("snapshot", [&] { apply_snapshot(items); });
}

void gateway::on_change(const store_change& change)
{
    run_guarded(change.key, [&] { apply_change(change); });
}

void gateway::report_error(std::string_view what, const std::exception& error)
{
    ++m_unexpected_errors;
    m_log.write_limited("unexpected_error", {{"in", std::string{what}}, {"why", error.what()}},
                        boot_now());
}

void gateway::apply_item(const store_change& item, snapshot_contents& contents)
{
    const store_key key = m_codec.decode_key(item.key);
    if (const auto* id = std::get_if<replica_id>(&key))
    {
        const replica_value value = m_codec.decode_replica(*id, *item.value);
        if (const auto* record = std::get_if<replica_record>(&value))
            contents.replicas.push_back(*record);
        else
            apply_replica(*id, *item.value);
    }
    else if (const auto* host = std::get_if<host_id>(&key))
    {
        contents.hosts.push_back(*host);
        contents.has_own_entry = contents.has_own_entry || *host == m_settings.id;
        apply_host(*host, *item.value);
    }
    else if (const auto* request = std::get_if<request_fingerprint>(&key))
        apply_quarantine(*request, *item.value);
    else if (std::holds_alternative<configuration_key>(key))
        apply_configuration(*item.value);
}

void gateway::apply_snapshot(const std::vector<store_change>& items)
{
    snapshot_contents contents;
    for (const store_change& each : items)
        run_guarded(each.key, [&] { apply_item(each, contents); });
    m_registry.replace_all(contents.replicas, boot_now());
    m_directory.remove_unlisted(contents.hosts, host_entry_expiry());
    if (!contents.has_own_entry)
        m_registration.entry_lost();
    m_is_registered = m_is_registered || contents.has_own_entry;
    m_has_snapshot = true;
    m_log.write("snapshot", {{"replicas", std::to_string(contents.replicas.size())},
                             {"hosts", std::to_string(contents.hosts.size())},
                             {"revision", std::to_string(m_mirror.as_of().revision.value())}});
    on_hosts_changed();
}

void gateway::apply_change(const store_change& change)
{
    const store_key key = m_codec.decode_key(change.key);
    if (const auto* id = std::get_if<replica_id>(&key))
    {
        if (change.value)
            apply_replica(*id, *change.value);
        else
            m_registry.remove(*id, boot_now());
    }
    else if (const auto* host = std::get_if<host_id>(&key))
    {
        if (change.value)
            apply_host(*host, *change.value);
        else if (*host == m_settings.id)
            m_registration.entry_lost();
        else
            m_directory.remove(*host, host_entry_expiry());
        on_hosts_changed();
    }
    else if (const auto* request = std::get_if<request_fingerprint>(&key))
    {
        // A quarantine ends by its time, also if the store has lost the key before.
        if (change.value)
            apply_quarantine(*request, *change.value);
    }
    else if (std::holds_alternative<configuration_key>(key) && change.value)
        apply_configuration(*change.value);
}

void gateway::on_read()
{
    const bool reads_store = m_store.reads_store();
    m_relay.set_reads_store(reads_store, boot_now());
    if (std::exchange(m_has_read_store, reads_store) != reads_store)
        m_log.write_limited("store_source_changed",
                            {{"source", reads_store ? "store" : "reader"},
                             {"readers_failed", std::to_string(m_store.counters().failures)},
                             {"fallbacks", std::to_string(m_store.counters().fallbacks)},
                             {"revision", std::to_string(m_mirror.as_of().revision.value())}},
                            boot_now());
    m_relay.publish(boot_now());
}

void gateway::on_store_lost()
{
    m_relay.set_connected(false, boot_now());
    m_registry.store_lost(boot_now());
    m_log.write("store_lost", {{"revision", std::to_string(m_mirror.as_of().revision.value())}});
}

void gateway::on_store_regained()
{
    m_relay.set_connected(true, boot_now());
    m_registry.store_regained(boot_now());
    m_log.write("store_regained",
                {{"revision", std::to_string(m_mirror.as_of().revision.value())}});
}

time_point gateway::host_entry_expiry() const
{
    return m_mirror.is_connected() ? boot_now() + host_retention : never;
}

void gateway::apply_configuration(const std::string& value)
{
    configuration_value decoded = m_codec.decode_configuration(value);
    if (const auto* malformed = std::get_if<malformed_value>(&decoded))
    {
        ++m_malformed_values;
        m_log.write("configuration_malformed", {{"why", malformed->why}});
        return;
    }
    auto& configuration = std::get<routing_configuration>(decoded);
    if (m_table != nullptr && configuration.version <= m_table->version())
    {
        if (configuration.version < m_table->version())
            m_log.write("configuration_outdated",
                        {{"version", std::to_string(configuration.version.value())},
                         {"in_force", std::to_string(m_table->version().value())}});
        return;
    }
    m_log.write("configuration_applied",
                {{"version", std::to_string(configuration.version.value())},
                 {"routes", std::to_string(configuration.routes.size())},
                 {"before", std::to_string(m_table ? m_table->version().value() : 0)}});
    m_ingress.set_limits(configuration.limits);
    m_table = std::make_shared<const route_table>(std::move(configuration));
    on_hosts_changed();
}

void gateway::apply_replica(const replica_id& id, const std::string& value)
{
    const replica_value decoded = m_codec.decode_replica(id, value);
    if (const auto* record = std::get_if<replica_record>(&decoded))
        return m_registry.put(*record, boot_now());
    ++m_malformed_values;
    m_log.write_limited("replica_malformed",
                        {{"replica", id.value()}, {"why", std::get<malformed_value>(decoded).why}},
                        boot_now());
    m_registry.remove(id, boot_now());
}

void gateway::apply_host(const host_id& id, const std::string& value)
{
    const host_value decoded = m_codec.decode_host(id, value);
    if (const auto* record = std::get_if<host_record>(&decoded))
        return m_directory.put(*record);
    ++m_malformed_values;
    m_log.write("host_malformed",
                {{"host", id.value()}, {"why", std::get<malformed_value>(decoded).why}});
}

void gateway::apply_quarantine(const request_fingerprint& request, const std::string& value)
{
    const quarantine_value decoded = m_codec.decode_quarantine(request, value);
    if (const auto* malformed = std::get_if<malformed_value>(&decoded))
    {
        ++m_malformed_values;
        m_log.write_limited("quarantine_malformed",
                            {{"fingerprint", request.value()}, {"why", malformed->why}},
                            boot_now());
        return;
    }
    const auto& notice = std::get<quarantine_notice>(decoded);
    // Another host has not had an answer yet. The few hosts that read the store correct it.
    if (notice.length.count() > 0 && m_forwarder.was_answered(request))
    {
        m_log.write_limited(
            "quarantine_contradicted",
            {{"fingerprint", request.value()}, {"told", m_has_read_store ? "true" : "false"}},
            boot_now());
        if (m_has_read_store)
            tell_hosts({.request = request});
        return;
    }
    const bool is_new = m_quarantine.heard(notice, boot_now());
    m_log.write_limited("request_quarantined",
                        {{"fingerprint", request.value()},
                         {"ms", std::to_string(notice.length.count() / 1000)},
                         {"known", is_new ? "false" : "true"}},
                        boot_now());
    if (is_new)
        m_forwarder.end_all(request, boot_now());
}

void gateway::tell_hosts(const quarantine_notice& notice)
{
    std::make_shared<leased_notice>(m_io, m_store, m_codec.quarantine_key(notice.request),
                                    m_codec.encode_quarantine(notice),
                                    std::max(notice.length, min_notice_length))
        ->write();
}

void gateway::confirm_quarantines(time_point now)
{
    const auto confirmed =
        m_quarantine.confirm([this](const replica_incarnation& each)
                             { return m_registry.has_ended(each.id, each.started_ms); },
                             now);
    for (const quarantine_notice& each : confirmed)
    {
        m_log.write("quarantine_confirmed", {{"fingerprint", each.request.value()},
                                             {"ms", std::to_string(each.length.count() / 1000)}});
        tell_hosts(each);
    }
}

void gateway::replica_added(const replica& added)
{
    m_log.write_limited("replica_added",
                        {{"replica", added.record.id.value()},
                         {"service", added.record.service.value()},
                         {"address", to_string(added.record.address)},
                         {"revision", std::to_string(m_mirror.as_of().revision.value())}},
                        boot_now());
}

void gateway::replica_entry_outdated(const replica_record& entry)
{
    ++m_outdated_entries;
    m_log.write_limited("replica_outdated",
                        {{"replica", entry.id.value()},
                         {"service", entry.service.value()},
                         {"seq", std::to_string(entry.sequence)},
                         {"revision", std::to_string(m_mirror.as_of().revision.value())}},
                        boot_now());
}

void gateway::replica_leaving(const replica& which)
{
    ++m_replicas_leaving;
    m_log.write("replica_leaving",
                {{"replica", which.record.id.value()},
                 {"service", which.record.service.value()},
                 {"others", std::to_string(others_of(which))},
                 {"store", m_mirror.is_connected() ? "connected" : "lost"},
                 {"revision", std::to_string(m_mirror.as_of().revision.value())}});
}

void gateway::replica_paused(const replica& which, duration pause)
{
    ++m_replica_pauses;
    m_log.write_limited("replica_paused",
                        {{"replica", which.record.id.value()},
                         {"service", which.record.service.value()},
                         {"ms", std::to_string(pause.count() / 1000)},
                         {"others", std::to_string(others_of(which))}},
                        boot_now());
}

void gateway::replica_limited(const replica& which, std::optional<request_rate> limit)
{
    m_log.write_limited(limit ? "replica_limited" : "replica_limit_ended",
                        {{"replica", which.record.id.value()},
                         {"service", which.record.service.value()},
                         {"per_s", std::to_string(limit ? limit->per_second : 0)},
                         {"share", std::to_string(m_registry.limit_share())},
                         {"others", std::to_string(others_of(which))}},
                        boot_now());
}

std::size_t gateway::others_of(const replica& which) const
{
    const std::vector<replica_ref>& replicas = m_registry.of_service(which.record.service);
    return static_cast<std::size_t>(std::count_if(replicas.begin(), replicas.end(),
                                                  [&which](const replica_ref& each)
                                                  { return each.get() != &which; }));
}

void gateway::replica_left(const replica& left, removal why)
{
    m_pool.replica_left(left);
    m_log.write("replica_left", {{"replica", left.record.id.value()},
                                 {"service", left.record.service.value()},
                                 {"why", std::string{to_string(why)}},
                                 {"revision", std::to_string(m_mirror.as_of().revision.value())}});
}

} // namespace tanagerspur
