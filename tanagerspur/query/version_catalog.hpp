// What an entry host knows of the index versions that each shard can serve, and the choice of
// one snapshot for a query: a layout and a version that every shard answers from.

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
    // The newest word of a shard's owner: versions in any order, and its queue's wait.
    void update(time_point now, const shard_key& shard, const std::vector<index_version>& versions,
                duration estimated_wait);

    // A shard's wait, as a result has told it.
    void update_wait(time_point now, const shard_key& shard, duration estimated_wait);

    // The snapshot that the most shards can serve, and of those the newest; nothing when no
    // shard of the service is known to serve any. Excluded snapshots are passed over.
    std::optional<snapshot> choose(const service& target,
                                   const std::vector<snapshot>& excluded = {}) const;

    // As choose, for a request to one shard of each layout, by its key.
    std::optional<snapshot> choose_for_key(const service& target, const std::string& key) const;

    // The longest wait that an owner of one of the layout's shards has told lately.
    duration max_estimated_wait(time_point now, const service& target,
                                const layout_id& layout) const;

    // True when every shard of some layout of each service is known to serve some version.
    bool covers(const manifest& present) const;

    // Drops shards that the manifest no longer has.
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
