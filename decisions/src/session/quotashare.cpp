#include "rattanbeam/decisions/session/quotashare.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rattanbeam::decisions::session
{

using namespace std::chrono_literals;

namespace
{

constexpr Duration maxWait = 100ms; // of an operation without a token
constexpr std::size_t maxWaiting = 256; // operations of all workspaces; further ones are refused
constexpr Duration keepaliveInterval = 400ms; // three requests within a delegation period
constexpr Duration minAskInterval = 20ms;
constexpr Duration minAheadInterval = 50ms; // between asks for operations that are only expected
constexpr Duration maxEmptyPeriod = 200ms; // of refusals without asking again: the pool may gain shares at any time
constexpr Duration askBeforeRetry = 20ms; // so that operations are refused or admitted at once also when the retry time has come
constexpr Duration settleDelay = 100ms; // until an operation that was admitted in advance is reported
constexpr Duration answerTimeout = 150ms; // of an ask, after which the tokens are asked for again
constexpr Duration aheadPeriod = 150ms; // expected operations of this period are asked for in advance
constexpr Duration lowPeriod = 40ms; // tokens that last shorter than this are replenished
constexpr double minAheadOperations = 2; // fewer are not worth tokens that may expire unused
constexpr Duration demandPeriod = 200ms; // weight of the past in the estimate of demand
constexpr double maxMissedOperations = 5; // after a gap in which so many were expected, the demand has ended or moved to another home
constexpr Duration returnBefore = 100ms; // tokens that expire sooner and are not expected to be used are given back
constexpr Duration returnDueBefore = 60ms; // a request is sent for tokens that are to be given back
constexpr Duration maxSilence = 600ms; // of a pool until another one is chosen
constexpr Duration quarantine = 1s; // of an instance that went down, before it is chosen again
constexpr Duration probeInterval = 2s; // of instances that would be preferred to the present pool
constexpr std::size_t maxCandidates = 8; // instances that are tried as a pool, before this instance uses its share alone
constexpr Duration clockMargin = 100ms; // for clocks that run at different rates
constexpr Duration abstention = delegationPeriod + grantValidity; // the previous run of this instance may have used its share

} // namespace

QuotaShare::QuotaShare(InstanceId self, const QuotaBound &bound, TimePoint startedAt)
    : m_self(std::move(self))
    , m_bound(bound)
    , m_startedAt(startedAt)
    , m_pool(bound, startedAt)
    , m_run(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(startedAt.time_since_epoch()).count()))
    // A number of the previous run is never used again, so that a late reply to it is not taken for one to this run.
    , m_lastNumber(m_run)
{}

void QuotaShare::setLimits(const QuotaLimits &limits, TimePoint now)
{
    m_limits = limits;
    m_pool.setLimits(limits, now);
    for (auto entry = m_accounts.begin(); entry != m_accounts.end();) {
        if (!m_limits.contains(entry->first)) {
            endWaiters(entry->second, true, {});
            entry = m_accounts.erase(entry);
        } else {
            entry->second.emptyUntil = distantPast;
            ++entry;
        }
    }
}

void QuotaShare::setFleet(std::vector<InstanceId> poolOrder, std::uint32_t instances, bool isRegistered, TimePoint now)
{
    m_poolOrder = std::move(poolOrder);
    m_instances = std::max(1U, instances);
    m_isRegistered = isRegistered;
    std::erase_if(m_peers, [&](const auto &entry) {
        const bool isCandidate = std::find(m_poolOrder.begin(), m_poolOrder.end(), entry.first) != m_poolOrder.end();
        return !isCandidate && entry.first != m_committedTo;
    });
    m_pool.setInstances(m_instances, now);
    updateOwnShare(now);
}

QuotaShare::PeerState QuotaShare::stateOf(const InstanceId &instance, TimePoint now) const
{
    const auto found = m_peers.find(instance);
    if (found == m_peers.end()) {
        return PeerState::Unknown;
    }
    const Peer &peer = found->second;
    const bool isSilent = peer.unansweredSince > peer.lastReplyAt && now - peer.unansweredSince > maxSilence;
    if (peer.isDown || isSilent || now < peer.quarantinedUntil) {
        return PeerState::Down;
    }
    return peer.lastReplyAt == distantPast ? PeerState::Unknown : PeerState::Alive;
}

/// Takes the first instance in the order that answers. An instance whose state is not known yet is waited for, so that instances which
/// start together choose the same pool.
void QuotaShare::chooseTarget(TimePoint now)
{
    std::size_t tried = 0;
    for (const InstanceId &candidate : m_poolOrder) {
        if (candidate == m_self || tried == maxCandidates) {
            break;
        }
        ++tried;
        const PeerState state = stateOf(candidate, now);
        if (state == PeerState::Alive) {
            m_target = candidate;
            return;
        }
        if (state == PeerState::Unknown) {
            const bool isTargetUsable = m_target == m_self || stateOf(m_target, now) == PeerState::Alive;
            m_target = isTargetUsable ? m_target : InstanceId();
            return;
        }
    }
    m_target = m_self;
}

bool QuotaShare::isPastAbstention(TimePoint now) const
{
    return m_isFormerShareFree || now >= m_startedAt + abstention;
}

/// Number of instances, from the start of the order, that are tried as a pool.
std::size_t QuotaShare::candidateCount() const
{
    const auto self = std::find(m_poolOrder.begin(), m_poolOrder.end(), m_self);
    return std::min(maxCandidates, static_cast<std::size_t>(self - m_poolOrder.begin()));
}

/// Whether each instance to which an earlier run may have delegated its share has said that it holds none. After a start of the whole
/// fleet, shares are in use as soon as this is known instead of after the abstention.
bool QuotaShare::haveAllPoolsDeniedShare() const
{
    const std::size_t count = candidateCount();
    return count > 0
           && std::all_of(m_poolOrder.begin(), m_poolOrder.begin() + static_cast<std::ptrdiff_t>(count), [&](const InstanceId &candidate) {
                  const auto peer = m_peers.find(candidate);
                  return peer != m_peers.end() && peer->second.hasDeniedShare;
              });
}

bool QuotaShare::ownsShare(TimePoint now) const
{
    return m_isRegistered && isPastAbstention(now) && now >= m_committedUntil;
}

/// Tokens of a pool remain valid for a while after it has lost a share. The bound leaves room for them only with enough tolerance.
bool QuotaShare::coversOldGrants() const
{
    return m_bound.window * m_bound.tolerance >= grantValidity;
}

bool QuotaShare::canDelegateTo(const InstanceId &instance, TimePoint now) const
{
    const auto found = m_peers.find(instance);
    const bool isStampFresh = found != m_peers.end() && found->second.stamp != 0 && now - found->second.stampReceivedAt < delegationPeriod;
    const TimePoint ownGrantsEndAt = coversOldGrants() ? m_ownShareUsedAt : m_ownShareUsedAt + grantValidity;
    const bool isShareFree = now >= m_committedUntil && now >= ownGrantsEndAt;
    return isStampFresh && m_isRegistered && isPastAbstention(now)
           && (m_committedTo == instance ? now < m_committedUntil || isShareFree : isShareFree);
}

InstanceId QuotaShare::askedPool(TimePoint now) const
{
    const bool isCommitted = !m_committedTo.isEmpty() && m_committedTo != m_target && now < m_committedUntil - clockMargin;
    return isCommitted && stateOf(m_committedTo, now) == PeerState::Alive ? m_committedTo : m_target;
}

void QuotaShare::updateOwnShare(TimePoint now)
{
    const bool isUsed = m_target == m_self && ownsShare(now);
    m_pool.setOwnShare(isUsed, now);
    m_ownShareUsedAt = isUsed ? now : m_ownShareUsedAt;
}

void QuotaShare::expireGrants(Account &account, TimePoint now)
{
    while (!account.grants.empty() && account.grants.front().expiresAt <= now) {
        account.grants.pop_front();
        account.hasUnreported = true;
    }
}

std::uint32_t QuotaShare::heldTokens(const Account &account)
{
    std::uint32_t tokens = 0;
    for (const Grant &grant : account.grants) {
        tokens += grant.tokens;
    }
    return tokens;
}

bool QuotaShare::takeToken(Account &account)
{
    if (account.grants.empty()) {
        return false;
    }
    account.hasUnreported = true;
    if (--account.grants.front().tokens == 0) {
        account.grants.pop_front();
    }
    return true;
}

double QuotaShare::recentOperations(const Account &account, TimePoint now)
{
    const double age = std::chrono::duration<double>(now - account.recentAt) / std::chrono::duration<double>(demandPeriod);
    return account.recentOperations * std::exp(-age);
}

double QuotaShare::expectedOperations(const Account &account, Duration period, TimePoint now)
{
    const auto periodsOf = [](Duration duration) {
        return std::chrono::duration<double>(duration) / std::chrono::duration<double>(demandPeriod);
    };
    const bool hasDemandEnded = account.recentOperations * periodsOf(now - account.recentAt) > maxMissedOperations;
    return hasDemandEnded ? 0 : recentOperations(account, now) * periodsOf(period);
}

Duration QuotaShare::retryWithoutPool(TimePoint now) const
{
    return std::clamp<Duration>(std::max(m_committedUntil, m_startedAt + abstention) - now, maxWait, delegationPeriod);
}

QuotaDecision QuotaShare::request(QuotaOperation operation, const WorkspaceName &workspace, TimePoint deadline, TimePoint now)
{
    if (!m_limits.contains(workspace)) {
        return {};
    }
    Account &account = m_accounts[workspace];
    account.recentOperations = recentOperations(account, now) + 1;
    account.recentAt = now;
    expireGrants(account, now);
    if (account.waiters.empty() && takeToken(account)) {
        sendDue(now);
        return {};
    }
    if (now < account.emptyUntil) {
        return {QuotaVerdict::Refused, account.retryAt - now};
    }
    if (m_areAdvancesAllowed && account.debt == 0 && account.waiters.empty() && isPastAbstention(now)) {
        account.debt = 1;
        account.settleAt = now + settleDelay;
        sendDue(now);
        return {};
    }
    if (m_waiting >= maxWaiting || deadline <= now) {
        return {QuotaVerdict::Refused, maxWait};
    }
    account.waiters.push_back({operation, std::min(deadline, now + maxWait)});
    ++m_waiting;
    sendDue(now);
    return {QuotaVerdict::Waiting, {}};
}

void QuotaShare::cancel(QuotaOperation operation)
{
    for (auto &[name, account] : m_accounts) {
        m_waiting -= std::erase_if(account.waiters, [&](const Waiter &waiter) {
            return waiter.operation == operation;
        });
    }
}

void QuotaShare::endWaiters(Account &account, bool areAdmitted, Duration retryAfter)
{
    for (const Waiter &waiter : std::exchange(account.waiters, {})) {
        m_outcomes.push_back({waiter.operation, areAdmitted, retryAfter});
        --m_waiting;
    }
}

bool QuotaShare::isAskDue(Account &account, TimePoint now) const
{
    if (!account.waiters.empty() || account.settleAt <= now) {
        return true;
    }
    expireGrants(account, now);
    if (!account.grants.empty() && account.grants.front().expiresAt - now < returnDueBefore) {
        const Grant &oldest = account.grants.front();
        if (oldest.tokens >= expectedOperations(account, oldest.expiresAt - now, now) + minAheadOperations) {
            return true;
        }
    }
    if (now - m_lastAskAt < minAheadInterval || now < account.emptyUntil - askBeforeRetry
        || expectedOperations(account, aheadPeriod, now) < minAheadOperations) {
        return false;
    }
    return heldTokens(account) <= expectedOperations(account, lowPeriod, now);
}

bool QuotaShare::isAskDue(TimePoint now)
{
    const bool isPending = !m_pendingAsks.empty() && now - m_pendingAsks.back().sentAt < answerTimeout;
    if (isPending || now - m_lastAskAt < minAskInterval) {
        return false;
    }
    return std::any_of(m_accounts.begin(), m_accounts.end(), [&](auto &entry) {
        return isAskDue(entry.second, now);
    });
}

void QuotaShare::appendAsks(QuotaRequest &request, TimePoint now)
{
    for (auto &[name, account] : m_accounts) {
        expireGrants(account, now);
        QuotaAsk ask;
        ask.workspace = name;
        ask.needed = static_cast<std::uint32_t>(account.waiters.size()) + account.debt;
        while (!account.grants.empty() && account.grants.front().expiresAt - now < returnBefore) {
            Grant &oldest = account.grants.front();
            const double expected = expectedOperations(account, oldest.expiresAt - now, now);
            const auto kept = static_cast<std::uint32_t>(std::min<double>(oldest.tokens, std::ceil(expected)));
            ask.returned += oldest.tokens - kept;
            oldest.tokens = kept;
            if (kept > 0) {
                break;
            }
            account.grants.pop_front();
        }
        ask.held = heldTokens(account);
        const double expected = expectedOperations(account, aheadPeriod, now);
        if (expected >= minAheadOperations && now >= account.emptyUntil - askBeforeRetry) {
            ask.ahead = static_cast<std::uint32_t>(std::max(0.0, std::floor(expected - ask.held)));
        }
        account.settleAt = account.debt > 0 ? std::max(account.emptyUntil, now + settleDelay) : TimePoint::max();
        if (ask.needed > 0 || ask.ahead > 0 || ask.returned > 0 || account.hasUnreported) {
            request.asks.push_back(ask);
        }
        account.hasUnreported = false;
    }
    std::erase_if(m_accounts, [&](const auto &entry) {
        const Account &account = entry.second;
        return account.grants.empty() && account.waiters.empty() && account.debt == 0 && now >= account.emptyUntil
               && now - account.recentAt > keepaliveInterval;
    });
}

QuotaRequest QuotaShare::makeRequest(const InstanceId &pool, bool withAsks, TimePoint now)
{
    QuotaRequest request;
    request.number = ++m_lastNumber;
    request.run = m_run;
    request.instances = m_instances;
    const auto peer = m_peers.find(pool);
    request.echo = peer == m_peers.end() ? 0 : peer->second.stamp;
    if (pool != m_self && pool == m_target && canDelegateTo(pool, now)) {
        request.delegates = true;
        // The pool may count this share until the period after it sent the stamp has ended, which is earlier than the time set here.
        const Duration margin = coversOldGrants() ? clockMargin : clockMargin + grantValidity;
        const TimePoint until = peer->second.stampReceivedAt + delegationPeriod + margin;
        m_committedUntil = m_committedTo == pool ? std::max(m_committedUntil, until) : until;
        m_committedTo = pool;
    }
    if (withAsks) {
        appendAsks(request, now);
        m_pendingAsks.push_back({request.number, pool, now});
        m_lastAskAt = now;
    }
    return request;
}

void QuotaShare::send(const InstanceId &pool, bool withAsks, TimePoint now)
{
    Peer &peer = m_peers[pool];
    if (peer.unansweredSince <= peer.lastReplyAt) {
        peer.unansweredSince = now;
    }
    peer.lastSentAt = now;
    m_messages.push_back({pool, makeRequest(pool, withAsks, now)});
}

/// Asks the pool of this instance itself, whose reply is immediate.
void QuotaShare::serveSelf(TimePoint now)
{
    updateOwnShare(now);
    const bool isAnyDue = std::any_of(m_accounts.begin(), m_accounts.end(), [&](auto &entry) {
        return isAskDue(entry.second, now);
    });
    if (isAnyDue) {
        const QuotaReply reply = m_pool.handleRequest(m_self, makeRequest(m_self, true, now), now);
        replyArrived(m_self, reply, now);
    }
}

void QuotaShare::sendDue(TimePoint now)
{
    const InstanceId asked = askedPool(now);
    if (asked.isEmpty()) {
        return;
    }
    if (asked == m_self) {
        serveSelf(now);
    } else if (isAskDue(now)) {
        send(asked, true, now);
    }
}

QuotaReply QuotaShare::handleRequest(const InstanceId &sender, const QuotaRequest &request, TimePoint now)
{
    updateOwnShare(now);
    return m_pool.handleRequest(sender, request, now);
}

void QuotaShare::replyArrived(const InstanceId &pool, const QuotaReply &reply, TimePoint now)
{
    Peer &peer = m_peers[pool];
    const bool wasStampFresh = now - peer.stampReceivedAt < delegationPeriod;
    // An instance that has not answered before may only have started later than this one.
    const bool isFirstReply = peer.lastReplyAt == distantPast;
    if (!isFirstReply && stateOf(pool, now) == PeerState::Down && now >= peer.quarantinedUntil) {
        peer.quarantinedUntil = pool == m_committedTo && now < m_committedUntil ? distantPast : now + quarantine;
    }
    peer.isDown = false;
    peer.lastReplyAt = now;
    if (reply.number <= peer.lastHandledNumber) {
        return;
    }
    peer.lastHandledNumber = reply.number;
    peer.hasDeniedShare = peer.hasDeniedShare || !reply.holdsShare;
    if (!isPastAbstention(now) && haveAllPoolsDeniedShare()) {
        m_isFormerShareFree = true;
    }
    peer.stamp = reply.stamp;
    peer.stampReceivedAt = now;
    if (!wasStampFresh) {
        peer.lastSentAt = distantPast; // the delegation that this stamp allows is sent at once
    }
    const auto pending = std::find_if(m_pendingAsks.begin(), m_pendingAsks.end(), [&](const PendingAsk &ask) {
        return ask.number == reply.number && ask.pool == pool;
    });
    if (pending == m_pendingAsks.end()) {
        return;
    }
    const TimePoint validUntil = pending->sentAt + grantValidity;
    m_pendingAsks.erase(pending);
    for (const QuotaGrant &grant : reply.grants) {
        applyGrant(grant, validUntil, now);
    }
    if (pool != m_self) {
        sendDue(now); // for the operations that arrived meanwhile
    }
}

void QuotaShare::applyGrant(const QuotaGrant &grant, TimePoint validUntil, TimePoint now)
{
    const auto found = m_accounts.find(grant.workspace);
    if (found == m_accounts.end() || now >= validUntil) {
        return;
    }
    Account &account = found->second;
    m_tokensGranted += grant.tokens;
    std::uint32_t tokens = grant.tokens;
    const std::uint32_t settled = std::min(tokens, account.debt);
    account.debt -= settled;
    account.settleAt = account.debt > 0 ? account.settleAt : TimePoint::max();
    tokens -= settled;
    account.hasUnreported = account.hasUnreported || grant.tokens > 0;
    while (tokens > 0 && !account.waiters.empty()) {
        m_outcomes.push_back({account.waiters.front().operation, true, {}});
        account.waiters.pop_front();
        --m_waiting;
        --tokens;
    }
    if (tokens > 0) {
        account.grants.push_back({tokens, validUntil});
    }
    if (grant.retryAfter > Duration::zero()) {
        account.emptyUntil = now + std::min(grant.retryAfter, Duration(maxEmptyPeriod));
        account.retryAt = now + grant.retryAfter;
        account.settleAt = account.debt > 0 ? account.emptyUntil : TimePoint::max();
        endWaiters(account, false, grant.retryAfter);
    }
}

void QuotaShare::unreachable(const InstanceId &instance, TimePoint now)
{
    m_peers[instance].isDown = true;
    chooseTarget(now);
}

void QuotaShare::tick(TimePoint now)
{
    while (!m_pendingAsks.empty() && now - m_pendingAsks.front().sentAt > grantValidity) {
        m_pendingAsks.pop_front();
    }
    for (auto &[name, account] : m_accounts) {
        while (!account.waiters.empty() && account.waiters.front().expiresAt <= now) {
            m_outcomes.push_back({account.waiters.front().operation, false, retryWithoutPool(now)});
            account.waiters.pop_front();
            --m_waiting;
        }
    }
    if (!isEnabled()) {
        m_target = {};
        updateOwnShare(now);
        return;
    }
    chooseTarget(now);
    updateOwnShare(now);
    sendDue(now);
    std::size_t tried = 0;
    for (const InstanceId &candidate : m_poolOrder) {
        // Before the end of the abstention all are asked whether they hold the share of an earlier run.
        if (candidate == m_self || tried == maxCandidates || (candidate == m_target && isPastAbstention(now))) {
            break;
        }
        ++tried;
        if (candidate == m_target) {
            continue;
        }
        const bool isUrgent = m_target.isEmpty() || m_target == m_self || !isPastAbstention(now);
        if (now - m_peers[candidate].lastSentAt >= (isUrgent ? keepaliveInterval : probeInterval)) {
            send(candidate, false, now);
        }
    }
    const bool isTargetRemote = !m_target.isEmpty() && m_target != m_self;
    const bool isDelegationDue = isTargetRemote && m_committedTo != m_target && canDelegateTo(m_target, now);
    if (isTargetRemote && (isDelegationDue || now - m_peers[m_target].lastSentAt >= keepaliveInterval)) {
        send(m_target, askedPool(now) == m_target, now);
    }
}

std::vector<InstanceId> QuotaShare::sharesInForce(TimePoint now) const
{
    std::vector<InstanceId> shares = m_pool.delegatedShares(now);
    if (m_pool.isOwnShareCounted()) {
        shares.push_back(m_self);
    }
    return shares;
}

std::vector<QuotaMessage> QuotaShare::takeMessages(TimePoint now)
{
    updateOwnShare(now);
    return std::exchange(m_messages, {});
}

std::vector<QuotaOutcome> QuotaShare::takeOutcomes()
{
    return std::exchange(m_outcomes, {});
}

} // namespace rattanbeam::decisions::session
