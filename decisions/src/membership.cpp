#include "rattanbeam/decisions/membership.h"

namespace rattanbeam::decisions
{

namespace
{
constexpr std::chrono::minutes silentRetention{10};
}

bool Membership::heartbeatReceived(const InstanceRecord &record, TimePoint now)
{
    const auto found = m_entries.find(record.id);
    if (found == m_entries.end()) {
        if (m_entries.size() >= maxInstances) {
            return false;
        }
        m_entries[record.id] = {record, now + m_heartbeatTimeout, now + silentRetention};
        return true;
    }
    Entry &entry = found->second;
    const InstanceRecord &known = entry.record;
    const bool isNewer
        = record.incarnation > known.incarnation || (record.incarnation == known.incarnation && record.heartbeat > known.heartbeat);
    const bool startsLeaving = record.incarnation == known.incarnation && record.isLeaving && !known.isLeaving;
    if (!isNewer && !startsLeaving) {
        return false;
    }
    const bool isStillLeaving = record.isLeaving || (known.isLeaving && known.incarnation == record.incarnation);
    const std::uint64_t heartbeat = isNewer ? record.heartbeat : known.heartbeat;
    entry.record = record;
    entry.record.heartbeat = heartbeat;
    entry.record.isLeaving = isStillLeaving;
    if (isNewer) {
        entry.aliveUntil = now + m_heartbeatTimeout;
        entry.keepUntil = now + silentRetention;
    }
    return true;
}

void Membership::listedByPlatform(const InstanceRecord &record, TimePoint now)
{
    const auto found = m_entries.find(record.id);
    if (found != m_entries.end()) {
        found->second.keepUntil = now + silentRetention;
        const bool hasMoved = found->second.record.address != record.address && found->second.aliveUntil <= now;
        if (hasMoved) {
            found->second.record.address = record.address;
        }
        return;
    }
    if (m_entries.size() < maxInstances) {
        m_entries[record.id] = {record, TimePoint::min(), now + silentRetention};
    }
}

std::vector<InstanceRecord> Membership::live(TimePoint now) const
{
    std::vector<InstanceRecord> records;
    for (const auto &[id, entry] : m_entries) {
        if (entry.aliveUntil > now && !entry.record.isLeaving) {
            records.push_back(entry.record);
        }
    }
    return records;
}

std::vector<InstanceRecord> Membership::liveAndLeaving(TimePoint now) const
{
    std::vector<InstanceRecord> records;
    for (const auto &[id, entry] : m_entries) {
        if (entry.aliveUntil > now) {
            records.push_back(entry.record);
        }
    }
    return records;
}

std::vector<InstanceRecord> Membership::contacts(TimePoint now) const
{
    std::vector<InstanceRecord> records;
    for (const auto &[id, entry] : m_entries) {
        if (entry.keepUntil > now) {
            records.push_back(entry.record);
        }
    }
    return records;
}

void Membership::removeExpired(TimePoint now)
{
    std::erase_if(m_entries, [now](const auto &each) {
        return each.second.keepUntil <= now;
    });
}

} // namespace rattanbeam::decisions
