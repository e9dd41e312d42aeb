// Admission control of a member's home: which requests it refuses, and why.

#include "rattanbeam/decisions/memberhome.h"

#include "homeoperations.h"

#include <algorithm>

namespace rattanbeam::decisions
{

std::optional<Outcome> MemberHome::refusalFor(const HomeRequest &request, TimePoint now)
{
    if (request.deadline <= now) {
        return Outcome::refusal(ErrorCode::DeadlineUnreachable);
    }
    if (!m_status) {
        return Outcome::refusal(ErrorCode::MemberUnreachable, now + refusalRetryDelay);
    }
    if (continuesTransaction(request.operation)) {
        return stepRefusal(request);
    }
    if (request.operation == HomeOperation::Begin) {
        return beginRefusal(request, now);
    }
    if (request.isWrite) {
        return writeRefusal(now);
    }
    return readRefusal(request, now);
}

std::optional<Outcome> MemberHome::beginRefusal(const HomeRequest &request, TimePoint now) const
{
    // Transactions below the urgent rank leave a quarter of the connections, rounded up, to urgent work.
    const std::size_t reserve = request.rank == Rank::Urgent ? 0 : (m_limits.connections + 3) / 4;
    const bool isFull = m_transactions.openCount() + reserve >= m_limits.connections;
    if (isFull || m_queue.heldConnections(request.customer) >= request.connectionLimit) {
        return Outcome::refusal(ErrorCode::ConnectionLimit, now + refusalRetryDelay);
    }
    return writeRefusal(now);
}

std::optional<Outcome> MemberHome::writeRefusal(TimePoint now) const
{
    if (!m_status->isPrimary || m_highestTermSeen > m_status->term) {
        return Outcome::refusal(ErrorCode::NotPrimary, now + refusalRetryDelay);
    }
    if (!canConfirm(now)) {
        return Outcome::refusal(ErrorCode::CannotConfirm, now + refusalRetryDelay);
    }
    return std::nullopt;
}

std::optional<Outcome> MemberHome::readRefusal(const HomeRequest &request, TimePoint now) const
{
    if (m_status->isLeaving && !m_status->isPrimary) {
        return Outcome::refusal(ErrorCode::NotCovered);
    }
    if (now - m_completeAsOf > request.maxAge) {
        return Outcome::refusal(ErrorCode::TooStale, now + refusalRetryDelay);
    }
    if (!request.required) {
        return std::nullopt;
    }
    switch (coverageOf(*request.required, m_status->applied, m_status->history)) {
    case Coverage::Covered:
        return std::nullopt;
    case Coverage::Behind:
        // A primary applies its own log at once. If it seems to be behind an entry of its own or an earlier term, its last
        // status is merely out of date.
        if (m_status->isPrimary && request.required->term <= m_status->term) {
            return std::nullopt;
        }
        return Outcome::refusal(ErrorCode::NotCovered);
    case Coverage::Lost:
        break;
    }
    return Outcome::refusal(ErrorCode::PositionLost);
}

std::optional<Outcome> MemberHome::stepRefusal(const HomeRequest &request)
{
    const OpenTransaction *transaction = m_transactions.find(request.transaction, request.customer);
    if (transaction == nullptr) {
        return Outcome::refusal(ErrorCode::UnknownTransaction);
    }
    if (transaction->isLost) {
        m_transactions.close(request.transaction);
        return Outcome::refusal(ErrorCode::TransactionLost);
    }
    if (transaction->isBusy) {
        return Outcome::refusal(ErrorCode::MalformedRequest);
    }
    return std::nullopt;
}

bool MemberHome::mayWaitForReplica(const HomeRequest &request) const
{
    return m_delayedReads.size() < m_limits.queue.capacity && request.required && !m_status->isLeaving
           && request.required->position > m_status->applied;
}

bool MemberHome::canConfirm(TimePoint now) const
{
    const auto recentlyHeard = std::count_if(m_otherHeardAt.begin(), m_otherHeardAt.end(), [&](const auto &each) {
        return now - each.second <= m_limits.maxMemberSilence;
    });
    return static_cast<std::size_t>(recentlyHeard) >= m_limits.confirmationsNeeded;
}

} // namespace rattanbeam::decisions
