#include "tanagerspur/query/version_catalog.hpp"

#include <algorithm>
#include <tuple>

namespace tanagerspur
{

namespace
{

// An older report does not describe the current queue.
constexpr duration max_wait_age = std::chrono::milliseconds{500};

} // namespace

void version_catalog::update(time_point now, const shard_key& shard,
                             const std::vector<index_version>& versions, duration estimated_wait)
{
    m_entries[shard] = {.versions = versions, .estimated_wait = estimated_wait, .updated = now};
}

void version_catalog::update_wait(time_point now, const shard_key& shard, duration estimated_wait)
{
    const auto found = m_entries.find(shard);
    if (found == m_entries.end())
        return;
    found->second.estimated_wait = estimated_wait;
    found->second.updated = now;
}

std::optional<snapshot> version_catalog::choose(const service& target,
                                                const std::vector<snapshot>& excluded) const
{
    // The number of missing shards comes first, then the version, so that layouts with different
    // numbers of shards can be compared.
    using rank = std::tuple<std::int64_t, index_version>;
    std::optional<snapshot> best;
    rank best_rank;
    for (const layout& part : target.layouts)
    {
        std::map<index_version, std::size_t> shards_with;
        for (std::uint32_t number = 0; number < part.shards.size(); ++number)
        {
            const auto found = m_entries.find(
                {.service = target.id, .layout = part.id, .number = shard_number{number}});
            if (found == m_entries.end())
                continue;
            for (const index_version version : found->second.versions)
                ++shards_with[version];
        }
        for (const auto& [version, count] : shards_with)
        {
            const snapshot candidate{.layout = part.id, .version = version};
            if (std::find(excluded.begin(), excluded.end(), candidate) != excluded.end())
                continue;
            const auto missing = static_cast<std::int64_t>(part.shards.size() - count);
            const rank each{-missing, version};
            if (best && each <= best_rank)
                continue;
            best = candidate;
            best_rank = each;
        }
    }
    return best;
}

std::optional<snapshot> version_catalog::choose_for_key(const service& target,
                                                        const std::string& key) const
{
    std::optional<snapshot> best;
    for (const layout& part : target.layouts)
    {
        const auto found = m_entries.find({.service = target.id,
                                           .layout = part.id,
                                           .number = shard_of_key(key, part.shards.size())});
        if (found == m_entries.end())
            continue;
        for (const index_version version : found->second.versions)
            if (!best || version > best->version)
                best = snapshot{.layout = part.id, .version = version};
    }
    return best;
}

duration version_catalog::max_estimated_wait(time_point now, const service& target,
                                             const layout_id& layout) const
{
    duration longest{0};
    const shard_key first{.service = target.id, .layout = layout, .number = shard_number{0}};
    for (auto each = m_entries.lower_bound(first);
         each != m_entries.end() && each->first.service == target.id &&
         each->first.layout == layout;
         ++each)
        if (now - each->second.updated <= max_wait_age)
            longest = std::max(longest, each->second.estimated_wait);
    return longest;
}

bool version_catalog::covers(const manifest& present) const
{
    const auto serves_all_shards = [this](const service& target, const layout& part)
    {
        for (std::uint32_t number = 0; number < part.shards.size(); ++number)
        {
            const auto found = m_entries.find(
                {.service = target.id, .layout = part.id, .number = shard_number{number}});
            if (found == m_entries.end() || found->second.versions.empty())
                return false;
        }
        return true;
    };
    return std::all_of(present.services.begin(), present.services.end(),
                       [&](const auto& each)
                       {
                           return std::any_of(each.second.layouts.begin(),
                                              each.second.layouts.end(),
                                              [&](const layout& part)
                                              { return serves_all_shards(each.second, part); });
                       });
}

void version_catalog::retain(const manifest& present)
{
    std::erase_if(m_entries, [&](const auto& each) { return present.find(each.first) == nullptr; });
}

} // namespace tanagerspur
