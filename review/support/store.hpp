// The platform's store as its pages describe it: keys, watches, conditional writes and leases.

#ifndef TANAGERSPUR_REVIEW_STORE_HPP
#define TANAGERSPUR_REVIEW_STORE_HPP

#include "http.hpp"

#include <boost/json.hpp>

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>

namespace review
{

inline std::string encode_base64(const std::string& bytes)
{
    static const char* const digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = group << 8 | (j < count ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += j <= count ? digits[group >> (18 - 6 * j) & 63] : '=';
    }
    return text;
}

class store_stand_in
{
public:
    store_stand_in()
        : m_listener([this](connection& from) { serve(from); })
    {
        std::thread{[this] { expire_leases(); }}.detach();
    }

    std::uint16_t port() const { return m_listener.port(); }

    // Writes for the operator or a replica; returns the revision that acknowledges it.
    std::uint64_t set(const std::string& key, const std::string& value)
    {
        const std::lock_guard lock{m_mutex};
        return write(key, encode_base64(value), 0, ++m_revision);
    }
    void remove(const std::string& key)
    {
        const std::lock_guard lock{m_mutex};
        erase(key, ++m_revision);
    }

private:
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct event
    {
        std::string key;
        std::optional<item> written;
        std::uint64_t revision = 0;
        clock::time_point when;
    };
    struct lease
    {
        milliseconds length;
        clock::time_point end;
    };
    static constexpr std::chrono::seconds history{20};
    static constexpr std::size_t page_items = 500;
    static constexpr std::size_t page_bytes = 1'000'000;

    std::uint64_t write(const std::string& key, const std::string& value, std::uint64_t lease,
                        std::uint64_t revision)
    {
        item& changed = m_items[key];
        if (changed.created == 0)
            changed.created = revision;
        changed.value = value;
        changed.revision = revision;
        changed.lease = lease;
        note({key, changed, revision, clock::now()});
        return revision;
    }
    void erase(const std::string& key, std::uint64_t revision)
    {
        if (m_items.erase(key) > 0)
            note({key, std::nullopt, revision, clock::now()});
    }
    void note(event made)
    {
        m_events.push_back(std::move(made));
        while (clock::now() - m_events.front().when > history)
        {
            m_forgotten = m_events.front().revision;
            m_events.pop_front();
        }
        m_changed.notify_all();
    }
    void expire_leases()
    {
        while (true)
        {
            std::this_thread::sleep_for(milliseconds{50});
            const std::lock_guard lock{m_mutex};
            for (auto each = m_leases.begin(); each != m_leases.end();)
            {
                if (clock::now() < each->second.end)
                {
                    ++each;
                    continue;
                }
                end_lease(each->first);
                each = m_leases.erase(each);
            }
        }
    }
    void end_lease(std::uint64_t number)
    {
        std::vector<std::string> ended;
        for (const auto& [key, each] : m_items)
            if (each.lease == number)
                ended.push_back(key);
        if (ended.empty())
            return;
        ++m_revision;
        for (const std::string& key : ended)
            erase(key, m_revision);
    }

    static std::string to_json(const std::string& key, const item& of)
    {
        return R"({"key":)" + boost::json::serialize(boost::json::string{key}) + R"(,"value":")" +
               of.value + R"(","revision":)" + std::to_string(of.revision) + R"(,"created":)" +
               std::to_string(of.created) + R"(,"lease":)" + std::to_string(of.lease) + "}";
    }
    static std::map<std::string, std::string> parameters(const std::string& target)
    {
        std::map<std::string, std::string> found;
        std::size_t at = target.find('?');
        while (at != std::string::npos)
        {
            const std::size_t end = target.find('&', at + 1);
            const std::string pair = target.substr(at + 1, end - at - 1);
            const std::size_t equal = pair.find('=');
            std::string value;
            for (std::size_t i = equal + 1; i < pair.size(); ++i)
                if (pair[i] == '%')
                {
                    value += static_cast<char>(std::stoi(pair.substr(i + 1, 2), nullptr, 16));
                    i += 2;
                }
                else
                    value += pair[i];
            found[pair.substr(0, equal)] = value;
            at = end;
        }
        return found;
    }

    void serve(connection& from)
    {
        while (const auto call = from.read(clock::now() + forever))
        {
            std::string body;
            const int status = answer(*call, body);
            const std::string text = status == 200 ? "OK" : "Refused";
            if (!from.write(encode("HTTP/1.1 " + std::to_string(status) + " " + text,
                                   {{"Content-Type", "application/json"}}, body)))
                return;
        }
    }

    int answer(const http_message& call, std::string& body)
    {
        const std::string target = call.target();
        const std::string path = target.substr(0, target.find('?'));
        auto given = parameters(target);
        body = "{}";
        std::unique_lock lock{m_mutex};
        if (path == "/v1/kv-key")
            return read_key(given["key"], body);
        if (path == "/v1/kv-range")
            return read_range(given["prefix"], given["after"], body);
        if (path == "/v1/kv-watch")
            return watch(lock, given["prefix"], std::stoull(given["after"]),
                         milliseconds{std::stoll(given["wait-ms"])}, body);
        if (path == "/v1/kv-txn")
            return change(boost::json::parse(call.body).as_object(), body);
        if (path == "/v1/kv-lease")
        {
            const auto ms = boost::json::parse(call.body).at("ttl-ms").to_number<std::int64_t>();
            m_leases[++m_last_lease] = {milliseconds{ms}, clock::now() + milliseconds{ms}};
            body = R"({"lease":)" + std::to_string(m_last_lease) + R"(,"ttl-ms":)" +
                   std::to_string(ms) + "}";
            return 200;
        }
        const std::uint64_t number =
            std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
        const auto found = m_leases.find(number);
        if (found == m_leases.end())
            return 404;
        if (path.starts_with("/v1/kv-keep/"))
        {
            found->second.end = clock::now() + found->second.length;
            body = R"({"ttl-ms":)" + std::to_string(found->second.length.count()) + "}";
            return 200;
        }
        end_lease(number);
        m_leases.erase(found);
        return 200;
    }

    int read_key(const std::string& key, std::string& body) const
    {
        const auto found = m_items.find(key);
        if (found == m_items.end())
            return 404;
        body = to_json(key, found->second);
        body.back() = ',';
        body += R"("as-of":)" + std::to_string(m_revision) + "}";
        return 200;
    }

    int read_range(const std::string& prefix, const std::string& after, std::string& body) const
    {
        std::string items;
        std::size_t count = 0;
        bool is_truncated = false;
        for (const auto& [key, each] : m_items)
        {
            if (!key.starts_with(prefix) || key <= after)
                continue;
            if (count > 0 && (count == page_items || items.size() > page_bytes))
            {
                is_truncated = true;
                break;
            }
            items += (count++ > 0 ? "," : "") + to_json(key, each);
        }
        body = R"({"items":[)" + items + R"(],"truncated":)" + (is_truncated ? "true" : "false") +
               R"(,"as-of":)" + std::to_string(m_revision) + "}";
        return 200;
    }

    int watch(std::unique_lock<std::mutex>& lock, const std::string& prefix, std::uint64_t after,
              milliseconds wait, std::string& body)
    {
        const auto has_events = [&]
        { return !m_events.empty() && m_events.back().revision > after; };
        m_changed.wait_for(lock, wait, [&] { return after < m_forgotten || has_events(); });
        if (after < m_forgotten)
            return 410;
        std::string events;
        for (const event& each : m_events)
        {
            if (each.revision <= after || !each.key.starts_with(prefix))
                continue;
            events += events.empty() ? "" : ",";
            events += each.written
                          ? to_json(each.key, *each.written)
                          : R"({"key":)" + boost::json::serialize(boost::json::string{each.key}) +
                                R"(,"revision":)" + std::to_string(each.revision) +
                                R"(,"tombstone":true})";
        }
        body = R"({"events":[)" + events + R"(],"as-of":)" + std::to_string(m_revision) + "}";
        return 200;
    }

    int change(const boost::json::object& call, std::string& body)
    {
        bool holds = true;
        std::string current;
        for (const boost::json::value& each : call.at("expected-revision").as_array())
        {
            const std::string key{each.at("key").as_string()};
            const auto found = m_items.find(key);
            const std::uint64_t revision = found == m_items.end() ? 0 : found->second.revision;
            holds = holds && revision == each.at("revision").to_number<std::uint64_t>();
            if (found != m_items.end())
                current += (current.empty() ? "" : ",") + to_json(key, found->second);
        }
        body = R"({"items":[)" + current + "]}";
        if (!holds)
            return 412;
        for (const boost::json::value& each : call.at("set-keys").as_array())
            if (const auto lease = each.at("lease").to_number<std::uint64_t>();
                lease != 0 && !m_leases.contains(lease))
                return 404;
        ++m_revision;
        for (const boost::json::value& each : call.at("set-keys").as_array())
            write(std::string{each.at("key").as_string()},
                  std::string{each.at("value").as_string()},
                  each.at("lease").to_number<std::uint64_t>(), m_revision);
        for (const boost::json::value& each : call.at("remove").as_array())
            erase(std::string{each.as_string()}, m_revision);
        body = R"({"revision":)" + std::to_string(m_revision) + "}";
        return 200;
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::deque<event> m_events;
    std::uint64_t m_revision = 100;
    std::uint64_t m_forgotten = 0;
    std::map<std::uint64_t, lease> m_leases;
    std::uint64_t m_last_lease = 1'000;
    // Last, so that it serves only a complete store.
    listener m_listener;
};

} // namespace review

#endif
