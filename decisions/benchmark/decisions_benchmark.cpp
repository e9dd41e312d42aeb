// Cost of the decisions per database, instance, statement and configuration change, for docs/CAPACITY.md. Members and
// instances are spread over 41 failure domains.

#include "rattanbeam/decisions/confirmation.h"
#include "rattanbeam/decisions/fleetview.h"
#include "rattanbeam/decisions/groupobserver.h"
#include "rattanbeam/decisions/memberhome.h"
#include "rattanbeam/decisions/rankqueue.h"
#include "rattanbeam/decisions/session/quotashare.h"
#include "rattanbeam/decisions/sessiontoken.h"

#include <benchmark/benchmark.h>

#include <malloc.h>

namespace
{

using namespace rattanbeam::decisions;
using namespace std::chrono_literals;

const TimePoint start{std::chrono::hours(1)};

DatabaseGroup makeGroup(std::size_t number)
{
    DatabaseGroup group;
    group.database = DatabaseName("db-" + std::to_string(number));
    group.slots = 2;
    group.connections = 16;
    group.term = 1;
    for (std::size_t i = 0; i < 3; ++i) {
        const std::string domain = "d" + std::to_string((number + i) % 41);
        const MemberId member("db-" + std::to_string(number) + "-" + std::to_string(i));
        group.members[member] = {FailureDomain(domain), "10.0.0.1:4000"};
        group.primary = i == 0 ? member : group.primary;
    }
    return group;
}

ConfigObject makeObject(std::size_t number, std::uint64_t version)
{
    const DatabaseGroup group = makeGroup(number);
    return {groupKey(group.database), formatDatabaseGroup(group), version, false};
}

std::vector<InstanceRecord> makeInstances(std::size_t count)
{
    std::vector<InstanceRecord> instances;
    for (std::size_t i = 0; i < count; ++i) {
        instances.push_back(
            {InstanceId("i" + std::to_string(i)), FailureDomain("d" + std::to_string(i % 41)), "10.0.0.2:4000", 1, 1, false});
    }
    return instances;
}

/// Loads the configuration of the whole fleet into one instance: time and bytes per database.
void buildFleet(benchmark::State &state)
{
    const auto databases = static_cast<std::size_t>(state.range(0));
    std::size_t bytes = 0;
    for ([[maybe_unused]] auto _ : state) {
        const std::size_t before = mallinfo2().uordblks;
        ConfigStore store;
        FleetBuilder builder;
        for (std::size_t i = 0; i < databases; ++i) {
            const ConfigObject object = makeObject(i, i + 1);
            store.merge({i, i + 1, {object}});
            builder.apply(object);
        }
        builder.setInstances(makeInstances(3200));
        const auto view = builder.view(databases);
        benchmark::DoNotOptimize(view);
        bytes = mallinfo2().uordblks - before;
    }
    state.counters["bytes_per_database"] = static_cast<double>(bytes) / static_cast<double>(databases);
}
BENCHMARK(buildFleet)->Arg(210)->Arg(2100)->Arg(21000)->Unit(benchmark::kMillisecond);

/// Applies one configuration change in a full fleet: that of a promotion, which moves no home.
void applyChange(benchmark::State &state)
{
    const auto databases = static_cast<std::size_t>(state.range(0));
    FleetBuilder builder;
    for (std::size_t i = 0; i < databases; ++i) {
        builder.apply(makeObject(i, i + 1));
    }
    builder.setInstances(makeInstances(3200));
    builder.view(databases);
    std::uint64_t version = databases;
    for ([[maybe_unused]] auto _ : state) {
        builder.apply(makeObject(0, ++version));
        benchmark::DoNotOptimize(builder.view(version));
    }
}
BENCHMARK(applyChange)->Arg(210)->Arg(2100)->Arg(21000)->Unit(benchmark::kMicrosecond);

/// Adds or removes one instance in a full fleet: partitions the fleet anew and reassigns the homes of one domain.
void changeInstances(benchmark::State &state)
{
    const auto databases = static_cast<std::size_t>(state.range(0));
    FleetBuilder builder;
    for (std::size_t i = 0; i < databases; ++i) {
        builder.apply(makeObject(i, i + 1));
    }
    const std::vector<InstanceRecord> all = makeInstances(3200);
    const std::vector<InstanceRecord> allButOne(all.begin(), all.end() - 1);
    builder.setInstances(allButOne);
    builder.view(1);
    bool isComplete = false;
    for ([[maybe_unused]] auto _ : state) {
        isComplete = !isComplete;
        builder.setInstances(isComplete ? all : allButOne);
        benchmark::DoNotOptimize(builder.view(1));
    }
}
BENCHMARK(changeInstances)->Arg(210)->Arg(2100)->Arg(21000)->Unit(benchmark::kMillisecond);

/// Takes one statement through a home: queue, connection and answer.
void homeStatement(benchmark::State &state)
{
    HomeLimits limits;
    limits.connections = 16;
    limits.queue.slots = 2;
    MemberHome home(limits, 1);
    MemberStatus status;
    status.term = 1;
    status.isFollowing = true;
    home.memberStatusReceived(status, start, start);
    HomeRequest request;
    request.customer = CustomerId("tiza");
    request.connectionLimit = 16;
    request.deadline = start + 10s;
    request.maxAge = 10s;
    request.id = 1;
    home.requestArrived(request, start);
    home.connectionOpened(1, start);
    home.answered(1, 1, {}, start);
    for ([[maybe_unused]] auto _ : state) {
        ++request.id;
        benchmark::DoNotOptimize(home.requestArrived(request, start));
        benchmark::DoNotOptimize(home.answered(1, request.id, {}, start));
    }
}
BENCHMARK(homeStatement);

/// Takes one statement through an overloaded queue in which each of several customers has work waiting.
void queueOfCustomers(benchmark::State &state)
{
    const auto customers = static_cast<std::size_t>(state.range(0));
    QueueLimits limits;
    limits.slots = 6;
    limits.capacity = 2 * customers;
    RankQueue queue(limits);
    const ConnectionTest isConnectionFree = [](const CustomerId &, bool) {
        return true;
    };
    QueuedWork work;
    work.connectionLimit = 66;
    work.deadline = start + 10s;
    work.wantedBy = start + 10s;
    std::vector<CustomerId> names;
    for (std::size_t i = 0; i < customers; ++i) {
        names.emplace_back("workspace-" + std::to_string(i));
    }
    for (std::size_t i = 0; i < 2 * customers; ++i) {
        work.id = i + 1;
        work.customer = names[i % customers];
        queue.offer(work, start);
    }
    std::vector<WorkId> running;
    for ([[maybe_unused]] auto _ : state) {
        for (const QueueDecision &decision : queue.advance(start, 1, isConnectionFree)) {
            running.push_back(decision.id);
        }
        if (!running.empty()) {
            queue.finished(running.back(), start);
            running.pop_back();
        }
        ++work.id;
        work.customer = names[work.id % customers];
        benchmark::DoNotOptimize(queue.offer(work, start));
    }
}
BENCHMARK(queueOfCustomers)->Arg(1)->Arg(87)->Arg(400);

/// One probe interval of an observer: a tick and the answers to its probes.
void observerInterval(benchmark::State &state)
{
    const StoredGroup stored{makeGroup(1), 1};
    GroupObserver observer({.domain = FailureDomain("d1"), .attemptPrefix = "x"}, stored);
    observer.groupChanged(stored, {stored.group.primary}, start);
    MemberStatus status;
    status.term = 1;
    status.history = TermHistory({{1, 0}});
    TimePoint now = start;
    for ([[maybe_unused]] auto _ : state) {
        now += 100ms;
        observer.tick(now);
        for (const auto &[member, location] : stored.group.members) {
            status.isPrimary = member == stored.group.primary;
            status.isFollowing = !status.isPrimary;
            benchmark::DoNotOptimize(observer.probeEnded(member, false, now, status, now));
        }
    }
}
BENCHMARK(observerInterval);

/// Processes the heartbeats of all instances of a domain, as they arrive in one gossip exchange.
void hearDomain(benchmark::State &state)
{
    Membership membership(1s);
    std::vector<InstanceRecord> records = makeInstances(static_cast<std::size_t>(state.range(0)));
    TimePoint now = start;
    for ([[maybe_unused]] auto _ : state) {
        now += 100ms;
        for (InstanceRecord &record : records) {
            ++record.heartbeat;
            membership.heartbeatReceived(record, now);
        }
        benchmark::DoNotOptimize(membership.liveAndLeaving(now));
    }
}
BENCHMARK(hearDomain)->Arg(9)->Arg(78)->Arg(3200)->Unit(benchmark::kMicrosecond);

/// Encodes and decodes a session token with two databases.
void tokenRoundTrip(benchmark::State &state)
{
    const SessionToken token = SessionToken()
                                   .withObservedPosition(DatabaseName("orders"), {3, 120}, true)
                                   .withObservedPosition(DatabaseName("stock"), {2, 9}, true);
    for ([[maybe_unused]] auto _ : state) {
        benchmark::DoNotOptimize(SessionToken::decode(token.encode()));
    }
    state.counters["bytes"] = static_cast<double>(token.encode().size());
}
BENCHMARK(tokenRoundTrip);

/// 87 workspaces in a fleet of 90 instances.
session::QuotaLimits makeQuotaLimits()
{
    session::QuotaLimits limits;
    for (int i = 0; i < 87; ++i) {
        limits[session::WorkspaceName("workspace-" + std::to_string(i))] = {376, 376};
    }
    return limits;
}

/// Admits or refuses an operation at a home that has asked for all workspaces; the pool's work on its requests is included.
void quotaOperation(benchmark::State &state)
{
    const session::QuotaBound bound{5s, 0.1, 20};
    const session::QuotaLimits limits = makeQuotaLimits();
    TimePoint now = start;
    const InstanceId pool("pool");
    session::QuotaPool quotaPool(bound, now);
    session::QuotaShare home(InstanceId("home"), bound, now);
    quotaPool.setLimits(limits, now);
    quotaPool.setOwnShare(true, now);
    home.setLimits(limits, now);
    home.setFleet({pool}, 1, true, now);
    home.setAdvances(true);
    session::QuotaOperation operation = 0;
    auto workspace = limits.begin();
    for ([[maybe_unused]] auto _ : state) {
        now += 100us;
        workspace = std::next(workspace) == limits.end() ? limits.begin() : std::next(workspace);
        benchmark::DoNotOptimize(home.request(++operation, workspace->first, now + 1s, now));
        if (operation % 100 == 0) {
            home.tick(now);
        }
        for (const session::QuotaMessage &message : home.takeMessages(now)) {
            home.replyArrived(pool, quotaPool.handleRequest(InstanceId("home"), message.request, now), now);
        }
        benchmark::DoNotOptimize(home.takeOutcomes());
    }
}
BENCHMARK(quotaOperation);

/// Handles a request without asks, as each instance sends it every 400 ms, at the pool of a fleet of 90 instances.
void quotaDelegation(benchmark::State &state)
{
    TimePoint now = start;
    session::QuotaPool pool({5s, 0.1, 20}, now);
    pool.setLimits(makeQuotaLimits(), now);
    pool.setInstances(90, now);
    std::vector<InstanceId> instances;
    instances.reserve(90);
    for (int i = 0; i < 90; ++i) {
        instances.emplace_back("instance-" + std::to_string(i));
    }
    std::vector<std::uint64_t> stamps(instances.size());
    std::uint64_t number = 0;
    for ([[maybe_unused]] auto _ : state) {
        now += 4ms;
        const std::size_t index = ++number % instances.size();
        stamps[index] = pool.handleRequest(instances[index], {number, stamps[index], true, 90, {}}, now).stamp;
    }
}
BENCHMARK(quotaDelegation);

} // namespace
