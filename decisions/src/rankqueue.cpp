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
    const auto inTimeAt = lateUntil(work, now);
    // Work of another customer that is displaced would not have gone first, so that it would not shorten the wait.
    if (inTimeAt && (isAnotherWaiting(work) || !makeRoom(work, now))) {
        return Outcome::refusal(ErrorCode::QueueFull, *inTimeAt);
    }
    const auto roomAt = inTimeAt ? std::nullopt : fullUntil(work, now);
    if (roomAt && !makeRoom(work, now)) {
        return Outcome::refusal(ErrorCode::QueueFull, *roomAt);
    }
    if (work.deadline < now + minServiceTime(work.rank)) {
        return Outcome::refusal(ErrorCode::DeadlineUnreachable);
    }
    insertWaiting(work);
    return std::nullopt;
}

void RankQueue::insertWaiting(const QueuedWork &work)
{
    RankState &state = m_ranks[work.rank];
    state.waiting[work.id] = work;
    state.byDeadline.insert({work.deadline, work.id});
    const CustomerKey key = keyOf(work);
    const auto [at, isNew] = state.customers.try_emplace(key);
    CustomerQueue &queue = at->second;
    const auto sibling = isNew ? state.customers.find(siblingOf(key)) : state.customers.end();
    if (sibling != state.customers.end()) {
        queue.finishTag = sibling->second.finishTag;
    }
    queue.connectionLimit = work.connectionLimit;
    queue.byDeadline.insert({work.deadline, work.id});
}

std::vector<RankQueue::CustomerBacklog> RankQueue::customerBacklogs(Rank rank) const
{
    std::vector<CustomerBacklog> backlogs;
    for (const auto &[key, queue] : m_ranks[rank].customers) {
        if (queue.byDeadline.empty()) {
            continue;
        }
        if (backlogs.empty() || backlogs.back().customer != key.customer) {
            backlogs.push_back({key.customer, 0});
        }
        backlogs.back().waiting += queue.byDeadline.size();
    }
    return backlogs;
}

bool RankQueue::isAnotherWaiting(const QueuedWork &work) const
{
    const auto &customers = m_ranks[work.rank].customers;
    return std::any_of(customers.begin(), customers.end(), [&](const auto &entry) {
        return entry.first.customer != work.customer && !entry.second.byDeadline.empty();
    });
}

std::set<CustomerId> RankQueue::waitingCustomers() const
{
    std::set<CustomerId> customers;
    for (const Rank rank : allRanks) {
        for (const auto &[key, queue] : m_ranks[rank].customers) {
            if (!key.isPinned && !queue.byDeadline.empty()) {
                customers.insert(key.customer);
            }
        }
    }
    return customers;
}

/// Number of statements of the rank that start before a new one of the customer. The customers take turns, so that the backlog of
/// another customer delays the new statement by at most as many statements as the customer has itself.
std::size_t RankQueue::waitingAhead(Rank rank, const CustomerId &customer) const
{
    const std::vector<CustomerBacklog> backlogs = customerBacklogs(rank);
    const auto own = std::find_if(backlogs.begin(), backlogs.end(), [&](const CustomerBacklog &each) {
        return each.customer == customer;
    });
    const std::size_t ownWaiting = own == backlogs.end() ? 0 : own->waiting;
    std::size_t ahead = ownWaiting;
    for (const CustomerBacklog &each : backlogs) {
        ahead += each.customer == customer ? 0 : std::min(each.waiting, ownWaiting + 1);
    }
    return ahead;
}

/// When the work could meet its objective, if that is not expected now. Work that need not wait is never refused for its objective, and
/// work that could not meet its objective even so may wait until its deadline.
std::optional<TimePoint> RankQueue::lateUntil(const QueuedWork &work, TimePoint now) const
{
    const Duration wait = waitBehind(work.rank, waitingAhead(work.rank, work.customer), now);
    if (work.wantedBy != TimePoint::max() && wait > Duration::zero()) {
        const Duration serviceTime = meanServiceTime(work.rank);
        const TimePoint wantedBy = now + serviceTime <= work.wantedBy ? work.wantedBy : work.deadline;
        const Duration mostTime = (wantedBy - now) * plannedPercent / 100;
        if (wait + serviceTime > mostTime) {
            return now + (wait + serviceTime - mostTime);
        }
    }
    return std::nullopt;
}

/// When the queue has room for the work, if it has none now.
std::optional<TimePoint> RankQueue::fullUntil(const QueuedWork &work, TimePoint now) const
{
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
    const auto ownQueue = state.customers.find(keyOf(work));
    const std::size_t ownWaiting = ownQueue == state.customers.end() ? 0 : ownQueue->second.byDeadline.size();
    if (longestQueue == state.customers.end() || longestQueue->second.byDeadline.size() <= ownWaiting + 1) {
        return false;
    }
    const WorkId displaced = longestQueue->second.byDeadline.rbegin()->id;
    remove(state, displaced);
    m_displaced.push_back({displaced, Outcome::refusal(ErrorCode::QueueFull, expectedStart(work.rank, now))});
    return true;
}

std::vector<QueueDecision> RankQueue::advance(TimePoint now, std::size_t freeConnections, const ConnectionTest &isConnectionFree)
{
    FreeConnections connections{freeConnections, isConnectionFree};
    std::vector<QueueDecision> decisions = std::exchange(m_displaced, {});
    refuseLate(now, decisions);
    const std::size_t idleConnections = freeConnections;
    std::size_t started = 0;
    while (m_running.size() < std::max(m_limits.slots, m_limits.pinnedSlots)) {
        // Without a connection, only pinned work can start.
        connections.count = m_running.size() < m_limits.slots ? idleConnections - started : 0;
        const auto rank = pickRank(now, connections);
        if (!rank) {
            break;
        }
        const CustomerKey customer = *nextCustomer(*rank, connections);
        const QueuedWork work = takeNext(*rank, customer);
        m_running[work.id] = {work, now};
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
    RankState &state = m_ranks[found->second.work.rank];
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
    RankState &state = m_ranks[found->second.work.rank];
    state.usedTime.add(secondsBetween(found->second.startedAt, now), now);
    --state.running;
    if (!found->second.work.isPinned) {
        releaseConnection(found->second.work.customer);
    }
    m_running.erase(found);
}

void RankQueue::requeue(WorkId id, TimePoint now)
{
    const auto found = m_running.find(id);
    if (found == m_running.end()) {
        return;
    }
    const QueuedWork work = found->second.work;
    abandoned(id, now);
    insertWaiting(work);
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
    return waitBehind(rank, m_ranks[rank].waiting.size(), now);
}

/// Expected wait of work with `ownRankAhead` statements of its own rank ahead.
Duration RankQueue::waitBehind(Rank rank, std::size_t ownRankAhead, TimePoint now) const
{
    const double slots = static_cast<double>(std::max<std::size_t>(1, m_limits.slots));
    const double ownBacklog = std::chrono::duration<double>(meanServiceTime(rank)).count() * static_cast<double>(ownRankAhead);
    return std::max(backlogAhead(rank, ownRankAhead), fromSeconds(ownBacklog / (slots * availableShare(rank, now))));
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

/// Time that the slots need for the waiting work of all more urgent ranks and `ownRankAhead` statements of this one.
Duration RankQueue::backlogAhead(Rank rank, std::size_t ownRankAhead) const
{
    double seconds = 0;
    for (const Rank each : allRanks) {
        if (each <= rank) {
            const std::size_t ahead = each == rank ? ownRankAhead : m_ranks[each].waiting.size();
            seconds += std::chrono::duration<double>(meanServiceTime(each)).count() * static_cast<double>(ahead);
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
        if (running.work.rank == rank) {
            seconds += secondsBetween(running.startedAt, now);
        }
    }
    return seconds;
}

bool RankQueue::isEligible(const CustomerKey &key, const CustomerQueue &queue, const FreeConnections &connections) const
{
    if (queue.byDeadline.empty()) {
        return false;
    }
    if (key.isPinned) {
        return true;
    }
    return !m_isPaused && connections.count > 0 && heldConnections(key.customer) < queue.connectionLimit
           && (!connections.isFreeFor || connections.isFreeFor(key.customer, key.opensTransaction));
}

bool RankQueue::mayStart(Rank rank, TimePoint now, const FreeConnections &connections) const
{
    if (nextCustomer(rank, connections) == nullptr) {
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

std::optional<Rank> RankQueue::pickRank(TimePoint now, const FreeConnections &connections) const
{
    std::optional<Rank> mostUrgent;
    for (const Rank rank : allRanks) {
        if (!mayStart(rank, now, connections)) {
            continue;
        }
        if (recentShare(rank, now) < m_limits.weights[rank] / 100.0) {
            return rank;
        }
        mostUrgent = mostUrgent ? mostUrgent : rank;
    }
    return mostUrgent;
}

/// The customer whose work starts next; null if none may start.
const RankQueue::CustomerKey *RankQueue::nextCustomer(Rank rank, const FreeConnections &connections) const
{
    const RankState &state = m_ranks[rank];
    const CustomerKey *next = nullptr;
    double minStartTag = 0;
    for (const auto &[key, queue] : state.customers) {
        const double startTag = std::max(state.virtualTime, queue.finishTag);
        if ((next == nullptr || startTag < minStartTag) && isEligible(key, queue, connections)) {
            next = &key;
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
    const auto sibling = state.customers.find(siblingOf(customer));
    if (sibling != state.customers.end()) {
        sibling->second.finishTag = queue.finishTag;
    }
    QueuedWork work = state.waiting.at(queue.byDeadline.begin()->id);
    remove(state, work.id);
    return work;
}

void RankQueue::remove(RankState &state, WorkId id)
{
    const QueuedWork work = state.waiting.at(id);
    state.byDeadline.erase({work.deadline, id});
    const CustomerKey key = keyOf(work);
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
    if (state.byDeadline.empty() || now + expectedWait(rank, now) <= state.byDeadline.begin()->deadline) {
        return;
    }
    const std::vector<CustomerBacklog> backlogs = customerBacklogs(rank);
    if (backlogs.size() > 1) {
        std::vector<std::size_t> sortedBacklogs;
        const auto sortBacklogs = [&] {
            sortedBacklogs.clear();
            for (const CustomerBacklog &each : customerBacklogs(rank)) {
                sortedBacklogs.push_back(each.waiting);
            }
            std::sort(sortedBacklogs.begin(), sortedBacklogs.end());
        };
        sortBacklogs();
        for (const CustomerBacklog &customer : backlogs) {
            if (refuseHopelessOf(rank, customer, sortedBacklogs, now, decisions)) {
                sortBacklogs();
            }
        }
        return;
    }
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

/// The same for the customer's unpinned work alone, where other customers wait too: they take turns, so that each of them starts at most
/// as many statements before the customer's last one as the customer itself. Returns whether work was refused.
bool RankQueue::refuseHopelessOf(Rank rank,
                                 const CustomerBacklog &customer,
                                 const std::vector<std::size_t> &sortedBacklogs,
                                 TimePoint now,
                                 std::vector<QueueDecision> &decisions)
{
    RankState &state = m_ranks[rank];
    bool isRefused = false;
    for (std::size_t own = customer.waiting; own > 0; --own) {
        std::optional<WaitingKey> newest;
        for (const bool opensTransaction : {false, true}) {
            const auto queue = state.customers.find({customer.customer, false, opensTransaction});
            if (queue != state.customers.end() && !queue->second.byDeadline.empty()) {
                newest = std::max(newest, std::optional(*queue->second.byDeadline.rbegin()));
            }
        }
        if (!newest || state.waiting.at(newest->id).wantedBy == TimePoint::max()) {
            return isRefused;
        }
        std::size_t ahead = 0;
        auto larger = sortedBacklogs.begin();
        for (; larger != sortedBacklogs.end() && *larger < own; ++larger) {
            ahead += *larger;
        }
        ahead += own * static_cast<std::size_t>(sortedBacklogs.end() - larger);
        const TimePoint expectedEnd = now + waitBehind(rank, ahead, now);
        if (expectedEnd <= newest->deadline) {
            return isRefused;
        }
        remove(state, newest->id);
        decisions.push_back({newest->id, Outcome::refusal(ErrorCode::QueueFull, expectedEnd)});
        isRefused = true;
    }
    return isRefused;
}

} // namespace rattanbeam::decisions
