#include "tanagerspur/operations/fleet_client.hpp"

#include "tanagerspur/store/http_store.hpp"

#include <boost/json/parse.hpp>

namespace tanagerspur
{

namespace
{

constexpr duration call_timeout = std::chrono::seconds{2};
constexpr int max_tries = 5;

class http_blocking_store final : public blocking_store
{
public:
    explicit http_blocking_store(const endpoint& platform)
        : m_store(m_io, {.platform = platform, .caller = {}})
    {
    }
    key_value_store& store() override { return m_store; }
    void wait() override
    {
        m_io.restart();
        m_io.run();
    }

private:
    boost::asio::io_context m_io;
    http_store m_store;
};

store_result read_and_wait(blocking_store& platform)
{
    store_result found;
    platform.store().read(manifest_key, [&](store_result result) { found = std::move(result); });
    platform.wait();
    return found;
}

store_result write_and_wait(blocking_store& platform, std::uint64_t version,
                            const stored_manifest& value)
{
    store_result made;
    platform.store().write(manifest_key, version, serialize(value),
                           [&](store_result result) { made = std::move(result); });
    platform.wait();
    return made;
}

stored_manifest parse_current(const store_result& read)
{
    return parse_stored_manifest(read.value.text).value_or(stored_manifest{});
}

// Determines whose write took effect after the answer to a write was lost or was a conflict.
apply_result resolve_conflict(const stored_manifest& current, const stored_manifest& mine)
{
    const bool is_mine = current.operation == mine.operation;
    return {.status = is_mine ? apply_status::accepted : apply_status::superseded,
            .current = current};
}

} // namespace

apply_result apply_manifest(blocking_store& platform, const std::string& text,
                            const std::string& operation, std::optional<generation> expected)
{
    std::optional<stored_manifest> written;
    for (int tries = 0; tries < max_tries; ++tries)
    {
        const store_result read = read_and_wait(platform);
        if (read.status != store_status::ok)
            continue;
        const stored_manifest current = parse_current(read);
        // After a write without an answer, the store shows a later state: either this write is or
        // was in force, or it never took effect and may be retried.
        if (current.operation == operation)
            return {.status = apply_status::accepted, .current = current};
        if (written && current.number >= written->number)
            return {.status = apply_status::superseded, .current = current};
        if (!written && current.text == text && current.number.value() != 0)
            return {.status = apply_status::unchanged, .current = current};
        if (expected && current.number != *expected)
            return {.status = apply_status::superseded, .current = current};
        written = stored_manifest{
            .number = generation{current.number.value() + 1}, .operation = operation, .text = text};
        const store_result made = write_and_wait(platform, read.value.version, *written);
        if (made.status == store_status::ok)
            return {.status = apply_status::accepted, .current = *written};
        if (made.status == store_status::conflict)
        {
            const store_result again = read_and_wait(platform);
            if (again.status == store_status::ok)
                return resolve_conflict(parse_current(again), *written);
        }
    }
    return {.status = apply_status::unknown, .current = {}};
}

std::optional<stored_manifest> read_manifest(blocking_store& platform)
{
    const store_result read = read_and_wait(platform);
    if (read.status != store_status::ok)
        return std::nullopt;
    return parse_current(read);
}

std::optional<std::vector<listed_host>> read_hosts(blocking_store& platform)
{
    host_list list;
    platform.store().list_hosts([&](host_list made) { list = std::move(made); });
    platform.wait();
    if (!list.available)
        return std::nullopt;
    std::erase_if(list.hosts, [](const listed_host& each) { return each.is_target; });
    return list.hosts;
}

std::unique_ptr<blocking_store> make_blocking_store(const endpoint& platform)
{
    return std::make_unique<http_blocking_store>(platform);
}

std::optional<boost::json::object> read_status(const endpoint& admin)
{
    const call_outcome outcome = call_and_wait(admin, {.path = "/admin/status"}, call_timeout);
    if (outcome.stage != call_stage::answered || outcome.reply.status != 200)
        return std::nullopt;
    boost::json::error_code error;
    const auto parsed = boost::json::parse(outcome.reply.body, error);
    if (error || !parsed.is_object())
        return std::nullopt;
    return parsed.as_object();
}

} // namespace tanagerspur
