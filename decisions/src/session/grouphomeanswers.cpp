#include "rattanbeam/decisions/session/grouphome.h"

#include <algorithm>
#include <utility>

namespace rattanbeam::decisions::session
{

using namespace std::chrono_literals;

namespace
{

constexpr Duration lagDistrustTime = 250ms; // how long a replica's reported lag is ignored after it refused a read as lagging

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
    member->lastHeardAt = now;
    const MemberCommand command = connection->commands.front();
    const TimePoint sentAt = connection->sentAt;
    connection->commands.pop_front();
    connection->isAwaitingAnswer = false;
    connection->isSilent = false;
    memberReached(*member, now);
    if (answer.position) {
        member->applied = std::max(member->applied, *answer.position);
        if (member->record.id == m_primary) {
            sampleWatermark(*answer.position, sentAt, now);
            m_primaryPosition = std::max(m_primaryPosition, *answer.position);
            m_departedRuns.primaryAnswered(*answer.position, sentAt);
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
            preparationFailed(*member, *connection, *work, answer, now);
        } else {
            dropConnection(*member, number, false, StatementError::InDoubt, now);
        }
        return;
    }
    recordPreparation(*connection, command);
    if (!connection->commands.empty()) {
        sendNext(*member, *connection, now);
        return;
    }
    connection->idleSince = now;
    startQueuedWork(*member, now);
}

/// A command failed that was to give the connection the session's values or prepared statement. The request's own statement was not sent.
void GroupHome::preparationFailed(Member &member, MemberConnection &connection, WorkNumber number, const Answer &answer, TimePoint now)
{
    if (guaranteesNoEffect(answer.error)) {
        statementFailed(member, connection, number, answer, now);
        return;
    }
    connection.isStateUnknown = true;
    const HomeRequest &request = m_work.at(number).request;
    Answer failure = answer;
    if (request.transaction.isNone() || request.forwarded.opensTransaction) {
        failure.error = StatementError::Busy; // so that it is tried again
    }
    statementFailed(member, connection, number, failure, now);
}

/// Frees the connection before handling the answer, since that may send new work on it.
void GroupHome::maintenanceAnswered(Member &member,
                                    MemberConnection &connection,
                                    const MemberCommand &command,
                                    const std::optional<ReplicationStatus> &status,
                                    TimePoint now)
{
    const MemberId id = member.record.id;
    const PrimaryLease::Confirmation confirmation{connection.sentAt, connection.openedAt, now};
    connection.idleSince = now;
    if (command.kind == CommandKind::Status) {
        member.isStatusPending = false;
    }
    if (status) {
        statusAnswered(member, *status, confirmation, now);
    } else if (command.kind != CommandKind::Status) {
        askStatus(member, now);
    }
    const auto remaining = m_members.find(id);
    if (remaining != m_members.end()) {
        startQueuedWork(remaining->second, now);
    }
}

/// Whether a replica answered a read from a log that ends before the required position, although its term is newer. Right after a change of
/// primary a replica may follow the new term before it has received the last commits of the former one, and a position of the newer
/// term compares as higher.
bool GroupHome::isOlderLogOfNewerTerm(const Work &work, const Answer &answer)
{
    return work.generation == 0 && work.after && answer.position && answer.position->term > work.after->term
           && answer.position->position < work.after->position;
}

void GroupHome::statementAnswered(Member &member, MemberConnection &connection, WorkNumber number, const Answer &answer, TimePoint now)
{
    const auto found = m_work.find(number);
    if (found == m_work.end()) {
        dropConnection(member, connection.number, false, StatementError::InDoubt, now);
        startQueuedWork(member, now);
        return;
    }
    if (!answer.isSuccess()) {
        statementFailed(member, connection, number, answer, now);
        return;
    }
    if (isOlderLogOfNewerTerm(found->second, answer)) {
        Answer lagging = answer;
        lagging.error = StatementError::Lagging;
        statementFailed(member, connection, number, lagging, now);
        return;
    }
    const Work work = found->second;
    const TimePoint sentAt = connection.sentAt;
    paceAnswered(member, work.request.rank, now - sentAt, now);
    pinOrReleaseConnection(member, connection, work, answer, now);
    HomeReply reply;
    reply.answer = answer;
    reply.isTransactionOpen = !work.request.transaction.isNone() && work.request.forwarded.statement.kind != StatementKind::Commit;
    if (work.generation != 0) {
        const bool mayHaveWritten = work.request.transaction.isNone() ? !work.request.forwarded.isReadOnly
                                                                      : work.request.forwarded.statement.kind == StatementKind::Commit;
        deliverPrimaryAnswer(number, reply, mayHaveWritten, sentAt, now);
    } else {
        finish(number, reply, now);
    }
    startQueuedWork(member, now);
}

/// After a success: pins the connection to the statement's open transaction, or makes it available to others.
void GroupHome::pinOrReleaseConnection(Member &member, MemberConnection &connection, const Work &work, const Answer &answer, TimePoint now)
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
    transaction.workspace = connection.workspace;
    transaction.isBusy = true;
    transaction.lastUsed = now;
}

void GroupHome::statementFailed(Member &member, MemberConnection &connection, WorkNumber number, const Answer &answer, TimePoint now)
{
    const Work work = m_work.at(number);
    const ConnectionNumber connectionNumber = connection.number;
    const MemberId id = member.record.id;
    const bool isInTransaction = !work.request.transaction.isNone();
    const bool isTransactionStart = work.request.forwarded.opensTransaction;
    if (answer.error == StatementError::UnknownPrepared) {
        connection.preparedNames.clear();
    }
    // A failed transaction is rolled back below, so that a later rollback by the client has no effect. Only a commit that the
    // member was too busy for is sent again.
    const bool isBusyCommit = answer.error == StatementError::Busy && work.request.forwarded.statement.kind == StatementKind::Commit
                              && !isTransactionStart && answer.phase == SessionPhase::InTransaction;
    if (isBusyCommit && work.attempts + 1 < m_limits.maxAttempts && now < work.request.deadline) {
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
        member.statusAskedAt = distantPast;
        suspectPrimary("read-only", now);
    }
    if (answer.error == StatementError::Lagging) {
        member.applied = answer.position ? *answer.position : LogPosition{};
        member.lagDistrustedUntil = now + lagDistrustTime;
    }
    const bool isMemberFault
        = answer.error == StatementError::Failed || answer.error == StatementError::Busy || answer.error == StatementError::TimedOut;
    if (isMemberFault) {
        recordFailure(member, now);
    }
    if (isRetryable(work, answer.error)) {
        m_work.at(number).avoidedMember = id;
        retry(number, answer.error, std::string(statementErrorName(answer.error)), now);
    } else {
        HomeReply reply;
        reply.answer = answer;
        finish(number, reply, now);
    }
    const auto remaining = m_members.find(id);
    if (remaining != m_members.end()) {
        startQueuedWork(remaining->second, now);
    }
}

/// Whether the statement may be sent again after this error.
bool GroupHome::isRetryable(const Work &work, StatementError error)
{
    const ForwardedStatement &forwarded = work.request.forwarded;
    const bool isInTransaction = !work.request.transaction.isNone();
    if (error == StatementError::Malformed || (isInTransaction && !forwarded.opensTransaction)) {
        return false;
    }
    // A read has no effect, and a statement that opened a transaction was rolled back with it.
    return guaranteesNoEffect(error) || forwarded.isReadOnly || forwarded.opensTransaction;
}

void GroupHome::recordFailure(Member &member, TimePoint now)
{
    member.recentFailures = member.recentFailuresAt(now) + 1;
    member.lastFailedAt = now;
    paceFailed(member, now);
}

void GroupHome::rollBack(Member &member, ConnectionNumber number, TimePoint now)
{
    MemberConnection *connection = member.connections.find(number);
    if (connection == nullptr) {
        return;
    }
    if (!connection->commands.empty()) {
        // A statement is under way, and only closing the connection is certain to end it.
        dropConnection(member, number, false, StatementError::InDoubt, now);
        startQueuedWork(member, now);
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
    if (member.isStatusPending || !sendMaintenance(member, CommandKind::Status, 0, now)) {
        return;
    }
    member.isStatusPending = true;
    member.statusAskedAt = now;
}

void GroupHome::statusAnswered(Member &member,
                               const ReplicationStatus &status,
                               const PrimaryLease::Confirmation &confirmation,
                               TimePoint now)
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
    if (hasLostLog(member, status)) {
        runEnded(member, now);
    }
    member.status = status;
    member.statusSentAt = confirmation.sentAt;
    m_highestLedTerm = std::max({m_highestLedTerm, status.term, status.received.term});
    m_highestTerm = std::max({m_highestTerm, status.term, status.received.term, status.fenceTerm});
    const MemberId id = member.record.id;
    updateFencedWitnesses(id, status, now);
    if (m_change.stage == ChangeStage::Fencing) {
        statusAnsweredWhileFencing(member, status, confirmation.sentAt, now);
        return;
    }
    if (m_change.stage == ChangeStage::AwaitingLead && id == m_change.candidate) {
        if (isNewLeader(status)) {
            completeChange(now);
        }
        return;
    }
    if (id != m_primary) {
        replicaAnswered(id, status, confirmation, now);
    } else if (m_change.stage == ChangeStage::None && !status.isPrimary) {
        suspectPrimary("says-replica", now);
    }
    releaseHeld(now);
}

/// Takes the word of a replica as evidence for or against the present primary.
void GroupHome::replicaAnswered(const MemberId &id,
                                const ReplicationStatus &status,
                                const PrimaryLease::Confirmation &confirmation,
                                TimePoint now)
{
    const Term led = termLedByPrimary();
    const bool isOfLaterTerm = status.term > led;
    if (!status.isPrimary && status.fenceTerm == 0 && !isOfLaterTerm) {
        m_lease.replicaConfirmed(id, confirmation);
        releaseConfirmedAnswers(now);
        return;
    }
    const bool isLedTermUnknown = led == 0 && !status.isPrimary && status.fenceTerm == 0;
    const bool isOwnFence = !status.isPrimary && status.fenceTerm != 0 && isFenceHeld(id, now);
    if (m_change.stage != ChangeStage::None || isLedTermUnknown || isOwnFence) {
        return;
    }
    const auto confirmed = m_lease.replicaConfirmations().find(id);
    if (confirmed != m_lease.replicaConfirmations().end() && confirmed->second != distantPast) {
        m_effects.report({"evidence-revoked",
                          false,
                          {{"service", m_service.text()},
                           {"member", id.text()},
                           {"cause",
                            status.isPrimary        ? "leads"
                            : status.fenceTerm != 0 ? "fenced"
                                                    : "later-term"},
                           {"term", std::to_string(status.term)},
                           {"primary", m_primary.text()},
                           {"primary_term", std::to_string(led)},
                           {"generation", std::to_string(m_lease.generation())}}});
    }
    m_lease.replicaRevoked(id);
    m_effects.readTerm();
}

} // namespace rattanbeam::decisions::session
