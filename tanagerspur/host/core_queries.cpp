// Callers' requests: from HTTP to a query and back, and requests that run at most once.

#include "tanagerspur/common/http_status.hpp"
#include "tanagerspur/host/caller_api.hpp"
#include "tanagerspur/host/host_core.hpp"

#include <boost/json/serialize.hpp>

namespace tanagerspur
{

namespace
{

struct claim_text
{
    verdict outcome;
    reason why;
    const char* message;
    int status;
};

claim_text describe(claim found)
{
    switch (found)
    {
    case claim::running:
        return {verdict::may_have_run, reason::repeated_request_id,
                "a request with this id is under way", status_conflict};
    case claim::expired:
        return {verdict::may_have_run, reason::unknown_request_id,
                "the request id is too old to know whether it ran", status_conflict};
    case claim::lost:
        return {verdict::may_have_run, reason::unknown_request_id,
                "the host that issued the request id has been restarted", status_conflict};
    default:
        return {verdict::not_run, reason::unknown_request_id,
                "a request that is not idempotent needs an id from /v1/request-ids",
                status_bad_request};
    }
}

} // namespace

void host_core::on_event(const caller_arrived& event)
{
    const http_call& call = event.call;
    const bool is_query = call.path == search_path || call.path == lookup_path;
    const bool is_get = call.method == "GET";
    if (call.path == addresses_path && is_get)
    {
        const auto zone = call.parameters.find("zone");
        const zone_id caller_zone{zone == call.parameters.end() ? "" : zone->second};
        return event.respond(
            write_addresses(make_address_book(m_now, self_entry(), m_peers, caller_zone),
                            m_options.settings.caller_port, m_options.settings.address_validity));
    }
    if (call.path == request_ids_path && call.method == "POST")
    {
        if (!m_life.accepts_queries())
            return event.respond(error_reply(status_unavailable, "this host is not serving"));
        return event.respond({.body = boost::json::serialize(boost::json::object{
                                          {"request_id", m_ledger.issue(m_now).value()}}) +
                                      "\n"});
    }
    if (is_query && call.method == "POST")
        return serve_query(call, event.token, event.respond);
    if (is_query || call.path == addresses_path || call.path == request_ids_path)
        return event.respond(error_reply(status_bad_method, "wrong method for this path"));
    event.respond(error_reply(status_not_found, "no such path"));
}

void host_core::serve_query(const http_call& call, std::uint64_t token, http_responder respond)
{
    const auto present = m_configuration.present();
    if (!m_life.accepts_queries() || present == nullptr)
    {
        const bool is_leaving = m_life.is_leaving();
        return respond(write_failure(
            request_id{call.field("request-id")},
            {.outcome = verdict::not_run,
             .why = is_leaving ? reason::host_leaving : reason::no_configuration,
             .message = is_leaving ? "this host is shutting down; ask for other addresses"
                                   : "this host has no configuration yet"},
            status_unavailable));
    }
    auto read = capture([&] { return read_query(m_now, call, *present); });
    if (const auto* bad = std::get_if<input_error>(&read))
    {
        const bool is_unknown = bad->key == "service";
        return respond(
            write_failure(request_id{call.field("request-id")},
                          {.outcome = verdict::not_run,
                           .why = is_unknown ? reason::unknown_service : reason::invalid_request,
                           .message = to_string(*bad)},
                          is_unknown ? status_not_found : status_bad_request));
    }
    query& wanted = std::get<query>(read);
    if (!wanted.idempotent && !claim_request(wanted, call, respond))
        return;
    start_query(std::move(wanted), token, std::move(respond));
}

// Takes the id of a request that is not idempotent. False when the request was answered, or
// passed to the host that issued the id.
bool host_core::claim_request(query& wanted, const http_call& call, const http_responder& respond)
{
    if (wanted.request.value().empty())
        wanted.request = m_ledger.issue(m_now);
    if (!m_ledger.has_capacity())
    {
        respond(write_failure(wanted.request,
                              {.outcome = verdict::not_run,
                               .why = reason::overloaded,
                               .message = "too many request ids are remembered"},
                              status_unavailable));
        return false;
    }
    const claim found = m_ledger.take(m_now, wanted.request);
    if (found == claim::first)
        return true;
    if (found == claim::foreign)
        forward_call(call, wanted.request, parse_request_id(wanted.request)->host, respond);
    else if (found == claim::finished)
        answer_recorded(wanted.request, respond);
    else
    {
        const claim_text text = describe(found);
        respond(write_failure(wanted.request,
                              {.outcome = text.outcome, .why = text.why, .message = text.message},
                              text.status));
    }
    return false;
}

void host_core::answer_recorded(const request_id& request, const http_responder& respond)
{
    ++m_may_have_run_repeats;
    if (const auto recorded_answer = m_ledger.recorded_answer(request))
        return respond({.status = recorded_answer->first, .body = recorded_answer->second});
    respond(write_failure(request,
                          {.outcome = verdict::may_have_run,
                           .why = reason::repeated_request_id,
                           .message = "the request has ended; its answer was not kept"},
                          status_conflict));
}

void host_core::start_query(query wanted, std::uint64_t token, http_responder respond)
{
    const query_id id{m_next_query++};
    if (wanted.request.value().empty())
        wanted.request = m_ledger.issue(m_now);
    m_calls[id] = {.token = token,
                   .respond = std::move(respond),
                   .started = m_now,
                   .service = wanted.service,
                   .ledger_entry = wanted.idempotent ? request_id{} : wanted.request};
    if (token != 0)
        m_query_of_token[token] = id;
    m_coordinator.submit(m_now, id, std::move(wanted));
}

void host_core::complete(query_id id, const answer& result)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    const open_call call = std::move(found->second);
    m_calls.erase(found);
    m_query_of_token.erase(call.token);
    const http_reply reply = write_answer(result);
    if (!call.ledger_entry.value().empty())
    {
        if (result.outcome == verdict::not_run)
            m_ledger.release(call.ledger_entry);
        else
            m_ledger.finish(call.ledger_entry, reply.status, reply.body);
    }
    service_metrics& metrics = m_metrics[call.service];
    metrics.latency.record(m_now - call.started);
    ++metrics.by_status[reply.status];
    call.respond(reply);
}

// A request that is not idempotent goes on without its caller, so that a repeat learns its end.
void host_core::on_event(const caller_gone& event)
{
    const auto found = m_query_of_token.find(event.token);
    if (found == m_query_of_token.end())
        return;
    const query_id id = found->second;
    m_query_of_token.erase(found);
    if (!m_calls.at(id).ledger_entry.value().empty())
        return;
    m_coordinator.abandon(id);
    m_calls.erase(id);
}

void host_core::forward_call(const http_call& call, const request_id& request, const host_id& home,
                             http_responder respond)
{
    wire::frame frame;
    wire::forwarded_call& message = *frame.add_calls();
    const std::uint64_t id = m_next_forward++;
    message.set_id(id);
    message.set_method(call.method);
    message.set_path(call.path);
    message.mutable_parameters()->insert(call.parameters.begin(), call.parameters.end());
    message.mutable_fields()->insert(call.fields.begin(), call.fields.end());
    message.set_body(*call.body);
    if (m_peers.is_heard(m_now, home) && m_environment.send(home, frame))
    {
        m_forwarded[id] = {.respond = std::move(respond), .home = home, .request = request};
        return;
    }
    // An earlier copy may have run there, so not_run would be more than is known.
    respond(write_failure(request,
                          {.outcome = verdict::may_have_run,
                           .why = reason::owner_unreachable,
                           .message = "the host that issued the request id cannot be reached"},
                          status_bad_gateway));
}

void host_core::on_forwarded_call(const host_id& from, const wire::forwarded_call& call)
{
    http_call made{.method = call.method(),
                   .path = call.path(),
                   .parameters = {call.parameters().begin(), call.parameters().end()},
                   .fields = {call.fields().begin(), call.fields().end()},
                   .body = std::make_shared<const std::string>(call.body())};
    const auto parts = parse_request_id(request_id{made.field("request-id")});
    // Only its issuer runs a request; anything else would go round in circles.
    if (!parts || parts->host != m_options.settings.id)
        return;
    serve_query(made, 0,
                [this, from, id = call.id()](const http_reply& reply)
                {
                    wire::forwarded_reply& message = *m_replies_out[from].add_call_replies();
                    message.set_id(id);
                    message.set_status(static_cast<std::uint32_t>(reply.status));
                    message.set_body(reply.body);
                });
}

void host_core::on_forwarded_reply(const wire::forwarded_reply& reply)
{
    const auto found = m_forwarded.find(reply.id());
    if (found == m_forwarded.end())
        return;
    found->second.respond({.status = static_cast<int>(reply.status()), .body = reply.body()});
    m_forwarded.erase(found);
}

entry_self host_core::self_entry() const
{
    return {.id = m_options.settings.id,
            .zone = m_options.settings.zone,
            .address = m_options.settings.address,
            .leaving = m_life.is_leaving() || m_life.state() == life_state::starting,
            .load_permille = static_cast<std::uint32_t>(
                m_coordinator.queries_in_progress() * 1'000 /
                std::max<std::size_t>(m_options.settings.max_queries, 1))};
}

} // namespace tanagerspur
