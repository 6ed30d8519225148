// Reading of what targets answer. Nothing in an answer is trusted beyond its checked shape.

#include "tanagerspur/common/http_status.hpp"
#include "tanagerspur/common/ini.hpp"
#include "tanagerspur/host/target_pool.hpp"

#include <boost/json/parse.hpp>

namespace tanagerspur
{

namespace
{

constexpr std::size_t max_versions = 16;

// A refusal carries the field "not-run", which is the target's proof.
attempt_end read_refusal(const std::string& why)
{
    if (why == "version")
        return attempt_end::version_missing;
    if (why == "draining")
        return attempt_end::draining;
    if (why == "cancelled")
        return attempt_end::cancelled;
    return attempt_end::refused;
}

std::uint32_t read_count(const boost::json::object& report, const char* name)
{
    const auto* found = report.if_contains(name);
    if (found == nullptr || !found->is_int64() || found->as_int64() < 0)
        return 0;
    return static_cast<std::uint32_t>(found->as_int64());
}

// The versions of a refusal, separated by commas.
std::vector<index_version> read_versions(const std::string& text)
{
    std::vector<index_version> versions;
    for (const std::string& part : split_list(text, ','))
        if (const auto number = parse_number(part); number && versions.size() < max_versions)
            versions.push_back(index_version{static_cast<std::uint64_t>(*number)});
    return versions;
}

// Parts of an answer are joined as text later, so each must be a whole array by itself.
bool is_array(const std::string& text)
{
    boost::json::error_code error;
    const boost::json::value parsed = boost::json::parse(text, error);
    return !error && parsed.is_array();
}

} // namespace

attempt_result read_attempt_result(const call_outcome& outcome)
{
    if (outcome.stage == call_stage::not_sent)
        return {.end = attempt_end::not_connected, .message = outcome.error};
    if (outcome.stage == call_stage::sent)
        return {.end = attempt_end::lost, .message = "connection lost: " + outcome.error};
    const http_reply& reply = outcome.reply;
    const std::string& refusal = reply.field("not-run");
    if (!refusal.empty())
        return {.end = read_refusal(refusal),
                .message = "the target refused: " + refusal,
                .version = {},
                .rows = {},
                .versions = read_versions(reply.field("index-versions"))};
    if (reply.field("cancelled") == "true")
        return {.end = attempt_end::cancelled, .message = "the target stopped the work"};
    const auto version = reply.number_field("index-version");
    if (reply.status != status_ok || !version || *version <= 0)
        return {.end = attempt_end::failed,
                .message = "the target answered " + std::to_string(reply.status)};
    if (!is_array(reply.body))
        return {.end = attempt_end::failed, .message = "the target's rows are no JSON array"};
    return {.end = attempt_end::answered,
            .version = index_version{static_cast<std::uint64_t>(*version)},
            .rows = std::make_shared<const std::string>(reply.body)};
}

std::optional<load_report> parse_load_report(const std::string& text)
{
    boost::json::error_code error;
    const boost::json::value parsed = boost::json::parse(text, error);
    const auto* object = error ? nullptr : parsed.if_object();
    const auto* versions = object != nullptr ? object->if_contains("versions") : nullptr;
    if (versions == nullptr || !versions->is_array())
        return std::nullopt;
    const auto* draining = object->if_contains("draining");
    load_report report{.slots = read_count(*object, "slots"),
                       .running = read_count(*object, "running"),
                       .waiting = read_count(*object, "waiting"),
                       .draining =
                           draining != nullptr && draining->is_bool() && draining->as_bool(),
                       .versions = {}};
    for (const auto& version : versions->as_array())
        if (version.is_int64() && version.as_int64() > 0 && report.versions.size() < max_versions)
            report.versions.push_back(
                index_version{static_cast<std::uint64_t>(version.as_int64())});
    return report;
}

} // namespace tanagerspur
