#include "rattanbeam/decisions/session/grouphome.h"

#include <algorithm>
#include <utility>

namespace rattanbeam::decisions::session
{

using namespace std::chrono_literals;

namespace
{

constexpr Duration minRetryDelay = 15ms; // minimum delay that a refusal tells the client to wait before a retry
constexpr Duration lagMargin = 20ms; // added to the lag that a replica reports
constexpr double avoidedPenalty = 1000; // high enough that an avoided member is chosen only if there is no other
constexpr double failurePenalty = 0.5; // for each recently failed statement
constexpr double primaryPenalty = 0.75; // keeps the primary's slots for work that no replica can do

} // namespace

GroupHome::GroupHome(ServiceName service, std::string self, const GroupHomeLimits &limits, HomeEffects &effects)
    : m_service(std::move(service))
    , m_self(std::move(self))
    , m_limits(limits)
    , m_effects(effects)
    , m_lease(limits.leaseDuration - limits.leaseMargin)
{}

void GroupHome::setLimits(const GroupHomeLimits &limits)
{
    m_limits = limits;
    if (limits.synchronousReplicas == 0) {
        m_departedRuns = {};
    }
}

bool GroupHome::needsPrimary(const HomeRequest &request) const
{
    return request.consistency == Consistency::Latest || !request.forwarded.isReadOnly;
}

void GroupHome::request(const HomeRequest &request, TimePoint now)
{
    if (!isInUse(now)) {
        m_activeSince = now;
    }
    m_lastRequestAt = now;
    if (!request.workspace.isEmpty()) {
        m_workspacesUntil = std::max(m_workspacesUntil, request.deadline);
    }
    const WorkNumber number = ++m_lastWorkNumber;
    m_work[number].request = request;
    dispatch(number, now);
}

void GroupHome::dispatch(WorkNumber number, TimePoint now)
{
    const HomeRequest &request = m_work.at(number).request;
    if (now >= request.deadline) {
        refuse(number, StatementError::Busy, "deadline", now);
    } else if (!request.transaction.isNone() && !request.forwarded.opensTransaction) {
        dispatchPinned(number, now);
    } else if (needsPrimary(request)) {
        dispatchToPrimary(number, now);
    } else {
        dispatchRead(number, now);
    }
}

void GroupHome::dispatchPinned(WorkNumber number, TimePoint now)
{
    Work &work = m_work.at(number);
    const auto found = m_transactions.find(work.request.transaction);
    if (found == m_transactions.end()) {
        refuse(number, StatementError::Aborted, "transaction-lost", now);
        return;
    }
    if (found->second.workspace != work.request.workspace) {
        // The key of the session was given to another workspace. The refusal ends the transaction.
        refuse(number, StatementError::Aborted, "workspace-changed", now);
        return;
    }
    if (found->second.isBusy) {
        refuse(number, StatementError::Malformed, "statement-under-way", now);
        return;
    }
    found->second.isBusy = true;
    found->second.lastUsed = now;
    work.connection = found->second.connection;
    work.generation = found->second.generation;
    enqueue(number, found->second.member, true, now);
}

void GroupHome::dispatchToPrimary(WorkNumber number, TimePoint now)
{
    if (m_change.stage == ChangeStage::None && (now < m_redirectUntil || isEvidenceMissing(now))) {
        redirect(number, now);
        return;
    }
    if (!isPrimaryUsable()) {
        ensureListedInTerm(now);
        hold(number, now);
        return;
    }
    enqueueAtPrimary(number, now);
}

void GroupHome::enqueueAtPrimary(WorkNumber number, TimePoint now)
{
    Work &work = m_work.at(number);
    work.after.reset();
    work.generation = m_lease.generation();
    ensureListedInTerm(now);
    enqueue(number, m_primary, false, now);
}

/// Position that a replica must have applied to serve the read; none if the watermark has no sample recent enough.
std::optional<LogPosition> GroupHome::requiredPosition(const HomeRequest &request) const
{
    auto required = m_watermark.covering(request.arrivedAt - request.stalenessLimit);
    if (required && request.consistency == Consistency::ReadYourWrites && request.lastCommitPosition) {
        const LogPosition latest = m_watermark.latest().value();
        // A commit of an earlier term that survived the promotion is at or below every position of the new primary.
        required = std::max(*required, request.lastCommitPosition->term < latest.term ? latest : *request.lastCommitPosition);
    }
    return required;
}

/// Whether the member has applied `required`, as its answers have shown or as its reported lag implies.
bool GroupHome::hasApplied(const Member &member, const LogPosition &required, TimePoint now) const
{
    if (member.applied >= required) {
        return true;
    }
    const auto reachedAt = m_watermark.reachedAt(required);
    if (!reachedAt || !member.status || member.status->fenceTerm != 0 || now < member.lagDistrustedUntil) {
        return false;
    }
    return *reachedAt + std::chrono::milliseconds(member.status->lagMs) + lagMargin <= now;
}

/// Sends the read to the member with the lowest cost of those that are fresh enough, the primary included.
void GroupHome::dispatchRead(WorkNumber number, TimePoint now)
{
    Work &work = m_work.at(number);
    const auto required = requiredPosition(work.request);
    work.after = required;
    const Member *best = nullptr;
    double bestCost = 0;
    for (const auto &[id, member] : m_members) {
        const bool isPrimary = id == m_primary;
        if (member.health != Health::Up || member.record.isLeaving || !member.isRegistered || (isPrimary && !isPrimaryUsable())) {
            continue;
        }
        if (!isPrimary && (!required || !hasApplied(member, *required, now))) {
            continue;
        }
        double waiting = static_cast<double>(member.queue.running());
        for (const Rank rank : allRanks) {
            waiting += static_cast<double>(member.queue.waiting(rank));
        }
        const std::size_t slots = std::min<std::size_t>(std::max(1U, member.record.slots), member.pace.limit().value_or(SIZE_MAX));
        const double cost = waiting / static_cast<double>(slots) + (isPrimary ? primaryPenalty : 0)
                            + (id == work.avoidedMember ? avoidedPenalty : 0) + failurePenalty * member.recentFailuresAt(now)
                            + openingCost(member, work.request.workspace, now);
        if (best == nullptr || cost < bestCost) {
            best = &member;
            bestCost = cost;
        }
    }
    if (best == nullptr) {
        if (now < m_redirectUntil) {
            redirect(number, now);
        } else {
            hold(number, now);
        }
        return;
    }
    if (best->record.id == m_primary) {
        enqueueAtPrimary(number, now);
        return;
    }
    work.generation = 0;
    enqueue(number, best->record.id, false, now);
}

void GroupHome::hold(WorkNumber number, TimePoint now)
{
    constexpr std::size_t maxHeld = 512;
    if (m_held.size() >= maxHeld) {
        refuse(number, StatementError::Busy, "too-many-held", now);
        return;
    }
    m_held.push_back(number);
}

void GroupHome::releaseHeld(TimePoint now)
{
    const std::deque<WorkNumber> held = std::exchange(m_held, {});
    for (const WorkNumber number : held) {
        if (m_work.contains(number)) {
            dispatch(number, now);
        }
    }
}

void GroupHome::enqueue(WorkNumber number, const MemberId &id, bool isPinned, TimePoint now)
{
    Work &work = m_work.at(number);
    Member &member = m_members.at(id);
    work.member = id;
    work.isSent = false;
    work.preparedName
        = work.request.forwarded.definition.empty() ? std::string() : m_preparedNames.nameOf(work.request.forwarded.definition);
    QueuedWork queued;
    queued.id = number;
    queued.rank = work.request.rank;
    queued.customer = CustomerId(work.request.workspace.text());
    queued.deadline = work.request.deadline;
    queued.wantedBy = isPinned ? TimePoint::max() : work.request.objectiveAt;
    queued.connectionLimit = m_limits.maxConnections;
    queued.isPinned = isPinned;
    queued.opensTransaction = !isPinned && !work.request.workspace.isEmpty() && work.request.forwarded.opensTransaction;
    if (const auto refusal = member.queue.offer(queued, now)) {
        const bool isFull = refusal->code == ErrorCode::QueueFull;
        refuse(number, StatementError::Busy, isFull ? "queue-full" : "deadline-unreachable", now, refusal->retryAt);
        return;
    }
    startQueuedWork(member, now);
}

/// Carries out what the member's queue decides. Returns whether work started.
bool GroupHome::advanceQueue(Member &member, std::size_t freeConnections, const ConnectionTest &isConnectionFree, TimePoint now)
{
    bool isStarted = false;
    for (const QueueDecision &decision : member.queue.advance(now, freeConnections, isConnectionFree)) {
        isStarted = isStarted || decision.isStart();
        if (!m_work.contains(decision.id)) {
            member.queue.finished(decision.id, now);
        } else if (decision.isStart()) {
            startWork(member, decision.id, now);
        } else {
            const bool isFull = decision.outcome.code == ErrorCode::QueueFull;
            refuse(decision.id, StatementError::Busy, isFull ? "queue-full" : "deadline-unreachable", now, decision.outcome.retryAt);
        }
    }
    return isStarted;
}

/// Starts what the member's queue allows, and opens a connection if work waits for one.
void GroupHome::startQueuedWork(Member &member, TimePoint now)
{
    if (servesWorkspaces(member, now)) {
        startWorkspaceWork(member, now);
        return;
    }
    advanceQueue(member, member.connections.idleCount(), {}, now);
    std::size_t waiting = 0;
    for (const Rank rank : allRanks) {
        waiting += member.queue.waiting(rank);
    }
    if (waiting > member.connections.openingCount() && member.connections.idleCount() == 0 && now >= member.nextConnectAt && hasRoom(member)
        && member.connections.totalCount() < connectionLimit(member, now)) {
        openConnection(member, WorkspaceName(), now);
    }
}

/// Starts what the member's queue allows. Unlike work of callers that are not identified, work may start while its connection is being
/// opened: it has a slot meanwhile, and the member uses one to accept the connection.
void GroupHome::startWorkspaceWork(Member &member, TimePoint now)
{
    bool isStarted = true;
    while (isStarted) {
        // One statement at a time, since each changes which connections are free.
        const bool mayOpen = mayOpenForWork(member, now);
        std::optional<ConnectionShares> shares;
        const ConnectionTest isConnectionFree = [&](const CustomerId &customer, bool opensTransaction) {
            const WorkspaceName workspace(customer.text());
            if (!mayOpen && !member.connections.hasIdle(workspace)) {
                return false;
            }
            if (opensTransaction && !shares) {
                shares = connectionShares(member, now);
            }
            return !opensTransaction || shares->mayHoldAnother(workspace);
        };
        isStarted = advanceQueue(member, 1, isConnectionFree, now);
    }
}

/// Sends the statement on a connection of its workspace, or opens one for it.
void GroupHome::startWork(Member &member, WorkNumber number, TimePoint now)
{
    Work &work = m_work.at(number);
    const WorkspaceName &workspace = work.request.workspace;
    const bool isPinned = work.connection.has_value();
    MemberConnection *connection = isPinned ? member.connections.find(*work.connection)
                                            : member.connections.bestIdle(workspace, *work.request.values, work.preparedName);
    if (connection == nullptr && !isPinned && servesWorkspaces(member, now)) {
        connection = openForWork(member, workspace, now);
        if (connection == nullptr) {
            member.queue.requeue(number, now);
            return;
        }
    }
    if (connection == nullptr) {
        member.queue.finished(number, now);
        workConnectionLost(number, StatementError::Aborted, now);
        return;
    }
    work.connection = connection->number;
    connection->work = number;
    if (connection->isOpen) {
        sendWork(member, *connection, number, now);
    }
}

/// Sends the statement on its connection, after the commands that prepare it.
void GroupHome::sendWork(Member &member, MemberConnection &connection, WorkNumber number, TimePoint now)
{
    Work &work = m_work.at(number);
    const ForwardedStatement &forwarded = work.request.forwarded;
    connection.usedAt = now;
    const auto preparation = preparationCommands(connection, *work.request.values, work.preparedName, forwarded.definition);
    connection.commands.assign(preparation.begin(), preparation.end());
    MemberCommand command;
    command.statement = forwarded.statement;
    command.statement.after.reset();
    if (forwarded.statement.kind == StatementKind::Execute) {
        command.statement.name = work.preparedName;
    }
    if (forwarded.opensTransaction) {
        MemberCommand begin;
        begin.statement.kind = forwarded.isReadOnly ? StatementKind::BeginReadOnly : StatementKind::Begin;
        begin.statement.after = work.after;
        connection.commands.push_back(begin);
    } else if (work.request.transaction.isNone() && forwarded.isReadOnly) {
        command.statement.after = work.after;
    }
    connection.commands.push_back(command);
    if (!work.request.transaction.isNone()) {
        connection.pinnedBy = work.request.transaction;
    }
    sendNext(member, connection, now);
}

void GroupHome::retry(WorkNumber number, StatementError error, const std::string &reason, TimePoint now)
{
    Work &work = m_work.at(number);
    const bool isPinned = !work.request.transaction.isNone() && !work.request.forwarded.opensTransaction;
    if (isPinned || ++work.attempts >= m_limits.maxAttempts || now >= work.request.deadline) {
        refuse(number, isPinned ? StatementError::Aborted : error, reason, now);
        return;
    }
    work.connection.reset();
    work.isSent = false;
    dispatch(number, now);
}

std::string GroupHome::retryAfterText(TimePoint at, TimePoint now) const
{
    return "retry-after-ms=" + std::to_string(std::max<std::uint32_t>(1, millisecondsUntil(at, now)));
}

void GroupHome::refuse(WorkNumber number, StatementError error, const std::string &reason, TimePoint now, TimePoint retryAt)
{
    const Work &work = m_work.at(number);
    const bool isChanging = m_change.stage != ChangeStage::None;
    const TimePoint earliestRetryAt = std::max({now + minRetryDelay, retryAt, isChanging ? m_change.startedAt + 1s : now});
    HomeReply reply;
    reply.answer = Answer::failure(error,
                                   reason + ' ' + retryAfterText(earliestRetryAt, now),
                                   work.request.transaction.isNone() ? SessionPhase::Idle : SessionPhase::Failed);
    m_effects.report({"request-refused",
                      false,
                      {{"request", work.request.forwarded.statement.id},
                       {"service", m_service.text()},
                       {"member", work.member.text()},
                       {"error", std::string(statementErrorName(error))},
                       {"reason", reason},
                       {"rank", std::string(rankName(work.request.rank))},
                       {"held_ms", std::to_string(millisecondsUntil(now, work.request.arrivedAt))},
                       {"attempts", std::to_string(work.attempts)},
                       {"stage", std::string(changeStageName(m_change.stage))}}});
    finish(number, reply, now);
}

void GroupHome::redirect(WorkNumber number, TimePoint now)
{
    const Work &work = m_work.at(number);
    if (work.request.isSubstitute) {
        refuse(number, StatementError::Busy, "no-home-reaches-the-primary", now);
        return;
    }
    HomeReply reply;
    reply.answer = Answer::failure(StatementError::Busy, "primary-unreachable-from-here", SessionPhase::Idle);
    reply.isRedirect = true;
    finish(number, reply, now);
}

/// Replies to the request and removes its work. Its transaction ends unless the reply says that it is open.
void GroupHome::finish(WorkNumber number, const HomeReply &reply, TimePoint now)
{
    const Work work = m_work.at(number);
    m_work.erase(number);
    const auto found = m_transactions.find(work.request.transaction);
    if (found != m_transactions.end()) {
        found->second.isBusy = false;
        found->second.lastUsed = now;
        if (!reply.isTransactionOpen) {
            endTransaction(work.request.transaction, now);
        }
    }
    m_effects.reply(work.request.number, reply);
}

void GroupHome::endTransaction(const TransactionKey &key, TimePoint now)
{
    const auto found = m_transactions.find(key);
    if (found == m_transactions.end()) {
        return;
    }
    const Transaction transaction = found->second;
    m_transactions.erase(found);
    const auto member = m_members.find(transaction.member);
    if (member != m_members.end()) {
        rollBack(member->second, transaction.connection, now);
    }
}

void GroupHome::entryLost(const std::string &entry, TimePoint now)
{
    std::vector<TransactionKey> lost;
    for (const auto &[key, transaction] : m_transactions) {
        if (key.entry == entry && !transaction.isBusy) {
            lost.push_back(key);
        }
    }
    for (const TransactionKey &key : lost) {
        endTransaction(key, now);
    }
}

} // namespace rattanbeam::decisions::session
