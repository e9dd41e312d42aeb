#pragma once

#include "rattanbeam/decisions/session/quotamessages.h"
#include "rattanbeam/decisions/session/quotapool.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rattanbeam::decisions::session
{

using QuotaOperation = std::uint64_t;

/// Outcome for an operation that was not refused or admitted at once.
struct QuotaOutcome {
    QuotaOperation operation = 0;
    bool isAdmitted = false;
    Duration retryAfter{};
};

enum class QuotaVerdict {
    Admitted,
    Refused,
    /// The outcome follows in takeOutcomes().
    Waiting,
};

struct QuotaDecision {
    QuotaVerdict verdict = QuotaVerdict::Admitted;
    /// When the next operation of the workspace has a chance; set if the verdict is Refused.
    Duration retryAfter{};
};

struct QuotaMessage {
    InstanceId pool;
    QuotaRequest request;
};

/// One instance's part in workspace quotas: chooses the pool to which it delegates its share, asks it for tokens, and admits or refuses
/// operations. Contains the pool that this instance provides for others, or for itself while it reaches no other.
///
///     QuotaShare quotas(self, bound, now);
///     quotas.setLimits(limits, now); quotas.setFleet(poolOrder, instances, isRegistered, now);
///     const QuotaDecision decision = quotas.request(operation, workspace, deadline, now);
///     for (const QuotaMessage &message : quotas.takeMessages(now)) { send(message); }
class QuotaShare
{
public:
    QuotaShare(InstanceId self, const QuotaBound &bound, TimePoint startedAt);

    void setLimits(const QuotaLimits &limits, TimePoint now);
    /// `poolOrder`: the instances that may be the pool, most preferred first; if it contains this one, those after it are not used.
    /// `instances`: among how many the quotas are divided. A share is used only while its instance `isRegistered`, so that the others count
    /// it.
    void setFleet(std::vector<InstanceId> poolOrder, std::uint32_t instances, bool isRegistered, TimePoint now);
    /// Whether one operation of each workspace may be admitted before its token has arrived.
    void setAdvances(bool areAllowed)
    {
        m_areAdvancesAllowed = areAllowed;
    }
    bool isEnabled() const
    {
        return !m_limits.empty();
    }
    bool isLimited(const WorkspaceName &workspace) const
    {
        return m_limits.contains(workspace);
    }

    QuotaDecision request(QuotaOperation operation, const WorkspaceName &workspace, TimePoint deadline, TimePoint now);
    /// A waiting operation is no longer wanted.
    void cancel(QuotaOperation operation);
    QuotaReply handleRequest(const InstanceId &sender, const QuotaRequest &request, TimePoint now);
    void replyArrived(const InstanceId &pool, const QuotaReply &reply, TimePoint now);
    /// A message to the instance could not be sent.
    void unreachable(const InstanceId &instance, TimePoint now);
    void tick(TimePoint now);

    /// The requests to other instances that are due.
    std::vector<QuotaMessage> takeMessages(TimePoint now);
    std::vector<QuotaOutcome> takeOutcomes();

    /// The pool that this instance delegates to or is about to; empty while none is chosen.
    const InstanceId &pool() const
    {
        return m_target;
    }
    /// Number of instances that delegate their share to this one.
    std::size_t delegations() const
    {
        return m_pool.delegations();
    }
    /// The instances whose shares the pool of this instance may use at `now`. No share is in force at two instances.
    std::vector<InstanceId> sharesInForce(TimePoint now) const;
    std::uint64_t tokensGranted() const
    {
        return m_tokensGranted;
    }
    std::size_t waiting() const
    {
        return m_waiting;
    }

private:
    struct Grant {
        std::uint32_t tokens = 0;
        TimePoint expiresAt;
    };
    struct Waiter {
        QuotaOperation operation = 0;
        TimePoint expiresAt;
    };
    /// What this instance holds and wants of one workspace.
    struct Account {
        std::deque<Grant> grants;
        std::deque<Waiter> waiters;
        /// Operations that were admitted in advance, 0 or 1.
        std::uint32_t debt = 0;
        /// When the debt should be settled.
        TimePoint settleAt = TimePoint::max();
        /// Operations without a token are refused until this time, and the pool expects to have a token at `retryAt`.
        TimePoint emptyUntil = distantPast;
        TimePoint retryAt = distantPast;
        /// Tokens were spent since the last report to the pool.
        bool hasUnreported = false;
        /// Number of recent operations, older ones weigh less.
        double recentOperations = 0;
        TimePoint recentAt;
    };
    /// What is known of another instance as a pool.
    struct Peer {
        std::uint64_t stamp = 0;
        TimePoint stampReceivedAt = distantPast;
        TimePoint lastReplyAt = distantPast;
        /// Time of the first request since the last reply.
        TimePoint unansweredSince = distantPast;
        bool isDown = false;
        /// A pool that answers again is used only after it has answered for a while.
        TimePoint quarantinedUntil = distantPast;
        TimePoint lastSentAt = distantPast;
        std::uint64_t lastHandledNumber = 0;
        /// Whether it has told this run that it holds no share of an earlier one.
        bool hasDeniedShare = false;
    };
    /// A request that asked for tokens, without a reply so far.
    struct PendingAsk {
        std::uint64_t number = 0;
        InstanceId pool;
        TimePoint sentAt;
    };
    enum class PeerState {
        Alive,
        Unknown,
        Down,
    };

    PeerState stateOf(const InstanceId &instance, TimePoint now) const;
    void chooseTarget(TimePoint now);
    bool isPastAbstention(TimePoint now) const;
    bool haveAllPoolsDeniedShare() const;
    std::size_t candidateCount() const;
    bool ownsShare(TimePoint now) const;
    bool coversOldGrants() const;
    bool canDelegateTo(const InstanceId &instance, TimePoint now) const;
    /// The pool that is asked for tokens.
    InstanceId askedPool(TimePoint now) const;
    void updateOwnShare(TimePoint now);
    QuotaRequest makeRequest(const InstanceId &pool, bool withAsks, TimePoint now);
    void appendAsks(QuotaRequest &request, TimePoint now);
    bool isAskDue(TimePoint now);
    bool isAskDue(Account &account, TimePoint now) const;
    void applyGrant(const QuotaGrant &grant, TimePoint validUntil, TimePoint now);
    void serveSelf(TimePoint now);
    void sendDue(TimePoint now);
    void send(const InstanceId &pool, bool withAsks, TimePoint now);
    void endWaiters(Account &account, bool areAdmitted, Duration retryAfter);
    static void expireGrants(Account &account, TimePoint now);
    static std::uint32_t heldTokens(const Account &account);
    static bool takeToken(Account &account);
    static double recentOperations(const Account &account, TimePoint now);
    static double expectedOperations(const Account &account, Duration period, TimePoint now);
    /// How long an operation should wait before it is sent again while the pool does not answer.
    Duration retryWithoutPool(TimePoint now) const;

    InstanceId m_self;
    QuotaBound m_bound;
    TimePoint m_startedAt;
    QuotaPool m_pool;
    QuotaLimits m_limits;
    std::vector<InstanceId> m_poolOrder;
    std::uint32_t m_instances = 1;
    bool m_isRegistered = false;
    /// Whether no pool can hold a share that an earlier run of this instance delegated.
    bool m_isFormerShareFree = false;
    bool m_areAdvancesAllowed = false;
    InstanceId m_target;
    /// This instance's share may be counted by this other pool until `m_committedUntil`.
    InstanceId m_committedTo;
    TimePoint m_committedUntil = distantPast;
    /// When this instance's own pool used its share last.
    TimePoint m_ownShareUsedAt = distantPast;
    std::map<InstanceId, Peer> m_peers;
    std::map<WorkspaceName, Account> m_accounts;
    std::size_t m_waiting = 0;
    std::uint64_t m_run;
    std::uint64_t m_lastNumber;
    std::deque<PendingAsk> m_pendingAsks;
    TimePoint m_lastAskAt = distantPast;
    std::vector<QuotaMessage> m_messages;
    std::vector<QuotaOutcome> m_outcomes;
    std::uint64_t m_tokensGranted = 0;
};

} // namespace rattanbeam::decisions::session
