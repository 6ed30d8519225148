#include "tanagerspur/host/caller_api.hpp"

#include "tanagerspur/common/text.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace tanagerspur
{

namespace
{

constexpr std::size_t max_request_id_bytes = 128;
constexpr std::size_t max_key_bytes = 1'024;

bool is_printable(const std::string& text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 127; });
}

input_error bad_field(const std::string& key, const std::string& expected)
{
    return {.source = "request", .section = "", .key = key, .expected = expected};
}

std::string parameter(const http_call& call, const std::string& name)
{
    const auto found = call.parameters.find(name);
    return found == call.parameters.end() ? std::string{} : found->second;
}

result<void> check_parameters(const http_call& call, bool is_lookup)
{
    for (const auto& [name, value] : call.parameters)
        if (name != "service" && !(is_lookup && name == "key"))
            return leaf::new_error(bad_field(name, "no such parameter"));
    return {};
}

result<duration> read_deadline(const http_call& call, const service_limits& limits)
{
    if (call.field("deadline-ms").empty())
        return limits.default_deadline;
    const auto value = call.number_field("deadline-ms");
    const auto most = std::chrono::duration_cast<std::chrono::milliseconds>(limits.max_deadline);
    if (!value || *value < 1 || *value > most.count())
        return leaf::new_error(
            bad_field("Deadline-Ms", "milliseconds from 1 to " + std::to_string(most.count())));
    return duration{std::chrono::milliseconds{*value}};
}

boost::json::array write_missing(const answer& made)
{
    boost::json::array missing;
    for (const missing_shard& each : made.missing)
        missing.push_back(boost::json::object{{"shard", each.number.value()},
                                              {"reason", to_string(each.why)},
                                              {"verdict", to_string(each.outcome)}});
    return missing;
}

// The rows of all shards as one array. Each part is an array's text, checked on arrival, so the
// parts are joined without being parsed again.
std::string join_rows(const answer& made)
{
    std::string joined = "[";
    for (const auto& part : made.rows)
    {
        const std::string_view text = *part;
        const auto begin = text.find('[');
        const auto end = text.rfind(']');
        if (begin == std::string_view::npos || end == std::string_view::npos || end <= begin + 1)
            continue;
        if (joined.size() > 1)
            joined += ',';
        joined += text.substr(begin + 1, end - begin - 1);
    }
    return joined + "]";
}

} // namespace

result<query> read_query(time_point now, const http_call& call, const manifest& present)
{
    const bool is_lookup = call.path == lookup_path;
    BOOST_LEAF_CHECK(check_parameters(call, is_lookup));
    query wanted{.request = request_id{call.field("request-id")},
                 .service = service_id{parameter(call, "service")},
                 .key = std::nullopt,
                 .body = call.body};
    const service* target = present.find(wanted.service);
    if (target == nullptr)
        return leaf::new_error(bad_field("service", "the name of a service in the manifest"));
    const std::string& request = wanted.request.value();
    if (request.size() > max_request_id_bytes || !is_printable(request))
        return leaf::new_error(
            bad_field("Request-Id", "at most 128 printable ASCII characters without blanks"));
    if (is_lookup)
    {
        wanted.key = parameter(call, "key");
        if (wanted.key->empty() || wanted.key->size() > max_key_bytes || !is_utf8(*wanted.key))
            return leaf::new_error(bad_field("key", "1 to 1024 bytes of UTF-8"));
    }
    if (!is_utf8(*call.body))
        return leaf::new_error(bad_field("body", "UTF-8 text"));
    const std::string& idempotent = call.field("idempotent");
    if (!idempotent.empty() && idempotent != "true" && idempotent != "false")
        return leaf::new_error(bad_field("Idempotent", "true or false"));
    wanted.idempotent = idempotent != "false";
    BOOST_LEAF_AUTO(budget, read_deadline(call, target->limits));
    wanted.deadline = now + budget;
    return wanted;
}

int status_of(const answer& made)
{
    if (made.outcome == verdict::done || made.shards_answered > 0)
        return 200;
    if (made.why == reason::unknown_service)
        return 404;
    if (made.why == reason::deadline_passed)
        return 504;
    return made.outcome == verdict::not_run ? 503 : 502;
}

http_reply write_answer(const answer& made)
{
    boost::json::object coverage{
        {"expected", made.shards_expected},
        {"answered", made.shards_answered},
        {"complete", made.shards_expected > 0 && made.shards_expected == made.shards_answered},
        {"missing", write_missing(made)}};
    boost::json::object head{
        {"request_id", made.request.value()},    {"service", made.service.value()},
        {"verdict", to_string(made.outcome)},    {"layout", made.layout.value()},
        {"index_version", made.version.value()}, {"coverage", std::move(coverage)}};
    if (made.why != reason::none)
    {
        head["reason"] = to_string(made.why);
        head["message"] = made.message;
    }
    std::string text = boost::json::serialize(head);
    text.pop_back();
    http_reply reply{.status = status_of(made),
                     .body = text + ",\"rows\":" + join_rows(made) + "}\n"};
    if (reply.status == 503)
        reply.fields["Retry-After"] = "1";
    return reply;
}

http_reply write_failure(const request_id& request, const failure& why, int status)
{
    http_reply reply{
        .status = status,
        .body = boost::json::serialize(boost::json::object{{"request_id", request.value()},
                                                           {"verdict", to_string(why.outcome)},
                                                           {"reason", to_string(why.why)},
                                                           {"message", why.message}}) +
                "\n"};
    if (status == 503)
        reply.fields["Retry-After"] = "1";
    return reply;
}

http_reply write_addresses(const std::vector<entry_address>& book, std::uint16_t port,
                           std::chrono::seconds validity)
{
    boost::json::array addresses;
    for (const entry_address& each : book)
        addresses.push_back(boost::json::object{{"host", each.host.value()},
                                                {"address", each.address},
                                                {"port", port},
                                                {"zone", each.zone.value()},
                                                {"weight", each.weight}});
    http_reply reply{
        .body = boost::json::serialize(boost::json::object{{"addresses", std::move(addresses)},
                                                           {"keep_s", validity.count()}}) +
                "\n"};
    reply.fields["Cache-Control"] = "max-age=" + std::to_string(validity.count());
    return reply;
}

} // namespace tanagerspur
