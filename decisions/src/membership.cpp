#include "rattanbeam/decisions/membership.h"

namespace rattanbeam::decisions
{

namespace
{
constexpr std::chrono::minutes keepSilent{10};
}

bool Membership::heard(const InstanceRecord &record, TimePoint now)
{
    const auto found = m_entries.find(record.id);
    if (found == m_entries.end()) {
        if (m_entries.size() >= maxInstances) {
            return false;
        }
        m_entries[record.id] = {record, now + m_silenceLimit, now + keepSilent};
        return true;
    }
    Entry &entry = found->second;
    const InstanceRecord &known = entry.record;
    const bool newer
        = record.incarnation > known.incarnation || (record.incarnation == known.incarnation && record.heartbeat > known.heartbeat);
    const bool nowLeaving = record.incarnation == known.incarnation && record.leaving && !known.leaving;
    if (!newer && !nowLeaving) {
        return false;
    }
    const bool stillLeaving = record.leaving || (known.leaving && known.incarnation == record.incarnation);
    const std::uint64_t heartbeat = newer ? record.heartbeat : known.heartbeat;
    entry.record = record;
    entry.record.heartbeat = heartbeat;
    entry.record.leaving = stillLeaving;
    if (newer) {
        entry.aliveUntil = now + m_silenceLimit;
        entry.keepUntil = now + keepSilent;
    }
    return true;
}

void Membership::listed(const InstanceRecord &record, TimePoint now)
{
    const auto found = m_entries.find(record.id);
    if (found != m_entries.end()) {
        found->second.keepUntil = now + keepSilent;
        const bool moved = found->second.record.address != record.address && found->second.aliveUntil <= now;
        if (moved) {
            found->second.record.address = record.address;
        }
        return;
    }
    if (m_entries.size() < maxInstances) {
        m_entries[record.id] = {record, TimePoint::min(), now + keepSilent};
    }
}

std::vector<InstanceRecord> Membership::live(TimePoint now) const
{
    std::vector<InstanceRecord> all;
    for (const auto &[id, entry] : m_entries) {
        if (entry.aliveUntil > now && !entry.record.leaving) {
            all.push_back(entry.record);
        }
    }
    return all;
}

std::vector<InstanceRecord> Membership::recent(TimePoint now) const
{
    std::vector<InstanceRecord> all;
    for (const auto &[id, entry] : m_entries) {
        if (entry.aliveUntil > now) {
            all.push_back(entry.record);
        }
    }
    return all;
}

std::vector<InstanceRecord> Membership::contacts(TimePoint now) const
{
    std::vector<InstanceRecord> all;
    for (const auto &[id, entry] : m_entries) {
        if (entry.keepUntil > now) {
            all.push_back(entry.record);
        }
    }
    return all;
}

void Membership::forgetOld(TimePoint now)
{
    std::erase_if(m_entries, [now](const auto &each) {
        return each.second.keepUntil <= now;
    });
}

} // namespace rattanbeam::decisions
