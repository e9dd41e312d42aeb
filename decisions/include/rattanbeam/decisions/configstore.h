#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rattanbeam::decisions
{

/// One configuration object of the platform. A deleted object stays as a tombstone, so that an old copy cannot restore it.
struct ConfigObject {
    std::string key;
    std::string text;
    std::uint64_t version = 0;
    bool deleted = false;

    auto operator<=>(const ConfigObject &) const = default;
};

/// Objects whose latest version is in (after, completeTo].
struct ConfigChanges {
    std::uint64_t after = 0;
    std::uint64_t completeTo = 0;
    std::vector<ConfigObject> objects;

    auto operator<=>(const ConfigChanges &) const = default;
};

/// An instance's copy of the platform's objects. The highest version of each object wins a merge, so that messages may
/// be reordered, lost or repeated and no object ever reverts.
///
///     if (!store.merge(changes).empty()) {
///         publish(store);
///     }
class ConfigStore
{
public:
    /// Merges newer objects and returns those that changed. `completeTo` advances only if no gap remains below it.
    std::vector<ConfigObject> merge(const ConfigChanges &changes);

    /// At most `maxObjects` objects with a version above `after`, lowest first, so that a peer can catch up page by page.
    ConfigChanges changesAfter(std::uint64_t after, std::size_t maxObjects) const;

    const ConfigObject *find(const std::string &key) const;
    const std::map<std::string, ConfigObject> &objects() const
    {
        return m_objects;
    }
    /// All changes up to this version are included.
    std::uint64_t completeTo() const
    {
        return m_completeTo;
    }

private:
    std::map<std::string, ConfigObject> m_objects;
    std::map<std::uint64_t, std::string> m_keysByVersion;
    std::uint64_t m_completeTo = 0;
};

} // namespace rattanbeam::decisions
