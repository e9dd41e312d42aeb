#include "rattanbeam/decisions/configstore.h"

#include <algorithm>

namespace rattanbeam::decisions
{

std::vector<ConfigObject> ConfigStore::merge(const ConfigChanges &changes)
{
    std::vector<ConfigObject> changed;
    for (const ConfigObject &object : changes.objects) {
        ConfigObject &stored = m_objects[object.key];
        if (object.version <= stored.version) {
            continue;
        }
        m_keysByVersion.erase(stored.version);
        stored = object;
        m_keysByVersion[object.version] = object.key;
        changed.push_back(object);
    }
    if (changes.after <= m_completeTo) {
        m_completeTo = std::max(m_completeTo, changes.completeTo);
    }
    return changed;
}

ConfigChanges ConfigStore::changesAfter(std::uint64_t after, std::size_t maxObjects) const
{
    ConfigChanges changes;
    changes.after = after;
    changes.completeTo = m_completeTo;
    for (auto entry = m_keysByVersion.upper_bound(after); entry != m_keysByVersion.end(); ++entry) {
        if (changes.objects.size() == maxObjects) {
            changes.completeTo = std::min(m_completeTo, changes.objects.back().version);
            break;
        }
        changes.objects.push_back(m_objects.at(entry->second));
    }
    return changes;
}

const ConfigObject *ConfigStore::find(const std::string &key) const
{
    const auto found = m_objects.find(key);
    if (found == m_objects.end() || found->second.deleted) {
        return nullptr;
    }
    return &found->second;
}

} // namespace rattanbeam::decisions
