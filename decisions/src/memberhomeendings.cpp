// How a member's home ends requests: answers, confirmations, deadlines and abandoned requests.

#include "rattanbeam/decisions/memberhome.h"

#include "homeoperations.h"

#include <algorithm>
#include <utility>

namespace rattanbeam::decisions
{

HomeActions MemberHome::answered(ConnectionId connection, WorkId work, const MemberAnswer &answer, TimePoint now)
{
    HomeActions actions;
    const auto found = m_inFlight.find(work);
    if (found == m_inFlight.end() || found->second.connection != connection) {
        // The answer belongs to an ended request or to another connection, so this connection can no longer be trusted to
        // carry the answers of its own requests.
        dropConnection(connection, actions);
        for (const HomeAction &action : connectionClosed(connection, now)) {
            actions.push_back(action);
        }
        return actions;
    }
    const InFlightRequest inFlightRequest = found->second;
    m_inFlight.erase(found);
    m_queue.finished(work, now);
    updateConnectionState(inFlightRequest, answer, now, actions);
    if (answer.outcome.isSuccess()) {
        finishSuccess(inFlightRequest, answer, now, actions);
    } else {
        reply(inFlightRequest.request, answer.outcome, actions);
    }
    requestConfirmations(actions);
    dispatch(now, actions);
    return actions;
}

void MemberHome::updateConnectionState(const InFlightRequest &inFlightRequest,
                                       const MemberAnswer &answer,
                                       TimePoint now,
                                       HomeActions &actions)
{
    const HomeRequest &request = inFlightRequest.request;
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
        dropConnection(inFlightRequest.connection, actions);
    } else if (request.operation != HomeOperation::Begin || !answer.outcome.isSuccess()) {
        m_pool.release(inFlightRequest.connection);
    }
}

void MemberHome::finishSuccess(const InFlightRequest &inFlightRequest, const MemberAnswer &answer, TimePoint now, HomeActions &actions)
{
    const HomeRequest &request = inFlightRequest.request;
    if (request.operation == HomeOperation::Begin) {
        const TransactionId id = m_transactions.open(request.customer, inFlightRequest.connection, now + m_limits.transactionIdle);
        m_queue.holdConnection(request.customer);
        actions.emplace_back(ReplyToRequest{request.id, answer.outcome, answer.at, id, m_completeAsOf});
    } else if (commitsWrite(request)) {
        replyWhenConfirmed(inFlightRequest, answer, actions);
    } else {
        finishRead(inFlightRequest, answer, now, actions);
    }
}

void MemberHome::replyWhenConfirmed(const InFlightRequest &inFlightRequest, const MemberAnswer &answer, HomeActions &actions)
{
    // A commit without changes has no log entry to confirm.
    if (answer.at.position == 0 || m_confirmations.add(inFlightRequest.request.id, answer.at.position)) {
        actions.emplace_back(ReplyToRequest{inFlightRequest.request.id, answer.outcome, answer.at, 0, m_completeAsOf});
        return;
    }
    m_unconfirmed[inFlightRequest.request.id] = {inFlightRequest.request, answer};
}

void MemberHome::finishRead(const InFlightRequest &inFlightRequest, const MemberAnswer &answer, TimePoint now, HomeActions &actions)
{
    const HomeRequest &request = inFlightRequest.request;
    if (continuesTransaction(request.operation)) {
        actions.emplace_back(ReplyToRequest{request.id, answer.outcome, answer.at, 0, m_completeAsOf});
        return;
    }
    const Coverage coverage = request.required ? coverageOf(*request.required, answer.at.position, m_status->history) : Coverage::Covered;
    if (coverage != Coverage::Covered) {
        reply(request, Outcome::refusal(coverage == Coverage::Lost ? ErrorCode::PositionLost : ErrorCode::NotCovered), actions);
    } else if (now - m_completeAsOf > request.maxAge) {
        reply(request, Outcome::refusal(ErrorCode::TooStale, now + refusalRetryDelay), actions);
    } else if (m_status->isPrimary) {
        // The data may include writes that a promotion could still lose.
        replyWhenConfirmed(inFlightRequest, answer, actions);
    } else {
        actions.emplace_back(ReplyToRequest{request.id, answer.outcome, answer.at, 0, m_completeAsOf});
    }
}

void MemberHome::abandonInFlight(TimePoint now, HomeActions &actions)
{
    const std::map<WorkId, InFlightRequest> inFlight = m_inFlight;
    for (const auto &[work, inFlightRequest] : inFlight) {
        abandon(inFlightRequest, ErrorCode::ConnectionLost, now, actions);
    }
    std::vector<WriteId> unconfirmed;
    for (const auto &[work, write] : m_unconfirmed) {
        unconfirmed.push_back(work);
    }
    for (const WriteId id : unconfirmed) {
        m_confirmations.remove(id);
    }
    replyUnconfirmed(unconfirmed, actions);
}

void MemberHome::abandon(const InFlightRequest &inFlightRequest, ErrorCode code, TimePoint now, HomeActions &actions)
{
    m_inFlight.erase(inFlightRequest.request.id);
    m_queue.finished(inFlightRequest.request.id, now);
    markTransactionLost(inFlightRequest.connection);
    dropConnection(inFlightRequest.connection, actions);
    reply(inFlightRequest.request, Outcome::inDoubt(code), actions);
}

void MemberHome::rollBackIdleTransactions(TimePoint now, HomeActions &actions)
{
    for (const ConnectionId connection : m_transactions.idleExpired(now)) {
        markTransactionLost(connection);
        dropConnection(connection, actions);
    }
}

void MemberHome::endOverdue(TimePoint now, HomeActions &actions)
{
    std::vector<InFlightRequest> overdue;
    for (const auto &[work, inFlightRequest] : m_inFlight) {
        if (inFlightRequest.request.deadline <= now) {
            overdue.push_back(inFlightRequest);
        }
    }
    for (const InFlightRequest &inFlightRequest : overdue) {
        abandon(inFlightRequest, ErrorCode::DeadlineExceeded, now, actions);
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
    replyUnconfirmed(late, actions);
}

void MemberHome::dropConnection(ConnectionId connection, HomeActions &actions)
{
    m_pool.discard(connection);
    actions.emplace_back(CloseConnection{connection});
}

void MemberHome::markTransactionLost(ConnectionId connection)
{
    if (const auto customer = m_transactions.markLostOn(connection)) {
        m_queue.releaseConnection(*customer);
    }
}

void MemberHome::endTransactionStep(const HomeRequest &request)
{
    if (OpenTransaction *transaction = m_transactions.find(request.transaction, request.customer)) {
        transaction->isBusy = false;
    }
}

void MemberHome::reply(const HomeRequest &request, const Outcome &outcome, HomeActions &actions)
{
    actions.emplace_back(ReplyToRequest{request.id, outcome, {}, 0, m_completeAsOf});
}

void MemberHome::replyConfirmed(const std::vector<WriteId> &writes, HomeActions &actions)
{
    for (const WriteId id : writes) {
        const UnconfirmedAnswer write = m_unconfirmed.at(id);
        m_unconfirmed.erase(id);
        actions.emplace_back(ReplyToRequest{id, write.answer.outcome, write.answer.at, 0, m_completeAsOf});
    }
    requestConfirmations(actions);
}

void MemberHome::replyUnconfirmed(const std::vector<WriteId> &writes, HomeActions &actions)
{
    for (const WriteId id : writes) {
        reply(m_unconfirmed.at(id).request, Outcome::inDoubt(ErrorCode::Unconfirmed), actions);
        m_unconfirmed.erase(id);
    }
}

void MemberHome::requestConfirmations(HomeActions &actions)
{
    for (const auto &[other, heardAt] : m_otherHeardAt) {
        const auto position = m_confirmations.nextAwaitedPosition(other);
        if (position && m_pendingConfirmations.insert(other).second) {
            actions.emplace_back(RequestConfirmation{other, m_confirmations.term(), *position});
        }
    }
}

} // namespace rattanbeam::decisions
