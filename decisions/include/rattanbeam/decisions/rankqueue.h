#pragma once

#include "rattanbeam/decisions/identifiers.h"
#include "rattanbeam/decisions/rank.h"
#include "rattanbeam/decisions/timepoint.h"
#include "rattanbeam/decisions/verdict.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace rattanbeam::decisions
{

/// Number that a home gives to a request and to its queued statement.
using WorkId = std::uint64_t;

/// One statement that waits for a slot.
struct QueuedWork {
    WorkId id = 0;
    Rank rank = Rank::Batch;
    CustomerId customer;
    TimePoint deadline;
    /// Maximum number of connections that the customer may hold at this member.
    std::size_t connectionLimit = 1;
    /// The statement's transaction already holds a connection.
    bool isPinned = false;
    /// If the work ahead is not expected to let it end by this time, the queue counts as full for it.
    TimePoint wantedBy = TimePoint::max();
    /// The statement opens a transaction that keeps its connection. Such work can be held back separately, see ConnectionTest.
    bool opensTransaction = false;

    auto operator<=>(const QueuedWork &) const = default;
};

/// Whether unpinned work of the customer may take a connection now.
using ConnectionTest = std::function<bool(const CustomerId &customer, bool opensTransaction)>;

/// Bounds of one member's queue.
struct QueueLimits {
    /// Maximum number of statements that the member runs at once.
    std::size_t slots = 1;
    /// Pinned work may start while fewer statements than this run, if it is more than `slots`.
    std::size_t pinnedSlots = 0;
    /// Maximum number of waiting statements of each rank.
    std::size_t capacity = 256;
    /// Maximum wait that new work of a rank may expect; beyond it the queue counts as full. Zero sets no maximum.
    PerRank<Duration> maxExpectedWait;
    /// Percentage of the slots' time that each rank is guaranteed when other ranks overload the member.
    PerRank<std::uint32_t> weights;
    /// Work of a rank whose mean service time is above this may not take the last slot while a more urgent rank is active.
    Duration longWorkThreshold = std::chrono::milliseconds(20);
    /// A rank counts as active for this long after its latest work arrived.
    Duration activityWindow = std::chrono::seconds(10);
    /// Service time of a rank of which no statement has been measured yet.
    Duration assumedServiceTime = std::chrono::milliseconds(2);

    auto operator<=>(const QueueLimits &) const = default;
};

/// What happens to queued work: it starts, or it is refused because it can no longer meet its deadline or had to make room
/// for another customer's work.
struct QueueDecision {
    WorkId id = 0;
    Outcome outcome;

    bool isStart() const
    {
        return outcome.isSuccess();
    }
    auto operator<=>(const QueueDecision &) const = default;
};

/// The queue in front of one member's slots.
///
/// Between ranks, the most urgent one goes first whose recent share of the slots' time is below its weight. When each has
/// had its weight, the most urgent rank with work goes first, so that spare time is used. Between customers of a rank:
/// start-time fair queueing (Goyal, Vin and Cheng). Within a customer: earliest deadline first. Work that cannot meet its
/// deadline is refused before it takes a slot.
///
///     if (const auto refusal = queue.offer(work, now)) { answer(*refusal); }
///     for (const auto &decision : queue.advance(now, pool.idle())) { ... }
///     queue.finished(id, now);
class RankQueue
{
public:
    explicit RankQueue(const QueueLimits &limits);

    /// Queues the work, or returns the refusal: QueueFull, with the time at which the same work would find room, or
    /// DeadlineUnreachable. When the queue is full, the customer with the most waiting work loses one statement to a customer with
    /// less; the next advance() returns its refusal.
    std::optional<Outcome> offer(const QueuedWork &work, TimePoint now);

    /// Starts work that may start and refuses work that can no longer meet its deadline. At most `freeConnections`
    /// statements are started that are not pinned to a connection, and only of customers that pass `isConnectionFree`, if it is set.
    std::vector<QueueDecision> advance(TimePoint now, std::size_t freeConnections, const ConnectionTest &isConnectionFree = {});

    /// A started statement has ended: frees its slot and updates the mean service time of its rank.
    void finished(WorkId id, TimePoint now);
    /// A started statement was abandoned: frees its slot. Its duration does not count as a service time.
    void abandoned(WorkId id, TimePoint now);
    /// A started statement was not sent: frees its slot, and the statement waits again.
    void requeue(WorkId id, TimePoint now);

    /// Removes waiting work; false if it is not waiting.
    bool cancel(WorkId id);

    /// An open transaction of `customer` takes or releases a connection.
    void holdConnection(const CustomerId &customer);
    void releaseConnection(const CustomerId &customer);
    std::size_t heldConnections(const CustomerId &customer) const;

    /// While paused, only pinned work starts; used during a handover.
    void setPaused(bool isPaused)
    {
        m_isPaused = isPaused;
    }
    /// Applies the limits of a changed contract or group; queued work stays queued.
    void setLimits(const QueueLimits &limits)
    {
        m_limits = limits;
    }

    std::size_t waiting(Rank rank) const
    {
        return m_ranks[rank].waiting.size();
    }
    std::size_t running() const
    {
        return m_running.size();
    }
    /// The customers with waiting work that is not pinned.
    std::set<CustomerId> waitingCustomers() const;
    /// Share that `rank` had of the recently used slot time, 0 to 1.
    double recentShare(Rank rank, TimePoint now) const;
    /// Time at which new work of `rank` can expect to start.
    TimePoint expectedStart(Rank rank, TimePoint now) const;
    /// How long new work of `rank` can expect to wait. Counts the waiting work of this and all more urgent ranks, and that in lasting
    /// overload more urgent work which has yet to arrive goes first too: it takes the share of the slots that it took recently.
    Duration expectedWait(Rank rank, TimePoint now) const;

private:
    /// Sum of slot time with exponential decay: past time counts half after each half-life.
    struct DecayingTime {
        double seconds = 0;
        TimePoint at;
        double valueAt(TimePoint now) const;
        void add(double moreSeconds, TimePoint now);
    };
    /// Orders waiting work by deadline.
    struct WaitingKey {
        TimePoint deadline;
        WorkId id = 0;
        auto operator<=>(const WaitingKey &) const = default;
    };
    /// Pinned work of a customer is queued separately, since it needs no free connection. So is work that opens transactions, since it
    /// may be held back alone; it shares the customer's finish tag with the customer's other unpinned work.
    struct CustomerKey {
        CustomerId customer;
        bool isPinned = false;
        bool opensTransaction = false;
        auto operator<=>(const CustomerKey &) const = default;
    };
    struct CustomerQueue {
        /// Virtual time at which the latest started work of the customer ends.
        double finishTag = 0;
        std::size_t connectionLimit = 1;
        std::set<WaitingKey> byDeadline;
    };
    struct RankState {
        std::map<WorkId, QueuedWork> waiting;
        std::map<CustomerKey, CustomerQueue> customers;
        std::set<WaitingKey> byDeadline;
        double virtualTime = 0;
        std::size_t running = 0;
        TimePoint lastOffered = distantPast;
        DecayingTime usedTime;
        double meanServiceSeconds = 0;
    };
    struct RunningWork {
        QueuedWork work;
        TimePoint startedAt;
    };
    struct FreeConnections {
        std::size_t count = 0;
        const ConnectionTest &isFreeFor;
    };
    /// How much work of one customer waits in a rank, over all of its queues.
    struct CustomerBacklog {
        CustomerId customer;
        std::size_t waiting = 0;
    };

    static CustomerKey keyOf(const QueuedWork &work)
    {
        return {work.customer, work.isPinned, work.opensTransaction};
    }
    static CustomerKey siblingOf(const CustomerKey &key)
    {
        return {key.customer, key.isPinned, !key.opensTransaction};
    }
    void insertWaiting(const QueuedWork &work);
    std::vector<CustomerBacklog> customerBacklogs(Rank rank) const;
    bool isAnotherWaiting(const QueuedWork &work) const;
    std::size_t waitingAhead(Rank rank, const CustomerId &customer) const;
    Duration waitBehind(Rank rank, std::size_t ownRankAhead, TimePoint now) const;
    Duration backlogAhead(Rank rank, std::size_t ownRankAhead) const;
    Duration meanServiceTime(Rank rank) const;
    Duration minServiceTime(Rank rank) const;
    double usedSeconds(Rank rank, TimePoint now) const;
    bool mayStart(Rank rank, TimePoint now, const FreeConnections &connections) const;
    bool leavesSlotFor(Rank urgent, TimePoint now) const;
    std::optional<Rank> pickRank(TimePoint now, const FreeConnections &connections) const;
    bool isEligible(const CustomerKey &key, const CustomerQueue &queue, const FreeConnections &connections) const;
    const CustomerKey *nextCustomer(Rank rank, const FreeConnections &connections) const;
    QueuedWork takeNext(Rank rank, const CustomerKey &customer);
    void remove(RankState &state, WorkId id);
    double availableShare(Rank rank, TimePoint now) const;
    std::optional<TimePoint> lateUntil(const QueuedWork &work, TimePoint now) const;
    std::optional<TimePoint> fullUntil(const QueuedWork &work, TimePoint now) const;
    bool makeRoom(const QueuedWork &work, TimePoint now);
    void refuseLate(TimePoint now, std::vector<QueueDecision> &decisions);
    void refuseHopeless(Rank rank, TimePoint now, std::vector<QueueDecision> &decisions);
    bool refuseHopelessOf(Rank rank,
                          const CustomerBacklog &customer,
                          const std::vector<std::size_t> &sortedBacklogs,
                          TimePoint now,
                          std::vector<QueueDecision> &decisions);

    QueueLimits m_limits;
    PerRank<RankState> m_ranks;
    std::map<WorkId, RunningWork> m_running;
    std::map<CustomerId, std::size_t> m_heldConnections;
    std::vector<QueueDecision> m_displaced;
    bool m_isPaused = false;
};

} // namespace rattanbeam::decisions
