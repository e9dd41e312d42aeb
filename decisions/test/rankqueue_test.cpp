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

constexpr std::size_t plenty = 100;

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

/// Slots that take a fixed time for each rank, fed by floods.
class SlotModel
{
public:
    explicit SlotModel(const QueueLimits &limits) : m_queue(limits)
    {}

    void setService(Rank rank, Duration service)
    {
        m_service[rank] = service;
    }
    /// Keeps `backlog` statements of `rank` waiting, from `customers` customers in turn.
    void setFlood(Rank rank, std::size_t backlog, std::size_t customers = 1)
    {
        m_backlog[rank] = backlog;
        m_customers = customers;
    }
    void offerOne(Rank rank, const std::string &customer, Duration timeout)
    {
        const WorkId id = ++m_lastId;
        if (!m_queue.offer({id, rank, CustomerId(customer), m_now + timeout, plenty, false}, m_now)) {
            m_arrived[id] = {rank, CustomerId(customer), m_now};
        }
    }

    void run(Duration time)
    {
        const TimePoint until = m_now + time;
        while (m_now < until) {
            for (const Rank rank : allRanks) {
                while (m_queue.waiting(rank) < m_backlog[rank]) {
                    offerOne(rank, "c" + std::to_string(m_lastId % m_customers), 10s);
                }
            }
            start();
            m_now += 1ms;
            end();
        }
    }

    double servedShare(Rank rank) const
    {
        const double total = std::chrono::duration<double>(m_used[Rank::Urgent] + m_used[Rank::Interactive] + m_used[Rank::Batch]).count();
        return std::chrono::duration<double>(m_used[rank]).count() / total;
    }
    Duration longestWait(Rank rank) const
    {
        return m_longestWait[rank];
    }
    std::size_t served(const std::string &customer) const
    {
        const auto found = m_served.find(CustomerId(customer));
        return found == m_served.end() ? 0 : found->second;
    }

private:
    struct Arrived {
        Rank rank = Rank::Batch;
        CustomerId customer;
        TimePoint at;
    };

    void start()
    {
        for (const QueueDecision &decision : m_queue.advance(m_now, plenty)) {
            const Arrived &work = m_arrived.at(decision.id);
            if (decision.isStart()) {
                m_ends.emplace(m_now + m_service[work.rank], decision.id);
                m_longestWait[work.rank] = std::max(m_longestWait[work.rank], m_now - work.at);
            }
        }
    }
    void end()
    {
        while (!m_ends.empty() && m_ends.begin()->first <= m_now) {
            const WorkId id = m_ends.begin()->second;
            m_ends.erase(m_ends.begin());
            const Arrived &work = m_arrived.at(id);
            m_used[work.rank] += m_service[work.rank];
            ++m_served[work.customer];
            m_queue.finished(id, m_now);
        }
    }

    RankQueue m_queue;
    TimePoint m_now{std::chrono::hours(1)};
    PerRank<Duration> m_service;
    PerRank<std::size_t> m_backlog;
    PerRank<Duration> m_used;
    PerRank<Duration> m_longestWait;
    std::size_t m_customers = 1;
    WorkId m_lastId = 0;
    std::map<WorkId, Arrived> m_arrived;
    std::map<CustomerId, std::size_t> m_served;
    std::multimap<TimePoint, WorkId> m_ends;
};

} // namespace

TEST_CASE("In a flood of urgent work every lower rank keeps its share", "[rankqueue]")
{
    SlotModel model(makeLimits(2));
    model.setService(Rank::Urgent, 2ms);
    model.setService(Rank::Interactive, 3ms);
    model.setService(Rank::Batch, 20ms);
    for (const Rank rank : allRanks) {
        model.setFlood(rank, 30);
    }
    model.run(20s);
    CHECK(model.servedShare(Rank::Urgent) >= 0.65);
    CHECK(model.servedShare(Rank::Interactive) >= 0.19);
    CHECK(model.servedShare(Rank::Batch) >= 0.09);
}

TEST_CASE("In a flood of batch work urgent work waits for no more than one running statement", "[rankqueue]")
{
    SlotModel model(makeLimits(2));
    model.setService(Rank::Urgent, 2ms);
    model.setService(Rank::Batch, 50ms);
    model.offerOne(Rank::Urgent, "tiza", 1s);
    model.run(20ms);
    model.setFlood(Rank::Batch, 60);
    model.run(1s);
    for (int i = 0; i < 50; ++i) {
        model.offerOne(Rank::Urgent, "tiza", 1s);
        model.run(20ms);
    }
    // Long batch work never holds the last slot while urgent work comes at all.
    CHECK(model.longestWait(Rank::Urgent) <= 2ms);
    CHECK(model.servedShare(Rank::Batch) > 0.5);
}

TEST_CASE("Interactive work is served at once in a flood of batch work, and each rank leaves room only for those above it", "[rankqueue]")
{
    SlotModel model(makeLimits(2));
    model.setService(Rank::Interactive, 22ms);
    model.setService(Rank::Batch, 40ms);
    model.offerOne(Rank::Interactive, "tiza", 1s);
    model.run(50ms);
    model.setFlood(Rank::Batch, 60);
    model.run(1s);
    for (int i = 0; i < 50; ++i) {
        model.offerOne(Rank::Interactive, "tiza", 1s);
        model.run(100ms);
    }
    CHECK(model.longestWait(Rank::Interactive) <= 2ms);
}

TEST_CASE("Long batch work uses all slots where no other rank comes", "[rankqueue]")
{
    SlotModel model(makeLimits(2));
    model.setService(Rank::Batch, 40ms);
    model.setFlood(Rank::Batch, 10);
    model.run(4s);
    // Two slots, forty milliseconds each.
    CHECK(model.served("c0") >= 190);
}

TEST_CASE("A share that nobody else wants is used", "[rankqueue]")
{
    SlotModel model(makeLimits(2));
    model.setService(Rank::Batch, 5ms);
    model.setFlood(Rank::Batch, 10);
    model.run(1s);
    // Two slots, five milliseconds each: all but rounding of a thousand milliseconds is used.
    CHECK(model.served("c0") >= 380);
}

TEST_CASE("A greedy customer takes nothing from the others of its rank", "[rankqueue]")
{
    SlotModel model(makeLimits(2));
    model.setService(Rank::Urgent, 2ms);
    model.run(10ms);
    for (int round = 0; round < 200; ++round) {
        for (int i = 0; i < 20; ++i) {
            model.offerOne(Rank::Urgent, "greedy", 200ms);
        }
        model.offerOne(Rank::Urgent, "modest", 200ms);
        model.run(10ms);
    }
    // The modest one offers 200 statements, a tenth of what the slots take.
    CHECK(model.served("modest") >= 195);
    CHECK(model.served("greedy") > 1000);
}

TEST_CASE("Work that cannot meet its deadline is refused before it starts", "[rankqueue]")
{
    RankQueue queue(makeLimits(1));
    const TimePoint now{std::chrono::hours(1)};
    const CustomerId tiza("tiza");
    REQUIRE_FALSE(queue.offer({1, Rank::Urgent, tiza, now + 100ms, 9, false}, now));
    REQUIRE_FALSE(queue.offer({2, Rank::Urgent, tiza, now + 100ms, 9, false}, now));
    CHECK(queue.advance(now, plenty) == std::vector<QueueDecision>{{1, Outcome{}}});
    CHECK(queue.advance(now + 99ms, plenty) == std::vector<QueueDecision>{{2, Outcome::refusal(ErrorCode::DeadlineUnreachable)}});
    const auto late = queue.offer({3, Rank::Urgent, tiza, now, 9, false}, now);
    CHECK(late == Outcome::refusal(ErrorCode::DeadlineUnreachable));
}

TEST_CASE("A queue is bounded, and refusal carries a time for the repeat", "[rankqueue]")
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
        for (const std::uint32_t choice : *rattanbeam::test::scheduleOf(300)) {
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
                const auto chosen = std::next(running.begin(), static_cast<std::ptrdiff_t>(detail % running.size()));
                queue.finished(chosen->first, now);
                running.erase(chosen);
            } else if (choice % 8 == 5 && !waiting.empty()) {
                RC_ASSERT(queue.cancel(waiting.begin()->first));
                waiting.erase(waiting.begin());
            } else {
                now += std::chrono::milliseconds(detail % 50);
            }
            const std::size_t freeConnections = detail % 3;
            std::size_t unpinned = 0;
            for (const QueueDecision &decision : queue.advance(now, freeConnections)) {
                const QueuedWork work = waiting.at(decision.id);
                waiting.erase(decision.id);
                if (decision.isStart()) {
                    running[work.id] = work;
                    unpinned += work.pinned ? 0 : 1;
                }
            }
            RC_ASSERT(unpinned <= freeConnections);
            RC_ASSERT(running.size() <= slots);
            RC_ASSERT(queue.running() == running.size());
            std::map<CustomerId, std::size_t> held;
            for (const auto &[id, work] : running) {
                held[work.customer] += work.pinned ? 0 : 1;
            }
            for (const auto &[customer, count] : held) {
                RC_ASSERT(count <= customerLimit);
            }
            RC_ASSERT(waiting.size() <= 3 * makeLimits(slots).capacity);
            RC_ASSERT(queue.waiting(Rank::Urgent) + queue.waiting(Rank::Interactive) + queue.waiting(Rank::Batch) == waiting.size());
        }
    });
}

TEST_CASE("Statements that were given up do not shut a queue for good", "[rankqueue]")
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

} // namespace rattanbeam::decisions::test
