#include "rattanbeam/decisions/session/grouphome.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace rattanbeam::decisions::session
{

using namespace std::chrono_literals;

namespace
{

constexpr Duration fenceTimeout = 500ms; // for the answers of all replicas
constexpr Duration statusPollInterval = 40ms; // between commands to a member whose status a change of primary awaits
constexpr Duration fenceRepeatInterval = 500ms; // the same to a member that has not answered its fence within fenceTimeout
constexpr Duration yieldAskInterval = 500ms; // between requests to the same lease holder
constexpr Duration fenceCheckInterval = 200ms; // between checks that a fenced witness still is
constexpr Duration maxCandidateStatusAge = 400ms; // since the status request that shows that the candidate has kept its log
constexpr Duration earlierOrderTime = 2000ms; // maximum time of a call to the platform and of the promotion that it may have begun
constexpr Duration lastResortAfter = 5000ms; // without a candidate, one that lacks the latest term is accepted
// For replicas that may hold acknowledged commits. Other homes take an unfinished change over after 4.5 s, so a longer wait gains nothing.
constexpr Duration acknowledgedCommitsTimeout = 4000ms;
// Part of the 4.5 s before a home takes up an unfinished change again that is left out while replicas' answers are awaited.
constexpr Duration earlyRetryTime = 4000ms;
constexpr Duration awaitedSilenceTimeout = 2500ms; // a slow replica whose position decides the change is not given up before this

} // namespace

void GroupHome::askHoldersToYield(TimePoint now)
{
    m_change.yieldAskedAt = now;
    for (const std::string &home : m_change.leaseHolders) {
        m_effects.askToYield(home, m_term->generation);
    }
}

void GroupHome::beginFencing(TimePoint now)
{
    askHoldersToYield(now);
    m_change.pendingFences.clear();
    m_change.reportedPositions.clear();
    m_change.heardPositions.clear();
    m_change.fencingSince = now;
    m_change.isFencedAfterLeases = m_change.leaseHolders.empty() || m_change.leasesEndedAt != distantPast;
    m_change.areHoldersReported = false;
    addUnknownWitnesses(now);
    setStage(ChangeStage::Fencing, now + fenceTimeout);
    m_change.finalPosition.reset();
    addPendingFences();
    advanceChange(now);
}

void GroupHome::addPendingFences()
{
    for (auto &[id, member] : m_members) {
        const bool isCandidate
            = id != m_change.oldPrimary && member.isRegistered && !member.record.isLeaving && member.health != Health::Down;
        if (isCandidate) {
            m_change.pendingFences.insert(id);
            member.statusAskedAt = distantPast;
        }
    }
}

/// Fences the reachable members that have not reported since the round of fencing began, also those that are leaving or not registered:
/// they may hold acknowledged commits.
void GroupHome::addUnheardFences()
{
    for (auto &[id, member] : m_members) {
        const bool isAwaited = id != m_change.oldPrimary && member.health == Health::Up && !m_change.heardPositions.contains(id);
        if (isAwaited && m_change.pendingFences.insert(id).second) {
            member.statusAskedAt = distantPast;
        }
    }
}

/// Whether a member that has received up to `position` certainly holds each acknowledged commit. Every acknowledged commit is held by at
/// least `synchronousReplicas` of the possible holders, so that one of them has reported it if fewer than that have not reported.
bool GroupHome::coversAcknowledgedCommits(const LogPosition &position) const
{
    if (m_limits.synchronousReplicas == 0 || (m_change.finalPosition && position >= *m_change.finalPosition)) {
        return true;
    }
    if (m_change.isPlanned) {
        return false; // the replicas are not fenced, and the primary may go on until it has been demoted
    }
    const bool isHighest = std::all_of(m_change.heardPositions.begin(), m_change.heardPositions.end(), [&](const auto &heard) {
        return position >= heard.second;
    });
    return !m_change.heardPositions.empty() && unheardHolders().size() < m_limits.synchronousReplicas && isHighest;
}

/// How long the member may owe an answer before it counts as silent.
Duration GroupHome::silenceTimeout(const Member &member) const
{
    const bool isAwaited = m_change.stage >= ChangeStage::Fencing && m_limits.synchronousReplicas > 0;
    return isAwaited && member.record.id != m_change.oldPrimary ? std::max(m_limits.silenceTimeout, awaitedSilenceTimeout)
                                                                : m_limits.silenceTimeout;
}

/// The old primary has answered during the fencing. If it is a replica now, its log is final.
void GroupHome::oldPrimaryAnswered(const Member &member, const ReplicationStatus &status, TimePoint now)
{
    if (status.isPrimary) {
        return;
    }
    const bool isSynchronous = m_limits.synchronousReplicas > 0;
    // A member that has lost its log reports less than it led, and shows nothing about the commits.
    const bool isWholeLog = status.term >= m_change.oldPrimaryTerm && m_change.oldPrimaryTerm != 0 && status.received >= m_primaryPosition;
    if (isSynchronous && !isWholeLog) {
        return;
    }
    m_change.finalPosition = status.received;
    if (isSynchronous && !m_change.isPlanned) {
        m_change.reportedPositions[member.record.id] = status.received;
        if (m_change.pendingFences.empty()) {
            chooseCandidate(now);
        }
    }
}

void GroupHome::statusAnsweredWhileFencing(const Member &member, const ReplicationStatus &status, TimePoint sentAt, TimePoint now)
{
    const MemberId id = member.record.id;
    if (id == m_change.oldPrimary) {
        oldPrimaryAnswered(member, status, now);
        return;
    }
    if (m_limits.synchronousReplicas > 0 && sentAt < m_change.fencingSince) {
        return; // may be older than a commit that was acknowledged before this round of fencing
    }
    if (status.isPrimary && status.term >= m_change.oldPrimaryTerm && m_change.oldPrimary.isEmpty()) {
        // It already leads: an earlier promotion was not recorded, or none took effect. The leader of the latest term is
        // preferred to all replicas.
        m_change.reportedPositions[id] = {status.term, UINT64_MAX};
        m_change.heardPositions[id] = {status.term, UINT64_MAX};
        if (m_change.oldPrimaryTerm != 0 || isLatestPrimary(id)) {
            // It is the old primary, or was chosen by an earlier change: it holds each acknowledged commit.
            m_change.finalPosition = std::max(m_change.finalPosition.value_or(LogPosition{}), LogPosition{status.term, UINT64_MAX});
        }
        m_change.pendingFences.erase(id);
        if (m_change.pendingFences.empty()) {
            chooseCandidate(now);
        }
        return;
    }
    if (m_limits.synchronousReplicas > 0 && !m_change.isPlanned && status.fenceTerm == 0) {
        return;
    }
    m_change.heardPositions[id] = status.received;
    const bool isReady = m_change.isPlanned ? m_change.finalPosition && status.received >= *m_change.finalPosition : status.fenceTerm != 0;
    m_change.reportedPositions[id] = status.received;
    if (m_change.isPlanned && isReady) {
        chooseCandidate(now);
        return;
    }
    if (isReady) {
        m_change.pendingFences.erase(id);
    }
    if (m_change.pendingFences.empty()) {
        chooseCandidate(now);
    }
}

/// Whether the member leads as a result of this change. A member that leads an earlier term was replaced, and its status is
/// no evidence of a new promotion.
bool GroupHome::isNewLeader(const ReplicationStatus &status) const
{
    if (!status.isPrimary || status.term < m_highestLedTerm) {
        return false;
    }
    // If the old term is unknown, any term would be later, so the leader counts as one that was never replaced.
    const bool isNewTerm = m_change.oldPrimaryTerm != 0 && status.term > m_change.oldPrimaryTerm;
    return isNewTerm || (m_change.oldPrimary.isEmpty() && m_change.haveEarlierOrdersExpired && hasWholeGroupReported());
}

/// Whether all members have reported that may have been promoted, so that none can lead a later term unnoticed.
bool GroupHome::hasWholeGroupReported() const
{
    const std::set<MemberId> members = replicaIds();
    return std::all_of(members.begin(), members.end(), [&](const MemberId &id) {
        return m_change.reportedPositions.contains(id);
    });
}

/// The fit candidate with the highest position. A member that does not know the latest term lacks all of its commits, and is
/// chosen only as a last resort.
std::optional<MemberId> GroupHome::mostAdvancedCandidate(TimePoint now) const
{
    const bool isLastResort = m_noCandidateSince != distantPast && now - m_noCandidateSince > lastResortAfter;
    const bool isSynchronous = m_limits.synchronousReplicas > 0;
    std::optional<MemberId> best;
    // Among equals, members that stay in the group are preferred, and then those that homes have known for longest.
    std::tuple<LogPosition, bool, Duration> highest;
    for (const auto &[id, received] : m_change.reportedPositions) {
        const auto member = m_members.find(id);
        const bool isLeaving = member != m_members.end() && member->second.record.isLeaving;
        // A member that leaves is accepted if it alone holds the latest acknowledged commits.
        const bool isUp = member != m_members.end() && member->second.health == Health::Up && (!isLeaving || isSynchronous);
        const bool isKnown = isUp && member->second.status;
        const bool isOldLeader = isKnown && member->second.status->isPrimary && !isNewLeader(*member->second.status);
        const bool isFit = isKnown && !isOldLeader && (member->second.status->term >= m_change.oldPrimaryTerm || isLastResort);
        const Duration listedFor = isUp ? now - listedSince(member->second, now) : Duration{};
        const std::tuple merit{received, !isLeaving && id != m_change.oldPrimary, listedFor};
        if (isFit && (!best || merit > highest)) {
            best = id;
            highest = merit;
        }
    }
    return best;
}

void GroupHome::chooseCandidate(TimePoint now)
{
    if (m_change.oldPrimary.isEmpty() && !m_change.haveEarlierOrdersExpired) {
        // A promotion ordered by an earlier change may still take effect: asks all members again after that.
        m_change.haveEarlierOrdersExpired = now - m_change.startedAt >= earlierOrderTime;
        m_change.reportedPositions.clear();
        m_change.heardPositions.clear();
        m_change.fencingSince = now;
        addPendingFences();
        m_change.stageDeadline = now + fenceTimeout;
        return;
    }
    const auto best = mostAdvancedCandidate(now);
    giveUpDepartedRuns(now);
    const bool isSynchronous = m_limits.synchronousReplicas > 0;
    if (isSynchronous && (!best || !coversAcknowledgedCommits(m_change.reportedPositions.at(*best)))) {
        awaitAcknowledgedCommits(best.has_value(), now);
        return;
    }
    if (!best) {
        m_noCandidateSince = m_noCandidateSince == distantPast ? now : m_noCandidateSince;
        abandonChange("no-candidate", now);
        return;
    }
    const bool isSameCandidate = *best == m_change.candidate;
    m_change.candidate = *best;
    const LogPosition received = m_change.reportedPositions.at(*best);
    const LogPosition oldPrimaryPosition = m_change.oldPrimary.isEmpty() ? LogPosition{} : m_primaryPosition;
    m_effects.report(
        {"candidate-chosen",
         oldPrimaryPosition > received,
         {{"service", m_service.text()},
          {"candidate", best->text()},
          {"fenced", std::to_string(m_change.reportedPositions.size())},
          {"lost_at_most", std::to_string(oldPrimaryPosition > received ? oldPrimaryPosition.position - received.position : 0)}}});
    if (!isSynchronous || !isSameCandidate || m_change.leasesEndedAt == distantPast) {
        // Another home's lease may be based on the candidate's answers up to its fence.
        m_change.leasesExpireAt = now + m_limits.leaseDuration + m_limits.leaseMargin;
        m_change.leasesEndedAt = distantPast;
    }
    setStage(ChangeStage::AwaitingLeases, m_change.leasesExpireAt);
    advanceChange(now);
}

/// No member that can be promoted is known to hold each acknowledged commit: waits for further answers. The service has no primary
/// meanwhile, since a promotion now could lose commits.
void GroupHome::awaitAcknowledgedCommits(bool hasCandidate, TimePoint now)
{
    if (m_change.stage == ChangeStage::Fencing && m_change.isPlanned && !m_change.finalPosition) {
        m_change.isPlanned = false; // the primary does not confirm that it was demoted
        beginFencing(now);
        return;
    }
    if (m_change.stage == ChangeStage::Fencing && now < m_change.fencingSince + acknowledgedCommitsTimeout) {
        m_change.stageDeadline = now + statusPollInterval;
        addUnheardFences();
        reportUnheardHolders(now);
        return;
    }
    if (!hasCandidate && m_noCandidateSince == distantPast) {
        m_noCandidateSince = now;
    }
    abandonChange("acknowledged-commits-not-covered", now);
    m_change.startedAt = now - earlyRetryTime;
}

/// Records whether a witness can still be evidence for a lease holder: one that is fenced or leads cannot.
void GroupHome::updateFencedWitnesses(const MemberId &id, const ReplicationStatus &status, TimePoint now)
{
    if (status.fenceTerm != 0 || status.isPrimary) {
        m_change.fencedSince.try_emplace(id, now);
    } else {
        m_change.fencedSince.erase(id);
    }
}

/// Fences the witnesses that are not fenced yet, and checks again that the others still are.
void GroupHome::fenceWitnesses(TimePoint now)
{
    for (const MemberId &id : m_change.witnesses) {
        const auto found = m_members.find(id);
        if (found == m_members.end() || id == m_change.oldPrimary) {
            continue;
        }
        Member &member = found->second;
        const bool isFenced = m_change.fencedSince.contains(id);
        const Duration interval = isFenced ? fenceCheckInterval : statusPollInterval;
        const CommandKind kind = isFenced ? CommandKind::Status : CommandKind::Suspend;
        if (now - member.statusAskedAt >= interval && sendMaintenance(member, kind, m_highestTerm + 1, now)) {
            member.statusAskedAt = now;
        }
    }
}

/// From then on, no home relies on a list of members that was complete before the member joined.
TimePoint GroupHome::knownToAllHomesAt(const Member &member) const
{
    return member.record.knownSince + PrimaryLease::memberListTerm + m_limits.leaseDuration + m_limits.leaseMargin;
}

/// A list of members that another home relies on and that was complete at this time or later holds the member; distantPast if every such
/// list does.
TimePoint GroupHome::listedSince(const Member &member, TimePoint now) const
{
    return now >= knownToAllHomesAt(member) ? distantPast : member.record.knownSince;
}

/// The replicas other than the candidate that a home may ask for their word, each with the time since when it is listed.
std::map<MemberId, TimePoint> GroupHome::otherReplicas(TimePoint now) const
{
    std::map<MemberId, TimePoint> others;
    for (const auto &[id, unregisteredAt] : m_unregisteredReplicas) {
        others[id] = distantPast;
    }
    for (const auto &[id, member] : m_members) {
        others[id] = listedSince(member, now);
    }
    for (const MemberId &id : {m_change.candidate, m_change.oldPrimary, m_lastNamedPrimary}) {
        others.erase(id);
    }
    return others;
}

/// Whether a home that is cut off may know other replicas but not the candidate, and so pass on answers of the old primary by their word.
/// The old primary's own word that it is a replica rules that out.
bool GroupHome::isGuardNeeded(TimePoint now) const
{
    const auto candidate = m_members.find(m_change.candidate);
    if (candidate == m_members.end() || m_change.finalPosition || now >= knownToAllHomesAt(candidate->second)
        || (candidate->second.status && candidate->second.status->isPrimary)) {
        return false;
    }
    const auto others = otherReplicas(now);
    return std::any_of(others.begin(), others.end(), [&](const auto &other) {
        return other.second <= candidate->second.record.knownSince;
    });
}

/// The fenced replica that is listed for longest. No home that knows it has the word of every replica for the old primary. Answers of
/// listed homes stay covered for the duration of the lease after the fence.
std::optional<MemberId> GroupHome::guardingReplica(TimePoint now) const
{
    const Duration minFenceTime = m_change.leaseHolders.empty() ? Duration{} : m_limits.leaseDuration + m_limits.leaseMargin;
    std::optional<MemberId> guard;
    TimePoint guardListedSince = TimePoint::max();
    for (const auto &[id, since] : otherReplicas(now)) {
        const auto member = m_members.find(id);
        const auto fenced = m_change.fencedSince.find(id);
        const bool isFenced = member != m_members.end() && fenced != m_change.fencedSince.end() && now - fenced->second >= minFenceTime
                              && member->second.status && member->second.status->fenceTerm != 0;
        if (isFenced && since < guardListedSince) {
            guard = id;
            guardListedSince = since;
        }
    }
    return guard;
}

/// Whether each list that holds other replicas but not the candidate holds the guarding one.
bool GroupHome::isGuarded(TimePoint now) const
{
    const auto guard = guardingReplica(now);
    const TimePoint guardListedSince = guard ? listedSince(m_members.at(*guard), now) : TimePoint::max();
    const TimePoint candidateListedSince = listedSince(m_members.at(m_change.candidate), now);
    const auto others = otherReplicas(now);
    return std::none_of(others.begin(), others.end(), [&](const auto &other) {
        return other.second <= candidateListedSince && other.second < guardListedSince;
    });
}

/// Whether the member is to stay fenced although the change of primary is over.
bool GroupHome::isFenceHeld(const MemberId &id, TimePoint now) const
{
    return id == m_heldFence.member && now < m_heldFence.until;
}

/// Whether no other home can still pass on answers of the old primary.
bool GroupHome::haveLeasesEnded(TimePoint now) const
{
    if (isGuardNeeded(now) && !isGuarded(now)) {
        return false;
    }
    const Duration leaseTime = m_limits.leaseDuration + m_limits.leaseMargin;
    const bool areAllListed = !mayHaveUnlistedHolders(now);
    if (m_change.leaseHolders.empty() && areAllListed) {
        return true;
    }
    if (now < m_change.leasesExpireAt) {
        return false;
    }
    const bool areWitnessesFenced = std::all_of(m_change.witnesses.begin(), m_change.witnesses.end(), [&](const MemberId &id) {
        const auto fenced = m_change.fencedSince.find(id);
        return id == m_change.oldPrimary || (fenced != m_change.fencedSince.end() && now - fenced->second >= leaseTime);
    });
    return areWitnessesFenced || (areAllListed && now - m_leaderlessSince >= PrimaryLease::witnessTerm + leaseTime);
}

void GroupHome::advanceLeaseWait(TimePoint now)
{
    if (!haveLeasesEnded(now)) {
        fenceWitnesses(now);
        if (now - m_change.yieldAskedAt >= yieldAskInterval) {
            askHoldersToYield(now);
        }
        return;
    }
    m_change.leasesEndedAt = m_change.leasesEndedAt == distantPast ? now : m_change.leasesEndedAt;
    if (m_limits.synchronousReplicas > 0 && !m_change.isFencedAfterLeases) {
        // A replica that restarted has lost its fence, and commits that it received since may have been acknowledged by a lease holder.
        beginFencing(now);
        return;
    }
    orderIfCandidateUnchanged(now);
}

/// The wait for leases may have lasted for seconds, and the process may have been paused: the candidate is asked again before the order.
void GroupHome::orderIfCandidateUnchanged(TimePoint now)
{
    const auto candidate = m_members.find(m_change.candidate);
    if (candidate == m_members.end() || now >= m_change.leasesEndedAt + m_limits.promotionTimeout) {
        abandonChange("candidate-silent", now);
    } else if (now - candidate->second.statusSentAt > maxCandidateStatusAge) {
        if (now - candidate->second.statusAskedAt >= statusPollInterval) {
            askStatus(candidate->second, now);
        }
    } else if (!isCandidateUnchanged(*candidate->second.status)) {
        beginFencing(now);
    } else {
        orderPromotionIfNewest(now);
    }
}

/// Whether the candidate still has the log that it was chosen for. A restart, which may lose the log, also ends the fence.
bool GroupHome::isCandidateUnchanged(const ReplicationStatus &status) const
{
    const auto reported = m_change.reportedPositions.find(m_change.candidate);
    const bool isFenced = m_change.isPlanned || status.fenceTerm != 0;
    return status.isPrimary || (isFenced && reported != m_change.reportedPositions.end() && status.received >= reported->second);
}

void GroupHome::resumeFencedMembers(TimePoint now)
{
    for (auto &[id, member] : m_members) {
        const bool isFenced = member.status && member.status->fenceTerm != 0 && id != m_primary && !isFenceHeld(id, now);
        if (isFenced && member.health == Health::Up) {
            sendMaintenance(member, CommandKind::Resume, 0, now);
        }
    }
}

void GroupHome::advanceFencing(TimePoint now)
{
    const auto oldPrimary = m_members.find(m_change.oldPrimary);
    if (m_change.isPlanned && !m_change.finalPosition && oldPrimary != m_members.end()
        && now - oldPrimary->second.statusAskedAt >= statusPollInterval
        && sendMaintenance(oldPrimary->second, CommandKind::Demote, m_highestTerm + 1, now)) {
        oldPrimary->second.statusAskedAt = now;
    }
    // A member that is slow to answer is not given a slot's work with each further command.
    const bool isWaitLong = !m_change.isPlanned && now - m_change.fencingSince > fenceTimeout;
    const Duration interval = isWaitLong ? fenceRepeatInterval : statusPollInterval;
    for (const MemberId &id : std::set<MemberId>(m_change.pendingFences)) {
        const auto found = m_members.find(id);
        if (found == m_members.end() || now - found->second.statusAskedAt < interval) {
            continue;
        }
        const CommandKind kind = m_change.isPlanned ? CommandKind::Status : CommandKind::Suspend;
        if (sendMaintenance(found->second, kind, m_highestTerm + 1, now)) {
            found->second.statusAskedAt = now;
        }
    }
    if (now >= m_change.stageDeadline) {
        chooseCandidate(now);
    }
}

} // namespace rattanbeam::decisions::session
