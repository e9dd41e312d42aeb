#include "rattanbeam/decisions/session/grouphome.h"

#include <algorithm>
#include <utility>

namespace rattanbeam::decisions::session
{

using namespace std::chrono_literals;

namespace
{

constexpr Duration leastBackoff = 100ms;
constexpr Duration mostBackoff = 1000ms;
constexpr Duration capMemory = 1500ms; // a member that accepted no more connections is tried again after this
constexpr std::size_t warmConnections = 3;
constexpr Duration distrustTime = 250ms;
constexpr int heldShare = 5; // of the objective that work may wait for a primary
constexpr int stallPercent = 60; // of the objective, until a read counts as stalled
constexpr std::size_t statementsAhead = 1; // hides the way to the member from its slots
constexpr std::size_t substituteConnections = 3;
constexpr Duration substituteProbation = 400ms; // the first home may only have been slow to answer

std::string positionText(const LogPosition &position)
{
    return std::to_string(position.term) + '.' + std::to_string(position.position);
}

QueueLimits queueLimits(const MemberRecord &record)
{
    QueueLimits limits;
    limits.slots = std::max(1U, record.slots) + statementsAhead;
    limits.weights[Rank::Urgent] = 30;
    limits.weights[Rank::Interactive] = 20;
    limits.weights[Rank::Batch] = 5;
    limits.longWork = 60ms;
    limits.activeFor = 2s;
    return limits;
}

} // namespace

void GroupHome::membersChanged(const std::vector<MemberRecord> &members, TimePoint now)
{
    std::set<MemberId> listed;
    for (const MemberRecord &record : members) {
        if (record.service != m_service) {
            continue;
        }
        listed.insert(record.id);
        const auto found = m_members.find(record.id);
        const bool isReborn = found != m_members.end()
                              && (found->second.record.incarnation != record.incarnation || found->second.record.address != record.address);
        if (isReborn) {
            removeMember(record.id, now);
        }
        auto [at, isNew] = m_members.try_emplace(record.id, queueLimits(record));
        Member &member = at->second;
        if (isNew || member.record.isLeaving != record.isLeaving || member.record.saysPrimary != record.saysPrimary
            || !member.isRegistered) {
            m_effects.report({"member-state",
                              false,
                              {{"service", m_service.text()},
                               {"member", record.id.text()},
                               {"address", record.address},
                               {"says_primary", record.saysPrimary ? "true" : "false"},
                               {"leaving", record.isLeaving ? "true" : "false"},
                               {"incarnation", std::to_string(record.incarnation)}}});
        }
        member.record = record;
        member.isRegistered = true;
    }
    for (auto &[id, member] : m_members) {
        if (!listed.contains(id) && member.isRegistered) {
            member.isRegistered = false;
            member.unregisteredAt = now;
            m_effects.report({"member-unregistered", true, {{"service", m_service.text()}, {"member", id.text()}}});
        }
    }
    m_lease.setReplicas(replicaIds());
    releaseHeld(now);
}

GroupHome::Member *GroupHome::memberOf(ConnectionNumber connection)
{
    const auto owner = m_connectionOwners.find(connection);
    if (owner == m_connectionOwners.end()) {
        return nullptr;
    }
    const auto member = m_members.find(owner->second);
    return member == m_members.end() ? nullptr : &member->second;
}

MemberConnection *GroupHome::connectionOf(ConnectionNumber number, Member **member)
{
    *member = memberOf(number);
    return *member == nullptr ? nullptr : (*member)->connections.find(number);
}

std::size_t GroupHome::connectionLimit(const Member &member, TimePoint now) const
{
    std::size_t limit = m_limits.maxConnections - std::min(m_limits.reservedConnections, m_limits.maxConnections - 1);
    if (!m_isFirst && now - m_substituteSince < substituteProbation) {
        limit = std::min(limit, substituteConnections);
    }
    return now < member.cappedUntil ? std::min(limit, member.connectionCap) : limit;
}

void GroupHome::openConnection(Member &member, TimePoint now)
{
    const ConnectionNumber number = ++m_lastConnection;
    member.connections.add(number, now);
    m_connectionOwners[number] = member.record.id;
    m_effects.openConnection(number, member.record);
}

void GroupHome::connectionOpened(ConnectionNumber number, TimePoint now)
{
    Member *member = nullptr;
    MemberConnection *connection = connectionOf(number, &member);
    if (connection == nullptr) {
        m_effects.closeConnection(number);
        return;
    }
    connection->isOpen = true;
    connection->idleSince = now;
    member->heardAt = now;
    member->backoff = {};
    if (member->health != Health::Up) {
        member->health = Health::Up;
        m_effects.report({"member-reached", false, {{"service", m_service.text()}, {"member", member->record.id.text()}}});
        member->statusSentAt = longAgo;
    }
    member->peerVerdict.reset();
    pump(*member, now);
    if (member->health == Health::Up && now - member->statusSentAt >= m_limits.statusInterval) {
        askStatus(*member, now);
    }
    releaseHeld(now);
}

void GroupHome::connectionFailed(ConnectionNumber number, ConnectFailure failure, TimePoint now)
{
    Member *member = nullptr;
    MemberConnection *connection = connectionOf(number, &member);
    if (connection == nullptr) {
        return;
    }
    const bool wasOpen = connection->isOpen;
    dropConnection(*member, number, true, StatementError::InDoubt, now);
    if (failure == ConnectFailure::Overloaded) {
        // Other homes hold the rest of the member's cap.
        member->connectionCap = std::max<std::size_t>(1, member->connections.total());
        member->cappedUntil = now + capMemory;
        member->nextConnectAt = now + 300ms;
        return;
    }
    if (wasOpen && failure == ConnectFailure::Lost) {
        if (member->connections.total() == 0) {
            member->nextConnectAt = now;
            openConnection(*member, now);
        }
        return;
    }
    member->backoff = std::clamp<Duration>(member->backoff * 2, leastBackoff, mostBackoff);
    member->nextConnectAt = now + member->backoff;
    const bool isProof = failure != ConnectFailure::TimedOut || now - member->heardAt > m_limits.silence;
    if (isProof && member->health != Health::Down) {
        member->health = Health::Down;
        m_effects.report({"member-down",
                          true,
                          {{"service", m_service.text()},
                           {"member", member->record.id.text()},
                           {"cause", std::string(connectFailureName(failure))},
                           {"silent_ms", std::to_string(millisecondsUntil(now, member->heardAt))}}});
        memberSilent(*member, now);
        if (member->record.id == m_primary) {
            suspectPrimary(connectFailureName(failure), now);
        }
    }
}

/// All that the member owes is given up at once.
void GroupHome::memberSilent(Member &member, TimePoint now)
{
    std::vector<ConnectionNumber> numbers;
    for (const auto &[number, connection] : member.connections.all()) {
        numbers.push_back(number);
    }
    for (const ConnectionNumber number : numbers) {
        dropConnection(member, number, false, StatementError::InDoubt, now);
    }
    member.isStatusAsked = false;
    // What waits in its queue goes elsewhere.
    std::vector<WorkNumber> waiting;
    for (const auto &[number, work] : m_work) {
        if (work.member == member.record.id && !work.isSent && member.queue.cancel(number)) {
            waiting.push_back(number);
        }
    }
    for (const WorkNumber number : waiting) {
        if (m_work.contains(number)) {
            retry(number, StatementError::Busy, "member-down", now);
        }
    }
}

void GroupHome::dropConnection(Member &member, ConnectionNumber number, bool isClosed, StatementError reason, TimePoint now)
{
    MemberConnection *connection = member.connections.find(number);
    if (connection == nullptr) {
        return;
    }
    const MemberConnection dropped = *connection;
    member.connections.remove(number);
    m_connectionOwners.erase(number);
    if (!isClosed) {
        m_effects.closeConnection(number);
    }
    const bool hadStatus = std::any_of(dropped.commands.begin(), dropped.commands.end(), [](const MemberCommand &command) {
        return command.kind == CommandKind::Status;
    });
    if (hadStatus) {
        member.isStatusAsked = false;
    }
    if (dropped.pinnedBy) {
        const auto found = m_transactions.find(*dropped.pinnedBy);
        if (found != m_transactions.end() && found->second.connection == number) {
            m_transactions.erase(found);
        }
    }
    if (dropped.work && m_work.contains(*dropped.work)) {
        member.queue.abandoned(*dropped.work, now);
        workLost(*dropped.work, reason, now);
    }
}

/// The connection that carried the work is gone.
void GroupHome::workLost(WorkNumber number, StatementError reason, TimePoint now)
{
    Work &work = m_work.at(number);
    const HomeRequest &request = work.request;
    const bool isCommit = request.forwarded.statement.kind == StatementKind::Commit;
    const bool isInTransaction = !request.transaction.isNone();
    if (!work.isSent) {
        retry(number, StatementError::Busy, "connection-lost-unsent", now);
        return;
    }
    if (isInTransaction && !isCommit) {
        if (request.forwarded.opensTransaction) {
            retry(number, StatementError::Aborted, "connection-lost", now);
        } else {
            refuse(number, StatementError::Aborted, "connection-lost", now);
        }
        return;
    }
    if (request.forwarded.isReadOnly) {
        if (isCommit) {
            refuse(number, StatementError::Aborted, "connection-lost", now);
        } else {
            retry(number, StatementError::Busy, "connection-lost", now);
        }
        return;
    }
    refuse(number, reason, "answer-lost", now);
}

void GroupHome::sendNext(Member &member, MemberConnection &connection, TimePoint now)
{
    if (connection.commands.empty() || connection.isAnswerOwed) {
        return;
    }
    connection.isAnswerOwed = true;
    const MemberCommand &command = connection.commands.front();
    connection.sentAt = now;
    if (connection.work && connection.commands.size() == 1 && m_work.contains(*connection.work)) {
        m_work.at(*connection.work).isSent = true;
    }
    if (member.heardAt < now && connection.commands.size() == 1) {
        // Silence is counted from the first request that is owed an answer.
        const bool isOwedElsewhere = std::any_of(member.connections.all().begin(), member.connections.all().end(), [&](const auto &entry) {
            return entry.first != connection.number && !entry.second.commands.empty();
        });
        member.heardAt = isOwedElsewhere ? member.heardAt : now;
    }
    m_effects.sendCommand(connection.number, command);
}

void GroupHome::applyPreparation(MemberConnection &connection, const MemberCommand &command)
{
    if (command.kind == CommandKind::Reset) {
        connection.values.clear();
        connection.prepared.clear();
    } else if (command.statement.kind == StatementKind::SetValue) {
        connection.values[command.statement.name] = command.statement.arguments;
    } else if (command.statement.kind == StatementKind::Prepare) {
        connection.prepared.insert(command.statement.name);
    }
}

void GroupHome::answered(ConnectionNumber number, const Answer &answer, const std::optional<ReplicationStatus> &status, TimePoint now)
{
    Member *member = nullptr;
    MemberConnection *connection = connectionOf(number, &member);
    if (connection == nullptr || connection->commands.empty()) {
        return;
    }
    member->heardAt = now;
    const MemberCommand command = connection->commands.front();
    const TimePoint sentAt = connection->sentAt;
    connection->commands.pop_front();
    connection->isAnswerOwed = false;
    if (answer.position) {
        member->applied = std::max(member->applied, *answer.position);
        if (member->record.id == m_primary) {
            samplePrimary(*answer.position, sentAt, now);
        }
    }
    const bool isMaintenance = command.kind != CommandKind::Statement && command.kind != CommandKind::Reset;
    if (isMaintenance) {
        maintenanceAnswered(*member, *connection, command, status, now);
        return;
    }
    if (connection->work && connection->commands.empty()) {
        const WorkNumber work = *connection->work;
        connection->work.reset();
        member->queue.finished(work, now);
        statementAnswered(*member, *connection, work, answer, now);
        return;
    }
    if (!answer.isSuccess()) {
        const auto work = connection->work;
        if (work && m_work.contains(*work)) {
            connection->work.reset();
            connection->commands.clear();
            member->queue.finished(*work, now);
            statementFailed(*member, *connection, *work, answer, now);
        } else {
            dropConnection(*member, number, false, StatementError::InDoubt, now);
        }
        return;
    }
    applyPreparation(*connection, command);
    if (!connection->commands.empty()) {
        sendNext(*member, *connection, now);
        return;
    }
    connection->idleSince = now;
    pump(*member, now);
}

/// The connection is free again before the answer is acted on, since that may give it new work.
void GroupHome::maintenanceAnswered(Member &member,
                                    MemberConnection &connection,
                                    const MemberCommand &command,
                                    const std::optional<ReplicationStatus> &status,
                                    TimePoint now)
{
    const MemberId id = member.record.id;
    const TimePoint sentAt = connection.sentAt;
    connection.idleSince = now;
    if (command.kind == CommandKind::Status) {
        member.isStatusAsked = false;
    }
    if (status) {
        statusAnswered(member, *status, sentAt, now);
    } else if (command.kind != CommandKind::Status) {
        askStatus(member, now);
    }
    const auto still = m_members.find(id);
    if (still != m_members.end()) {
        pump(still->second, now);
    }
}

void GroupHome::statementAnswered(Member &member, MemberConnection &connection, WorkNumber number, const Answer &answer, TimePoint now)
{
    const auto found = m_work.find(number);
    if (found == m_work.end()) {
        dropConnection(member, connection.number, false, StatementError::InDoubt, now);
        pump(member, now);
        return;
    }
    if (!answer.isSuccess()) {
        statementFailed(member, connection, number, answer, now);
        return;
    }
    const Work work = found->second;
    const TimePoint sentAt = connection.sentAt;
    settle(member, connection, work, answer, now);
    HomeReply reply;
    reply.answer = answer;
    reply.isOpen = !work.request.transaction.isNone() && work.request.forwarded.statement.kind != StatementKind::Commit;
    if (work.generation != 0) {
        const bool mayHaveWritten = work.request.transaction.isNone() ? !work.request.forwarded.isReadOnly
                                                                      : work.request.forwarded.statement.kind == StatementKind::Commit;
        deliverFromPrimary(number, reply, mayHaveWritten, sentAt, now);
    } else {
        finish(number, reply, now);
    }
    pump(member, now);
}

/// What becomes of the connection after a success.
void GroupHome::settle(Member &member, MemberConnection &connection, const Work &work, const Answer &answer, TimePoint now)
{
    const bool isCommit = work.request.forwarded.statement.kind == StatementKind::Commit;
    connection.idleSince = now;
    if (work.request.transaction.isNone() || isCommit) {
        connection.pinnedBy.reset();
        if (isCommit) {
            m_transactions.erase(work.request.transaction);
        }
        if (answer.phase != SessionPhase::Idle) {
            dropConnection(member, connection.number, false, StatementError::InDoubt, now);
        }
        return;
    }
    Transaction &transaction = m_transactions[work.request.transaction];
    transaction.member = member.record.id;
    transaction.connection = connection.number;
    transaction.generation = work.generation;
    transaction.isBusy = true;
    transaction.lastUsed = now;
}

void GroupHome::statementFailed(Member &member, MemberConnection &connection, WorkNumber number, const Answer &answer, TimePoint now)
{
    const Work work = m_work.at(number);
    const ConnectionNumber connectionNumber = connection.number;
    const MemberId id = member.record.id;
    const bool isInTransaction = !work.request.transaction.isNone();
    const bool opens = work.request.forwarded.opensTransaction;
    if (answer.error == StatementError::UnknownPrepared) {
        connection.prepared.clear();
    }
    // A failed transaction is rolled back here; the client's own rollback then has nothing left to do.
    const bool isBusyCommit = answer.error == StatementError::Busy && work.request.forwarded.statement.kind == StatementKind::Commit
                              && !opens && answer.phase == SessionPhase::InTransaction;
    if (isBusyCommit && work.attempts + 1 < m_limits.mostAttempts && now < work.request.deadline) {
        ++m_work.at(number).attempts;
        enqueue(number, id, true, now);
        return;
    }
    if (isInTransaction) {
        m_transactions.erase(work.request.transaction);
        rollBack(member, connectionNumber, now);
    } else if (answer.phase != SessionPhase::Idle) {
        dropConnection(member, connectionNumber, false, StatementError::InDoubt, now);
    } else {
        connection.idleSince = now;
    }
    m_effects.report({"member-answer-error",
                      false,
                      {{"request", work.request.forwarded.statement.id},
                       {"service", m_service.text()},
                       {"member", id.text()},
                       {"error", std::string(statementErrorName(answer.error))},
                       {"after", work.after ? positionText(*work.after) : "-"},
                       {"applied", positionText(member.applied)},
                       {"attempts", std::to_string(work.attempts)}}});
    if (answer.error == StatementError::ReadOnly && id == m_primary) {
        member.statusSentAt = longAgo;
        suspectPrimary("read-only", now);
    }
    if (answer.error == StatementError::Lagging) {
        member.applied = answer.position ? *answer.position : LogPosition{};
        member.distrustedUntil = now + distrustTime;
    }
    const bool isMembersFault
        = answer.error == StatementError::Failed || answer.error == StatementError::Busy || answer.error == StatementError::TimedOut;
    if (isMembersFault) {
        noteFailure(member, now);
    }
    if (isRepeatable(work, answer.error)) {
        m_work.at(number).avoided = id;
        retry(number, answer.error, std::string(statementErrorName(answer.error)), now);
    } else {
        HomeReply reply;
        reply.answer = answer;
        finish(number, reply, now);
    }
    const auto still = m_members.find(id);
    if (still != m_members.end()) {
        pump(still->second, now);
    }
}

/// Whether the statement may be sent once more after this error.
bool GroupHome::isRepeatable(const Work &work, StatementError error)
{
    const ForwardedStatement &forwarded = work.request.forwarded;
    const bool isInTransaction = !work.request.transaction.isNone();
    if (error == StatementError::Malformed || (isInTransaction && !forwarded.opensTransaction)) {
        return false;
    }
    // A read has no effect, and what opened a transaction was rolled back with it.
    return isNotRun(error) || forwarded.isReadOnly || forwarded.opensTransaction;
}

void GroupHome::noteFailure(Member &member, TimePoint now)
{
    member.failures = member.failuresAt(now) + 1;
    member.failedAt = now;
}

void GroupHome::rollBack(Member &member, ConnectionNumber number, TimePoint now)
{
    MemberConnection *connection = member.connections.find(number);
    if (connection == nullptr) {
        return;
    }
    if (!connection->commands.empty()) {
        // A statement is under way: only closing ends it for certain.
        dropConnection(member, number, false, StatementError::InDoubt, now);
        pump(member, now);
        return;
    }
    connection->pinnedBy.reset();
    MemberCommand command;
    command.statement.kind = StatementKind::Rollback;
    connection->commands.push_back(command);
    sendNext(member, *connection, now);
}

void GroupHome::askStatus(Member &member, TimePoint now)
{
    if (member.isStatusAsked || !sendMaintenance(member, CommandKind::Status, 0, now)) {
        return;
    }
    member.isStatusAsked = true;
    member.statusSentAt = now;
}

void GroupHome::statusAnswered(Member &member, const ReplicationStatus &status, TimePoint sentAt, TimePoint now)
{
    const bool isChanged = !member.status || member.status->isPrimary != status.isPrimary || member.status->term != status.term
                           || member.status->fencedAt != status.fencedAt;
    if (isChanged) {
        m_effects.report({"member-status",
                          false,
                          {{"service", m_service.text()},
                           {"member", member.record.id.text()},
                           {"primary", status.isPrimary ? "true" : "false"},
                           {"term", std::to_string(status.term)},
                           {"received", positionText(status.received)},
                           {"fenced_at", std::to_string(status.fencedAt)},
                           {"lag_ms", std::to_string(status.lagMs)}}});
    }
    member.status = status;
    m_highestLedTerm = std::max({m_highestLedTerm, status.term, status.received.term});
    m_highestTerm = std::max({m_highestTerm, status.term, status.received.term, status.fencedAt});
    const MemberId id = member.record.id;
    if (m_change.stage == Change::Fencing) {
        memberSeenWhileFencing(member, status, now);
        return;
    }
    if (m_change.stage == Change::AwaitingLead && id == m_change.candidate) {
        if (leadsAfterChange(status)) {
            primaryLeads(now);
        }
        return;
    }
    if (id != m_primary) {
        if (!status.isPrimary && status.fencedAt == 0) {
            m_lease.replicaSeen(id, sentAt);
            releaseEvidenced(now);
        } else if (m_change.stage == Change::None) {
            m_lease.replicaLost(id);
            m_effects.readTerm();
        }
    } else if (m_change.stage == Change::None && !status.isPrimary) {
        suspectPrimary("says-replica", now);
    }
    releaseHeld(now);
}

bool GroupHome::sendMaintenance(Member &member, CommandKind kind, Term term, TimePoint now)
{
    for (auto &[number, connection] : member.connections.all()) {
        if (connection.isIdle()) {
            MemberCommand command;
            command.kind = kind;
            command.term = term;
            connection.commands.push_back(command);
            sendNext(member, connection, now);
            return true;
        }
    }
    const std::size_t spare = member.connections.total() < m_limits.maxConnections - 1 ? 1 : 0;
    if (member.connections.opening() == 0 && spare > 0 && now >= member.nextConnectAt) {
        openConnection(member, now);
    }
    return false;
}

void GroupHome::keepConnections(Member &member, TimePoint now)
{
    const bool isWanted = member.isRegistered && m_isFirst;
    const std::size_t least = isWanted ? warmConnections : 1;
    if (member.connections.total() < least && member.connections.opening() == 0 && now >= member.nextConnectAt
        && (isWanted || !m_work.empty() || !m_transactions.empty())) {
        openConnection(member, now);
    }
    const Duration idleLimit = m_isFirst ? m_limits.idleConnection : Duration(1500ms);
    std::vector<ConnectionNumber> unused;
    std::size_t kept = member.connections.total();
    for (const auto &[number, connection] : member.connections.all()) {
        const bool isUnused = connection.isIdle() && now - connection.idleSince > idleLimit;
        if (isUnused && (kept > least || !m_isFirst)) {
            unused.push_back(number);
            --kept;
        }
    }
    for (const ConnectionNumber number : unused) {
        dropConnection(member, number, false, StatementError::InDoubt, now);
    }
}

void GroupHome::removeMember(const MemberId &id, TimePoint now)
{
    const auto found = m_members.find(id);
    if (found == m_members.end()) {
        return;
    }
    memberSilent(found->second, now);
    m_members.erase(id);
    if (id == m_primary && m_change.stage == Change::None) {
        suspectPrimary("gone", now);
    }
}

bool GroupHome::isReachable(const MemberId &id) const
{
    const auto found = m_members.find(id);
    return found != m_members.end() && found->second.health == Health::Up;
}

std::size_t GroupHome::connections() const
{
    return m_connectionOwners.size();
}

void GroupHome::paused(Duration pause)
{
    for (auto &[id, member] : m_members) {
        member.heardAt += pause;
    }
}

void GroupHome::tick(TimePoint now)
{
    std::vector<MemberId> gone;
    for (auto &[id, member] : m_members) {
        if (!member.isRegistered && member.health == Health::Down && now - member.unregisteredAt > m_limits.lapseGrace) {
            gone.push_back(id);
            continue;
        }
        const bool isOwed = std::any_of(member.connections.all().begin(), member.connections.all().end(), [](const auto &entry) {
            return !entry.second.commands.empty();
        });
        if (isOwed && now - member.heardAt > m_limits.silence) {
            m_effects.report({"member-silent",
                              true,
                              {{"service", m_service.text()},
                               {"member", id.text()},
                               {"silent_ms", std::to_string(millisecondsUntil(now, member.heardAt))}}});
            member.health = Health::Unknown;
            memberSilent(member, now);
            member.nextConnectAt = now;
            openConnection(member, now);
            if (id == m_primary && m_change.stage == Change::None) {
                askPeersAhead(member, now);
            }
        }
        if (member.health == Health::Up && (m_isFirst || !isQuiet() || isBlind(now))
            && now - member.statusSentAt >= m_limits.statusInterval) {
            askStatus(member, now);
        }
        keepConnections(member, now);
        pump(member, now);
    }
    for (const MemberId &id : gone) {
        removeMember(id, now);
    }
    keepSight(now);
    endOverdue(now);
    moveStalledReads(now);
    refuseHeld(now);
    endIdleTransactions(now);
    advanceChange(now);
}

void GroupHome::endOverdue(TimePoint now)
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
        const bool isAwaiting = std::any_of(m_awaiting.begin(), m_awaiting.end(), [&](const AwaitingEvidence &awaiting) {
            return awaiting.work == number;
        });
        if (isAwaiting) {
            continue;
        }
        const bool isStarted = member != m_members.end() && work.connection && member->second.connections.find(*work.connection) != nullptr
                               && member->second.connections.find(*work.connection)->work == number;
        if (isStarted) {
            dropConnection(member->second, *work.connection, false, StatementError::InDoubt, now);
        } else if (member != m_members.end()) {
            member->second.queue.cancel(number);
        }
        if (m_work.contains(number)) {
            refuse(number, work.request.transaction.isNone() ? StatementError::Busy : StatementError::Aborted, "deadline", now);
        }
    }
}

/// A read has no effect, so one whose answer does not come is asked again elsewhere while its time lasts.
void GroupHome::moveStalledReads(TimePoint now)
{
    std::vector<WorkNumber> stalled;
    for (const auto &[number, work] : m_work) {
        const HomeRequest &request = work.request;
        const bool mayRepeat
            = work.isSent && work.connection && request.forwarded.isReadOnly && request.transaction.isNone() && work.avoided.isEmpty();
        const auto member = mayRepeat ? m_members.find(work.member) : m_members.end();
        if (member == m_members.end()) {
            continue;
        }
        const MemberConnection *connection = member->second.connections.find(*work.connection);
        const Duration patience = (request.objectiveAt - request.arrivedAt) * stallPercent / 100;
        if (connection != nullptr && connection->work == number && now - connection->sentAt > patience) {
            stalled.push_back(number);
        }
    }
    for (const WorkNumber number : stalled) {
        const auto found = m_work.find(number);
        if (found == m_work.end()) {
            continue;
        }
        found->second.avoided = found->second.member;
        noteFailure(m_members.at(found->second.member), now);
        m_effects.report({"read-stalled",
                          false,
                          {{"request", found->second.request.forwarded.statement.id},
                           {"service", m_service.text()},
                           {"member", found->second.member.text()}}});
        dropConnection(m_members.at(found->second.member), *found->second.connection, false, StatementError::Busy, now);
    }
}

void GroupHome::refuseHeld(TimePoint now)
{
    std::deque<WorkNumber> kept;
    for (const WorkNumber number : std::exchange(m_held, {})) {
        const auto found = m_work.find(number);
        if (found == m_work.end()) {
            continue;
        }
        const HomeRequest &request = found->second.request;
        const Duration patience = (request.objectiveAt - request.arrivedAt) / heldShare;
        if (now >= request.arrivedAt + patience) {
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
        if (!transaction.isBusy && now - transaction.lastUsed > m_limits.transactionIdle) {
            idle.push_back(key);
        }
    }
    for (const TransactionKey &key : idle) {
        m_effects.report({"transaction-idle", false, {{"service", m_service.text()}, {"entry", key.entry}}});
        endTransaction(key, now);
    }
}

} // namespace rattanbeam::decisions::session
