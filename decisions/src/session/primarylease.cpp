#include "rattanbeam/decisions/session/primarylease.h"

#include <algorithm>

namespace rattanbeam::decisions::session
{

PrimaryLease::PrimaryLease(Duration length) : m_length(length)
{}

void PrimaryLease::restart(std::uint64_t generation, bool isListed, const std::set<MemberId> &replicas)
{
    m_generation = generation;
    m_isListed = isListed;
    m_storeRead = distantPast;
    m_replicas.clear();
    setReplicas(replicas);
}

void PrimaryLease::setReplicas(const std::set<MemberId> &replicas)
{
    std::map<MemberId, TimePoint> kept;
    for (const MemberId &replica : replicas) {
        const auto found = m_replicas.find(replica);
        kept[replica] = found == m_replicas.end() ? distantPast : found->second;
    }
    m_replicas = std::move(kept);
}

void PrimaryLease::storeRead(std::uint64_t generation, bool isListed, TimePoint startedAt)
{
    if (generation != m_generation) {
        return;
    }
    m_isListed = isListed;
    m_storeRead = std::max(m_storeRead, startedAt);
}

void PrimaryLease::replicaSeen(const MemberId &replica, TimePoint sentAt)
{
    const auto found = m_replicas.find(replica);
    if (found != m_replicas.end()) {
        found->second = std::max(found->second, sentAt);
    }
}

void PrimaryLease::replicaLost(const MemberId &replica)
{
    const auto found = m_replicas.find(replica);
    if (found != m_replicas.end()) {
        found->second = distantPast;
    }
    m_storeRead = distantPast;
}

TimePoint PrimaryLease::evidence() const
{
    TimePoint allReplicas = m_replicas.empty() ? distantPast : TimePoint::max();
    for (const auto &[replica, seen] : m_replicas) {
        allReplicas = std::min(allReplicas, seen);
    }
    return std::max(allReplicas, m_storeRead);
}

bool PrimaryLease::covers(TimePoint answeredAt, TimePoint now) const
{
    const TimePoint since = evidence();
    if (since == distantPast) {
        return false;
    }
    return m_isListed ? now < since + m_length : since >= answeredAt;
}

} // namespace rattanbeam::decisions::session
