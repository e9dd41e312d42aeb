#include "rattanbeam/decisions/retrybudget.h"

#include <algorithm>

namespace rattanbeam::decisions
{

void RetryBudget::earn()
{
    m_balance = std::min(m_most, m_balance + m_perRequest);
}

bool RetryBudget::spend()
{
    if (m_balance < 1) {
        return false;
    }
    m_balance -= 1;
    return true;
}

RetryDecision decideRetry(const FailedAttempt &failed)
{
    const bool mayRepeat
        = failed.outcome.verdict == Verdict::NotRun
          || (failed.outcome.verdict == Verdict::MayHaveRun && !failed.inTransaction && (!failed.isWrite || failed.hasStoredId));
    if (!mayRepeat || failed.inTransaction) {
        return RetryDecision::Answer;
    }
    switch (failed.outcome.code) {
    case ErrorCode::NotHome:
    case ErrorCode::NotCovered:
    case ErrorCode::PeerUnreachable:
    case ErrorCode::Draining:
        return RetryDecision::RetryAtOnce;
    case ErrorCode::NotPrimary:
    case ErrorCode::NoPrimary:
    case ErrorCode::MemberUnreachable:
    case ErrorCode::MemberRefused:
    case ErrorCode::ConnectionLost:
    case ErrorCode::Unconfirmed:
        return RetryDecision::RetryLater;
    default:
        return RetryDecision::Answer;
    }
}

} // namespace rattanbeam::decisions
