#include "rattanbeam/decisions/session/quotapool.h"

#include <algorithm>
#include <cmath>

namespace rattanbeam::decisions::session
{

using namespace std::chrono_literals;

namespace
{

constexpr Duration minRetryAfter = 50ms; // a home that is refused asks no more often than this
constexpr Duration nearlyEmpty = 20ms; // a bucket with fewer tokens than accrue in this time serves no expectations
constexpr Duration maxRetryAfter = 5s;
// Half of the slack is left for operations that homes admit in advance; the other half allows this many pools to hold a whole token.
constexpr double slackShareOfPools = 0.5;

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::uint64_t stampOf(TimePoint time)
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count());
}

TimePoint timeOf(std::uint64_t stamp)
{
    return TimePoint(std::chrono::microseconds(stamp));
}

} // namespace

QuotaLimits quotaLimitsOf(const FleetConfiguration &configuration)
{
    QuotaLimits limits;
    if (configuration.workspaces) {
        for (const Workspace &workspace : *configuration.workspaces) {
            if (workspace.ratePerSecond > 0) {
                limits[workspace.name] = {workspace.ratePerSecond, std::max(1.0, workspace.burst)};
            }
        }
    }
    return limits;
}

QuotaPool::QuotaPool(const QuotaBound &bound, TimePoint startedAt) : m_bound(bound), m_startedAt(startedAt)
{}

void QuotaPool::setLimits(const QuotaLimits &limits, TimePoint now)
{
    advance(now);
    accrueAll(now);
    std::erase_if(m_buckets, [&](const auto &entry) {
        return !limits.contains(entry.first);
    });
    for (const auto &[name, limit] : limits) {
        const auto [found, isNew] = m_buckets.try_emplace(name);
        found->second.limit = limit;
        found->second.updatedAt = isNew ? now : found->second.updatedAt;
    }
}

void QuotaPool::setInstances(std::uint32_t instances, TimePoint now)
{
    if (instances != m_instances) {
        advance(now);
        accrueAll(now);
        m_instances = instances;
        updateDivisor();
    }
}

void QuotaPool::setOwnShare(bool isCounted, TimePoint now)
{
    if (isCounted != m_isOwnShareCounted) {
        advance(now);
        accrueAll(now);
        m_isOwnShareCounted = isCounted;
        updateDivisor();
    }
}

std::vector<InstanceId> QuotaPool::delegatedShares(TimePoint now) const
{
    std::vector<InstanceId> shares;
    for (const auto &[instance, delegation] : m_delegations) {
        if (delegation.expiresAt > now) {
            shares.push_back(instance);
        }
    }
    return shares;
}

double QuotaPool::shareOfWhole() const
{
    return static_cast<double>(m_delegations.size() + (m_isOwnShareCounted ? 1 : 0)) / m_divisor;
}

double QuotaPool::capacity(const Bucket &bucket) const
{
    const double share = shareOfWhole();
    const double capacity = bucket.limit.burst * share;
    const bool mayHoldWholeToken = share * m_bound.slack * slackShareOfPools >= 1;
    return mayHoldWholeToken ? std::max(capacity, 1.0) : capacity;
}

void QuotaPool::advance(TimePoint now)
{
    while (now >= m_nextExpiry) {
        const auto earliest = std::min_element(m_delegations.begin(), m_delegations.end(), [](const auto &left, const auto &right) {
            return left.second.expiresAt < right.second.expiresAt;
        });
        if (earliest == m_delegations.end()) {
            m_nextExpiry = TimePoint::max();
        } else if (earliest->second.expiresAt > now) {
            m_nextExpiry = earliest->second.expiresAt;
        } else {
            accrueAll(earliest->second.expiresAt);
            m_delegations.erase(earliest);
            updateDivisor();
        }
    }
}

void QuotaPool::updateDivisor()
{
    const std::size_t shares = m_delegations.size() + (m_isOwnShareCounted ? 1 : 0);
    m_divisor = std::max({m_instances, static_cast<std::uint32_t>(shares), 1U});
    for (const auto &[instance, delegation] : m_delegations) {
        m_divisor = std::max(m_divisor, delegation.knownInstances);
    }
}

void QuotaPool::accrue(Bucket &bucket, TimePoint until) const
{
    const double rate = bucket.limit.ratePerSecond * shareOfWhole();
    const double limit = capacity(bucket);
    while (bucket.updatedAt < until) {
        TimePoint stepEnd = until;
        double outstanding = 0;
        for (const Outstanding &grant : bucket.outstanding) {
            stepEnd = std::min(stepEnd, std::max(grant.expiresAt, bucket.updatedAt));
            outstanding += grant.tokens;
        }
        bucket.level = std::min(bucket.level + rate * secondsOf(stepEnd - bucket.updatedAt), std::max(0.0, limit - outstanding));
        bucket.updatedAt = stepEnd;
        std::erase_if(bucket.outstanding, [&](const Outstanding &grant) {
            return grant.expiresAt <= stepEnd;
        });
    }
}

void QuotaPool::accrueAll(TimePoint until)
{
    for (auto &[name, bucket] : m_buckets) {
        accrue(bucket, until);
    }
}

/// A stamp of an earlier run of this instance tells nothing about delegations to this run.
bool QuotaPool::isOwnStamp(std::uint64_t stamp, TimePoint now) const
{
    return stamp != 0 && stamp >= stampOf(m_startedAt) && stamp <= std::max(m_lastStamp, stampOf(now));
}

void QuotaPool::addDelegation(const InstanceId &sender, const QuotaRequest &request, TimePoint now)
{
    if (!request.delegates || !isOwnStamp(request.echo, now)) {
        return;
    }
    const auto denial = m_denials.find(sender);
    if (denial != m_denials.end() && denial->second.run != request.run && request.echo < denial->second.stamp) {
        return;
    }
    const TimePoint expiresAt = timeOf(request.echo) + delegationPeriod;
    if (expiresAt <= now) {
        return;
    }
    const auto found = m_delegations.find(sender);
    if (found != m_delegations.end() && found->second.knownInstances == request.instances) {
        found->second.expiresAt = std::max(found->second.expiresAt, expiresAt);
        return;
    }
    accrueAll(now);
    Delegation &delegation = m_delegations[sender];
    delegation.expiresAt = std::max(delegation.expiresAt, expiresAt);
    delegation.knownInstances = request.instances;
    m_nextExpiry = std::min(m_nextExpiry, delegation.expiresAt);
    updateDivisor();
}

void QuotaPool::settle(Bucket &bucket, const InstanceId &sender, std::uint64_t echo, const QuotaAsk &ask)
{
    const auto isReported = [&](const Outstanding &grant) {
        return grant.holder == sender && grant.stamp <= echo;
    };
    std::uint32_t reported = 0;
    for (const Outstanding &grant : bucket.outstanding) {
        reported += isReported(grant) ? grant.tokens : 0;
    }
    std::uint32_t ended = reported - std::min(reported, ask.held);
    bucket.level += std::min(ask.returned, ended);
    for (Outstanding &grant : bucket.outstanding) {
        if (isReported(grant)) {
            const std::uint32_t endedHere = std::min(ended, grant.tokens);
            grant.tokens -= endedHere;
            ended -= endedHere;
        }
    }
    std::erase_if(bucket.outstanding, [](const Outstanding &grant) {
        return grant.tokens == 0;
    });
}

Duration QuotaPool::untilNextToken(const Bucket &bucket) const
{
    const double rate = bucket.limit.ratePerSecond * shareOfWhole();
    if (rate <= 0 || capacity(bucket) < 1) {
        return delegationPeriod; // until more shares may have arrived
    }
    const double seconds = std::clamp((1 - bucket.level) / rate, secondsOf(minRetryAfter), secondsOf(maxRetryAfter));
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

QuotaGrant QuotaPool::grant(const InstanceId &sender, const QuotaRequest &request, const QuotaAsk &ask, std::uint64_t stamp, TimePoint now)
{
    const auto found = m_buckets.find(ask.workspace);
    if (found == m_buckets.end()) {
        // The limit has been removed, or is not in force here yet.
        return {ask.workspace, ask.needed + ask.ahead, {}};
    }
    Bucket &bucket = found->second;
    accrue(bucket, now);
    settle(bucket, sender, request.echo, ask);
    if (now < m_startedAt + grantValidity) {
        return {ask.workspace, 0, m_startedAt + grantValidity - now}; // grants of an earlier run may still be spent
    }
    const double rate = bucket.limit.ratePerSecond * shareOfWhole();
    const bool isNearlyEmpty = bucket.level - ask.needed < std::max(1.0, rate * secondsOf(nearlyEmpty));
    std::uint32_t tokens = std::min(ask.needed, static_cast<std::uint32_t>(std::floor(bucket.level)));
    bucket.level -= tokens;
    QuotaGrant granted{ask.workspace, tokens, {}};
    if (tokens == ask.needed) {
        // Expected operations get half at most: the rest is for operations that wait at other homes.
        granted.tokens += std::min(ask.ahead, static_cast<std::uint32_t>(std::floor(bucket.level / 2)));
        bucket.level -= granted.tokens - tokens;
    }
    if (tokens < ask.needed || (isNearlyEmpty && granted.tokens < ask.needed + ask.ahead)) {
        granted.retryAfter = untilNextToken(bucket);
    }
    if (granted.tokens > 0) {
        bucket.outstanding.push_back({sender, stamp, now + grantValidity, granted.tokens});
    }
    return granted;
}

QuotaReply QuotaPool::handleRequest(const InstanceId &sender, const QuotaRequest &request, TimePoint now)
{
    advance(now);
    QuotaReply reply;
    reply.holdsShare = m_delegations.contains(sender);
    addDelegation(sender, request, now);
    m_lastStamp = std::max(m_lastStamp + 1, stampOf(now));
    if (!reply.holdsShare) {
        // Echoes older than the delegation period delegate nothing, so that older denials are not needed.
        std::erase_if(m_denials, [&](const auto &denial) {
            return timeOf(denial.second.stamp) + delegationPeriod <= now;
        });
        const auto [denial, isNew] = m_denials.try_emplace(sender, Denial{request.run, m_lastStamp});
        if (!isNew && denial->second.run != request.run) {
            denial->second = {request.run, m_lastStamp};
        }
    }
    reply.number = request.number;
    reply.stamp = m_lastStamp;
    for (const QuotaAsk &ask : request.asks) {
        reply.grants.push_back(grant(sender, request, ask, m_lastStamp, now));
    }
    return reply;
}

} // namespace rattanbeam::decisions::session
