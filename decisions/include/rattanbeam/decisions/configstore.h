#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rattanbeam::decisions
{

/// One object of the platform. A deleted one stays as a tombstone, so that an old copy cannot bring it back.
struct ConfigObject {
    std::string key;
    std::string text;
    std::uint64_t version = 0;
    bool deleted = false;

    auto operator<=>(const ConfigObject &) const = default;
};

/// Objects whose latest change lies in (after, completeTo].
struct ConfigChanges {
    std::uint64_t after = 0;
    std::uint64_t completeTo = 0;
    std::vector<ConfigObject> objects;

    auto operator<=>(const ConfigChanges &) const = default;
};

/// An instance's copy of the platform's objects. Copies merge by highest version, so that order, loss and repetition of
/// messages do not matter and nothing reverts.
///
///     if (!store.merge(changes).empty()) {
///         publish(store);
///     }
class ConfigStore
{
public:
    /// Takes newer objects; returns those that changed. `completeTo` moves only when no gap is left below it.
    std::vector<ConfigObject> merge(const ConfigChanges &changes);

    /// At most `most` objects changed after `after`, oldest first, so that a peer can catch up page by page.
    ConfigChanges changesAfter(std::uint64_t after, std::size_t most) const;

    const ConfigObject *find(const std::string &key) const;
    const std::map<std::string, ConfigObject> &objects() const
    {
        return m_objects;
    }
    /// Every change up to this version is here.
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
