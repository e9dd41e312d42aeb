#include "rattanbeam/decisions/rankqueue.h"

#include "schedules.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

namespace rattanbeam::decisions::test
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t ampleConnections = 100;

QueueLimits makeLimits(std::size_t slots)
{
    QueueLimits limits;
    limits.slots = slots;
    limits.capacity = 64;
    limits.weights[Rank::Urgent] = 70;
    limits.weights[Rank::Interactive] = 20;
    limits.weights[Rank::Batch] = 10;
    return limits;
}

/// Simulates a member's slots, with a fixed service time for each rank and a constant backlog of offered work.
class SlotModel
{
public:
    explicit SlotModel(const QueueLimits &limits) : m_queue(limits)
    {}

    void setServiceTime(Rank rank, Duration serviceTime)
    {
        m_serviceTime[rank] = serviceTime;
    }
    /// Keeps `backlog` statements of `rank` waiting, from `customers` customers in turn.
    void setBacklog(Rank rank, std::size_t backlog, std::size_t customers = 1)
    {
        m_backlog[rank] = backlog;
        m_customers = customers;
    }
    void offerStatement(Rank rank, const std::string &customer, Duration timeout)
    {
        const WorkId id = ++m_lastId;
        if (!m_queue.offer({id, rank, CustomerId(customer), m_now + timeout, ampleConnections, false}, m_now)) {
            m_offered[id] = {rank, CustomerId(customer), m_now};
        }
    }

    void run(Duration time)
    {
        const TimePoint until = m_now + time;
        while (m_now < until) {
            for (const Rank rank : allRanks) {
                while (m_queue.waiting(rank) < m_backlog[rank]) {
                    offerStatement(rank, "c" + std::to_string(m_lastId % m_customers), 10s);
                }
            }
            startStatements();
            m_now += 1ms;
            finishStatements();
        }
    }

    double servedShare(Rank rank) const
    {
        const double total
            = std::chrono::duration<double>(m_servedTime[Rank::Urgent] + m_servedTime[Rank::Interactive] + m_servedTime[Rank::Batch])
                  .count();
        return std::chrono::duration<double>(m_servedTime[rank]).count() / total;
    }
    Duration maxWait(Rank rank) const
    {
        return m_maxWait[rank];
    }
    std::size_t served(const std::string &customer) const
    {
        const auto found = m_served.find(CustomerId(customer));
        return found == m_served.end() ? 0 : found->second;
    }

private:
    struct OfferedStatement {
        Rank rank = Rank::Batch;
        CustomerId customer;
        TimePoint offeredAt;
    };

    void startStatements()
    {
        for (const QueueDecision &decision : m_queue.advance(m_now, ampleConnections)) {
            const OfferedStatement &work = m_offered.at(decision.id);
            if (decision.isStart()) {
                m_completions.emplace(m_now + m_serviceTime[work.rank], decision.id);
                m_maxWait[work.rank] = std::max(m_maxWait[work.rank], m_now - work.offeredAt);
            }
        }
    }
    void finishStatements()
    {
        while (!m_completions.empty() && m_completions.begin()->first <= m_now) {
            const WorkId id = m_completions.begin()->second;
            m_completions.erase(m_completions.begin());
            const OfferedStatement &work = m_offered.at(id);
            m_servedTime[work.rank] += m_serviceTime[work.rank];
            ++m_served[work.customer];
            m_queue.finished(id, m_now);
        }
    }

    RankQueue m_queue;
    TimePoint m_now{std::chrono::hours(1)};
    PerRank<Duration> m_serviceTime;
    PerRank<std::size_t> m_backlog;
    PerRank<Duration> m_servedTime;
    PerRank<Duration> m_maxWait;
    std::size_t m_customers = 1;
    WorkId m_lastId = 0;
    std::map<WorkId, OfferedStatement> m_offered;
    std::map<CustomerId, std::size_t> m_served;
    std::multimap<TimePoint, WorkId> m_completions;
};

/// One rank's part of a load: statements that arrive at regular intervals.
struct LoadPart {
    Duration interval{};
    Duration serviceTime{};
    Duration objective{};
    Duration timeout{};
};

struct LoadResult {
    std::size_t refusedAtOnce = 0;
    std::size_t refusedAfterWaiting = 0;
    std::size_t endedInTime = 0;
    std::size_t endedLate = 0;
    Duration servedTime{};
    /// The longest time that a retry was asked to wait.
    Duration maxRetryDelay{};
};

/// Plays `load` for `time` against a queue whose callers do not retry. Counts the work that arrives after `settlingTime`, in which the
/// queue learns of the load.
PerRank<LoadResult> playLoad(const QueueLimits &limits, const PerRank<LoadPart> &load, Duration time, Duration settlingTime = {})
{
    struct Statement {
        Rank rank = Rank::Batch;
        TimePoint arrivedAt;
    };
    const TimePoint start{std::chrono::hours(1)};
    RankQueue queue(limits);
    PerRank<LoadResult> results;
    PerRank<TimePoint> nextArrivals;
    std::map<WorkId, Statement> statements;
    std::multimap<TimePoint, WorkId> completions;
    WorkId lastId = 0;
    const auto isCounted = [&](const Statement &statement) {
        return statement.arrivedAt >= start + settlingTime;
    };
    for (const Rank rank : allRanks) {
        nextArrivals[rank] = start;
    }
    for (TimePoint now = start; now < start + time; now += 1ms) {
        while (!completions.empty() && completions.begin()->first <= now) {
            const WorkId id = completions.begin()->second;
            const Statement statement = statements.at(id);
            const LoadPart &part = load[statement.rank];
            LoadResult &result = results[statement.rank];
            if (isCounted(statement)) {
                ++(now - statement.arrivedAt <= part.objective ? result.endedInTime : result.endedLate);
            }
            result.servedTime += part.serviceTime;
            queue.finished(id, now);
            statements.erase(id);
            completions.erase(completions.begin());
        }
        for (const Rank rank : allRanks) {
            const LoadPart &part = load[rank];
            for (; part.interval > Duration::zero() && nextArrivals[rank] <= now; nextArrivals[rank] += part.interval) {
                QueuedWork work{++lastId, rank, CustomerId("tiza"), now + part.timeout, ampleConnections, false, now + part.objective};
                if (const auto refusal = queue.offer(work, now)) {
                    ++results[rank].refusedAtOnce;
                    results[rank].maxRetryDelay = std::max(results[rank].maxRetryDelay, refusal->retryAt - now);
                } else {
                    statements[work.id] = {rank, now};
                }
            }
        }
        for (const QueueDecision &decision : queue.advance(now, ampleConnections)) {
            const Statement statement = statements.at(decision.id);
            if (decision.isStart()) {
                completions.emplace(now + load[statement.rank].serviceTime, decision.id);
            } else {
                results[statement.rank].refusedAfterWaiting += isCounted(statement) ? 1 : 0;
                statements.erase(decision.id);
            }
        }
    }
    return results;
}

} // namespace

// A database whose replicas have fallen far behind: all reads come to the primary, which has six slots for the work of fifteen. Before,
// batch work was accepted, waited for its whole timeout and was then refused.
TEST_CASE("Work that lasting overload would keep waiting beyond its objective is refused at once, not after waiting", "[rankqueue]")
{
    QueueLimits limits = makeLimits(6);
    limits.capacity = 256;
    limits.weights[Rank::Urgent] = 30;
    limits.weights[Rank::Interactive] = 20;
    limits.weights[Rank::Batch] = 5;
    limits.longWorkThreshold = 60ms;
    PerRank<LoadPart> load;
    load[Rank::Urgent] = {14ms, 11ms, 200ms, 1200ms};
    load[Rank::Interactive] = {3ms, 33ms, 400ms, 1200ms};
    load[Rank::Batch] = {14ms, 55ms, 1500ms, 3000ms};
    constexpr Duration time = 20s;
    const PerRank<LoadResult> results = playLoad(limits, load, time, 2s);
    Duration servedTime{};
    for (const Rank rank : allRanks) {
        INFO("rank " << rankName(rank) << " at once " << results[rank].refusedAtOnce << " after waiting "
                     << results[rank].refusedAfterWaiting << " in time " << results[rank].endedInTime << " late "
                     << results[rank].endedLate);
        CHECK(results[rank].refusedAfterWaiting * 50 <= results[rank].endedInTime);
        CHECK(results[rank].endedLate * 20 <= results[rank].endedInTime);
        CHECK(results[rank].maxRetryDelay <= load[rank].timeout);
        servedTime += results[rank].servedTime;
    }
    CHECK(results[Rank::Urgent].refusedAtOnce == 0);
    CHECK(results[Rank::Interactive].refusedAtOnce > 0);
    // What is refused leaves no slot idle, and each rank keeps its guarantee.
    CHECK(servedTime >= time * 6 * 95 / 100);
    CHECK(results[Rank::Interactive].servedTime * 100 >= servedTime * 20);
    CHECK(results[Rank::Batch].servedTime * 100 >= servedTime * 5);
}

TEST_CASE("A burst of batch work waits for idle slots up to its objective", "[rankqueue]")
{
    QueueLimits limits = makeLimits(6);
    limits.capacity = 256;
    PerRank<LoadPart> load;
    load[Rank::Urgent] = {100ms, 11ms, 200ms, 1200ms};
    load[Rank::Batch] = {10ms, 55ms, 1500ms, 3000ms};
    const PerRank<LoadResult> results = playLoad(limits, load, 5s);
    CHECK(results[Rank::Batch].refusedAtOnce == 0);
    CHECK(results[Rank::Batch].refusedAfterWaiting == 0);
    CHECK(results[Rank::Batch].endedLate == 0);
}

TEST_CASE("Work at a member too slow for the objective may wait until its deadline", "[rankqueue]")
{
    QueueLimits limits = makeLimits(1);
    PerRank<LoadPart> load;
    load[Rank::Urgent] = {600ms, 500ms, 100ms, 2000ms};
    const PerRank<LoadResult> results = playLoad(limits, load, 10s);
    CHECK(results[Rank::Urgent].refusedAtOnce == 0);
    CHECK(results[Rank::Urgent].endedLate >= 15);
}

TEST_CASE("Each rank gets its weight when all ranks overload the member", "[rankqueue]")
{
    SlotModel model(makeLimits(2));
    model.setServiceTime(Rank::Urgent, 2ms);
    model.setServiceTime(Rank::Interactive, 3ms);
    model.setServiceTime(Rank::Batch, 20ms);
    for (const Rank rank : allRanks) {
        model.setBacklog(rank, 30);
    }
    model.run(20s);
    CHECK(model.servedShare(Rank::Urgent) >= 0.65);
    CHECK(model.servedShare(Rank::Interactive) >= 0.19);
    CHECK(model.servedShare(Rank::Batch) >= 0.09);
}

TEST_CASE("Urgent work starts at once while batch work overloads the member", "[rankqueue]")
{
    SlotModel model(makeLimits(2));
    model.setServiceTime(Rank::Urgent, 2ms);
    model.setServiceTime(Rank::Batch, 50ms);
    model.offerStatement(Rank::Urgent, "tiza", 1s);
    model.run(20ms);
    model.setBacklog(Rank::Batch, 60);
    model.run(1s);
    for (int i = 0; i < 50; ++i) {
        model.offerStatement(Rank::Urgent, "tiza", 1s);
        model.run(20ms);
    }
    // Long batch work never takes the last slot while the urgent rank is active.
    CHECK(model.maxWait(Rank::Urgent) <= 2ms);
    CHECK(model.servedShare(Rank::Batch) > 0.5);
}

// Interactive work is long here too, but must leave a slot only for more urgent ranks. If it also left the last free slot to
// batch work, it would wait for a batch statement to end.
TEST_CASE("Interactive work starts at once while batch work overloads the member, as a slot is left only for more urgent ranks",
          "[rankqueue]")
{
    SlotModel model(makeLimits(2));
    model.setServiceTime(Rank::Interactive, 22ms);
    model.setServiceTime(Rank::Batch, 40ms);
    model.offerStatement(Rank::Interactive, "tiza", 1s);
    model.run(50ms);
    model.setBacklog(Rank::Batch, 60);
    model.run(1s);
    for (int i = 0; i < 50; ++i) {
        model.offerStatement(Rank::Interactive, "tiza", 1s);
        model.run(100ms);
    }
    CHECK(model.maxWait(Rank::Interactive) <= 2ms);
}

TEST_CASE("Long batch work uses all slots when no other rank is active", "[rankqueue]")
{
    SlotModel model(makeLimits(2));
    model.setServiceTime(Rank::Batch, 40ms);
    model.setBacklog(Rank::Batch, 10);
    model.run(4s);
    // Two slots, 40 ms per statement: at most 200 statements in 4 s.
    CHECK(model.served("c0") >= 190);
}

TEST_CASE("A rank uses the slot time that other ranks leave", "[rankqueue]")
{
    SlotModel model(makeLimits(2));
    model.setServiceTime(Rank::Batch, 5ms);
    model.setBacklog(Rank::Batch, 10);
    model.run(1s);
    // Two slots, 5 ms per statement: at most 400 statements in 1 s, less what rounding costs.
    CHECK(model.served("c0") >= 380);
}

TEST_CASE("A customer that overloads the queue does not take slots from others of its rank", "[rankqueue]")
{
    SlotModel model(makeLimits(2));
    model.setServiceTime(Rank::Urgent, 2ms);
    model.run(10ms);
    for (int round = 0; round < 200; ++round) {
        for (int i = 0; i < 20; ++i) {
            model.offerStatement(Rank::Urgent, "greedy", 200ms);
        }
        model.offerStatement(Rank::Urgent, "modest", 200ms);
        model.run(10ms);
    }
    // The modest customer offers 200 statements, a tenth of what the slots can run.
    CHECK(model.served("modest") >= 195);
    CHECK(model.served("greedy") > 1000);
}

// The newest work of a rank was refused, whoever's backlog was in the way.
TEST_CASE("Hopeless work is refused of the customer with the backlog, not of one that waits for its turn", "[rankqueue]")
{
    QueueLimits limits = makeLimits(1);
    limits.assumedServiceTime = 10ms;
    RankQueue queue(limits);
    const TimePoint now{std::chrono::hours(1)};
    std::set<WorkId> accepted;
    for (WorkId id = 1; id <= 60; ++id) {
        const QueuedWork work{id, Rank::Interactive, CustomerId("greedy"), now + 800ms, ampleConnections, false, now + 800ms};
        if (!queue.offer(work, now)) {
            accepted.insert(id);
        }
    }
    REQUIRE(accepted.size() > 20);
    REQUIRE_FALSE(queue.offer({100, Rank::Interactive, CustomerId("modest"), now + 801ms, ampleConnections, false, now + 801ms}, now));
    // More urgent work arrives, and leaves interactive work only a part of the time.
    for (WorkId id = 200; id < 255; ++id) {
        queue.offer({id, Rank::Urgent, CustomerId("other"), now + 10s, ampleConnections, false, now + 10s}, now);
    }
    std::size_t refused = 0;
    for (const QueueDecision &decision : queue.advance(now, 0)) {
        CHECK(accepted.contains(decision.id));
        CHECK_FALSE(decision.isStart());
        ++refused;
    }
    CHECK(refused > 0);
    CHECK(queue.cancel(100));
}

TEST_CASE("Customers held back by the connection test don't hold up others", "[rankqueue]")
{
    RankQueue queue(makeLimits(2));
    const TimePoint now{std::chrono::hours(1)};
    REQUIRE_FALSE(queue.offer({1, Rank::Urgent, CustomerId("blocked"), now + 1s, ampleConnections, false}, now));
    REQUIRE_FALSE(queue.offer({2, Rank::Urgent, CustomerId("free"), now + 2s, ampleConnections, false, TimePoint::max(), true}, now));
    REQUIRE_FALSE(queue.offer({3, Rank::Urgent, CustomerId("free"), now + 2s, ampleConnections, false}, now));
    const ConnectionTest onlyFreeWithoutTransactions = [](const CustomerId &customer, bool opensTransaction) {
        return customer == CustomerId("free") && !opensTransaction;
    };
    CHECK(queue.advance(now, ampleConnections, onlyFreeWithoutTransactions) == std::vector<QueueDecision>{{3, Outcome{}}});
    // A statement that was not sent waits again, at its old deadline.
    queue.requeue(3, now);
    CHECK(queue.running() == 0);
    CHECK(queue.waiting(Rank::Urgent) == 3);
    CHECK(queue.advance(now, 1) == std::vector<QueueDecision>{{1, Outcome{}}});
}

TEST_CASE("Work that cannot meet its deadline is refused before it starts", "[rankqueue]")
{
    RankQueue queue(makeLimits(1));
    const TimePoint now{std::chrono::hours(1)};
    const CustomerId tiza("tiza");
    REQUIRE_FALSE(queue.offer({1, Rank::Urgent, tiza, now + 100ms, 9, false}, now));
    REQUIRE_FALSE(queue.offer({2, Rank::Urgent, tiza, now + 100ms, 9, false}, now));
    CHECK(queue.advance(now, ampleConnections) == std::vector<QueueDecision>{{1, Outcome{}}});
    CHECK(queue.advance(now + 99ms, ampleConnections) == std::vector<QueueDecision>{{2, Outcome::refusal(ErrorCode::DeadlineUnreachable)}});
    const auto late = queue.offer({3, Rank::Urgent, tiza, now, 9, false}, now);
    CHECK(late == Outcome::refusal(ErrorCode::DeadlineUnreachable));
}

TEST_CASE("A full queue refuses work with a time for the retry", "[rankqueue]")
{
    QueueLimits limits = makeLimits(1);
    limits.capacity = 3;
    RankQueue queue(limits);
    const TimePoint now{std::chrono::hours(1)};
    for (WorkId id = 1; id <= 3; ++id) {
        REQUIRE_FALSE(queue.offer({id, Rank::Batch, CustomerId("tiza"), now + 10s, 9, false}, now));
    }
    const auto refusal = queue.offer({4, Rank::Batch, CustomerId("tiza"), now + 10s, 9, false}, now);
    REQUIRE(refusal);
    CHECK(refusal->code == ErrorCode::QueueFull);
    CHECK(refusal->verdict == Verdict::NotRun);
    CHECK(refusal->retryAt > now);
}

TEST_CASE("Slots, connections and a customer's limit are never exceeded, and no work is lost", "[rankqueue]")
{
    rc::prop("over any schedule", [] {
        constexpr std::size_t slots = 3;
        constexpr std::size_t customerLimit = 2;
        RankQueue queue(makeLimits(slots));
        TimePoint now{std::chrono::hours(1)};
        std::map<WorkId, QueuedWork> waiting;
        std::map<WorkId, QueuedWork> running;
        WorkId lastId = 0;
        for (const std::uint32_t choice : *rattanbeam::test::scheduleChoices(300)) {
            const std::uint32_t detail = choice / 8;
            if (choice % 8 < 3) {
                const CustomerId customer(std::to_string(detail / 3 % 3));
                const QueuedWork work{++lastId,
                                      allRanks[detail % 3],
                                      customer,
                                      now + std::chrono::milliseconds(detail % 5000),
                                      customerLimit,
                                      detail / 64 % 8 == 0};
                if (!queue.offer(work, now)) {
                    waiting[work.id] = work;
                }
            } else if (choice % 8 < 5 && !running.empty()) {
                const auto ended = std::next(running.begin(), static_cast<std::ptrdiff_t>(detail % running.size()));
                queue.finished(ended->first, now);
                running.erase(ended);
            } else if (choice % 8 == 5 && !waiting.empty()) {
                RC_ASSERT(queue.cancel(waiting.begin()->first));
                waiting.erase(waiting.begin());
            } else {
                now += std::chrono::milliseconds(detail % 50);
            }
            const std::size_t freeConnections = detail % 3;
            std::size_t unpinnedStarts = 0;
            for (const QueueDecision &decision : queue.advance(now, freeConnections)) {
                const QueuedWork work = waiting.at(decision.id);
                waiting.erase(decision.id);
                if (decision.isStart()) {
                    running[work.id] = work;
                    unpinnedStarts += work.isPinned ? 0 : 1;
                }
            }
            RC_ASSERT(unpinnedStarts <= freeConnections);
            RC_ASSERT(running.size() <= slots);
            RC_ASSERT(queue.running() == running.size());
            std::map<CustomerId, std::size_t> held;
            for (const auto &[id, work] : running) {
                held[work.customer] += work.isPinned ? 0 : 1;
            }
            for (const auto &[customer, count] : held) {
                RC_ASSERT(count <= customerLimit);
            }
            RC_ASSERT(waiting.size() <= 3 * makeLimits(slots).capacity);
            RC_ASSERT(queue.waiting(Rank::Urgent) + queue.waiting(Rank::Interactive) + queue.waiting(Rank::Batch) == waiting.size());
        }
    });
}

// Abandoned and slow statements that take longer than any deadline must not raise the mean service time so far that an idle
// queue refuses all further work as unreachable.
TEST_CASE("Abandoned statements do not make a queue refuse all later work", "[rankqueue]")
{
    QueueLimits limits;
    limits.slots = 1;
    RankQueue queue(limits);
    TimePoint now{std::chrono::seconds(100)};
    for (WorkId id = 1; id <= 30; ++id) {
        QueuedWork work;
        work.id = id;
        work.rank = Rank::Urgent;
        work.customer = CustomerId("tiza");
        work.deadline = now + std::chrono::milliseconds(800);
        REQUIRE_FALSE(queue.offer(work, now).has_value());
        REQUIRE(queue.advance(now, 1).size() == 1);
        now += std::chrono::seconds(2);
        id % 2 == 0 ? queue.abandoned(id, now) : queue.finished(id, now);
    }
}

// Guards against open transactions, which hold locks, that wait while a member gets its slots step by step.
TEST_CASE("Pinned work starts beyond the slots that other work may use", "[rankqueue]")
{
    QueueLimits limits = makeLimits(1);
    limits.pinnedSlots = 3;
    RankQueue queue(limits);
    const TimePoint now{1000s};
    for (WorkId id = 1; id <= 6; ++id) {
        const bool isPinned = id > 2;
        REQUIRE_FALSE(queue.offer({id, Rank::Urgent, CustomerId("a"), now + 1s, ampleConnections, isPinned}, now));
    }
    std::size_t pinned = 0;
    std::size_t other = 0;
    for (const QueueDecision &decision : queue.advance(now, ampleConnections)) {
        REQUIRE(decision.isStart());
        ++(decision.id > 2 ? pinned : other);
    }
    CHECK(pinned + other == 3);
    CHECK(pinned >= 2);
    CHECK(queue.advance(now, ampleConnections).empty());
}

} // namespace rattanbeam::decisions::test
