// Shared state: the manifest and the assignment, learnt from the store and from peers, and the
// changes of the assignment that are this host's to make.

#include "tanagerspur/common/log.hpp"
#include "tanagerspur/host/host_core.hpp"

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>

namespace tanagerspur
{

namespace
{

constexpr duration watch_wait = std::chrono::seconds{30};
constexpr duration first_backoff = std::chrono::milliseconds{250};
constexpr duration longest_backoff = std::chrono::seconds{10};
constexpr std::uint32_t max_backoff_doublings = 6;
constexpr duration evidence_interval = std::chrono::milliseconds{500};
constexpr duration min_list_interval = std::chrono::seconds{2};
// Keeps the fleet's list calls under two hundred a second, whatever its size.
constexpr duration list_interval_per_host = std::chrono::milliseconds{5};
constexpr duration plan_interval = std::chrono::milliseconds{200};
// Several deputies of a lost host write at about the same time; the losers try again soon.
constexpr duration conflict_pause = std::chrono::milliseconds{20};
constexpr duration rebalance_interval = std::chrono::seconds{2};
// Time after the start in which peers may make themselves heard before anything is planned.
constexpr duration plan_delay = std::chrono::milliseconds{1'500};
constexpr std::size_t witness_count = 2;
constexpr duration longest_warm_up = std::chrono::seconds{5};

} // namespace

// A uniformly random time from half to one and a half of the base, so that hosts spread out.
duration host_core::jitter(duration base)
{
    boost::random::uniform_int_distribution<duration::rep> part{base.count() / 2,
                                                                base.count() * 3 / 2};
    return duration{part(m_random)};
}

// Doubles with each failure; the jitter keeps hosts apart when an outage ends.
duration host_core::backoff(std::uint32_t failures)
{
    const std::uint32_t doublings = std::min(failures, max_backoff_doublings);
    return jitter(std::min(first_backoff * (duration::rep{1} << doublings), longest_backoff));
}

void host_core::watch_manifest()
{
    if (m_manifest_watching || m_now < m_next_manifest_watch)
        return;
    m_manifest_watching = true;
    m_environment.store().watch(
        manifest_key, m_manifest_version, watch_wait,
        [this](const store_result& result)
        {
            m_manifest_watching = false;
            if (result.status != store_status::ok)
            {
                m_next_manifest_watch = m_now + backoff(m_manifest_failures++);
                return;
            }
            m_manifest_failures = 0;
            m_next_manifest_watch = m_now;
            m_capacity_rights.on_contact(m_now);
            // A stale read may show an older version; install() takes only what is newer.
            if (result.value.version != m_manifest_version && !result.value.text.empty())
                on_manifest_text(result.value.text);
            m_manifest_version = result.value.version;
        });
}

void host_core::watch_assignment()
{
    if (m_assignment_watching || m_now < m_next_assignment_watch)
        return;
    m_assignment_watching = true;
    const auto handler = [this](const store_result& result)
    {
        m_assignment_watching = false;
        if (result.status != store_status::ok)
        {
            m_next_assignment_watch = m_now + backoff(m_assignment_failures++);
            return;
        }
        m_assignment_failures = 0;
        m_next_assignment_watch = m_now;
        m_capacity_rights.on_contact(m_now);
        on_assignment_value(result.value);
    };
    // A watch of an absent key waits; the first answer must tell whether it is absent.
    if (m_table_known)
        m_environment.store().watch(assignment_key, m_assignment_version, watch_wait, handler);
    else
        m_environment.store().read(assignment_key, handler);
}

void host_core::on_assignment_value(const store_value& value)
{
    // The first answer tells whether a table exists at all; nothing is planned before.
    m_table_known = true;
    if (value.version < m_assignment_version)
        return;
    m_assignment_version = value.version;
    if (!value.text.empty())
        install_assignment(value.text);
}

bool host_core::install_assignment(const std::string& text)
{
    auto table = parse_assignment(text);
    if (!table)
    {
        make_logger("ownership")->error("malformed assignment ignored");
        return false;
    }
    const epoch number = table->current;
    if (!m_capacity_rights.install(m_now,
                                   std::make_shared<const assignment_table>(std::move(*table))))
        return false;
    make_logger("ownership")->info("epoch {} installed", number.value());
    reinstall();
    return true;
}

void host_core::on_manifest_text(const std::string& text)
{
    const install_outcome outcome = m_configuration.install(text);
    if (outcome == install_outcome::malformed)
        make_logger("config")->error("malformed manifest ignored");
    if (outcome != install_outcome::installed)
        return;
    make_logger("config")->info("generation {} installed", m_configuration.current().value());
    m_coordinator.set_manifest(m_configuration.present());
    duration longest{0};
    for (const auto& [id, each] : m_configuration.present()->services)
        longest = std::max(longest, each.limits.max_attempt_time);
    m_capacity_rights.set_max_attempt_time(longest);
    reinstall();
}

void host_core::reinstall()
{
    if (m_configuration.present() == nullptr || m_capacity_rights.table().current.value() == 0)
        return;
    m_shards.install(m_now, *m_configuration.present(), m_capacity_rights.table());
    m_shards.apply_shares(m_now);
    m_shards.poll_load();
    m_next_tick = m_now;
    if (m_installed == time_point::min())
        m_installed = m_now;
}

// A host serves once it knows what every service's shards can serve, or after a while when some
// shard has no replica to tell.
void host_core::begin_serving()
{
    if (m_life.state() != life_state::starting || m_installed == time_point::min())
        return;
    bool is_known = m_now >= m_installed + longest_warm_up;
    if (!is_known)
        is_known = m_coordinator.catalog().covers(*m_configuration.present());
    if (!is_known)
        return;
    make_logger("host")->info("serving");
    m_life.on_ready();
}

void host_core::list_hosts()
{
    if (m_now < m_next_list)
        return;
    const duration scaled =
        list_interval_per_host * static_cast<duration::rep>(m_peers.peers().size());
    m_next_list = m_now + jitter(std::max(min_list_interval, scaled));
    m_environment.store().list_hosts(
        [this](const host_list& list)
        {
            if (list.available)
                m_capacity_rights.on_contact(m_now);
            m_peers.on_list(m_now, list);
        });
}

// A consistent read of the assignment is evidence that its epoch stands. It is only asked for
// while some deputy's grant is missing, so that a healthy fleet leaves the store alone.
void host_core::read_assignment()
{
    if (m_assignment_reading || m_now < m_next_assignment_read ||
        !m_capacity_rights.needs_epoch_confirmation(m_now))
        return;
    m_assignment_reading = true;
    m_next_assignment_read = m_now + jitter(evidence_interval);
    const time_point sent = m_now;
    m_environment.store().read(assignment_key,
                               [this, sent](const store_result& result)
                               {
                                   m_assignment_reading = false;
                                   if (result.status != store_status::ok)
                                       return;
                                   on_assignment_value(result.value);
                                   const auto table = parse_assignment(result.value.text);
                                   if (!table)
                                       return;
                                   m_store_read_sent = sent;
                                   m_store_epoch = table->current;
                                   m_capacity_rights.on_epoch_confirmed(sent, table->current);
                                   m_capacity_rights.on_contact(m_now);
                               });
}

void host_core::plan_changes()
{
    const bool is_ready = m_table_known && m_configuration.present() != nullptr &&
                          m_peers.has_list() && m_now >= m_started + plan_delay;
    if (!is_ready || m_writing || m_now < m_next_plan)
        return;
    m_next_plan = m_now + jitter(plan_interval);
    if (auto table = next_table())
        write_assignment(*table);
}

// What is most urgent first: hand over when leaving, take over from the lost, repair, rebalance.
std::optional<assignment_table> host_core::next_table()
{
    const auto candidates = m_peers.candidates(m_now, m_life.is_leaving());
    const host_id& self = m_options.settings.id;
    if (m_life.is_leaving())
        return plan_handover(m_capacity_rights.table(), self, candidates);
    if (auto table = next_takeover())
        return table;
    const bool is_planner = !candidates.empty() && candidates.front().id == self;
    if (is_planner)
    {
        auto table = plan(m_capacity_rights.table(), {.shards = m_configuration.present()->shards(),
                                                      .candidates = candidates,
                                                      .may_act = m_peers.may_act(m_now),
                                                      .dead = m_peers.dead(m_now)});
        if (table)
            return table;
    }
    if (m_now < m_next_rebalance)
        return std::nullopt;
    m_next_rebalance = m_now + jitter(rebalance_interval);
    return plan_rebalance(m_capacity_rights.table(), self, candidates);
}

std::optional<assignment_table> host_core::next_takeover()
{
    const host_id& self = m_options.settings.id;
    for (const host_id& owner : m_capacity_rights.owners())
    {
        const std::size_t asked = m_peers.witnesses(m_now, owner, witness_count).size();
        if (!m_peers.is_lost(m_now, owner, asked))
            continue;
        auto table =
            plan_takeover(m_capacity_rights.table(), owner, self, m_peers.is_dead(m_now, owner));
        if (!table)
            continue;
        make_logger("ownership")->warn("taking over from host {}", owner.value());
        m_capacity_rights.stop_granting(owner);
        m_deposing = owner;
        return table;
    }
    return std::nullopt;
}

void host_core::write_assignment(const assignment_table& table)
{
    m_writing = true;
    const time_point sent = m_now;
    m_environment.store().write(assignment_key, m_assignment_version, serialize(table),
                                [this, table, sent](const store_result& result)
                                {
                                    on_written(table, result);
                                    // What was just written stood when it was sent or later.
                                    if (result.status == store_status::ok)
                                        m_capacity_rights.on_epoch_confirmed(sent, table.current);
                                    m_shards.apply_shares(m_now);
                                });
}

void host_core::on_written(const assignment_table& table, const store_result& result)
{
    if (result.status == store_status::ok)
    {
        m_assignment_version = result.value.version;
        install_assignment(serialize(table));
        return end_write();
    }
    if (result.status == store_status::unavailable)
        return end_write();
    // Another write won, or the reply was lost: only the store knows what stands. Until it
    // answers nothing else is written, and a host that is being deposed gets no grant.
    m_environment.store().read(assignment_key,
                               [this, table, result](const store_result& read)
                               {
                                   if (read.status != store_status::ok)
                                   {
                                       m_next_plan = m_now + backoff(m_assignment_failures++);
                                       return on_written(table, result);
                                   }
                                   on_assignment_value(read.value);
                                   end_write();
                                   m_next_plan = m_now + jitter(conflict_pause);
                               });
}

void host_core::end_write()
{
    m_writing = false;
    if (m_deposing)
        m_capacity_rights.resume_granting(*m_deposing);
    m_deposing.reset();
}

// A target is leaving when the platform, the target itself, or a peer says so.
void host_core::update_leaving_targets()
{
    constexpr duration peer_word_validity = std::chrono::seconds{5};
    std::erase_if(m_peer_leaving,
                  [&](const auto& each) { return m_now - each.second > peer_word_validity; });
    std::set<endpoint> leaving;
    for (const std::string& text : m_peers.leaving_targets())
        if (const auto target = parse_endpoint(text))
            leaving.insert(*target);
    for (const auto& [target, heard] : m_peer_leaving)
        leaving.insert(target);
    m_shards.set_leaving(m_now, leaving);
}

} // namespace tanagerspur
