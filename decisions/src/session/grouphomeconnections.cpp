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
constexpr std::size_t substituteConnections = 3;
constexpr Duration substituteProbation = 400ms; // the first home may only have been slow to answer

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
        member->connectionCap = std::max<std::size_t>(1, member->connections.totalCount());
        member->cappedUntil = now + capMemory;
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
    if (connection.commands.empty() || connection.isAwaitingAnswer) {
        return;
    }
    connection.isAwaitingAnswer = true;
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
        connection.preparedNames.clear();
    } else if (command.statement.kind == StatementKind::SetValue) {
        connection.values[command.statement.name] = command.statement.arguments;
    } else if (command.statement.kind == StatementKind::Prepare) {
        connection.preparedNames.insert(command.statement.name);
    }
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
    const std::size_t spare = member.connections.totalCount() < m_limits.maxConnections - 1 ? 1 : 0;
    if (member.connections.openingCount() == 0 && spare > 0 && now >= member.nextConnectAt) {
        openConnection(member, now);
    }
    return false;
}

void GroupHome::keepConnections(Member &member, TimePoint now)
{
    const bool isWanted = member.isRegistered && m_isFirst;
    const std::size_t least = isWanted ? warmConnections : 1;
    if (member.connections.totalCount() < least && member.connections.openingCount() == 0 && now >= member.nextConnectAt
        && (isWanted || !m_work.empty() || !m_transactions.empty())) {
        openConnection(member, now);
    }
    const Duration idleLimit = m_isFirst ? m_limits.idleConnection : Duration(1500ms);
    std::vector<ConnectionNumber> unused;
    std::size_t kept = member.connections.totalCount();
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

std::size_t GroupHome::connections() const
{
    return m_connectionOwners.size();
}

} // namespace rattanbeam::decisions::session
