#include "rattanbeam/decisions/session/grouphome.h"

#include <algorithm>
#include <utility>

/// With synchronous replicas: the members that may hold acknowledged commits (docs/design/17-acknowledged-commits.md).
namespace rattanbeam::decisions::session
{

/// Whether the member is the primary, or was the last one while there is none. A record without a primary names all possible holders, and
/// so tells whether another member has led since this home last saw a record with a primary.
bool GroupHome::isLatestPrimary(const MemberId &member) const
{
    if (!m_primary.isEmpty()) {
        return member == m_primary;
    }
    const bool isRecordedHolder
        = m_term && std::find(m_term->witnesses.begin(), m_term->witnesses.end(), member) != m_term->witnesses.end();
    return member == m_lastNamedPrimary && !isRecordedHolder;
}

/// The member is about to be removed, since its registration has disappeared and it cannot be reached.
void GroupHome::memberDeparted(const Member &member, TimePoint now)
{
    if (m_limits.synchronousReplicas == 0) {
        return;
    }
    if (member.hasEnded) {
        runEnded(member, now);
        return;
    }
    const MemberRun run{member.record.id, member.record.incarnation};
    m_departedRuns.unregistered(run, member.unregisteredAt);
    reportDeparted(run, false);
}

/// The member's present run has ended, or has lost its log.
void GroupHome::runEnded(const Member &member, TimePoint now)
{
    if (m_limits.synchronousReplicas == 0) {
        return;
    }
    const MemberRun run{member.record.id, member.record.incarnation};
    m_departedRuns.ended(run, now);
    reportDeparted(run, true);
}

void GroupHome::reportDeparted(const MemberRun &run, bool hasEnded)
{
    m_effects.report({"holder-departed",
                      false,
                      {{"service", m_service.text()},
                       {"member", run.member.text()},
                       {"incarnation", std::to_string(run.incarnation)},
                       {"ended", hasEnded ? "true" : "false"}}});
}

/// Whether the status is one of a later process than the member's last one: within a run the term never goes back, and within a term a
/// replica loses nothing that it has received.
bool GroupHome::hasLostLog(const Member &member, const ReplicationStatus &status) const
{
    return member.status && !isLatestPrimary(member.record.id)
           && (status.term < member.status->term || (status.term == member.status->term && status.received < member.status->received));
}

/// The member has started again. What its earlier run reported in this change of primary says nothing about the present one, which may have
/// neither its log nor its fence.
void GroupHome::restartedDuringChange(const MemberId &id, TimePoint now)
{
    m_change.reportedPositions.erase(id);
    m_change.heardPositions.erase(id);
    m_change.fencedSince.erase(id);
    if (m_change.stage == ChangeStage::Fencing && !m_change.isPlanned && id != m_change.oldPrimary) {
        m_change.pendingFences.insert(id);
    } else if (id != m_change.candidate) {
        return;
    } else if (m_change.stage == ChangeStage::AwaitingLeases) {
        beginFencing(now);
    } else if (m_change.stage == ChangeStage::Ordering || m_change.stage == ChangeStage::AwaitingLead) {
        abandonChange("candidate-restarted", now);
    }
}

/// Witnesses of the term record that this home has never seen may have been registered before it started.
void GroupHome::addUnknownWitnesses(TimePoint now)
{
    if (m_limits.synchronousReplicas == 0 || !m_term) {
        return;
    }
    for (const MemberId &witness : m_term->witnesses) {
        if (!m_members.contains(witness) && !m_departedRuns.contains(witness)) {
            m_departedRuns.unregistered({witness, 0}, now);
        }
    }
}

void GroupHome::updateDepartedRuns(TimePoint now)
{
    if (m_limits.synchronousReplicas == 0) {
        return;
    }
    addUnknownWitnesses(now);
    std::vector<LogPosition> received;
    for (const MemberId &replica : reachableReplicas()) {
        received.push_back(m_members.at(replica).status->received);
    }
    const auto primary = m_members.find(m_primary);
    const bool hasPrimary = m_change.stage == ChangeStage::None && primary != m_members.end() && primary->second.health != Health::Down;
    reportForgotten(m_departedRuns.update(received, m_limits.synchronousReplicas, hasPrimary, now));
    m_departedRuns.dropForgottenExcept(m_term ? m_term->witnesses : std::vector<MemberId>());
}

/// Without a primary, departed runs are awaited for a limited time: a group must not stay without one for good because the only holder of
/// acknowledged commits is gone. The old primary has them too, and is awaited as long as it is registered and has not reported.
void GroupHome::giveUpDepartedRuns(TimePoint now)
{
    const bool isOldPrimaryAwaited = std::any_of(m_members.begin(), m_members.end(), [&](const auto &entry) {
        return isLatestPrimary(entry.first) && entry.second.isRegistered && !m_change.heardPositions.contains(entry.first);
    });
    if (m_limits.synchronousReplicas == 0 || m_leaderlessSince == distantPast || isOldPrimaryAwaited) {
        return;
    }
    std::vector<DepartedRuns::Forgotten> forgotten;
    for (const MemberRun &run : m_departedRuns.awaited()) {
        if (!isLatestPrimary(run.member) && m_departedRuns.giveUp(run, m_leaderlessSince, now)) {
            forgotten.push_back({run, DepartedRuns::Cause::GivenUp});
        }
    }
    reportForgotten(forgotten);
}

void GroupHome::reportForgotten(const std::vector<DepartedRuns::Forgotten> &runs)
{
    for (const DepartedRuns::Forgotten &forgotten : runs) {
        m_effects.report({"holder-forgotten",
                          forgotten.cause == DepartedRuns::Cause::GivenUp,
                          {{"service", m_service.text()},
                           {"member", forgotten.run.member.text()},
                           {"incarnation", std::to_string(forgotten.run.incarnation)},
                           {"cause", std::string(departureCauseName(forgotten.cause))}}});
    }
}

/// The members other than the primary that may hold acknowledged commits. A member stays one after it has disappeared, since a commit may
/// be held by it alone.
std::set<MemberId> GroupHome::possibleHolders() const
{
    std::set<MemberId> holders;
    for (const auto &[id, member] : m_members) {
        holders.insert(id);
    }
    for (const MemberRun &run : m_departedRuns.awaited()) {
        holders.insert(run.member);
    }
    std::erase_if(holders, [&](const MemberId &id) {
        return id == m_change.oldPrimary || isLatestPrimary(id);
    });
    return holders;
}

/// The possible holders that have not reported in the current round of fencing. What a later run of a member reports says nothing about
/// a run of it that has departed.
std::set<MemberId> GroupHome::unheardHolders() const
{
    std::set<MemberId> holders = possibleHolders();
    std::erase_if(holders, [&](const MemberId &id) {
        return m_change.heardPositions.contains(id) && !m_departedRuns.isAwaited(id);
    });
    return holders;
}

/// Reports what the change of primary waits for, once in each round of fencing.
void GroupHome::reportUnheardHolders(TimePoint now)
{
    if (std::exchange(m_change.areHoldersReported, true)) {
        return;
    }
    std::string members;
    for (const MemberId &id : unheardHolders()) {
        members += (members.empty() ? "" : ",") + id.text();
    }
    std::string departed;
    Duration longestAbsence{};
    for (const MemberRun &run : m_departedRuns.awaited()) {
        departed += (departed.empty() ? "" : ",") + run.text();
        longestAbsence = std::max(longestAbsence, m_departedRuns.absence(run, now));
    }
    m_effects.report({"holders-awaited",
                      true,
                      {{"service", m_service.text()},
                       {"members", members},
                       {"departed", departed},
                       {"absent_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(longestAbsence).count())},
                       {"heard", std::to_string(m_change.heardPositions.size())}}});
}

} // namespace rattanbeam::decisions::session
