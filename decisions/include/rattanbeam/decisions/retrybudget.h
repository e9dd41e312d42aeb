#pragma once

#include "rattanbeam/decisions/timepoint.h"
#include "rattanbeam/decisions/verdict.h"

namespace rattanbeam::decisions
{

/// Keeps retries a bounded share of the requests, so that they never feed a flood: each request earns a fraction of a
/// retry, and a few are always in hand.
///
///     budget.earn();
///     if (budget.spend()) { sendAgain(); }
class RetryBudget
{
public:
    RetryBudget(double perRequest, double most) : m_perRequest(perRequest), m_most(most), m_balance(most)
    {}

    void earn();
    bool spend();

private:
    double m_perRequest;
    double m_most;
    double m_balance;
};

/// What an entry instance may do with a failed forward.
enum class RetryDecision {
    Answer, ///< Tell the caller.
    RetryAtOnce, ///< Another home or member may serve it now.
    RetryLater, ///< Wait for a promotion or a queue.
};

/// A failed request and what is known of it.
struct FailedAttempt {
    Outcome outcome;
    bool isWrite = false;
    bool inTransaction = false;
    /// The statement's transaction stores its request id, so that a repeat cannot run twice.
    bool hasStoredId = false;

    auto operator<=>(const FailedAttempt &) const = default;
};

/// Whether a failed attempt may be sent again: what did not run always may, what may have run only if a repeat is
/// idempotent. Refusals that a repeat cannot mend go to the caller.
RetryDecision decideRetry(const FailedAttempt &failed);

} // namespace rattanbeam::decisions
