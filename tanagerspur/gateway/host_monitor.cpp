#include "tanagerspur/gateway/host_monitor.hpp"

#include <algorithm>

namespace tanagerspur
{

std::string_view to_string(reachability value)
{
    switch (value)
    {
    case reachability::unknown:
        return "unknown";
    case reachability::reachable:
        return "reachable";
    case reachability::unreachable:
        return "unreachable";
    }
    return "unknown";
}

host_monitor::host_monitor(host_monitor_options options, host_connector& connector,
                           reachability_observer& observer)
    : m_options(options)
    , m_connector(connector)
    , m_observer(observer)
{
}

void host_monitor::watch(const std::map<host_id, endpoint>& hosts, time_point now)
{
    std::erase_if(m_hosts,
                  [&](const auto& each)
                  {
                      const auto wanted = hosts.find(each.first);
                      if (wanted != hosts.end() && wanted->second == each.second.at)
                          return false;
                      m_connector.close(each.first);
                      return true;
                  });
    for (const auto& [id, at] : hosts)
        if (!m_hosts.contains(id))
            m_hosts[id] = {.at = at, .open_at = now};
    tick(now);
}

void host_monitor::tick(time_point now)
{
    for (auto& [id, host] : m_hosts)
        if (now >= host.open_at)
            open(id, host);
}

void host_monitor::open(const host_id& id, watched_host& host)
{
    host.open_at = never;
    m_connector.open(id, host.at);
}

void host_monitor::opened(const host_id& id, time_point now)
{
    const auto found = m_hosts.find(id);
    if (found == m_hosts.end())
        return;
    found->second.opened_at = now;
    set(id, found->second, reachability::reachable);
}

void host_monitor::open_failed(const host_id& id, time_point now)
{
    const auto found = m_hosts.find(id);
    if (found == m_hosts.end())
        return;
    found->second.open_at = now + m_options.retry_delay;
    set(id, found->second, reachability::unreachable);
}

// A lost connection says little about the host: connections are also reset, and idle ones are
// closed. The next one tells whether it runs.
void host_monitor::connection_lost(const host_id& id, time_point now)
{
    const auto found = m_hosts.find(id);
    if (found == m_hosts.end())
        return;
    if (now - found->second.opened_at < m_options.min_lifetime)
        found->second.open_at = now + m_options.retry_delay;
    else
        open(id, found->second);
}

// The observer may change the hosts that are watched.
void host_monitor::set(const host_id& id, watched_host& host, reachability current)
{
    if (host.current == current)
        return;
    host.current = current;
    m_observer.reachability_changed(host_id{id}, current);
}

reachability host_monitor::of(const host_id& id) const
{
    const auto found = m_hosts.find(id);
    return found == m_hosts.end() ? reachability::unknown : found->second.current;
}

std::size_t host_monitor::unreachable() const
{
    return static_cast<std::size_t>(std::count_if(
        m_hosts.begin(), m_hosts.end(),
        [](const auto& each) { return each.second.current == reachability::unreachable; }));
}

} // namespace tanagerspur
