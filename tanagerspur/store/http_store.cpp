#include "tanagerspur/store/http_store.hpp"

#include "tanagerspur/common/http_status.hpp"
#include "tanagerspur/common/lenient_json.hpp"

#include <limits>

namespace tanagerspur
{

namespace
{

std::string make_tag(std::uint64_t version)
{
    return '"' + std::to_string(version) + '"';
}

std::uint64_t parse_tag(const std::string& tag)
{
    if (tag.size() < 3)
        return 0;
    return static_cast<std::uint64_t>(parse_number(tag.substr(1, tag.size() - 2)).value_or(0));
}

store_result decode_read(const call_outcome& outcome, std::uint64_t known_version)
{
    if (outcome.stage != call_stage::answered)
        return {};
    const http_reply& reply = outcome.reply;
    if (reply.status == status_ok && parse_tag(reply.field("etag")) != 0)
        return {.status = store_status::ok,
                .value = {.version = parse_tag(reply.field("etag")), .text = reply.body}};
    if (reply.status == status_not_found)
        return {.status = store_status::ok};
    if (reply.status == status_not_modified)
        return {.status = store_status::ok, .value = {.version = known_version, .text = {}}};
    return {};
}

// Only an answer, or a call that was never sent, can show whether the write took effect.
store_result decode_write(const call_outcome& outcome)
{
    if (outcome.stage == call_stage::not_sent)
        return {.status = store_status::unavailable};
    if (outcome.stage == call_stage::sent)
        return {.status = store_status::unknown};
    const http_reply& reply = outcome.reply;
    if (reply.status == status_ok)
        return {.status = store_status::ok, .value = {.version = parse_tag(reply.field("etag"))}};
    if (reply.status == status_precondition_failed)
        return {.status = store_status::conflict};
    const bool is_client_error = reply.status >= 400 && reply.status < 500;
    return {.status = is_client_error ? store_status::unavailable : store_status::unknown};
}

bool parse_listed_host(const boost::json::value& line, listed_host& host)
{
    const auto* object = line.if_object();
    if (object == nullptr)
        return false;
    const auto text = [&](const char* name) -> std::string
    {
        const auto* found = object->if_contains(name);
        return found != nullptr && found->is_string() ? std::string{found->as_string()} : "";
    };
    const auto* port = object->if_contains("port");
    host.id = host_id{text("id")};
    host.zone = zone_id{text("zone")};
    host.address = text("address");
    host.is_target = text("role") == "target";
    if (port != nullptr)
    {
        const std::int64_t number = port->is_int64() ? port->as_int64() : -1;
        if (number < 0 || number > std::numeric_limits<std::uint16_t>::max())
            return false;
        host.port = static_cast<std::uint16_t>(number);
    }
    host.current =
        text("state") == "leaving" ? listed_host::state::leaving : listed_host::state::live;
    return !host.id.value().empty() && is_ip_number(host.address);
}

} // namespace

http_store::http_store(boost::asio::io_context& io, http_store_options options)
    : m_io(io)
    , m_options(std::move(options))
{
}

void http_store::call(http_call request, duration timeout, http_connection::outcome_handler handler)
{
    if (!m_options.caller.empty())
        request.fields["from-host"] = m_options.caller;
    call_once(m_io, m_options.platform, std::move(request), timeout,
              [this, handler = std::move(handler)](call_outcome outcome)
              {
                  if (outcome.stage != call_stage::answered || outcome.reply.status >= 429)
                      ++m_failures;
                  handler(std::move(outcome));
              });
}

void http_store::read(const std::string& key, value_handler handler)
{
    ++m_reads;
    call({.path = "/kv/" + key}, m_options.call_timeout,
         [handler = std::move(handler)](const call_outcome& outcome)
         { handler(decode_read(outcome, 0)); });
}

void http_store::watch(const std::string& key, std::uint64_t known_version, duration wait,
                       value_handler handler)
{
    ++m_watches;
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(wait).count();
    http_call request{.path = "/kv/" + key};
    request.fields["if-none-match"] = make_tag(known_version);
    request.fields["prefer"] = "wait=" + std::to_string(seconds);
    call(std::move(request), wait + m_options.call_timeout,
         [handler = std::move(handler), known_version](const call_outcome& outcome)
         { handler(decode_read(outcome, known_version)); });
}

void http_store::write(const std::string& key, std::uint64_t expected_version, std::string text,
                       value_handler handler)
{
    ++m_writes;
    http_call request{.method = "PUT",
                      .path = "/kv/" + key,
                      .body = std::make_shared<const std::string>(std::move(text))};
    if (expected_version == 0)
        request.fields["if-none-match"] = "*";
    else
        request.fields["if-match"] = make_tag(expected_version);
    call(std::move(request), m_options.call_timeout,
         [handler = std::move(handler)](const call_outcome& outcome)
         { handler(decode_write(outcome)); });
}

void http_store::list_hosts(list_handler handler)
{
    ++m_lists;
    call({.path = "/hosts"}, m_options.call_timeout,
         [handler = std::move(handler)](const call_outcome& outcome)
         {
             if (outcome.stage != call_stage::answered || outcome.reply.status != status_ok)
                 return handler({});
             handler(parse_host_list(outcome.reply.body));
         });
}

store_calls http_store::calls() const
{
    return {.reads = m_reads,
            .watches = m_watches,
            .writes = m_writes,
            .lists = m_lists,
            .failures = m_failures};
}

host_list parse_host_list(const std::string& text)
{
    boost::json::error_code error;
    const boost::json::value parsed = parse_lenient_json(text, error);
    const auto* object = error ? nullptr : parsed.if_object();
    const auto* lines = object != nullptr ? object->if_contains("hosts") : nullptr;
    if (lines == nullptr || !lines->is_array())
        return {};
    host_list list{.available = true, .hosts = {}};
    for (const auto& line : lines->as_array())
    {
        listed_host host;
        if (parse_listed_host(line, host))
            list.hosts.push_back(std::move(host));
    }
    return list;
}

} // namespace tanagerspur
