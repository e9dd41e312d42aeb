#include "rattanbeam/decisions/session/grouphome.h"

#include <algorithm>
#include <utility>

namespace rattanbeam::decisions::session
{

using namespace std::chrono_literals;

namespace
{

constexpr Duration fenceTimeout = 500ms;
constexpr Duration leadPoll = 40ms;
constexpr Duration settleTime = 2000ms; // longest call to the platform and the promotion that it may have begun
constexpr Duration lastResortAfter = 5000ms;

} // namespace

void GroupHome::fenceReplicas(TimePoint now)
{
    for (const std::string &home : m_change.awaitedHomes) {
        m_effects.askToYield(home, m_term->generation);
    }
    m_change.awaitedFences.clear();
    m_change.fenced.clear();
    setStage(Change::Fencing, now + fenceTimeout);
    m_change.finalPosition.reset();
    awaitFences();
    advanceChange(now);
}

void GroupHome::awaitFences()
{
    for (auto &[id, member] : m_members) {
        const bool isCandidate = id != m_change.from && member.isRegistered && !member.record.isLeaving && member.health != Health::Down;
        if (isCandidate) {
            m_change.awaitedFences.insert(id);
            member.statusSentAt = longAgo;
        }
    }
}

void GroupHome::memberSeenWhileFencing(const Member &member, const ReplicationStatus &status, TimePoint now)
{
    const MemberId id = member.record.id;
    if (id == m_change.from) {
        if (!status.isPrimary) {
            m_change.finalPosition = status.received;
        }
        return;
    }
    if (status.isPrimary && status.term >= m_change.fromTerm && m_change.from.isEmpty()) {
        // It leads already: an earlier promotion was not published, or none took effect. The latest term goes first.
        m_change.fenced[id] = {status.term, UINT64_MAX};
        m_change.awaitedFences.erase(id);
        if (m_change.awaitedFences.empty()) {
            chooseCandidate(now);
        }
        return;
    }
    const bool isReady = m_change.isPlanned ? m_change.finalPosition && status.received >= *m_change.finalPosition : status.fenceTerm != 0;
    m_change.fenced[id] = status.received;
    if (m_change.isPlanned && isReady) {
        chooseCandidate(now);
        return;
    }
    if (isReady) {
        m_change.awaitedFences.erase(id);
    }
    if (m_change.awaitedFences.empty()) {
        chooseCandidate(now);
    }
}

/// A member that leads an earlier term was replaced, and its word says nothing about a new promotion.
bool GroupHome::leadsAfterChange(const ReplicationStatus &status) const
{
    if (!status.isPrimary || status.term < m_highestLedTerm) {
        return false;
    }
    // A bound that is not known says nothing, so that the leader counts as one that stayed.
    const bool isNewTerm = m_change.fromTerm != 0 && status.term > m_change.fromTerm;
    return isNewTerm || (m_change.from.isEmpty() && m_change.isSettled && isWholeGroupSeen());
}

/// Whether no member can lead a later term without this change knowing it.
bool GroupHome::isWholeGroupSeen() const
{
    return std::all_of(m_members.begin(), m_members.end(), [&](const auto &entry) {
        return !entry.second.isRegistered || m_change.fenced.contains(entry.first);
    });
}

/// One that has not heard of the latest term lacks all of its commits: it is the last resort.
std::optional<MemberId> GroupHome::mostAdvanced(TimePoint now) const
{
    const bool isLastResort = m_noCandidateSince != longAgo && now - m_noCandidateSince > lastResortAfter;
    std::optional<MemberId> best;
    LogPosition highest;
    for (const auto &[id, received] : m_change.fenced) {
        const auto member = m_members.find(id);
        const bool isUp = member != m_members.end() && member->second.health == Health::Up && !member->second.record.isLeaving;
        const bool isKnown = isUp && member->second.status;
        const bool isStaying = isKnown && member->second.status->isPrimary && !leadsAfterChange(*member->second.status);
        const bool isFit = isKnown && !isStaying && (member->second.status->term >= m_change.fromTerm || isLastResort);
        if (isFit && (!best || received > highest)) {
            best = id;
            highest = received;
        }
    }
    return best;
}

void GroupHome::chooseCandidate(TimePoint now)
{
    if (m_change.from.isEmpty() && !m_change.isSettled) {
        // An order of whoever began the change before may still take effect: all members are looked at once more after that.
        m_change.isSettled = now - m_change.startedAt >= settleTime;
        m_change.fenced.clear();
        awaitFences();
        m_change.stageUntil = now + fenceTimeout;
        return;
    }
    const auto best = mostAdvanced(now);
    if (!best) {
        m_noCandidateSince = m_noCandidateSince == longAgo ? now : m_noCandidateSince;
        abandonChange("no-candidate", now);
        return;
    }
    m_change.candidate = *best;
    const auto from = m_members.find(m_change.from);
    const LogPosition received = m_change.fenced.at(*best);
    const LogPosition last = from == m_members.end() ? LogPosition{} : from->second.applied;
    m_effects.report({"candidate-chosen",
                      last > received,
                      {{"service", m_service.text()},
                       {"candidate", best->text()},
                       {"fenced", std::to_string(m_change.fenced.size())},
                       {"lost_at_most", std::to_string(last > received ? last.position - received.position : 0)}}});
    // A lease may rest on the candidate's own word until it was fenced.
    m_change.leasesUntil = now + m_limits.leaseLength + m_limits.leaseMargin;
    setStage(Change::AwaitingLeases, m_change.leasesUntil);
    advanceChange(now);
}

void GroupHome::resumeFenced(TimePoint now)
{
    for (auto &[id, member] : m_members) {
        const bool isFenced = member.status && member.status->fenceTerm != 0 && id != m_primary;
        if (isFenced && member.health == Health::Up) {
            sendMaintenance(member, CommandKind::Resume, 0, now);
        }
    }
}

void GroupHome::advanceFencing(TimePoint now)
{
    const auto from = m_members.find(m_change.from);
    if (m_change.isPlanned && !m_change.finalPosition && from != m_members.end() && now - from->second.statusSentAt >= leadPoll
        && sendMaintenance(from->second, CommandKind::Demote, m_highestTerm + 1, now)) {
        from->second.statusSentAt = now;
    }
    for (const MemberId &id : std::set<MemberId>(m_change.awaitedFences)) {
        const auto found = m_members.find(id);
        if (found == m_members.end() || now - found->second.statusSentAt < leadPoll) {
            continue;
        }
        const CommandKind kind = m_change.isPlanned ? CommandKind::Status : CommandKind::Suspend;
        if (sendMaintenance(found->second, kind, m_highestTerm + 1, now)) {
            found->second.statusSentAt = now;
        }
    }
    if (now >= m_change.stageUntil) {
        chooseCandidate(now);
    }
}

} // namespace rattanbeam::decisions::session
