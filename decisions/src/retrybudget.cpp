#include "rattanbeam/decisions/retrybudget.h"

#include <algorithm>

namespace rattanbeam::decisions
{

void RetryBudget::deposit()
{
    m_balance = std::min(m_maxBalance, m_balance + m_depositPerRequest);
}

bool RetryBudget::tryWithdraw()
{
    if (m_balance < 1) {
        return false;
    }
    m_balance -= 1;
    return true;
}

RetryDecision decideRetry(const FailedAttempt &attempt)
{
    const bool isSafeToRetry = attempt.outcome.verdict == Verdict::NotRun
                               || (attempt.outcome.verdict == Verdict::MayHaveRun && !attempt.isInTransaction
                                   && (!attempt.isWrite || attempt.hasStoredRequestId));
    if (!isSafeToRetry || attempt.isInTransaction) {
        return RetryDecision::ReturnToCaller;
    }
    switch (attempt.outcome.code) {
    case ErrorCode::NotHome:
    case ErrorCode::NotCovered:
    case ErrorCode::PeerUnreachable:
    case ErrorCode::Draining:
        return RetryDecision::RetryImmediately;
    case ErrorCode::NotPrimary:
    case ErrorCode::NoPrimary:
    case ErrorCode::MemberUnreachable:
    case ErrorCode::MemberRefused:
    case ErrorCode::ConnectionLost:
    case ErrorCode::Unconfirmed:
        return RetryDecision::RetryLater;
    default:
        return RetryDecision::ReturnToCaller;
    }
}

} // namespace rattanbeam::decisions
