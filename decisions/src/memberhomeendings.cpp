// How a member's home ends requests: answers, confirmations, and what is given up.

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
    reply(flight.request, Outcome::inDoubt(code), actions);
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
        reply(m_unconfirmed.at(id).request, Outcome::inDoubt(ErrorCode::Unconfirmed), actions);
        m_unconfirmed.erase(id);
    }
}

void MemberHome::askOthers(HomeActions &actions)
{
    for (const auto &[other, seenAt] : m_otherSeenAt) {
        const auto wanted = m_confirmations.wanted(other);
        if (wanted && m_asked.insert(other).second) {
            actions.emplace_back(AskHeld{other, m_confirmations.term(), *wanted});
        }
    }
}

} // namespace rattanbeam::decisions
