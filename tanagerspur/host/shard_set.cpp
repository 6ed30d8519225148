#include "tanagerspur/host/shard_set.hpp"

#include <algorithm>

namespace tanagerspur
{

namespace
{

// Beside the requests in flight: one for reports and cancellations, and one to replace a
// connection that went silent.
constexpr std::size_t spare_connections = 2;
// Connections of a deputy: its reserve, and one for reports.
constexpr std::size_t deputy_connections = 2;
constexpr duration min_connect_timeout = std::chrono::milliseconds{100};
constexpr int connect_timeout_factor = 10;
// Attempts of one shard's dispatcher are numbered from a multiple of this.
constexpr std::uint64_t attempts_per_shard = std::uint64_t{1} << 40;

} // namespace

shard_set::shard::shard(shard_set& owner, shard_key which, const std::vector<replica>& targets,
                        const service_limits& service, std::uint64_t first)
    : set(owner)
    , key(std::move(which))
    , replicas(targets)
    , limits(service)
    , dispatcher({.limits = service,
                  .replica_count = targets.size(),
                  .health = {},
                  .first_attempt = attempt_id{first}},
                 *this)
    , first_attempt(first)
{
}

std::string shard_set::shard::attempt_key(attempt_id attempt) const
{
    std::string text = set.m_options.self.value() + "." +
                       std::to_string(set.m_options.start.value()) + "." + key.service.value() +
                       "." + key.layout.value() + "." + std::to_string(key.number.value()) + "." +
                       std::to_string(attempt.value());
    return text;
}

void shard_set::shard::send(attempt_id attempt, std::size_t replica, const sub_request& request,
                            time_point attempt_deadline)
{
    set.m_actions.to_target(target_attempt{.shard = key,
                                           .attempt = attempt,
                                           .target = replicas[replica].address,
                                           .key = attempt_key(attempt),
                                           .version = request.version,
                                           .deadline = attempt_deadline,
                                           .idempotent = request.idempotent,
                                           .request = request.request,
                                           .body = request.body});
}

void shard_set::shard::cancel(attempt_id attempt, std::size_t replica)
{
    set.m_actions.to_target(
        target_cancel{.target = replicas[replica].address, .key = attempt_key(attempt)});
}

void shard_set::shard::complete(sub_request_id id, const sub_result& result)
{
    const auto found = origins.find(id.value());
    if (found == origins.end())
        return;
    const sub_origin origin = found->second;
    origins.erase(found);
    local_ids.erase(origin);
    set.m_actions.deliver(origin, key, result);
}

shard_set::shard_set(shard_set_options options, const capacity_rights& rights,
                     shard_set_actions& actions)
    : m_options(std::move(options))
    , m_rights(rights)
    , m_actions(actions)
{
}

shard_set::~shard_set() = default;

shard_set::shard* shard_set::find(const shard_key& key)
{
    const auto found = m_shards.find(key);
    return found == m_shards.end() ? nullptr : found->second.get();
}

void shard_set::install(time_point now, const manifest& present, const assignment_table& table)
{
    for (auto& [key, each] : m_shards)
        each->is_here = false;
    for (const auto& [key, row] : table.rows)
    {
        const bool is_owner = row.owner == m_options.self;
        if ((is_owner || row.deputy == m_options.self) && present.find(key) != nullptr)
            install_one(now, key, present, is_owner);
    }
    for (auto& [key, each] : m_shards)
        if (!each->is_here)
            each->dispatcher.refuse_queued(reason::not_owner, "the shard has another owner now");
    drop_departed();
}

void shard_set::install_one(time_point now, const shard_key& key, const manifest& present,
                            bool is_owner)
{
    const auto& replicas = *present.find(key);
    const service_limits& limits = present.find(key.service)->limits;
    shard* found = find(key);
    if (found != nullptr && found->replicas != replicas)
    {
        retire(key);
        found = nullptr;
    }
    shard& here = found != nullptr ? *found : make(now, key, replicas, limits);
    here.is_here = true;
    here.is_owner = is_owner;
    here.limits = limits;
    here.dispatcher.set_limits(now, limits);
    limit_connections(here);
}

shard_set::shard& shard_set::make(time_point now, const shard_key& key,
                                  const std::vector<replica>& replicas,
                                  const service_limits& limits)
{
    const std::uint64_t first_attempt = ++m_next_shard * attempts_per_shard;
    auto made = std::make_unique<shard>(*this, key, replicas, limits, first_attempt);
    for (std::size_t i = 0; i < replicas.size(); ++i)
    {
        m_by_target.emplace(replicas[i].address, std::pair{key, i});
        if (m_leaving.contains(replicas[i].address))
            made->dispatcher.set_draining(now, i, true);
    }
    return *m_shards.emplace(key, std::move(made)).first->second;
}

// Other replicas: the old dispatcher's queue is refused, and a new one takes its place. The new
// one starts nothing while the old one has work in flight, for some replicas may be the same.
void shard_set::retire(const shard_key& key)
{
    const auto found = m_shards.find(key);
    found->second->dispatcher.refuse_queued(reason::not_owner, "the shard's replicas have changed");
    found->second->is_here = false;
    std::erase_if(m_by_target, [&](const auto& each) { return each.second.first == key; });
    m_retired.push_back(std::move(found->second));
    m_shards.erase(found);
}

bool shard_set::has_retired(const shard_key& key) const
{
    return std::any_of(m_retired.begin(), m_retired.end(),
                       [&](const auto& each) { return each->key == key; });
}

// Rights may have lapsed since the last event, above all when the process was paused.
void shard_set::refresh(time_point now, shard& each)
{
    const bool may_act = each.is_here && !has_retired(each.key);
    const capacity_share share = may_act ? m_rights.share(now, each.key) : capacity_share::none;
    each.dispatcher.set_allowed_in_flight(now,
                                          allowed_in_flight(share, each.limits.in_flight_limit()));
}

void shard_set::limit_connections(const shard& each)
{
    std::size_t most = 0;
    if (each.is_here)
        most =
            each.is_owner ? each.limits.in_flight_limit() + spare_connections : deputy_connections;
    const duration timeout =
        std::max(min_connect_timeout, each.limits.connect_time * connect_timeout_factor);
    for (const replica& target : each.replicas)
        m_actions.to_target(target_limit{
            .target = target.address, .max_connections = most, .connect_timeout = timeout});
}

void shard_set::drop_departed()
{
    std::erase_if(m_retired, [](const auto& each) { return each->dispatcher.in_flight() == 0; });
    std::erase_if(m_shards,
                  [this](const auto& entry)
                  {
                      const shard& each = *entry.second;
                      if (each.is_here || each.dispatcher.in_flight() > 0)
                          return false;
                      limit_connections(each);
                      std::erase_if(m_by_target, [&](const auto& target)
                                    { return target.second.first == entry.first; });
                      return true;
                  });
}

bool shard_set::submit(time_point now, const shard_key& key, const sub_origin& origin,
                       sub_request request)
{
    shard* found = find(key);
    if (found == nullptr || !found->is_here)
        return false;
    const std::uint64_t local = m_next_local++;
    found->origins.emplace(local, origin);
    found->local_ids[origin] = local;
    request.id = sub_request_id{local};
    refresh(now, *found);
    found->dispatcher.submit(now, std::move(request));
    return true;
}

void shard_set::cancel(time_point now, const shard_key& key, const sub_origin& origin)
{
    shard* found = find(key);
    const auto local = found != nullptr ? found->local_ids.find(origin)
                                        : std::map<sub_origin, std::uint64_t>::iterator{};
    if (found == nullptr || local == found->local_ids.end())
        return;
    const sub_request_id id{local->second};
    found->origins.erase(local->second);
    found->local_ids.erase(local);
    refresh(now, *found);
    found->dispatcher.cancel(now, id);
}

void shard_set::on_attempt_end(time_point now, const shard_key& key, attempt_id attempt,
                               const attempt_result& result)
{
    shard* found = find(key);
    if (found == nullptr || attempt.value() < found->first_attempt)
    {
        const auto retired = std::find_if(m_retired.begin(), m_retired.end(),
                                          [&](const auto& each)
                                          {
                                              return each->key == key &&
                                                     attempt.value() / attempts_per_shard ==
                                                         each->first_attempt / attempts_per_shard;
                                          });
        found = retired == m_retired.end() ? nullptr : retired->get();
    }
    if (found == nullptr)
        return;
    refresh(now, *found);
    found->dispatcher.on_result(now, attempt, result);
    if (!found->is_here)
        drop_departed();
}

void shard_set::on_load_report(time_point now, const endpoint& target, const load_report& report)
{
    if (report.draining)
        m_reported_leaving.insert(target);
    else
        m_reported_leaving.erase(target);
    load_report checked = report;
    checked.draining = report.draining || m_leaving.contains(target);
    const auto [begin, end] = m_by_target.equal_range(target);
    for (auto each = begin; each != end; ++each)
        if (shard* found = find(each->second.first))
        {
            refresh(now, *found);
            found->dispatcher.on_load_report(now, each->second.second, checked);
        }
}

void shard_set::set_leaving(time_point now, const std::set<endpoint>& leaving)
{
    if (leaving == m_leaving)
        return;
    m_leaving = leaving;
    for (const auto& [target, place] : m_by_target)
        if (shard* found = find(place.first))
        {
            refresh(now, *found);
            found->dispatcher.set_draining(
                now, place.second, leaving.contains(target) || m_reported_leaving.contains(target));
        }
}

void shard_set::apply_shares(time_point now)
{
    for (auto& [key, each] : m_shards)
        refresh(now, *each);
}

void shard_set::poll_load()
{
    for (const auto& [key, each] : m_shards)
        if (each->is_here && each->is_owner)
            for (const replica& target : each->replicas)
                m_actions.to_target(target_poll{.target = target.address});
}

void shard_set::on_timer(time_point now)
{
    for (auto& [key, each] : m_shards)
        if (each->dispatcher.next_timer() <= now)
        {
            refresh(now, *each);
            each->dispatcher.on_timer(now);
        }
    for (auto& each : m_retired)
        each->dispatcher.on_timer(now);
    drop_departed();
}

time_point shard_set::next_timer() const
{
    time_point next = never;
    for (const auto& [key, each] : m_shards)
        next = std::min(next, each->dispatcher.next_timer());
    return next;
}

bool shard_set::is_idle(const shard_key& key) const
{
    const auto found = m_shards.find(key);
    return !has_retired(key) &&
           (found == m_shards.end() || found->second->dispatcher.in_flight() == 0);
}

bool shard_set::is_idle() const
{
    return m_retired.empty() && std::all_of(m_shards.begin(), m_shards.end(),
                                            [](const auto& each) {
                                                return each.second->dispatcher.in_flight() == 0 &&
                                                       each.second->dispatcher.queued() == 0;
                                            });
}

} // namespace tanagerspur
