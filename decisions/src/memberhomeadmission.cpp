// Which requests a member's home refuses, and why.

#include "rattanbeam/decisions/memberhome.h"

#include "homeoperations.h"

#include <algorithm>

namespace rattanbeam::decisions
{

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

} // namespace rattanbeam::decisions
