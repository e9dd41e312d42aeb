#pragma once

#include "rattanbeam/decisions/timepoint.h"
#include "rattanbeam/decisions/verdict.h"

namespace rattanbeam::decisions
{

/// Limits retries to a fraction of the requests, so that they cannot amplify an overload. Each request deposits a
/// fraction of a retry, and the initial balance of `maxBalance` allows a few retries from the start.
///
///     budget.deposit();
///     if (budget.tryWithdraw()) { sendAgain(); }
class RetryBudget
{
public:
    RetryBudget(double depositPerRequest, double maxBalance)
        : m_depositPerRequest(depositPerRequest), m_maxBalance(maxBalance), m_balance(maxBalance)
    {}

    void deposit();
    bool tryWithdraw();

private:
    double m_depositPerRequest;
    double m_maxBalance;
    double m_balance;
};

/// What an entry instance does after a forwarded request failed.
enum class RetryDecision {
    ReturnToCaller, ///< Return the failure to the caller.
    RetryImmediately, ///< Another home or member may be able to serve it now.
    RetryLater, ///< A promotion must finish or a queue must drain first.
};

/// A failed attempt at a request, with what decides whether to retry it.
struct FailedAttempt {
    Outcome outcome;
    bool isWrite = false;
    bool isInTransaction = false;
    /// The statement's transaction stores the request id, so that a retry cannot run it twice.
    bool hasStoredRequestId = false;

    auto operator<=>(const FailedAttempt &) const = default;
};

/// Whether to retry a failed attempt. A request that did not run is safe to retry; one that may have run only if the
/// retry is idempotent. Failures that a retry cannot fix go to the caller.
RetryDecision decideRetry(const FailedAttempt &attempt);

} // namespace rattanbeam::decisions
