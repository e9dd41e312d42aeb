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
    const InFlightRequest inFlight = found->second;
    m_inFlight.erase(found);
    m_queue.finished(work, now);
    updateConnectionState(inFlight, answer, now, actions);
    if (answer.outcome.isSuccess()) {
        finishSuccess(inFlight, answer, now, actions);
    } else {
        reply(inFlight.request, answer.outcome, actions);
    }
    requestConfirmations(actions);
    dispatch(now, actions);
    return actions;
}

void MemberHome::updateConnectionState(const InFlightRequest &inFlight, const MemberAnswer &answer, TimePoint now, HomeActions &actions)
{
    const HomeRequest &request = inFlight.request;
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
        dropConnection(inFlight.connection, actions);
    } else if (request.operation != HomeOperation::Begin || !answer.outcome.isSuccess()) {
        m_pool.release(inFlight.connection);
    }
}

void MemberHome::finishSuccess(const InFlightRequest &inFlight, const MemberAnswer &answer, TimePoint now, HomeActions &actions)
{
    const HomeRequest &request = inFlight.request;
    if (request.operation == HomeOperation::Begin) {
        const TransactionId id = m_transactions.open(request.customer, inFlight.connection, now + m_limits.transactionIdle);
        m_queue.holdConnection(request.customer);
        actions.emplace_back(ReplyToRequest{request.id, answer.outcome, answer.at, id, m_dataFrom});
    } else if (commitsWrite(request)) {
        replyWhenConfirmed(inFlight, answer, actions);
    } else {
        finishRead(inFlight, answer, now, actions);
    }
}

void MemberHome::replyWhenConfirmed(const InFlightRequest &inFlight, const MemberAnswer &answer, HomeActions &actions)
{
    // A commit without changes has no log entry to confirm.
    if (answer.at.position == 0 || m_confirmations.add(inFlight.request.id, answer.at.position)) {
        actions.emplace_back(ReplyToRequest{inFlight.request.id, answer.outcome, answer.at, 0, m_dataFrom});
        return;
    }
    m_unconfirmed[inFlight.request.id] = {inFlight.request, answer};
}

void MemberHome::finishRead(const InFlightRequest &inFlight, const MemberAnswer &answer, TimePoint now, HomeActions &actions)
{
    const HomeRequest &request = inFlight.request;
    if (continuesTransaction(request.operation)) {
        actions.emplace_back(ReplyToRequest{request.id, answer.outcome, answer.at, 0, m_dataFrom});
        return;
    }
    const Coverage coverage = request.required ? coverageOf(*request.required, answer.at.position, m_status->history) : Coverage::Covered;
    if (coverage != Coverage::Covered) {
        reply(request, Outcome::refusal(coverage == Coverage::Lost ? ErrorCode::PositionLost : ErrorCode::NotCovered), actions);
    } else if (now - m_dataFrom > request.maxAge) {
        reply(request, Outcome::refusal(ErrorCode::TooStale, now + refusalRetryDelay), actions);
    } else if (m_status->isPrimary) {
        // The data may include writes that a promotion could still lose.
        replyWhenConfirmed(inFlight, answer, actions);
    } else {
        actions.emplace_back(ReplyToRequest{request.id, answer.outcome, answer.at, 0, m_dataFrom});
    }
}

void MemberHome::abandonInFlight(TimePoint now, HomeActions &actions)
{
    const std::map<WorkId, InFlightRequest> allInFlight = m_inFlight;
    for (const auto &[work, inFlight] : allInFlight) {
        abandon(inFlight, ErrorCode::ConnectionLost, now, actions);
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

void MemberHome::abandon(const InFlightRequest &inFlight, ErrorCode code, TimePoint now, HomeActions &actions)
{
    m_inFlight.erase(inFlight.request.id);
    m_queue.finished(inFlight.request.id, now);
    markTransactionLost(inFlight.connection);
    dropConnection(inFlight.connection, actions);
    reply(inFlight.request, Outcome::inDoubt(code), actions);
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
    for (const auto &[work, inFlight] : m_inFlight) {
        if (inFlight.request.deadline <= now) {
            overdue.push_back(inFlight);
        }
    }
    for (const InFlightRequest &inFlight : overdue) {
        abandon(inFlight, ErrorCode::DeadlineExceeded, now, actions);
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
    actions.emplace_back(ReplyToRequest{request.id, outcome, {}, 0, m_dataFrom});
}

void MemberHome::replyConfirmed(const std::vector<WriteId> &writes, HomeActions &actions)
{
    for (const WriteId id : writes) {
        const UnconfirmedAnswer write = m_unconfirmed.at(id);
        m_unconfirmed.erase(id);
        actions.emplace_back(ReplyToRequest{id, write.answer.outcome, write.answer.at, 0, m_dataFrom});
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
        if (position && m_membersAsked.insert(other).second) {
            actions.emplace_back(RequestConfirmation{other, m_confirmations.term(), *position});
        }
    }
}

} // namespace rattanbeam::decisions
