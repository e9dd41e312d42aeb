#include "rattanbeam/decisions/session/grouphome.h"

#include <algorithm>
#include <utility>

namespace rattanbeam::decisions::session
{

using namespace std::chrono_literals;

namespace
{

constexpr Duration distrustTime = 250ms;

std::string positionText(const LogPosition &position)
{
    return std::to_string(position.term) + '.' + std::to_string(position.position);
}

} // namespace

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
    connection->isAwaitingAnswer = false;
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
        connection.preparedNames.clear();
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
                           || member.status->fenceTerm != status.fenceTerm;
    if (isChanged) {
        m_effects.report({"member-status",
                          false,
                          {{"service", m_service.text()},
                           {"member", member.record.id.text()},
                           {"primary", status.isPrimary ? "true" : "false"},
                           {"term", std::to_string(status.term)},
                           {"received", positionText(status.received)},
                           {"fenced_at", std::to_string(status.fenceTerm)},
                           {"lag_ms", std::to_string(status.lagMs)}}});
    }
    member.status = status;
    m_highestLedTerm = std::max({m_highestLedTerm, status.term, status.received.term});
    m_highestTerm = std::max({m_highestTerm, status.term, status.received.term, status.fenceTerm});
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
        if (!status.isPrimary && status.fenceTerm == 0) {
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

} // namespace rattanbeam::decisions::session
