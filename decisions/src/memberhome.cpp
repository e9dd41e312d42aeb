#include "rattanbeam/decisions/memberhome.h"

#include "homeoperations.h"

#include <algorithm>
#include <utility>

namespace rattanbeam::decisions
{

MemberHome::MemberHome(const HomeLimits &limits, TransactionId transactionSeed)
    : m_limits(limits)
    , m_queue(limits.queue)
    , m_pool({.maxConnections = limits.connections})
    , m_transactions(transactionSeed)
    , m_confirmations(limits.confirmationsNeeded)
{}

HomeActions MemberHome::requestArrived(const HomeRequest &request, TimePoint now)
{
    HomeActions actions;
    if (const auto refusal = refusalFor(request, now)) {
        if (refusal->code == ErrorCode::NotCovered && mayWaitForReplica(request)) {
            m_delayedReads[request.id] = {request, std::min(request.deadline, now + request.maxWait)};
        } else {
            reply(request, *refusal, actions);
        }
        return actions;
    }
    enqueue(request, now, actions);
    dispatch(now, actions);
    return actions;
}

void MemberHome::enqueue(const HomeRequest &request, TimePoint now, HomeActions &actions)
{
    const bool isPinned = continuesTransaction(request.operation);
    const QueuedWork work{request.id, request.rank, request.customer, request.deadline, request.connectionLimit, isPinned};
    if (const auto refusal = m_queue.offer(work, now)) {
        reply(request, *refusal, actions);
        return;
    }
    if (isPinned) {
        m_transactions.find(request.transaction, request.customer)->isBusy = true;
    }
    m_waiting[request.id] = request;
}

void MemberHome::dispatch(TimePoint now, HomeActions &actions)
{
    for (const QueueDecision &decision : m_queue.advance(now, m_pool.idle())) {
        if (decision.isStart()) {
            startStatement(decision.id, now, actions);
            continue;
        }
        const HomeRequest request = m_waiting.at(decision.id);
        m_waiting.erase(decision.id);
        endTransactionStep(request);
        reply(request, decision.outcome, actions);
    }
    const bool isReachable = m_status && (m_status->isPrimary || m_status->isFollowing);
    const std::size_t freeSlots = m_limits.queue.slots - std::min(m_limits.queue.slots, m_queue.running());
    const std::size_t neededConnections = isReachable ? std::min(m_waiting.size(), freeSlots) : 0;
    for (const ConnectionId id : m_pool.connectionsToOpen(neededConnections, now)) {
        actions.emplace_back(OpenConnection{id});
    }
}

void MemberHome::startStatement(WorkId work, TimePoint now, HomeActions &actions)
{
    const HomeRequest request = m_waiting.at(work);
    m_waiting.erase(work);
    const OpenTransaction *transaction = m_transactions.find(request.transaction, request.customer);
    if (transaction != nullptr && transaction->isLost) {
        m_queue.finished(work, now);
        m_transactions.close(request.transaction);
        reply(request, Outcome::refusal(ErrorCode::TransactionLost), actions);
        return;
    }
    const ConnectionId connection = transaction != nullptr ? transaction->connection : m_pool.take();
    m_inFlight[work] = {request, connection};
    actions.emplace_back(SendStatement{connection, work, m_status->term});
}

HomeActions MemberHome::connectionOpened(ConnectionId connection, TimePoint now)
{
    HomeActions actions;
    m_pool.opened(connection);
    dispatch(now, actions);
    return actions;
}

HomeActions MemberHome::connectionFailed(ConnectionId connection, TimePoint now)
{
    m_pool.openFailed(connection, now);
    return {};
}

HomeActions MemberHome::connectionClosed(ConnectionId connection, TimePoint now)
{
    HomeActions actions;
    markTransactionLost(connection);
    m_pool.discard(connection);
    const auto inFlightRequest = std::find_if(m_inFlight.begin(), m_inFlight.end(), [connection](const auto &each) {
        return each.second.connection == connection;
    });
    if (inFlightRequest != m_inFlight.end()) {
        const HomeRequest request = inFlightRequest->second.request;
        m_queue.finished(request.id, now);
        m_inFlight.erase(inFlightRequest);
        reply(request, Outcome::inDoubt(ErrorCode::ConnectionLost), actions);
    }
    dispatch(now, actions);
    return actions;
}

HomeActions MemberHome::memberStatusReceived(const MemberStatus &status, TimePoint completeAsOf, TimePoint now)
{
    HomeActions actions;
    if (m_status && status.term < m_status->term) {
        return actions;
    }
    m_status = status;
    m_completeAsOf = std::max(m_completeAsOf, completeAsOf);
    m_highestTermSeen = std::max(m_highestTermSeen, status.term);
    // The barrier is the first entry of the term, written by the promotion itself.
    if (status.isPrimary && status.history.latestTerm() == status.term) {
        const std::uint64_t barrier = status.history.starts().back().start + 1;
        replyUnconfirmed(m_confirmations.startTerm(status.term, barrier), actions);
    } else if (status.term > m_confirmations.term()) {
        // The member was fenced or follows another. If it becomes the primary of this term, the barrier is not yet known.
        replyUnconfirmed(m_confirmations.endTerm(), actions);
    }
    if (!status.isPrimary) {
        refuseWaitingWrites(now, actions);
    }
    retryDelayedReads(now, actions);
    dispatch(now, actions);
    return actions;
}

HomeActions MemberHome::otherStatusReceived(const MemberId &other, const MemberStatus &status, TimePoint now)
{
    if (m_status && status.term == m_status->term) {
        m_otherHeardAt[other] = now;
    }
    return termPublished(status.term, now);
}

HomeActions MemberHome::termPublished(Term term, TimePoint now)
{
    HomeActions actions;
    if (!m_status || term <= std::max(m_highestTermSeen, m_status->term)) {
        return actions;
    }
    m_highestTermSeen = term;
    refuseWaitingWrites(now, actions);
    if (m_status->isPrimary) {
        abandonInFlight(now, actions);
    }
    return actions;
}

HomeActions MemberHome::heldPositionReported(const MemberId &other, Term term, std::uint64_t position, TimePoint now)
{
    HomeActions actions;
    m_pendingConfirmations.erase(other);
    if (m_status && term == m_status->term) {
        m_otherHeardAt[other] = now;
    }
    replyConfirmed(m_confirmations.held(other, term, position), actions);
    return actions;
}

HomeActions MemberHome::tick(TimePoint now)
{
    HomeActions actions;
    endOverdue(now, actions);
    rollBackIdleTransactions(now, actions);
    retryDelayedReads(now, actions);
    requestConfirmations(actions);
    dispatch(now, actions);
    return actions;
}

void MemberHome::setHandover(bool isUnderWay)
{
    m_queue.setPaused(isUnderWay);
}

bool MemberHome::isQuiet() const
{
    return m_inFlight.empty() && m_unconfirmed.empty() && m_transactions.openCount() == 0;
}

void MemberHome::setLimits(const HomeLimits &limits)
{
    m_limits = limits;
    m_queue.setLimits(limits.queue);
    m_pool.setMaxConnections(limits.connections);
}

HomeActions MemberHome::drainToNewHome(TimePoint now)
{
    HomeActions actions;
    const std::map<WorkId, DelayedRead> delayedReads = std::exchange(m_delayedReads, {});
    for (const auto &[work, delayed] : delayedReads) {
        reply(delayed.request, Outcome::refusal(ErrorCode::NotHome), actions);
    }
    std::vector<HomeRequest> movable;
    for (const auto &[work, request] : m_waiting) {
        if (!continuesTransaction(request.operation)) {
            movable.push_back(request);
        }
    }
    for (const HomeRequest &request : movable) {
        m_queue.cancel(request.id);
        m_waiting.erase(request.id);
        reply(request, Outcome::refusal(ErrorCode::NotHome), actions);
    }
    for (const ConnectionId id : m_pool.takeIdleBeyond(0)) {
        actions.emplace_back(CloseConnection{id});
    }
    dispatch(now, actions);
    return actions;
}

std::size_t MemberHome::waiting() const
{
    return m_waiting.size() + m_delayedReads.size();
}

void MemberHome::retryDelayedReads(TimePoint now, HomeActions &actions)
{
    const std::map<WorkId, DelayedRead> delayedReads = std::exchange(m_delayedReads, {});
    for (const auto &[work, delayed] : delayedReads) {
        const auto refusal = refusalFor(delayed.request, now);
        if (!refusal) {
            enqueue(delayed.request, now, actions);
        } else if (refusal->code == ErrorCode::NotCovered && delayed.waitUntil > now && mayWaitForReplica(delayed.request)) {
            m_delayedReads[work] = delayed;
        } else {
            reply(delayed.request, *refusal, actions);
        }
    }
}

void MemberHome::refuseWaitingWrites(TimePoint now, HomeActions &actions)
{
    std::vector<HomeRequest> writes;
    for (const auto &[work, request] : m_waiting) {
        if (needsPrimary(request) && !continuesTransaction(request.operation)) {
            writes.push_back(request);
        }
    }
    for (const HomeRequest &request : writes) {
        m_queue.cancel(request.id);
        m_waiting.erase(request.id);
        reply(request, Outcome::refusal(ErrorCode::NotPrimary, now + refusalRetryDelay), actions);
    }
}

} // namespace rattanbeam::decisions
