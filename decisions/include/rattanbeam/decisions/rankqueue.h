#pragma once

#include "rattanbeam/decisions/identifiers.h"
#include "rattanbeam/decisions/rank.h"
#include "rattanbeam/decisions/timepoint.h"
#include "rattanbeam/decisions/verdict.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace rattanbeam::decisions
{

/// Number that a home gives to a queued statement.
using WorkId = std::uint64_t;

/// One statement that waits for a slot.
struct QueuedWork {
    WorkId id = 0;
    Rank rank = Rank::Batch;
    CustomerId customer;
    TimePoint deadline;
    /// Connections that the customer may hold at this member.
    std::size_t connectionLimit = 1;
    /// The statement's transaction already holds a connection.
    bool pinned = false;
    /// Work that is not expected to start by then is refused at once.
    TimePoint startBy = TimePoint::max();

    auto operator<=>(const QueuedWork &) const = default;
};

/// Bounds of one member's queue.
struct QueueLimits {
    /// Statements that the member runs at once.
    std::size_t slots = 1;
    /// Waiting statements of each rank.
    std::size_t capacity = 256;
    /// Longest wait that new work may expect; beyond it the queue counts as full.
    PerRank<Duration> longestWait;
    /// Percent of the slots' time that each rank keeps when others flood.
    PerRank<std::uint32_t> weights;
    /// Work of a rank that usually takes longer than this may not take the last free slot while a more urgent rank is
    /// active.
    Duration longWork = std::chrono::milliseconds(20);
    /// A rank counts as active for this long after its last work arrived.
    Duration activeFor = std::chrono::seconds(10);
    /// Service time used before anything was measured.
    Duration assumedService = std::chrono::milliseconds(2);

    auto operator<=>(const QueueLimits &) const = default;
};

/// What becomes of queued work: it starts, or it is refused since it can no longer meet its deadline.
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
/// Between ranks: the first, in order of urgency, that has had less than its weight's share of the slots' time lately;
/// when none has, the most urgent (work-conserving floors). Between customers of a rank: start-time fair queueing (Goyal, Vin and Cheng).
/// Within a customer: earliest deadline first. Work that cannot meet its deadline is refused before it costs a slot.
///
///     if (const auto refusal = queue.offer(work, now)) { answer(*refusal); }
///     for (const auto &decision : queue.advance(now, pool.idle())) { ... }
///     queue.finished(id, now);
class RankQueue
{
public:
    explicit RankQueue(const QueueLimits &limits);

    /// Queues the work, or returns why not: a full queue or a deadline out of reach. In a full queue, the customer with
    /// the most waiting work makes room for one with less; the next advance() refuses what it lost.
    std::optional<Outcome> offer(const QueuedWork &work, TimePoint now);

    /// Starts what may start and refuses what is too late. At most `freeConnections` statements start that are not
    /// pinned to a connection of their own.
    std::vector<QueueDecision> advance(TimePoint now, std::size_t freeConnections);

    /// A started statement has ended and its slot is free.
    void finished(WorkId id, TimePoint now);
    /// A started statement was given up: its slot is free, and its time says nothing about the service.
    void abandoned(WorkId id, TimePoint now);

    /// Takes waiting work out; false if it is not waiting.
    bool cancel(WorkId id);

    /// An open transaction of `customer` takes a connection, or gives it back.
    void holdConnection(const CustomerId &customer);
    void releaseConnection(const CustomerId &customer);
    std::size_t heldConnections(const CustomerId &customer) const;

    /// Holds back all work that is not pinned, for a handover.
    void setPaused(bool paused)
    {
        m_paused = paused;
    }
    /// Limits from a changed contract or group; nothing queued is lost.
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
    /// Share of the recently used slot time that `rank` had, 0 to 1.
    double recentShare(Rank rank, TimePoint now) const;
    /// When `rank`'s queue is likely to have room.
    TimePoint expectedStart(Rank rank, TimePoint now) const;

private:
    /// Time used lately, halved every half-life.
    struct DecayingTime {
        double seconds = 0;
        TimePoint at;
        double valueAt(TimePoint now) const;
        void add(double moreSeconds, TimePoint now);
    };
    struct WaitingKey {
        TimePoint deadline;
        WorkId id = 0;
        auto operator<=>(const WaitingKey &) const = default;
    };
    /// Pinned work is kept apart, since it needs no further connection.
    struct CustomerKey {
        CustomerId customer;
        bool pinned = false;
        auto operator<=>(const CustomerKey &) const = default;
    };
    struct CustomerQueue {
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
        DecayingTime used;
        double meanServiceSeconds = 0;
    };
    struct Running {
        Rank rank = Rank::Batch;
        CustomerKey customer;
        TimePoint startedAt;
    };

    Duration backlogAhead(Rank rank) const;
    Duration meanService(Rank rank) const;
    Duration leastService(Rank rank) const;
    double usedSeconds(Rank rank, TimePoint now) const;
    bool mayStart(Rank rank, TimePoint now, std::size_t freeConnections) const;
    bool leavesRoomFor(Rank urgent, TimePoint now) const;
    std::optional<Rank> pickRank(TimePoint now, std::size_t freeConnections) const;
    bool isEligible(const CustomerKey &key, const CustomerQueue &queue, std::size_t freeConnections) const;
    std::optional<CustomerKey> nextCustomer(Rank rank, std::size_t freeConnections) const;
    QueuedWork takeNext(Rank rank, const CustomerKey &customer);
    void remove(RankState &state, WorkId id);
    bool isFull(Rank rank, TimePoint now, TimePoint startBy) const;
    bool makeRoom(const QueuedWork &work, TimePoint now);
    void refuseLate(TimePoint now, std::vector<QueueDecision> &decisions);

    QueueLimits m_limits;
    PerRank<RankState> m_ranks;
    std::map<WorkId, Running> m_running;
    std::map<CustomerId, std::size_t> m_held;
    std::vector<QueueDecision> m_displaced;
    bool m_paused = false;
};

} // namespace rattanbeam::decisions
