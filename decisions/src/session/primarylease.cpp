#include "rattanbeam/decisions/session/primarylease.h"

#include <algorithm>

namespace rattanbeam::decisions::session
{

PrimaryLease::PrimaryLease(Duration duration) : m_duration(duration)
{}

void PrimaryLease::restart(std::uint64_t generation, bool isListed, const std::set<MemberId> &replicas)
{
    m_generation = generation;
    m_isListed = isListed;
    m_termRecordReadAt = distantPast;
    m_replicaConfirmedAt.clear();
    setReplicas(replicas);
}

void PrimaryLease::setReplicas(const std::set<MemberId> &replicas)
{
    std::map<MemberId, TimePoint> kept;
    for (const MemberId &replica : replicas) {
        const auto found = m_replicaConfirmedAt.find(replica);
        kept[replica] = found == m_replicaConfirmedAt.end() ? distantPast : found->second;
    }
    m_replicaConfirmedAt = std::move(kept);
}

void PrimaryLease::termRecordRead(std::uint64_t generation, bool isListed, TimePoint startedAt)
{
    if (generation != m_generation) {
        return;
    }
    m_isListed = isListed;
    m_termRecordReadAt = std::max(m_termRecordReadAt, startedAt);
}

void PrimaryLease::replicaConfirmed(const MemberId &replica, TimePoint sentAt)
{
    const auto found = m_replicaConfirmedAt.find(replica);
    if (found != m_replicaConfirmedAt.end()) {
        found->second = std::max(found->second, sentAt);
    }
}

void PrimaryLease::replicaRevoked(const MemberId &replica)
{
    const auto found = m_replicaConfirmedAt.find(replica);
    if (found != m_replicaConfirmedAt.end()) {
        found->second = distantPast;
    }
    m_termRecordReadAt = distantPast;
}

TimePoint PrimaryLease::evidenceTime() const
{
    TimePoint allReplicas = m_replicaConfirmedAt.empty() ? distantPast : TimePoint::max();
    for (const auto &[replica, confirmedAt] : m_replicaConfirmedAt) {
        allReplicas = std::min(allReplicas, confirmedAt);
    }
    return std::max(allReplicas, m_termRecordReadAt);
}

bool PrimaryLease::covers(TimePoint answeredAt, TimePoint now) const
{
    const TimePoint since = evidenceTime();
    if (since == distantPast) {
        return false;
    }
    return m_isListed ? now < since + m_duration : since >= answeredAt;
}

} // namespace rattanbeam::decisions::session
