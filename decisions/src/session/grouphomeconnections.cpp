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
// A connection that was closed may count at the member for some milliseconds longer, so that the first retry comes soon.
constexpr Duration minOverloadBackoff = 20ms;
constexpr Duration maxOverloadBackoff = 300ms;
constexpr Duration roomReportInterval = 10s;
constexpr double openingPenalty = 0.25; // an opening takes a slot for about half the time of a statement
constexpr double blockedOpeningPenalty = 1; // as if each slot had one more statement waiting
constexpr Duration sharingWindow = 2s; // a workspace counts as a sharer of a member's connections for this long after its last statement

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

MemberConnection &GroupHome::openConnection(Member &member, const WorkspaceName &workspace, TimePoint now)
{
    const ConnectionNumber number = ++m_lastConnectionNumber;
    MemberConnection &connection = member.connections.add(number, workspace, now);
    m_connectionOwners[number] = member.record.id;
    ++m_connectionCounters.opened;
    m_effects.openConnection(number, member.record, workspace);
    return connection;
}

/// Whether requests of workspaces have come recently. Otherwise all connections and all work belong to callers that are not identified.
bool GroupHome::servesWorkspaces(const Member &member, TimePoint now) const
{
    return now <= m_workspacesUntil + m_limits.connectionIdleTimeout || member.connections.hasWorkspaces();
}

/// Whether a connection may be opened, if need be in place of an idle one. After a refusal for overload one at a time is tried.
bool GroupHome::mayOpenForWork(const Member &member, TimePoint now) const
{
    if (now < member.nextConnectAt || (member.overloads > 0 && member.connections.openingCount() > 0)) {
        return false;
    }
    return member.connections.totalCount() < connectionLimit(member, now) || member.connections.idleCount() > 0;
}

/// Opens a connection of the workspace, at the limit in place of the idle one whose last statement is the longest ago. Returns null if
/// none may be opened.
MemberConnection *GroupHome::openForWork(Member &member, const WorkspaceName &workspace, TimePoint now)
{
    if (!mayOpenForWork(member, now)) {
        return nullptr;
    }
    if (member.connections.totalCount() >= connectionLimit(member, now)) {
        const MemberConnection *replaced = member.connections.leastRecentlyUsedIdle();
        if (replaced == nullptr) {
            return nullptr;
        }
        ++m_connectionCounters.closedForRoom;
        dropConnection(member, replaced->number, false, StatementError::InDoubt, now);
        reportClosedForRoom(member, now);
    }
    return &openConnection(member, workspace, now);
}

void GroupHome::reportClosedForRoom(const Member &member, TimePoint now)
{
    if (now - m_closedForRoomReportedAt < roomReportInterval) {
        return;
    }
    m_effects.report({"connections-closed-for-room",
                      false,
                      {{"service", m_service.text()},
                       {"member", member.record.id.text()},
                       {"count", std::to_string(m_connectionCounters.closedForRoom - m_closedForRoomReported)},
                       {"connections", std::to_string(member.connections.totalCount())}}});
    m_closedForRoomReportedAt = now;
    m_closedForRoomReported = m_connectionCounters.closedForRoom;
}

/// Cost of a read at the member for the time that opening a connection takes, in the unit of dispatchRead(). It also keeps the reads of a
/// workspace at few members, so that these need few connections each.
double GroupHome::openingCost(const Member &member, const WorkspaceName &workspace, TimePoint now) const
{
    if (!servesWorkspaces(member, now) || member.connections.hasIdle(workspace)) {
        return 0;
    }
    return mayOpenForWork(member, now) ? openingPenalty : blockedOpeningPenalty;
}

/// While there are connections for all that the member runs at once, workspaces hold as many as they like. The last ones are left to
/// workspaces that hold less than an equal share, if several use or wait for connections.
GroupHome::ConnectionShares GroupHome::connectionShares(const Member &member, TimePoint now) const
{
    ConnectionShares shares;
    const std::size_t limit = connectionLimit(member, now);
    const std::size_t total = member.connections.totalCount();
    const std::size_t spare = member.connections.idleCount() + (limit > total ? limit - total : 0);
    if (spare > std::max(1U, member.record.slots)) {
        shares.share = limit;
        return shares;
    }
    std::set<CustomerId> sharers = member.queue.waitingCustomers();
    for (const auto &[number, connection] : member.connections.all()) {
        const bool isInUse = connection.work || connection.pinnedBy;
        if (isInUse || now - connection.usedAt < sharingWindow) {
            sharers.insert(CustomerId(connection.workspace.text()));
        }
        if (isInUse) {
            ++shares.held[connection.workspace];
        }
    }
    shares.share = std::max<std::size_t>(1, limit / std::max<std::size_t>(1, sharers.size()));
    return shares;
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
    connection->usedAt = now;
    member->lastHeardAt = now;
    member->backoff = {};
    member->overloads = 0;
    memberReached(*member, now);
    member->peerAnswers.reset();
    if (connection->work && m_work.contains(*connection->work)) {
        sendWork(*member, *connection, *connection->work, now);
    } else if (connection->work) {
        member->queue.abandoned(*std::exchange(connection->work, std::nullopt), now);
    }
    startQueuedWork(*member, now);
    if (member->health == Health::Up && now - member->statusAskedAt >= m_limits.statusInterval) {
        askStatus(*member, now);
    }
    releaseHeld(now);
}

void GroupHome::memberReached(Member &member, TimePoint now)
{
    member.hasEnded = false;
    if (member.health != Health::Up) {
        member.health = Health::Up;
        member.statusAskedAt = distantPast;
        m_effects.report({"member-reached", false, {{"service", m_service.text()}, {"member", member.record.id.text()}}});
        if (member.wasReached) {
            startPace(member, "recovered", now);
        }
        member.wasReached = true;
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
    const TimePoint connectStartedAt = connection->connectStartedAt;
    if (!wasOpen && connection->work) {
        const WorkNumber work = *std::exchange(connection->work, std::nullopt);
        const auto found = m_work.find(work);
        if (found != m_work.end()) {
            found->second.connection.reset();
            member->queue.requeue(work, now);
        } else {
            member->queue.abandoned(work, now);
        }
    }
    const bool isForWorkspaces = servesWorkspaces(*member, now);
    dropConnection(*member, number, true, StatementError::InDoubt, now);
    if (failure == ConnectFailure::Overloaded) {
        ++m_connectionCounters.refusedAsOverloaded;
        // Other homes hold the rest of the member's connections.
        // The refusal after a connection was closed for room may only mean that the closed one still counts.
        const bool mayBeRoom = isForWorkspaces && member->overloads == 1 && now < member->cappedUntil;
        if (!mayBeRoom) {
            member->connectionCap = std::max<std::size_t>(1, member->connections.totalCount());
        }
        member->cappedUntil = now + connectionCapLifetime;
        if (!isForWorkspaces) {
            member->nextConnectAt = now + maxOverloadBackoff;
        } else if (connectStartedAt >= member->lastOverloadAt) {
            const Duration backoff = minOverloadBackoff * (1U << std::min(member->overloads, 4U));
            ++member->overloads;
            member->lastOverloadAt = now;
            member->nextConnectAt = now + std::min(backoff, maxOverloadBackoff);
        }
        if (isForWorkspaces) {
            startQueuedWork(*member, now);
        }
        return;
    }
    if (wasOpen && failure == ConnectFailure::Lost) {
        if (member->connections.totalCount() == 0) {
            member->nextConnectAt = now;
            openConnection(*member, WorkspaceName(), now);
        }
        return;
    }
    member->hasEnded = member->hasEnded || failure == ConnectFailure::Refused || failure == ConnectFailure::WrongMember;
    const bool isFirstOfSeveral = !isForWorkspaces || now >= member->nextConnectAt;
    if (isFirstOfSeveral) {
        member->backoff = std::clamp<Duration>(member->backoff * 2, minBackoff, maxBackoff);
        member->nextConnectAt = now + member->backoff;
    }
    const bool isConclusive = failure != ConnectFailure::TimedOut || now - member->lastHeardAt > silenceTimeout(*member);
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
        connection.isStateUnknown = false;
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
        openConnection(member, WorkspaceName(), now);
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
    // Which workspace sends next is not known, so that only maintenance commands gain from a connection that is opened in advance.
    const std::size_t minConnections = isKeptWarm && !servesWorkspaces(member, now) ? warmConnections : 1;
    if (member.connections.totalCount() < minConnections && member.connections.openingCount() == 0 && now >= member.nextConnectAt
        && (isKeptWarm || !m_work.empty() || !m_transactions.empty())) {
        openConnection(member, WorkspaceName(), now);
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
