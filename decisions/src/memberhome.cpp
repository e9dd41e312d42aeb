#include "rattanbeam/decisions/memberhome.h"

#include <algorithm>
#include <utility>

namespace rattanbeam::decisions
{

namespace
{

constexpr std::chrono::milliseconds promotionPause{50}; // when a write may be worth a repeat after a refusal

bool continuesTransaction(HomeOperation operation)
{
    return operation == HomeOperation::Step || operation == HomeOperation::Commit || operation == HomeOperation::Rollback;
}

bool needsPrimary(const HomeRequest &request)
{
    return request.isWrite || request.operation == HomeOperation::Begin;
}

/// Answers that tell of a lasting change wait for their confirmation.
bool tellsOfWrite(const HomeRequest &request)
{
    return request.operation == HomeOperation::Commit || (request.operation == HomeOperation::Execute && request.isWrite);
}

} // namespace

MemberHome::MemberHome(MemberId member, const HomeLimits &limits, TransactionId transactionSeed)
    : m_member(std::move(member))
    , m_limits(limits)
    , m_queue(limits.queue)
    , m_pool({.most = limits.connections})
    , m_transactions(transactionSeed)
    , m_confirmations(limits.othersNeeded)
{}

HomeActions MemberHome::arrived(const HomeRequest &request, TimePoint now)
{
    HomeActions actions;
    if (const auto refusal = refuse(request, now)) {
        if (refusal->code == ErrorCode::NotCovered && mayParkForCoverage(request)) {
            m_parked[request.id] = {request, std::min(request.deadline, now + request.maxWait)};
        } else {
            reply(request, *refusal, actions);
        }
        return actions;
    }
    enqueue(request, now, actions);
    pump(now, actions);
    return actions;
}

std::optional<Outcome> MemberHome::refuse(const HomeRequest &request, TimePoint now)
{
    if (request.deadline <= now) {
        return Outcome::refusal(ErrorCode::DeadlineUnreachable);
    }
    if (!m_status) {
        return Outcome::refusal(ErrorCode::MemberUnreachable, now + promotionPause);
    }
    if (continuesTransaction(request.operation)) {
        return refuseStep(request);
    }
    if (request.operation == HomeOperation::Begin) {
        return refuseBegin(request, now);
    }
    if (request.isWrite) {
        return refuseWrite(now);
    }
    return refuseRead(request, now);
}

std::optional<Outcome> MemberHome::refuseBegin(const HomeRequest &request, TimePoint now) const
{
    // Transactions of lower rank leave a quarter of the connections to urgent work.
    const std::size_t reserve = request.rank == Rank::Urgent ? 0 : (m_limits.connections + 3) / 4;
    const bool isFull = m_transactions.holding() + reserve >= m_limits.connections;
    if (isFull || m_queue.heldConnections(request.customer) >= request.connectionLimit) {
        return Outcome::refusal(ErrorCode::ConnectionLimit, now + promotionPause);
    }
    return refuseWrite(now);
}

std::optional<Outcome> MemberHome::refuseWrite(TimePoint now) const
{
    if (!m_status->isPrimary || m_highestTermSeen > m_status->term) {
        return Outcome::refusal(ErrorCode::NotPrimary, now + promotionPause);
    }
    if (!canConfirm(now)) {
        return Outcome::refusal(ErrorCode::CannotConfirm, now + promotionPause);
    }
    return std::nullopt;
}

std::optional<Outcome> MemberHome::refuseRead(const HomeRequest &request, TimePoint now) const
{
    if (m_status->isLeaving && !m_status->isPrimary) {
        return Outcome::refusal(ErrorCode::NotCovered);
    }
    if (now - m_dataFrom > request.maxAge) {
        return Outcome::refusal(ErrorCode::TooStale, now + promotionPause);
    }
    if (!request.required) {
        return std::nullopt;
    }
    switch (coverageOf(*request.required, m_status->applied, m_status->history)) {
    case Coverage::Covered:
        return std::nullopt;
    case Coverage::Behind:
        // A primary applies what it holds, so its status is merely older than an entry of its own terms.
        if (m_status->isPrimary && request.required->term <= m_status->term) {
            return std::nullopt;
        }
        return Outcome::refusal(ErrorCode::NotCovered);
    case Coverage::Lost:
        break;
    }
    return Outcome::refusal(ErrorCode::PositionLost);
}

std::optional<Outcome> MemberHome::refuseStep(const HomeRequest &request)
{
    const OpenTransaction *transaction = m_transactions.find(request.transaction, request.customer);
    if (transaction == nullptr) {
        return Outcome::refusal(ErrorCode::UnknownTransaction);
    }
    if (transaction->isBroken) {
        m_transactions.close(request.transaction);
        return Outcome::refusal(ErrorCode::TransactionLost);
    }
    if (transaction->isBusy) {
        return Outcome::refusal(ErrorCode::MalformedRequest);
    }
    return std::nullopt;
}

bool MemberHome::mayParkForCoverage(const HomeRequest &request) const
{
    return m_parked.size() < m_limits.queue.capacity && request.required && !m_status->isLeaving
           && request.required->position > m_status->applied;
}

bool MemberHome::canConfirm(TimePoint now) const
{
    const auto heardLately = std::count_if(m_otherSeenAt.begin(), m_otherSeenAt.end(), [&](const auto &each) {
        return now - each.second <= m_limits.confirmSilence;
    });
    return static_cast<std::size_t>(heardLately) >= m_limits.othersNeeded;
}

void MemberHome::enqueue(const HomeRequest &request, TimePoint now, HomeActions &actions)
{
    const bool pinned = continuesTransaction(request.operation);
    const QueuedWork work{request.id, request.rank, request.customer, request.deadline, request.connectionLimit, pinned};
    if (const auto refusal = m_queue.offer(work, now)) {
        reply(request, *refusal, actions);
        return;
    }
    if (pinned) {
        m_transactions.find(request.transaction, request.customer)->isBusy = true;
    }
    m_waiting[request.id] = request;
}

void MemberHome::pump(TimePoint now, HomeActions &actions)
{
    for (const QueueDecision &decision : m_queue.advance(now, m_pool.idle())) {
        if (decision.isStart()) {
            start(decision.id, now, actions);
            continue;
        }
        const HomeRequest request = m_waiting.at(decision.id);
        m_waiting.erase(decision.id);
        freeTransactionStep(request);
        reply(request, decision.outcome, actions);
    }
    const bool isReachable = m_status && (m_status->isPrimary || m_status->isFollowing);
    const std::size_t freeSlots = m_limits.queue.slots - std::min(m_limits.queue.slots, m_queue.running());
    const std::size_t wanted = isReachable ? std::min(m_waiting.size(), freeSlots) : 0;
    for (const ConnectionId id : m_pool.wantOpened(wanted, now)) {
        actions.emplace_back(OpenConnection{id});
    }
}

void MemberHome::start(WorkId work, TimePoint now, HomeActions &actions)
{
    const HomeRequest request = m_waiting.at(work);
    m_waiting.erase(work);
    const OpenTransaction *transaction = m_transactions.find(request.transaction, request.customer);
    if (transaction != nullptr && transaction->isBroken) {
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
    pump(now, actions);
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
    breakTransaction(connection);
    m_pool.discard(connection);
    const auto flight = std::find_if(m_inFlight.begin(), m_inFlight.end(), [connection](const auto &each) {
        return each.second.connection == connection;
    });
    if (flight != m_inFlight.end()) {
        const HomeRequest request = flight->second.request;
        m_queue.finished(request.id, now);
        m_inFlight.erase(flight);
        reply(request, Outcome::doubt(ErrorCode::ConnectionLost), actions);
    }
    pump(now, actions);
    return actions;
}

HomeActions MemberHome::answered(ConnectionId connection, WorkId work, const MemberAnswer &answer, TimePoint now)
{
    HomeActions actions;
    const auto found = m_inFlight.find(work);
    if (found == m_inFlight.end() || found->second.connection != connection) {
        // A late or crossed answer: what else this connection carries can no longer be trusted.
        dropConnection(connection, actions);
        for (const HomeAction &action : connectionClosed(connection, now)) {
            actions.push_back(action);
        }
        return actions;
    }
    const InFlight flight = found->second;
    m_inFlight.erase(found);
    m_queue.finished(work, now);
    settleConnection(flight, answer, now, actions);
    if (answer.outcome.isSuccess()) {
        finishSuccess(flight, answer, now, actions);
    } else {
        reply(flight.request, answer.outcome, actions);
    }
    askOthers(actions);
    pump(now, actions);
    return actions;
}

void MemberHome::settleConnection(const InFlight &flight, const MemberAnswer &answer, TimePoint now, HomeActions &actions)
{
    const HomeRequest &request = flight.request;
    const bool inDoubt = answer.outcome.verdict == Verdict::MayHaveRun;
    if (request.operation == HomeOperation::Step && !inDoubt) {
        OpenTransaction *transaction = m_transactions.find(request.transaction, request.customer);
        transaction->isBusy = false;
        transaction->idleDeadline = now + m_limits.transactionIdle;
        return;
    }
    if (continuesTransaction(request.operation)) {
        m_transactions.close(request.transaction);
        m_queue.releaseConnection(request.customer);
    }
    if (inDoubt || (request.operation == HomeOperation::Rollback && !answer.outcome.isSuccess())) {
        dropConnection(flight.connection, actions);
    } else if (request.operation != HomeOperation::Begin || !answer.outcome.isSuccess()) {
        m_pool.giveBack(flight.connection);
    }
}

void MemberHome::finishSuccess(const InFlight &flight, const MemberAnswer &answer, TimePoint now, HomeActions &actions)
{
    const HomeRequest &request = flight.request;
    if (request.operation == HomeOperation::Begin) {
        const TransactionId id = m_transactions.open(request.customer, flight.connection, now + m_limits.transactionIdle);
        m_queue.holdConnection(request.customer);
        actions.emplace_back(ReplyToRequest{request.id, answer.outcome, answer.at, id, m_dataFrom});
    } else if (tellsOfWrite(request)) {
        replyWhenConfirmed(flight, answer, actions);
    } else {
        finishRead(flight, answer, now, actions);
    }
}

void MemberHome::replyWhenConfirmed(const InFlight &flight, const MemberAnswer &answer, HomeActions &actions)
{
    // An empty commit changed nothing and has nothing to confirm.
    if (answer.at.position == 0 || m_confirmations.add(flight.request.id, answer.at.position)) {
        actions.emplace_back(ReplyToRequest{flight.request.id, answer.outcome, answer.at, 0, m_dataFrom});
        return;
    }
    m_unconfirmed[flight.request.id] = {flight.request, answer};
}

void MemberHome::finishRead(const InFlight &flight, const MemberAnswer &answer, TimePoint now, HomeActions &actions)
{
    const HomeRequest &request = flight.request;
    if (continuesTransaction(request.operation)) {
        actions.emplace_back(ReplyToRequest{request.id, answer.outcome, answer.at, 0, m_dataFrom});
        return;
    }
    const Coverage coverage = request.required ? coverageOf(*request.required, answer.at.position, m_status->history) : Coverage::Covered;
    if (coverage != Coverage::Covered) {
        reply(request, Outcome::refusal(coverage == Coverage::Lost ? ErrorCode::PositionLost : ErrorCode::NotCovered), actions);
    } else if (now - m_dataFrom > request.maxAge) {
        reply(request, Outcome::refusal(ErrorCode::TooStale, now + promotionPause), actions);
    } else if (m_status->isPrimary) {
        // The primary may show writes that a promotion could still lose.
        replyWhenConfirmed(flight, answer, actions);
    } else {
        actions.emplace_back(ReplyToRequest{request.id, answer.outcome, answer.at, 0, m_dataFrom});
    }
}

HomeActions MemberHome::memberSeen(const MemberStatus &status, TimePoint dataFrom, TimePoint now)
{
    HomeActions actions;
    if (m_status && status.term < m_status->term) {
        return actions;
    }
    m_status = status;
    m_dataFrom = std::max(m_dataFrom, dataFrom);
    m_highestTermSeen = std::max(m_highestTermSeen, status.term);
    // A term's first entry is the barrier that the primary wrote when it was promoted.
    if (status.isPrimary && status.history.latestTerm() == status.term) {
        const std::uint64_t barrier = status.history.starts().back().start + 1;
        doubtWrites(m_confirmations.startTerm(status.term, barrier), actions);
    } else if (status.term > m_confirmations.term()) {
        doubtWrites(m_confirmations.startTerm(status.term, UINT64_MAX), actions);
    }
    if (!status.isPrimary) {
        refuseWaitingWrites(now, actions);
    }
    releaseParked(now, actions);
    pump(now, actions);
    return actions;
}

HomeActions MemberHome::otherSeen(const MemberId &other, const MemberStatus &status, TimePoint now)
{
    if (m_status && status.term == m_status->term) {
        m_otherSeenAt[other] = now;
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
        giveUpInFlight(now, actions);
    }
    return actions;
}

void MemberHome::giveUpInFlight(TimePoint now, HomeActions &actions)
{
    const std::map<WorkId, InFlight> inFlight = m_inFlight;
    for (const auto &[work, flight] : inFlight) {
        abandon(flight, ErrorCode::ConnectionLost, now, actions);
    }
    std::vector<WriteId> unconfirmed;
    for (const auto &[work, write] : m_unconfirmed) {
        unconfirmed.push_back(work);
    }
    for (const WriteId id : unconfirmed) {
        m_confirmations.remove(id);
    }
    doubtWrites(unconfirmed, actions);
}

void MemberHome::abandon(const InFlight &flight, ErrorCode code, TimePoint now, HomeActions &actions)
{
    m_inFlight.erase(flight.request.id);
    m_queue.finished(flight.request.id, now);
    breakTransaction(flight.connection);
    dropConnection(flight.connection, actions);
    reply(flight.request, Outcome::doubt(code), actions);
}

HomeActions MemberHome::otherHolds(const MemberId &other, Term term, std::uint64_t position, TimePoint now)
{
    HomeActions actions;
    m_asked.erase(other);
    if (m_status && term == m_status->term) {
        m_otherSeenAt[other] = now;
    }
    confirm(m_confirmations.held(other, term, position), actions);
    return actions;
}

HomeActions MemberHome::tick(TimePoint now)
{
    HomeActions actions;
    endOverdue(now, actions);
    rollBackIdle(now, actions);
    releaseParked(now, actions);
    askOthers(actions);
    pump(now, actions);
    return actions;
}

void MemberHome::rollBackIdle(TimePoint now, HomeActions &actions)
{
    for (const ConnectionId connection : m_transactions.expired(now)) {
        breakTransaction(connection);
        dropConnection(connection, actions);
    }
}

void MemberHome::endOverdue(TimePoint now, HomeActions &actions)
{
    std::vector<InFlight> overdue;
    for (const auto &[work, flight] : m_inFlight) {
        if (flight.request.deadline <= now) {
            overdue.push_back(flight);
        }
    }
    for (const InFlight &flight : overdue) {
        abandon(flight, ErrorCode::DeadlineExceeded, now, actions);
    }
    std::vector<WriteId> late;
    for (const auto &[work, unconfirmed] : m_unconfirmed) {
        if (unconfirmed.request.deadline <= now) {
            late.push_back(work);
        }
    }
    for (const WriteId id : late) {
        m_confirmations.remove(id);
    }
    doubtWrites(late, actions);
}

void MemberHome::setHandover(bool isUnderWay)
{
    m_handover = isUnderWay;
    m_queue.setPaused(isUnderWay);
}

bool MemberHome::isQuiet() const
{
    return m_inFlight.empty() && m_unconfirmed.empty() && m_transactions.holding() == 0;
}

void MemberHome::setLimits(const HomeLimits &limits)
{
    m_limits = limits;
    m_queue.setLimits(limits.queue);
    m_pool.setMost(limits.connections);
}

HomeActions MemberHome::moveAway(TimePoint now)
{
    HomeActions actions;
    const std::map<WorkId, Parked> allParked = std::exchange(m_parked, {});
    for (const auto &[work, parked] : allParked) {
        reply(parked.request, Outcome::refusal(ErrorCode::NotHome), actions);
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
    pump(now, actions);
    return actions;
}

std::size_t MemberHome::waiting() const
{
    return m_waiting.size() + m_parked.size();
}

void MemberHome::dropConnection(ConnectionId connection, HomeActions &actions)
{
    m_pool.discard(connection);
    actions.emplace_back(CloseConnection{connection});
}

void MemberHome::breakTransaction(ConnectionId connection)
{
    if (const auto customer = m_transactions.breakOnConnection(connection)) {
        m_queue.releaseConnection(*customer);
    }
}

void MemberHome::freeTransactionStep(const HomeRequest &request)
{
    if (OpenTransaction *transaction = m_transactions.find(request.transaction, request.customer)) {
        transaction->isBusy = false;
    }
}

void MemberHome::reply(const HomeRequest &request, const Outcome &outcome, HomeActions &actions)
{
    actions.emplace_back(ReplyToRequest{request.id, outcome, {}, 0, m_dataFrom});
}

void MemberHome::confirm(const std::vector<WriteId> &writes, HomeActions &actions)
{
    for (const WriteId id : writes) {
        const Unconfirmed write = m_unconfirmed.at(id);
        m_unconfirmed.erase(id);
        actions.emplace_back(ReplyToRequest{id, write.answer.outcome, write.answer.at, 0, m_dataFrom});
    }
    askOthers(actions);
}

void MemberHome::doubtWrites(const std::vector<WriteId> &writes, HomeActions &actions)
{
    for (const WriteId id : writes) {
        reply(m_unconfirmed.at(id).request, Outcome::doubt(ErrorCode::Unconfirmed), actions);
        m_unconfirmed.erase(id);
    }
}

void MemberHome::askOthers(HomeActions &actions)
{
    for (const auto &[other, seenAt] : m_otherSeenAt) {
        const auto wanted = m_confirmations.wanted(other);
        if (wanted && m_confirmations.barrier() != UINT64_MAX && m_asked.insert(other).second) {
            actions.emplace_back(AskHeld{other, m_confirmations.term(), *wanted});
        }
    }
}

void MemberHome::releaseParked(TimePoint now, HomeActions &actions)
{
    const std::map<WorkId, Parked> allParked = std::exchange(m_parked, {});
    for (const auto &[work, parked] : allParked) {
        const auto refusal = refuse(parked.request, now);
        if (!refusal) {
            enqueue(parked.request, now, actions);
        } else if (refusal->code == ErrorCode::NotCovered && parked.until > now && mayParkForCoverage(parked.request)) {
            m_parked[work] = parked;
        } else {
            reply(parked.request, *refusal, actions);
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
        reply(request, Outcome::refusal(ErrorCode::NotPrimary, now + promotionPause), actions);
    }
}

} // namespace rattanbeam::decisions
