#include "rattanbeam/decisions/session/grouphome.h"

#include <algorithm>
#include <utility>

namespace rattanbeam::decisions::session
{

using namespace std::chrono_literals;

namespace
{

constexpr Duration minBackoff = 100ms;
constexpr Duration maxBackoff = 1000ms;
constexpr Duration connectionCapLifetime = 1500ms; // after this, a member that accepted no more connections is tried again
constexpr std::size_t warmConnections = 3; // kept open by the first home
constexpr std::size_t maxInitialSubstituteConnections = 3; // of a substitute, until it has been in use for substituteRampTime
constexpr Duration substituteRampTime = 400ms; // requests may have come only because the first home was slow for a moment
constexpr Duration substituteConnectionIdleTimeout = 1500ms;

} // namespace

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
    if (!m_isFirstHome && now - m_activeSince < substituteRampTime) {
        limit = std::min(limit, maxInitialSubstituteConnections);
    }
    return now < member.cappedUntil ? std::min(limit, member.connectionCap) : limit;
}

void GroupHome::openConnection(Member &member, TimePoint now)
{
    const ConnectionNumber number = ++m_lastConnectionNumber;
    member.connections.add(number, now);
    m_connectionOwners[number] = member.record.id;
    m_effects.openConnection(number, member.record, WorkspaceName());
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
    connection->openedAt = now;
    connection->idleSince = now;
    member->lastHeardAt = now;
    member->backoff = {};
    memberReached(*member);
    member->peerAnswers.reset();
    startQueuedWork(*member, now);
    if (member->health == Health::Up && now - member->statusAskedAt >= m_limits.statusInterval) {
        askStatus(*member, now);
    }
    releaseHeld(now);
}

void GroupHome::memberReached(Member &member)
{
    if (member.health != Health::Up) {
        member.health = Health::Up;
        member.statusAskedAt = distantPast;
        m_effects.report({"member-reached", false, {{"service", m_service.text()}, {"member", member.record.id.text()}}});
    }
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
        // Other homes hold the rest of the member's connections.
        member->connectionCap = std::max<std::size_t>(1, member->connections.totalCount());
        member->cappedUntil = now + connectionCapLifetime;
        member->nextConnectAt = now + 300ms;
        return;
    }
    if (wasOpen && failure == ConnectFailure::Lost) {
        if (member->connections.totalCount() == 0) {
            member->nextConnectAt = now;
            openConnection(*member, now);
        }
        return;
    }
    member->backoff = std::clamp<Duration>(member->backoff * 2, minBackoff, maxBackoff);
    member->nextConnectAt = now + member->backoff;
    const bool isConclusive = failure != ConnectFailure::TimedOut || now - member->lastHeardAt > m_limits.silenceTimeout;
    if (isConclusive && member->health != Health::Down) {
        member->health = Health::Down;
        m_effects.report({"member-down",
                          true,
                          {{"service", m_service.text()},
                           {"member", member->record.id.text()},
                           {"cause", std::string(connectFailureName(failure))},
                           {"silent_ms", std::to_string(millisecondsUntil(now, member->lastHeardAt))}}});
        disconnectMember(*member, now);
        if (member->record.id == m_primary) {
            suspectPrimary(connectFailureName(failure), now);
        }
    }
}

/// Closes all connections to the member, and retries or refuses the work that waits for it.
void GroupHome::disconnectMember(Member &member, TimePoint now)
{
    std::vector<ConnectionNumber> connectionNumbers;
    for (const auto &[number, connection] : member.connections.all()) {
        connectionNumbers.push_back(number);
    }
    for (const ConnectionNumber number : connectionNumbers) {
        dropConnection(member, number, false, StatementError::InDoubt, now);
    }
    dispatchQueuedWorkAgain(member, now);
}

/// The member owes answers and sends nothing. It may only be slow, and what runs there must neither run twice nor be given up: closes
/// only the connections that the primary's own work does not use.
void GroupHome::setMemberSilent(Member &member, TimePoint now)
{
    std::vector<ConnectionNumber> replaceable;
    for (auto &[number, connection] : member.connections.all()) {
        const auto work = connection.work ? m_work.find(*connection.work) : m_work.end();
        const auto transaction = connection.pinnedBy ? m_transactions.find(*connection.pinnedBy) : m_transactions.end();
        const bool isPrimaryWork = work != m_work.end() && work->second.isSent && work->second.generation != 0
                                   && (needsPrimary(work->second.request) || !work->second.request.transaction.isNone());
        const bool isPrimaryTransaction = transaction != m_transactions.end() && transaction->second.generation != 0;
        if (isPrimaryWork || isPrimaryTransaction) {
            connection.isSilent = true;
        } else {
            replaceable.push_back(number);
        }
    }
    for (const ConnectionNumber number : replaceable) {
        dropConnection(member, number, false, StatementError::InDoubt, now);
    }
    dispatchQueuedWorkAgain(member, now);
}

/// Dispatches the work that is still in the member's queue again, since the member cannot be reached now.
void GroupHome::dispatchQueuedWorkAgain(Member &member, TimePoint now)
{
    member.isStatusPending = false;
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
    const bool hadStatusCommand = std::any_of(dropped.commands.begin(), dropped.commands.end(), [](const MemberCommand &command) {
        return command.kind == CommandKind::Status;
    });
    if (hadStatusCommand) {
        member.isStatusPending = false;
    }
    if (dropped.pinnedBy) {
        const auto found = m_transactions.find(*dropped.pinnedBy);
        if (found != m_transactions.end() && found->second.connection == number) {
            m_transactions.erase(found);
        }
    }
    if (dropped.work && m_work.contains(*dropped.work)) {
        member.queue.abandoned(*dropped.work, now);
        workConnectionLost(*dropped.work, reason, now);
    }
}

/// The work's connection was lost: retries what cannot have had an effect, and refuses the rest.
void GroupHome::workConnectionLost(WorkNumber number, StatementError reason, TimePoint now)
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
    if (connection.commands.empty() || connection.isAwaitingAnswer) {
        return;
    }
    connection.isAwaitingAnswer = true;
    connection.isSilent = false;
    const MemberCommand &command = connection.commands.front();
    connection.sentAt = now;
    if (connection.work && connection.commands.size() == 1 && m_work.contains(*connection.work)) {
        m_work.at(*connection.work).isSent = true;
    }
    if (member.lastHeardAt < now && connection.commands.size() == 1) {
        // Silence is measured from the first command that awaits an answer.
        const bool isAnswerOwedElsewhere
            = std::any_of(member.connections.all().begin(), member.connections.all().end(), [&](const auto &entry) {
                  return entry.first != connection.number && entry.second.isAnswerOwed();
              });
        member.lastHeardAt = isAnswerOwedElsewhere ? member.lastHeardAt : now;
    }
    m_effects.sendCommand(connection.number, command);
}

void GroupHome::recordPreparation(MemberConnection &connection, const MemberCommand &command)
{
    if (command.kind == CommandKind::Reset) {
        connection.values.clear();
        connection.valueBytes = 0;
        connection.preparedNames.clear();
    } else if (command.statement.kind == StatementKind::SetValue) {
        std::string &value = connection.values[command.statement.name];
        connection.valueBytes += command.statement.arguments.size();
        connection.valueBytes -= value.size();
        value = command.statement.arguments;
    } else if (command.statement.kind == StatementKind::Prepare) {
        connection.preparedNames.insert(command.statement.name);
    }
}

/// Sends the command on an idle connection. Returns false if there is none; a new one is then opened if the limits allow it.
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
    const std::size_t spareConnections = member.connections.totalCount() < m_limits.maxConnections - 1 ? 1 : 0;
    if (member.connections.openingCount() == 0 && spareConnections > 0 && now >= member.nextConnectAt) {
        openConnection(member, now);
    }
    return false;
}

void GroupHome::resetLargeIdleConnections(Member &member, TimePoint now)
{
    for (auto &[number, connection] : member.connections.all()) {
        if (connection.isIdle() && connection.valueBytes > maxIdleValueBytes) {
            MemberCommand reset;
            reset.kind = CommandKind::Reset;
            connection.commands.push_back(reset);
            sendNext(member, connection, now);
        }
    }
}

/// Opens connections up to the minimum, and closes those that have been unused for long.
void GroupHome::maintainConnections(Member &member, TimePoint now)
{
    const bool isKeptWarm = member.isRegistered && m_isFirstHome;
    const std::size_t minConnections = isKeptWarm ? warmConnections : 1;
    if (member.connections.totalCount() < minConnections && member.connections.openingCount() == 0 && now >= member.nextConnectAt
        && (isKeptWarm || !m_work.empty() || !m_transactions.empty())) {
        openConnection(member, now);
    }
    const Duration idleLimit = m_isFirstHome ? m_limits.connectionIdleTimeout : substituteConnectionIdleTimeout;
    resetLargeIdleConnections(member, now);
    std::vector<ConnectionNumber> unused;
    std::size_t kept = member.connections.totalCount();
    for (const auto &[number, connection] : member.connections.all()) {
        const bool isUnused = connection.isIdle() && now - connection.idleSince > idleLimit;
        if (isUnused && (kept > minConnections || !m_isFirstHome)) {
            unused.push_back(number);
            --kept;
        }
    }
    for (const ConnectionNumber number : unused) {
        dropConnection(member, number, false, StatementError::InDoubt, now);
    }
}

std::size_t GroupHome::connections() const
{
    return m_connectionOwners.size();
}

} // namespace rattanbeam::decisions::session
