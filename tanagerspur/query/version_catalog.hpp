// The index versions that each shard can serve, as reported to an entry host, and the choice of
// one snapshot for a query: a layout and a version from which every shard answers.

#ifndef TANAGERSPUR_QUERY_VERSION_CATALOG_HPP
#define TANAGERSPUR_QUERY_VERSION_CATALOG_HPP

#include "tanagerspur/common/ids.hpp"
#include "tanagerspur/common/time.hpp"
#include "tanagerspur/manifest/manifest.hpp"

#include <map>
#include <optional>
#include <vector>

namespace tanagerspur
{

struct snapshot
{
    layout_id layout;
    index_version version;

    friend auto operator<=>(const snapshot&, const snapshot&) = default;
};

class version_catalog
{
public:
    // Records the latest report of a shard's owner: versions in any order, and its queue wait.
    void update(time_point now, const shard_key& shard, const std::vector<index_version>& versions,
                duration estimated_wait);

    // Records a shard's queue wait from a result.
    void update_wait(time_point now, const shard_key& shard, duration estimated_wait);

    // Returns the snapshot that the most shards can serve, and of those the newest. Returns nullopt
    // if no shard of the service is known to serve any. Excluded snapshots are not considered.
    std::optional<snapshot> choose(const service& target,
                                   const std::vector<snapshot>& excluded = {}) const;

    // As choose, for a look-up of a key, which needs one shard of a layout only.
    std::optional<snapshot> choose_for_key(const service& target, const std::string& key) const;

    // Returns the longest queue wait that an owner of one of the layout's shards reported recently.
    duration max_estimated_wait(time_point now, const service& target,
                                const layout_id& layout) const;

    // True if each service has a layout of which every shard is known to serve some version.
    bool covers(const manifest& present) const;

    // Removes shards that are no longer in the manifest.
    void retain(const manifest& present);

private:
    struct entry
    {
        std::vector<index_version> versions;
        duration estimated_wait{0};
        time_point updated;
    };

    std::map<shard_key, entry> m_entries;
};

} // namespace tanagerspur

#endif
