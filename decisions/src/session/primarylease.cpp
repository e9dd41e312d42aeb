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
    m_witnessConfirmedAt.clear();
    setReplicas(replicas);
}

void PrimaryLease::setWitnesses(const std::vector<MemberId> &witnesses)
{
    std::map<MemberId, TimePoint> kept;
    for (const MemberId &witness : witnesses) {
        const auto found = m_witnessConfirmedAt.find(witness);
        kept[witness] = found == m_witnessConfirmedAt.end() ? distantPast : found->second;
    }
    m_witnessConfirmedAt = std::move(kept);
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
    for (auto &[witness, confirmedAt] : m_witnessConfirmedAt) {
        confirmedAt = std::max(confirmedAt, startedAt);
    }
}

void PrimaryLease::replicaConfirmed(const MemberId &replica, const Confirmation &confirmation)
{
    const auto found = m_replicaConfirmedAt.find(replica);
    if (found != m_replicaConfirmedAt.end()) {
        found->second = std::max(found->second, confirmation.sentAt);
    }
    const auto witness = m_witnessConfirmedAt.find(replica);
    if (witness == m_witnessConfirmedAt.end()) {
        return;
    }
    // A fence lasts longer than the lease. If less time has passed from the last request to this answer, there was none in between.
    if (confirmation.answeredAt - witness->second >= m_duration) {
        witness->second = distantPast;
    } else if (confirmation.connectionOpenedAt <= m_termRecordReadAt) {
        witness->second = std::max(witness->second, confirmation.sentAt);
    }
}

void PrimaryLease::replicaRevoked(const MemberId &replica)
{
    const auto found = m_replicaConfirmedAt.find(replica);
    if (found != m_replicaConfirmedAt.end()) {
        found->second = distantPast;
    }
    m_termRecordReadAt = distantPast;
    for (auto &[witness, confirmedAt] : m_witnessConfirmedAt) {
        confirmedAt = distantPast;
    }
}

TimePoint PrimaryLease::witnessEvidenceTime() const
{
    TimePoint latest = distantPast;
    if (m_isListed && m_termRecordReadAt != distantPast) {
        for (const auto &[witness, confirmedAt] : m_witnessConfirmedAt) {
            latest = std::max(latest, std::min(confirmedAt, m_termRecordReadAt + witnessTerm));
        }
    }
    return latest;
}

TimePoint PrimaryLease::evidenceTime() const
{
    return std::max(replicaEvidenceTime(), m_termRecordReadAt);
}

TimePoint PrimaryLease::replicaEvidenceTime() const
{
    return std::max(everyReplicaEvidenceTime(), witnessEvidenceTime());
}

TimePoint PrimaryLease::everyReplicaEvidenceTime() const
{
    TimePoint allReplicas = m_replicaConfirmedAt.empty() ? distantPast : TimePoint::max();
    for (const auto &[replica, confirmedAt] : m_replicaConfirmedAt) {
        allReplicas = std::min(allReplicas, confirmedAt);
    }
    return m_memberListConfirmedAt == distantPast ? distantPast : std::min(allReplicas, m_memberListConfirmedAt + memberListTerm);
}

PrimaryLease::Evidence PrimaryLease::evidence() const
{
    const TimePoint latest = evidenceTime();
    if (latest == distantPast) {
        return Evidence::None;
    }
    if (latest == m_termRecordReadAt) {
        return Evidence::TermRecord;
    }
    return latest == witnessEvidenceTime() ? Evidence::Witness : Evidence::EveryReplica;
}

bool PrimaryLease::covers(TimePoint answeredAt, TimePoint now) const
{
    const TimePoint since = evidenceTime();
    if (since == distantPast) {
        return false;
    }
    const bool isListingKnown = !m_isListingLimited || (m_termRecordReadAt != distantPast && now < m_termRecordReadAt + witnessTerm);
    return m_isListed && isListingKnown ? now < since + m_duration : since >= answeredAt;
}

std::string_view evidenceName(PrimaryLease::Evidence evidence)
{
    switch (evidence) {
    case PrimaryLease::Evidence::None:
        return "none";
    case PrimaryLease::Evidence::TermRecord:
        return "term-record";
    case PrimaryLease::Evidence::Witness:
        return "witness";
    case PrimaryLease::Evidence::EveryReplica:
        return "every-replica";
    }
    return "unknown";
}

} // namespace rattanbeam::decisions::session
