#include "rattanbeam/decisions/session/grouphome.h"

#include <algorithm>
#include <utility>

namespace rattanbeam::decisions::session
{

using namespace std::chrono_literals;

namespace
{

constexpr std::size_t pipelinedStatements = 1; // beyond the slots, so that no slot idles for the time of a round trip
constexpr int heldObjectiveDivisor = 5; // work is held for at most its latency objective divided by this
constexpr int stallPercent = 60; // of its latency objective, after which an unanswered read counts as stalled
constexpr int primaryStallPercent = 120; // the same for a read that only the primary can serve

/// Number of statements that may be in flight at a member in steady state.
std::size_t steadyLimit(const MemberRecord &record)
{
    return std::max(1U, record.slots) + pipelinedStatements;
}

QueueLimits queueLimits(const MemberRecord &record, std::optional<std::size_t> paceLimit = {})
{
    QueueLimits limits;
    limits.pinnedSlots = steadyLimit(record); // open transactions hold connections and locks, and are not to wait
    limits.slots = std::min(limits.pinnedSlots, paceLimit.value_or(limits.pinnedSlots));
    limits.weights[Rank::Urgent] = 30;
    limits.weights[Rank::Interactive] = 20;
    limits.weights[Rank::Batch] = 5;
    limits.longWorkThreshold = 60ms;
    limits.activityWindow = 2s;
    return limits;
}

} // namespace

void GroupHome::membersChanged(const std::vector<MemberRecord> &members, TimePoint now)
{
    std::set<MemberId> registeredIds;
    for (const MemberRecord &record : members) {
        if (record.service != m_service) {
            continue;
        }
        registeredIds.insert(record.id);
        const auto found = m_members.find(record.id);
        const bool isRestarted
            = found != m_members.end()
              && (found->second.record.incarnation != record.incarnation || found->second.record.address != record.address);
        if (isRestarted) {
            if (found->second.record.incarnation != record.incarnation) {
                runEnded(found->second, now);
            }
            removeMember(record.id, now);
        }
        auto [at, isNew] = m_members.try_emplace(record.id, queueLimits(record));
        Member &member = at->second;
        if (isNew || member.record.isLeaving != record.isLeaving || member.record.isRegisteredAsPrimary != record.isRegisteredAsPrimary
            || !member.isRegistered) {
            m_effects.report({"member-state",
                              false,
                              {{"service", m_service.text()},
                               {"member", record.id.text()},
                               {"address", record.address},
                               {"says_primary", record.isRegisteredAsPrimary ? "true" : "false"},
                               {"leaving", record.isLeaving ? "true" : "false"},
                               {"incarnation", std::to_string(record.incarnation)}}});
        }
        if (isNew || !member.isRegistered) {
            m_departedRuns.registered({record.id, record.incarnation}, now);
        }
        member.record = record;
        member.isRegistered = true;
        m_unregisteredReplicas.erase(record.id);
        if (isRestarted) {
            restartedDuringChange(record.id, now);
        }
        if (isNew && m_hasKnownMembers) {
            startPace(member, "started", now);
        }
    }
    m_hasKnownMembers = m_hasKnownMembers || !m_members.empty();
    for (auto &[id, member] : m_members) {
        if (!registeredIds.contains(id) && member.isRegistered) {
            member.isRegistered = false;
            member.unregisteredAt = now;
            m_unregisteredReplicas[id] = now;
            m_effects.report({"member-unregistered", true, {{"service", m_service.text()}, {"member", id.text()}}});
        }
    }
    m_lease.setReplicas(replicaIds());
    releaseHeld(now);
}

void GroupHome::removeMember(const MemberId &id, TimePoint now)
{
    const auto found = m_members.find(id);
    if (found == m_members.end()) {
        return;
    }
    disconnectMember(found->second, now);
    m_members.erase(id);
    if (id == m_primary && m_change.stage == ChangeStage::None) {
        suspectPrimary("gone", now);
    }
}

void GroupHome::startPace(Member &member, std::string_view cause, TimePoint now)
{
    if (m_limits.isPaceEnabled) {
        applyPace(member, member.pace.start(steadyLimit(member.record)), cause, now);
    }
}

void GroupHome::paceAnswered(Member &member, Rank rank, Duration time, TimePoint now)
{
    if (member.pace.limit()) {
        applyPace(member, member.pace.answered(m_usualAnswerTimes.ratioTo(rank, time)), "answers", now);
    } else {
        m_usualAnswerTimes.answered(rank, time);
        member.pace.answered(1);
    }
}

void GroupHome::paceFailed(Member &member, TimePoint now)
{
    if (m_limits.isPaceEnabled) {
        applyPace(member, member.pace.failed(steadyLimit(member.record)), "failures", now);
    }
}

/// Passes a changed limit to the member's queue, and reports where a limit starts and where it ends.
void GroupHome::applyPace(Member &member, MemberPace::Change change, std::string_view cause, TimePoint now)
{
    if (change == MemberPace::Change::None) {
        return;
    }
    member.queue.setLimits(queueLimits(member.record, member.pace.limit()));
    if (change == MemberPace::Change::Started) {
        member.paceStartedAt = now;
        m_effects.report({"member-limited",
                          false,
                          {{"service", m_service.text()},
                           {"member", member.record.id.text()},
                           {"cause", std::string(cause)},
                           {"limit", std::to_string(member.pace.limit().value_or(0))},
                           {"slots", std::to_string(steadyLimit(member.record))}}});
    } else if (change == MemberPace::Change::Ended) {
        m_effects.report({"member-limit-ended",
                          false,
                          {{"service", m_service.text()},
                           {"member", member.record.id.text()},
                           {"limited_ms", std::to_string(millisecondsUntil(now, member.paceStartedAt))}}});
    }
}

/// Whether another connection could be used now: while it is opened it occupies a slot of the member.
bool GroupHome::hasRoom(const Member &member)
{
    const auto limit = member.pace.limit();
    return !limit || member.queue.running() + member.connections.openingCount() < *limit;
}

std::map<MemberId, std::size_t> GroupHome::memberLimits() const
{
    std::map<MemberId, std::size_t> limits;
    for (const auto &[id, member] : m_members) {
        if (member.isRegistered) {
            limits[id] = member.pace.limit().value_or(steadyLimit(member.record));
        }
    }
    return limits;
}

bool GroupHome::isReachable(const MemberId &id) const
{
    const auto found = m_members.find(id);
    return found != m_members.end() && found->second.health == Health::Up;
}

void GroupHome::paused(Duration pause)
{
    for (auto &[id, member] : m_members) {
        member.lastHeardAt += pause;
    }
}

/// Whether the member has left: its registration has disappeared and it cannot be reached. A home without requests does not try to.
bool GroupHome::hasLapsed(const Member &member, TimePoint now) const
{
    const Duration absence = member.isRegistered ? Duration{} : now - member.unregisteredAt;
    const bool isUntried = m_limits.synchronousReplicas > 0 && member.health == Health::Unknown && member.record.id != m_primary;
    return (member.health == Health::Down && absence > m_limits.registrationGrace) || (isUntried && absence > DepartedRuns::timeout);
}

void GroupHome::tick(TimePoint now)
{
    std::vector<MemberId> lapsed;
    for (auto &[id, member] : m_members) {
        if (hasLapsed(member, now)) {
            lapsed.push_back(id);
            continue;
        }
        const bool hasUnansweredCommand
            = std::any_of(member.connections.all().begin(), member.connections.all().end(), [](const auto &entry) {
                  return entry.second.isAnswerOwed();
              });
        if (hasUnansweredCommand && now - member.lastHeardAt > silenceTimeout(member)) {
            m_effects.report({"member-silent",
                              true,
                              {{"service", m_service.text()},
                               {"member", id.text()},
                               {"silent_ms", std::to_string(millisecondsUntil(now, member.lastHeardAt))}}});
            member.health = Health::Unknown;
            setMemberSilent(member, now);
            member.nextConnectAt = now;
            openConnection(member, WorkspaceName(), now);
            if (id == m_primary && m_change.stage == ChangeStage::None) {
                askPeersEarly(member, now);
            }
        }
        if (member.health == Health::Up && (m_isFirstHome || !isQuiet() || isEvidenceMissing(now))
            && now - member.statusAskedAt >= m_limits.statusInterval) {
            askStatus(member, now);
        }
        maintainConnections(member, now);
        startQueuedWork(member, now);
    }
    for (const MemberId &id : lapsed) {
        memberDeparted(m_members.at(id), now);
        removeMember(id, now);
    }
    updateDepartedRuns(now);
    forgetUnregisteredReplicas(now);
    updateEvidenceState(now);
    endOverdueWork(now);
    retryStalledReads(now);
    refuseOverdueHeld(now);
    endIdleTransactions(now);
    advanceChange(now);
}

void GroupHome::endOverdueWork(TimePoint now)
{
    std::vector<WorkNumber> overdue;
    for (const auto &[number, work] : m_work) {
        if (now >= work.request.deadline) {
            overdue.push_back(number);
        }
    }
    for (const WorkNumber number : overdue) {
        const auto found = m_work.find(number);
        if (found == m_work.end()) {
            continue;
        }
        const Work work = found->second;
        const auto member = m_members.find(work.member);
        const bool isUnconfirmed
            = std::any_of(m_unconfirmedAnswers.begin(), m_unconfirmedAnswers.end(), [&](const UnconfirmedAnswer &unconfirmed) {
                  return unconfirmed.work == number;
              });
        if (isUnconfirmed) {
            continue;
        }
        const bool isStarted = member != m_members.end() && work.connection && member->second.connections.find(*work.connection) != nullptr
                               && member->second.connections.find(*work.connection)->work == number;
        MemberConnection *connection = isStarted ? member->second.connections.find(*work.connection) : nullptr;
        if (connection != nullptr && !connection->isOpen) {
            connection->work.reset();
            member->second.queue.abandoned(number, now);
        } else if (isStarted) {
            paceFailed(member->second, now);
            dropConnection(member->second, *work.connection, false, StatementError::InDoubt, now);
        } else if (member != m_members.end()) {
            member->second.queue.cancel(number);
        }
        if (m_work.contains(number)) {
            refuse(number, work.request.transaction.isNone() ? StatementError::Busy : StatementError::Aborted, "deadline", now);
        }
    }
}

/// Retries reads whose answers take too long, before their deadlines, at other members if these may serve them. This is safe, since a
/// read has no effect.
void GroupHome::retryStalledReads(TimePoint now)
{
    std::vector<WorkNumber> stalled;
    for (const auto &[number, work] : m_work) {
        const HomeRequest &request = work.request;
        const bool mayRepeat = work.isSent && work.connection && request.forwarded.isReadOnly && request.transaction.isNone()
                               && work.avoidedMember.isEmpty();
        const auto member = mayRepeat ? m_members.find(work.member) : m_members.end();
        if (member == m_members.end()) {
            continue;
        }
        const MemberConnection *connection = member->second.connections.find(*work.connection);
        // A read that only the primary can serve gains from a retry only if its connection is lost.
        const int percent = needsPrimary(request) ? primaryStallPercent : stallPercent;
        const Duration maxWait = (request.objectiveAt - request.arrivedAt) * percent / 100;
        if (connection != nullptr && connection->work == number && now - connection->sentAt > maxWait) {
            stalled.push_back(number);
        }
    }
    for (const WorkNumber number : stalled) {
        const auto found = m_work.find(number);
        if (found == m_work.end()) {
            continue;
        }
        found->second.avoidedMember = found->second.member;
        recordFailure(m_members.at(found->second.member), now);
        m_effects.report({"read-stalled",
                          false,
                          {{"request", found->second.request.forwarded.statement.id},
                           {"service", m_service.text()},
                           {"member", found->second.member.text()}}});
        dropConnection(m_members.at(found->second.member), *found->second.connection, false, StatementError::Busy, now);
    }
}

void GroupHome::refuseOverdueHeld(TimePoint now)
{
    std::deque<WorkNumber> kept;
    for (const WorkNumber number : std::exchange(m_held, {})) {
        const auto found = m_work.find(number);
        if (found == m_work.end()) {
            continue;
        }
        const HomeRequest &request = found->second.request;
        const Duration maxWait = (request.objectiveAt - request.arrivedAt) / heldObjectiveDivisor;
        if (now >= request.arrivedAt + maxWait) {
            refuse(number, StatementError::Busy, "no-primary", now);
        } else {
            kept.push_back(number);
        }
    }
    m_held.insert(m_held.end(), kept.begin(), kept.end());
}

void GroupHome::endIdleTransactions(TimePoint now)
{
    std::vector<TransactionKey> idle;
    for (const auto &[key, transaction] : m_transactions) {
        if (!transaction.isBusy && now - transaction.lastUsed > m_limits.transactionIdleTimeout) {
            idle.push_back(key);
        }
    }
    for (const TransactionKey &key : idle) {
        m_effects.report({"transaction-idle", false, {{"service", m_service.text()}, {"entry", key.entry}}});
        endTransaction(key, now);
    }
}

} // namespace rattanbeam::decisions::session
