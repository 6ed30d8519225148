#include "tanagerspur/store/relay_server.hpp"

#include "tanagerspur/common/base64.hpp"
#include "tanagerspur/common/http_status.hpp"
#include "tanagerspur/common/lenient_json.hpp"

#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

#include <algorithm>
#include <utility>

namespace tanagerspur
{

namespace
{

constexpr const char* changes_path = "/v1/changes";
// Upper limit on the wait that a follower may request.
constexpr duration max_wait = std::chrono::seconds{10};
// Followers call about once a second, so within this time each is notified of the outage.
constexpr duration outage_report_time = std::chrono::milliseconds{1'500};

// Throws if a part is missing.
store_position decode_position(const boost::json::value& from, const char* revision_name)
{
    return {store_era{boost::json::value_to<std::uint64_t>(from.at("era"))},
            store_revision{boost::json::value_to<std::uint64_t>(from.at(revision_name))}};
}

} // namespace

bool relay_server::has_changes_after(store_position after) const
{
    const auto changes = m_log.since(after);
    return !changes || !changes->empty();
}

http_reply relay_server::make_reply(store_position after, time_point now) const
{
    if (!m_is_connected)
        return error_reply(status_unavailable, "the store is away");
    if (!m_reads_store)
        return error_reply(status_unavailable, "not a reader of the store");
    if (after.era > m_log.as_of().era)
        return error_reply(status_unavailable, "still in an earlier era of the store");
    const auto changes = m_log.since(after);
    if (!changes)
        return error_reply(status_gone, "the history is gone");
    boost::json::array rows;
    for (const store_change& each : *changes)
    {
        boost::json::object row{{"key", each.key},
                                {"era", each.position.era.value()},
                                {"revision", each.position.revision.value()}};
        if (each.value)
            row["value"] = encode_base64(*each.value);
        rows.push_back(std::move(row));
    }
    const store_position as_of = std::max(after, m_log.as_of());
    return {.body = boost::json::serialize(
                boost::json::object{{"era", as_of.era.value()},
                                    {"as_of", as_of.revision.value()},
                                    {"unsettled", now < m_outage_reported_until},
                                    {"changes", std::move(rows)}})};
}

void relay_server::handle(http_call call, std::uint64_t token, http_responder respond)
{
    const auto era = call.number_parameter("era");
    const auto after = call.number_parameter("after");
    const auto wait = call.number_parameter("wait-ms");
    if (call.path != changes_path || !era || *era < 0 || !after || *after < 0 || !wait || *wait < 0)
        return respond(error_reply(404, "unknown call"));
    const time_point now = boot_now();
    const store_position from{store_era{static_cast<std::uint64_t>(*era)},
                              store_revision{static_cast<std::uint64_t>(*after)}};
    const duration bounded_wait = std::min<duration>(max_wait, std::chrono::milliseconds{*wait});
    if (!can_answer() || has_changes_after(from) || bounded_wait.count() == 0)
        return respond(make_reply(from, now));
    if (m_waiting.size() >= m_options.max_followers)
        return respond(error_reply(status_unavailable, "too many followers"));
    m_waiting[token] = {.after = from, .end = now + bounded_wait, .respond = std::move(respond)};
}

void relay_server::publish(time_point now)
{
    std::erase_if(m_waiting,
                  [&](auto& each)
                  {
                      if (!has_changes_after(each.second.after))
                          return false;
                      each.second.respond(make_reply(each.second.after, now));
                      return true;
                  });
}

void relay_server::set_connected(bool is_connected, time_point now)
{
    if (m_is_connected == is_connected)
        return;
    m_is_connected = is_connected;
    if (is_connected)
    {
        if (m_has_had_outage)
            m_outage_reported_until = now + outage_report_time;
        return;
    }
    m_has_had_outage = true;
    answer_all_waits(now);
}

void relay_server::set_reads_store(bool reads_store, time_point now)
{
    if (std::exchange(m_reads_store, reads_store) && !reads_store)
        answer_all_waits(now);
}

void relay_server::answer_all_waits(time_point now)
{
    for (auto& [token, each] : m_waiting)
        each.respond(make_reply(each.after, now));
    m_waiting.clear();
}

void relay_server::tick(time_point now)
{
    std::erase_if(m_waiting,
                  [&](auto& each)
                  {
                      if (now < each.second.end)
                          return false;
                      each.second.respond(make_reply(each.second.after, now));
                      return true;
                  });
}

http_call make_relay_call(store_position after, duration wait)
{
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    return {.path = changes_path,
            .parameters = {{"era", std::to_string(after.era.value())},
                           {"after", std::to_string(after.revision.value())},
                           {"wait-ms", std::to_string(ms)}}};
}

change_list decode_relay_answer(const http_reply& reply)
{
    if (reply.status == status_gone)
        return {.outcome = store_outcome::history_lost};
    if (reply.status != status_ok)
        return {};
    try
    {
        boost::json::error_code error;
        const boost::json::value body = parse_lenient_json(reply.body, error);
        if (error)
            return {};
        change_list list{.outcome = store_outcome::ok};
        list.as_of = decode_position(body, "as_of");
        list.had_recent_outage = body.at("unsettled").as_bool();
        for (const boost::json::value& row : body.at("changes").as_array())
        {
            store_change change;
            change.key = std::string{row.at("key").as_string()};
            change.position = decode_position(row, "revision");
            if (const auto* value = row.as_object().if_contains("value"))
            {
                change.value = decode_base64(value->as_string());
                if (!change.value)
                    return {};
            }
            list.changes.push_back(std::move(change));
        }
        return list;
    }
    catch (const std::exception&)
    {
        // Not an answer of a relay: the caller turns to another source and logs it.
        return {};
    }
}

} // namespace tanagerspur
