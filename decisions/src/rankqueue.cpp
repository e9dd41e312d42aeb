#include "rattanbeam/decisions/rankqueue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rattanbeam::decisions
{

namespace
{

constexpr double shareHalfLifeSeconds = 0.5;
constexpr double serviceSmoothing = 0.1; // weight of the newest sample in the moving average
constexpr int plannedPercent = 75; // of the time until an objective that expected waits may use; the rest is for their spread
// Of one rank; beyond it, the fair-queueing state of a customer is dropped as soon as no work of it waits.
constexpr std::size_t maxKeptCustomers = 1024;

double secondsBetween(TimePoint from, TimePoint until)
{
    return std::chrono::duration<double>(until - from).count();
}

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

double RankQueue::DecayingTime::valueAt(TimePoint now) const
{
    return seconds * std::exp2(-std::max(0.0, secondsBetween(at, now)) / shareHalfLifeSeconds);
}

void RankQueue::DecayingTime::add(double moreSeconds, TimePoint now)
{
    seconds = valueAt(now) + moreSeconds;
    at = now;
}

RankQueue::RankQueue(const QueueLimits &limits) : m_limits(limits)
{}

std::optional<Outcome> RankQueue::offer(const QueuedWork &work, TimePoint now)
{
    RankState &state = m_ranks[work.rank];
    state.lastOffered = now;
    const auto roomAt = fullUntil(work, now);
    if (roomAt && !makeRoom(work, now)) {
        return Outcome::refusal(ErrorCode::QueueFull, *roomAt);
    }
    if (work.deadline < now + minServiceTime(work.rank)) {
        return Outcome::refusal(ErrorCode::DeadlineUnreachable);
    }
    state.waiting[work.id] = work;
    state.byDeadline.insert({work.deadline, work.id});
    CustomerQueue &queue = state.customers[{work.customer, work.isPinned}];
    queue.connectionLimit = work.connectionLimit;
    queue.byDeadline.insert({work.deadline, work.id});
    return std::nullopt;
}

/// If the queue is full for the work, when it would have room. Work that need not wait is never refused for its objective, and work that
/// could not meet its objective even so may wait until its deadline.
std::optional<TimePoint> RankQueue::fullUntil(const QueuedWork &work, TimePoint now) const
{
    const Duration wait = expectedWait(work.rank, now);
    if (work.wantedBy != TimePoint::max() && wait > Duration::zero()) {
        const Duration serviceTime = meanServiceTime(work.rank);
        const TimePoint wantedBy = now + serviceTime <= work.wantedBy ? work.wantedBy : work.deadline;
        const Duration mostTime = (wantedBy - now) * plannedPercent / 100;
        if (wait + serviceTime > mostTime) {
            return now + (wait + serviceTime - mostTime);
        }
    }
    const Duration maxWait = m_limits.maxExpectedWait[work.rank];
    const TimePoint start = expectedStart(work.rank, now);
    if (m_ranks[work.rank].waiting.size() >= m_limits.capacity || (maxWait > Duration::zero() && start > now + maxWait)) {
        return start;
    }
    return std::nullopt;
}

bool RankQueue::makeRoom(const QueuedWork &work, TimePoint now)
{
    RankState &state = m_ranks[work.rank];
    const auto longestQueue = std::max_element(state.customers.begin(), state.customers.end(), [](const auto &left, const auto &right) {
        return left.second.byDeadline.size() < right.second.byDeadline.size();
    });
    const auto ownQueue = state.customers.find({work.customer, work.isPinned});
    const std::size_t ownWaiting = ownQueue == state.customers.end() ? 0 : ownQueue->second.byDeadline.size();
    if (longestQueue == state.customers.end() || longestQueue->second.byDeadline.size() <= ownWaiting + 1) {
        return false;
    }
    const WorkId displaced = longestQueue->second.byDeadline.rbegin()->id;
    remove(state, displaced);
    m_displaced.push_back({displaced, Outcome::refusal(ErrorCode::QueueFull, expectedStart(work.rank, now))});
    return true;
}

std::vector<QueueDecision> RankQueue::advance(TimePoint now, std::size_t freeConnections)
{
    std::vector<QueueDecision> decisions = std::exchange(m_displaced, {});
    refuseLate(now, decisions);
    const std::size_t idleConnections = freeConnections;
    std::size_t started = 0;
    while (m_running.size() < std::max(m_limits.slots, m_limits.pinnedSlots)) {
        // Without a connection, only pinned work can start.
        freeConnections = m_running.size() < m_limits.slots ? idleConnections - started : 0;
        const auto rank = pickRank(now, freeConnections);
        if (!rank) {
            break;
        }
        const CustomerKey customer = nextCustomer(*rank, freeConnections).value();
        const QueuedWork work = takeNext(*rank, customer);
        m_running[work.id] = {*rank, customer, now};
        ++m_ranks[*rank].running;
        if (!work.isPinned) {
            ++started;
            holdConnection(work.customer);
        }
        decisions.push_back({work.id, Outcome{}});
    }
    return decisions;
}

/// Service time that must fit before a deadline. Zero while the member is idle, so that a high mean from a slow period cannot
/// make the queue refuse all work for good.
Duration RankQueue::minServiceTime(Rank rank) const
{
    return m_running.empty() ? Duration::zero() : meanServiceTime(rank);
}

void RankQueue::finished(WorkId id, TimePoint now)
{
    const auto found = m_running.find(id);
    if (found == m_running.end()) {
        return;
    }
    RankState &state = m_ranks[found->second.rank];
    const double seconds = secondsBetween(found->second.startedAt, now);
    state.meanServiceSeconds
        = state.meanServiceSeconds == 0 ? seconds : state.meanServiceSeconds + serviceSmoothing * (seconds - state.meanServiceSeconds);
    abandoned(id, now);
}

void RankQueue::abandoned(WorkId id, TimePoint now)
{
    const auto found = m_running.find(id);
    if (found == m_running.end()) {
        return;
    }
    RankState &state = m_ranks[found->second.rank];
    state.usedTime.add(secondsBetween(found->second.startedAt, now), now);
    --state.running;
    if (!found->second.customer.isPinned) {
        releaseConnection(found->second.customer.customer);
    }
    m_running.erase(found);
}

void RankQueue::holdConnection(const CustomerId &customer)
{
    ++m_heldConnections[customer];
}

void RankQueue::releaseConnection(const CustomerId &customer)
{
    const auto found = m_heldConnections.find(customer);
    if (found != m_heldConnections.end() && --found->second == 0) {
        m_heldConnections.erase(found);
    }
}

std::size_t RankQueue::heldConnections(const CustomerId &customer) const
{
    const auto found = m_heldConnections.find(customer);
    return found == m_heldConnections.end() ? 0 : found->second;
}

bool RankQueue::cancel(WorkId id)
{
    for (const Rank rank : allRanks) {
        if (m_ranks[rank].waiting.contains(id)) {
            remove(m_ranks[rank], id);
            return true;
        }
    }
    return false;
}

double RankQueue::recentShare(Rank rank, TimePoint now) const
{
    double total = 0;
    for (const Rank each : allRanks) {
        total += usedSeconds(each, now);
    }
    return total == 0 ? 0 : usedSeconds(rank, now) / total;
}

TimePoint RankQueue::expectedStart(Rank rank, TimePoint now) const
{
    // The rank is guaranteed its weight, and may recently have had more because other ranks left time unused. A minimum of one
    // percent keeps the estimate finite.
    const double share = std::max({0.01, m_limits.weights[rank] / 100.0, recentShare(rank, now)});
    const double slots = static_cast<double>(std::max<std::size_t>(1, m_limits.slots));
    const double backlog = std::chrono::duration<double>(meanServiceTime(rank)).count() * static_cast<double>(m_ranks[rank].waiting.size());
    return now + fromSeconds(backlog / (slots * share));
}

Duration RankQueue::expectedWait(Rank rank, TimePoint now) const
{
    const double slots = static_cast<double>(std::max<std::size_t>(1, m_limits.slots));
    const double ownBacklog
        = std::chrono::duration<double>(meanServiceTime(rank)).count() * static_cast<double>(m_ranks[rank].waiting.size());
    return std::max(backlogAhead(rank), fromSeconds(ownBacklog / (slots * availableShare(rank, now))));
}

/// Share of the slots' time that is left for the rank: what more urgent ranks have not used recently, and what is not guaranteed to
/// waiting work of less urgent ranks; at least the rank's own guarantee.
double RankQueue::availableShare(Rank rank, TimePoint now) const
{
    constexpr double minShare = 0.01; // keeps estimates finite
    // Time that the slots offer, decayed in the same way as the time used of them.
    const double offeredSeconds = static_cast<double>(std::max<std::size_t>(1, m_limits.slots)) * shareHalfLifeSeconds / std::log(2.0);
    double share = 1;
    for (const Rank other : allRanks) {
        if (other < rank) {
            share -= usedSeconds(other, now) / offeredSeconds;
        } else if (other > rank && !m_ranks[other].waiting.empty()) {
            share -= m_limits.weights[other] / 100.0;
        }
    }
    return std::clamp(share, std::max(minShare, m_limits.weights[rank] / 100.0), 1.0);
}

/// Time that the slots need for the waiting work of this and all more urgent ranks.
Duration RankQueue::backlogAhead(Rank rank) const
{
    double seconds = 0;
    for (const Rank each : allRanks) {
        if (each <= rank) {
            seconds += std::chrono::duration<double>(meanServiceTime(each)).count() * static_cast<double>(m_ranks[each].waiting.size());
        }
    }
    return fromSeconds(seconds / static_cast<double>(std::max<std::size_t>(1, m_limits.slots)));
}

Duration RankQueue::meanServiceTime(Rank rank) const
{
    const double measured = m_ranks[rank].meanServiceSeconds;
    return measured == 0 ? m_limits.assumedServiceTime : fromSeconds(measured);
}

double RankQueue::usedSeconds(Rank rank, TimePoint now) const
{
    double seconds = m_ranks[rank].usedTime.valueAt(now);
    for (const auto &[id, running] : m_running) {
        if (running.rank == rank) {
            seconds += secondsBetween(running.startedAt, now);
        }
    }
    return seconds;
}

bool RankQueue::isEligible(const CustomerKey &key, const CustomerQueue &queue, std::size_t freeConnections) const
{
    if (queue.byDeadline.empty()) {
        return false;
    }
    return key.isPinned || (!m_isPaused && freeConnections > 0 && heldConnections(key.customer) < queue.connectionLimit);
}

bool RankQueue::mayStart(Rank rank, TimePoint now, std::size_t freeConnections) const
{
    if (!nextCustomer(rank, freeConnections)) {
        return false;
    }
    if (meanServiceTime(rank) <= m_limits.longWorkThreshold || m_limits.slots == 1) {
        return true;
    }
    return std::all_of(allRanks.begin(), allRanks.begin() + static_cast<std::ptrdiff_t>(rankIndex(rank)), [&](Rank moreUrgent) {
        return leavesSlotFor(moreUrgent, now);
    });
}

/// Whether a slot is left for rank `urgent`, if it is active, when one more statement of a less urgent rank starts.
bool RankQueue::leavesSlotFor(Rank urgent, TimePoint now) const
{
    if (m_ranks[urgent].lastOffered + m_limits.activityWindow < now) {
        return true;
    }
    std::size_t runningBelow = 0;
    for (const Rank rank : allRanks) {
        runningBelow += rankIndex(rank) > rankIndex(urgent) ? m_ranks[rank].running : 0;
    }
    return runningBelow + 1 < std::max(m_limits.slots, m_limits.pinnedSlots);
}

std::optional<Rank> RankQueue::pickRank(TimePoint now, std::size_t freeConnections) const
{
    std::optional<Rank> mostUrgent;
    for (const Rank rank : allRanks) {
        if (!mayStart(rank, now, freeConnections)) {
            continue;
        }
        if (recentShare(rank, now) < m_limits.weights[rank] / 100.0) {
            return rank;
        }
        mostUrgent = mostUrgent ? mostUrgent : rank;
    }
    return mostUrgent;
}

std::optional<RankQueue::CustomerKey> RankQueue::nextCustomer(Rank rank, std::size_t freeConnections) const
{
    const RankState &state = m_ranks[rank];
    std::optional<CustomerKey> next;
    double minStartTag = 0;
    for (const auto &[key, queue] : state.customers) {
        const double startTag = std::max(state.virtualTime, queue.finishTag);
        if (isEligible(key, queue, freeConnections) && (!next || startTag < minStartTag)) {
            next = key;
            minStartTag = startTag;
        }
    }
    return next;
}

QueuedWork RankQueue::takeNext(Rank rank, const CustomerKey &customer)
{
    constexpr double minServiceSeconds = 1e-6;
    RankState &state = m_ranks[rank];
    CustomerQueue &queue = state.customers.at(customer);
    state.virtualTime = std::max(state.virtualTime, queue.finishTag);
    queue.finishTag = state.virtualTime + std::max(minServiceSeconds, std::chrono::duration<double>(meanServiceTime(rank)).count());
    QueuedWork work = state.waiting.at(queue.byDeadline.begin()->id);
    remove(state, work.id);
    return work;
}

void RankQueue::remove(RankState &state, WorkId id)
{
    const QueuedWork work = state.waiting.at(id);
    state.byDeadline.erase({work.deadline, id});
    const CustomerKey key{work.customer, work.isPinned};
    CustomerQueue &queue = state.customers.at(key);
    queue.byDeadline.erase({work.deadline, id});
    if (queue.byDeadline.empty() && (queue.finishTag <= state.virtualTime || state.customers.size() > maxKeptCustomers)) {
        state.customers.erase(key);
    }
    state.waiting.erase(id);
}

void RankQueue::refuseLate(TimePoint now, std::vector<QueueDecision> &decisions)
{
    for (const Rank rank : allRanks) {
        RankState &state = m_ranks[rank];
        const TimePoint mustStartBy = now + minServiceTime(rank);
        while (!state.byDeadline.empty() && state.byDeadline.begin()->deadline < mustStartBy) {
            const WorkId id = state.byDeadline.begin()->id;
            remove(state, id);
            decisions.push_back({id, Outcome::refusal(ErrorCode::DeadlineUnreachable)});
        }
        refuseHopeless(rank, now, decisions);
    }
}

/// Refuses the newest waiting work while the work ahead of it is expected to take until after its deadline, as when more urgent work has
/// arrived since it was accepted. It would only wait in vain, and can be retried now.
void RankQueue::refuseHopeless(Rank rank, TimePoint now, std::vector<QueueDecision> &decisions)
{
    RankState &state = m_ranks[rank];
    while (!state.byDeadline.empty()) {
        const WorkId id = state.byDeadline.rbegin()->id;
        const QueuedWork &newest = state.waiting.at(id);
        const TimePoint expectedEnd = now + expectedWait(rank, now);
        if (newest.isPinned || newest.wantedBy == TimePoint::max() || expectedEnd <= newest.deadline) {
            return;
        }
        remove(state, id);
        decisions.push_back({id, Outcome::refusal(ErrorCode::QueueFull, expectedEnd)});
    }
}

} // namespace rattanbeam::decisions
