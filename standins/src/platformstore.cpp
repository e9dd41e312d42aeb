#include "rattanbeam/standins/platformstore.h"

namespace rattanbeam::standins
{

namespace
{
constexpr std::chrono::seconds announceExpiry{3};
}

decisions::ConfigObject PlatformStore::read(const std::string &key) const
{
    const std::lock_guard lock(m_mutex);
    const auto &objects = m_store.objects();
    const auto found = objects.find(key);
    return found == objects.end() ? decisions::ConfigObject{key, "", 0, true} : found->second;
}

decisions::ConfigChanges PlatformStore::changesAfter(std::uint64_t after, std::size_t most) const
{
    const std::lock_guard lock(m_mutex);
    return m_store.changesAfter(after, most);
}

bool PlatformStore::waitForChange(std::uint64_t after, std::chrono::milliseconds wait) const
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, wait, [&] {
        return m_stopping || m_version > after;
    });
    return m_version > after;
}

WriteOutcome PlatformStore::write(const std::string &key, const std::string &text, std::uint64_t expectedVersion, bool remove)
{
    const std::lock_guard lock(m_mutex);
    const auto &objects = m_store.objects();
    const auto found = objects.find(key);
    const decisions::ConfigObject current = found == objects.end() ? decisions::ConfigObject{key, "", 0, true} : found->second;
    // A deleted object is created anew with version 0.
    const std::uint64_t currentVersion = current.deleted ? 0 : current.version;
    if (currentVersion != expectedVersion) {
        return {false, current};
    }
    const decisions::ConfigObject next{key, remove ? std::string() : text, ++m_version, remove};
    m_store.merge({m_version - 1, m_version, {next}});
    m_changed.notify_all();
    return {true, next};
}

void PlatformStore::announce(const decisions::InstanceRecord &instance)
{
    const std::lock_guard lock(m_mutex);
    const auto now = std::chrono::steady_clock::now();
    auto [entry, isNew] = m_instances.try_emplace(instance.id, Announced{instance, now, now});
    if (!isNew) {
        entry->second.record = instance;
        entry->second.last = now;
    }
}

std::vector<decisions::InstanceRecord> PlatformStore::instances(std::chrono::milliseconds lag) const
{
    const std::lock_guard lock(m_mutex);
    const auto seenFrom = std::chrono::steady_clock::now() - lag;
    std::vector<decisions::InstanceRecord> all;
    for (const auto &[id, announced] : m_instances) {
        if (announced.first <= seenFrom && announced.last + announceExpiry >= seenFrom) {
            all.push_back(announced.record);
        }
    }
    return all;
}

void PlatformStore::stop()
{
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
    m_changed.notify_all();
}

} // namespace rattanbeam::standins
