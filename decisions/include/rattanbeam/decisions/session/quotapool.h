#pragma once

#include "rattanbeam/decisions/session/quotamessages.h"

#include <map>
#include <set>
#include <vector>

namespace rattanbeam::decisions::session
{

/// Grants tokens from the quota shares that instances have delegated to this one. Each workspace has a token bucket with the rate and
/// burst of those shares. It starts empty.
///
/// A bucket's level and the tokens that were granted but may still be spent never exceed its burst together, so that a burst cannot be
/// spent twice around the time at which grants expire.
///
///     QuotaPool pool(bound, now);
///     pool.setLimits(limits, now);
///     send(pool.handleRequest(instance, request, now));
class QuotaPool
{
public:
    QuotaPool(const QuotaBound &bound, TimePoint startedAt);

    void setLimits(const QuotaLimits &limits, TimePoint now);
    /// Number of instances among which the quotas are divided.
    void setInstances(std::uint32_t instances, TimePoint now);
    /// Whether this instance's own share counts, because it is not delegated to another pool.
    void setOwnShare(bool isCounted, TimePoint now);
    QuotaReply handleRequest(const InstanceId &sender, const QuotaRequest &request, TimePoint now);

    /// The instances whose delegated shares count at `now`.
    std::vector<InstanceId> delegatedShares(TimePoint now) const;
    bool isOwnShareCounted() const
    {
        return m_isOwnShareCounted;
    }
    /// Number of instances that delegate their share to this pool.
    std::size_t delegations() const
    {
        return m_delegations.size();
    }

private:
    struct Outstanding {
        InstanceId holder;
        std::uint64_t stamp = 0;
        TimePoint expiresAt;
        std::uint32_t tokens = 0;
    };
    struct Bucket {
        QuotaLimit limit;
        double level = 0;
        TimePoint updatedAt;
        /// Grants that may still be spent, oldest first.
        std::vector<Outstanding> outstanding;
    };
    struct Delegation {
        TimePoint expiresAt;
        std::uint32_t knownInstances = 0;
    };

    struct Denial {
        std::uint64_t run = 0;
        std::uint64_t stamp = 0;
    };

    double shareOfWhole() const;
    double capacity(const Bucket &bucket) const;
    /// Ends the delegations that have expired, each at its own time.
    void advance(TimePoint now);
    void accrue(Bucket &bucket, TimePoint until) const;
    void accrueAll(TimePoint until);
    void updateDivisor();
    bool isOwnStamp(std::uint64_t stamp, TimePoint now) const;
    void addDelegation(const InstanceId &sender, const QuotaRequest &request, TimePoint now);
    /// Applies what the sender reports on its earlier grants.
    static void settle(Bucket &bucket, const InstanceId &sender, std::uint64_t echo, const QuotaAsk &ask);
    Duration untilNextToken(const Bucket &bucket) const;
    QuotaGrant grant(const InstanceId &sender, const QuotaRequest &request, const QuotaAsk &ask, std::uint64_t stamp, TimePoint now);

    QuotaBound m_bound;
    TimePoint m_startedAt;
    std::map<WorkspaceName, Bucket> m_buckets;
    std::uint32_t m_instances = 1;
    /// The largest number of instances that this pool or a delegating instance knows.
    std::uint32_t m_divisor = 1;
    bool m_isOwnShareCounted = false;
    std::map<InstanceId, Delegation> m_delegations;
    /// No delegation expires before this time.
    TimePoint m_nextExpiry = TimePoint::max();
    std::uint64_t m_lastStamp = 0;
    /// The run of an instance that was first told that its share is not held here, and the stamp of that reply. A request of an earlier run
    /// may arrive after it, and must not delegate the share again.
    std::map<InstanceId, Denial> m_denials;
};

} // namespace rattanbeam::decisions::session
