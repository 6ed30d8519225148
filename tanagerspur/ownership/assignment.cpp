#include "tanagerspur/ownership/assignment.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace tanagerspur
{

namespace
{

std::string string_field(const boost::json::object& object, const char* name)
{
    const auto* found = object.if_contains(name);
    return found != nullptr && found->is_string() ? std::string{found->as_string()} : "";
}

std::optional<std::uint64_t> unsigned_field(const boost::json::object& object, const char* name)
{
    const auto* found = object.if_contains(name);
    if (found == nullptr || !found->is_int64() || found->as_int64() < 0)
        return std::nullopt;
    return static_cast<std::uint64_t>(found->as_int64());
}

boost::json::object row_to_json(const shard_key& key, const shard_assignment& row)
{
    return {{"shard", to_string(key)},
            {"owner", row.owner.value()},
            {"deputy", row.deputy.value()},
            {"predecessor", row.predecessor.value()},
            {"since", row.since.value()}};
}

bool parse_row(const boost::json::value& entry, assignment_table& table)
{
    const auto* object = entry.if_object();
    shard_key key;
    if (object == nullptr || !parse_shard_key(string_field(*object, "shard"), key))
        return false;
    const auto since = unsigned_field(*object, "since");
    shard_assignment row{.owner = host_id{string_field(*object, "owner")},
                         .deputy = host_id{string_field(*object, "deputy")},
                         .predecessor = host_id{string_field(*object, "predecessor")},
                         .since = epoch{since.value_or(0)}};
    if (!since || row.owner.value().empty() || row.owner == row.deputy)
        return false;
    return table.rows.emplace(std::move(key), std::move(row)).second;
}

} // namespace

const shard_assignment* assignment_table::find(const shard_key& key) const
{
    const auto found = rows.find(key);
    return found == rows.end() ? nullptr : &found->second;
}

std::string serialize(const assignment_table& table)
{
    boost::json::array rows;
    rows.reserve(table.rows.size());
    for (const auto& [key, row] : table.rows)
        rows.push_back(row_to_json(key, row));
    return boost::json::serialize(
        boost::json::object{{"epoch", table.current.value()}, {"rows", std::move(rows)}});
}

std::optional<assignment_table> parse_assignment(const std::string& text)
{
    boost::json::error_code error;
    const boost::json::value parsed = boost::json::parse(text, error);
    const auto* object = error ? nullptr : parsed.if_object();
    const auto* rows = object != nullptr ? object->if_contains("rows") : nullptr;
    const auto current = object != nullptr ? unsigned_field(*object, "epoch") : std::nullopt;
    if (!current || rows == nullptr || !rows->is_array())
        return std::nullopt;
    assignment_table table{.current = epoch{*current}, .rows = {}};
    for (const auto& entry : rows->as_array())
        if (!parse_row(entry, table))
            return std::nullopt;
    return table;
}

} // namespace tanagerspur
