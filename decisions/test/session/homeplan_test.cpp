#include "rattanbeam/decisions/session/homeplan.h"
#include "rattanbeam/decisions/session/relaytrust.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <set>
#include <string>

namespace rattanbeam::decisions::session
{

using namespace std::chrono_literals;

namespace
{

std::vector<InstanceRecord> makeInstances(const std::vector<std::uint32_t> &shares)
{
    std::vector<InstanceRecord> instances;
    for (std::size_t i = 0; i < shares.size(); ++i) {
        const std::string name = "i" + std::to_string(i);
        instances.push_back({InstanceId(name), name + ":1", FailureDomain("a"), 1, false, shares[i]});
    }
    return instances;
}

std::vector<ServiceName> makeServices(std::size_t count)
{
    std::vector<ServiceName> services;
    for (std::size_t i = 0; i < count; ++i) {
        services.emplace_back("s" + std::to_string(i));
    }
    return services;
}

std::set<InstanceId> firstHomes(const std::map<ServiceName, HomeRanking> &plan)
{
    std::set<InstanceId> instanceIds;
    for (const auto &[service, ranking] : plan) {
        instanceIds.insert(ranking.front().id);
    }
    return instanceIds;
}

} // namespace

TEST_CASE("No two services share their first home unless there are more services than instances", "[homeplan]")
{
    // 16 possible homes are more than a request ever tries; a longer ranking would make plans of large fleets large.
    rc::prop("first homes are distinct, and each ranking contains every instance once, or 16 of them", [] {
        const auto instances = makeInstances(*rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(50, 1000)));
        const auto services = makeServices(*rc::gen::inRange<std::size_t>(1, 12));
        RC_PRE(!instances.empty());
        const auto plan = planHomes(services, instances);
        RC_ASSERT(firstHomes(plan).size() == std::min(services.size(), instances.size()));
        for (const auto &[service, ranking] : plan) {
            std::set<InstanceId> rankedIds;
            for (const InstanceRecord &instance : ranking) {
                rankedIds.insert(instance.id);
            }
            RC_ASSERT(rankedIds.size() == ranking.size());
            RC_ASSERT(ranking.size() == std::min<std::size_t>(16, instances.size()));
        }
    });
}

TEST_CASE("First homes are on instances with large processor shares if there are any", "[homeplan]")
{
    std::vector<std::uint32_t> shares(60, 120);
    for (std::size_t i = 0; i < 20; ++i) {
        shares[i * 3] = 500;
    }
    std::size_t large = 0;
    for (const auto &[service, ranking] : planHomes(makeServices(8), makeInstances(shares))) {
        large += ranking.front().processorMilli == 500 ? 1 : 0;
    }
    CHECK(large >= 7);
}

TEST_CASE("A leaving instance is neither a home nor a relay", "[homeplan]")
{
    auto instances = makeInstances({250, 250, 250});
    instances[1].isLeaving = true;
    for (const auto &[service, ranking] : planHomes(makeServices(5), instances)) {
        CHECK(ranking.size() == 2);
    }
    const auto relays = planRelays(planHomes(makeServices(1), instances), instances);
    CHECK(relays.size() == 2);
    for (const InstanceRecord &relay : relays) {
        CHECK_FALSE(relay.isLeaving);
    }
    CHECK(planHomes(makeServices(1), {}).at(ServiceName("s0")).empty());
}

TEST_CASE("The loss of an instance moves only the homes that it held and those that it displaced from their preferred instance",
          "[homeplan]")
{
    const auto instances = makeInstances(std::vector<std::uint32_t>(30, 250));
    const auto before = planHomes(makeServices(3), instances);
    std::size_t moved = 0;
    for (std::size_t removed = 0; removed < instances.size(); ++removed) {
        auto remaining = instances;
        remaining.erase(remaining.begin() + static_cast<std::ptrdiff_t>(removed));
        const auto after = planHomes(makeServices(3), remaining);
        for (const auto &[service, ranking] : before) {
            moved += after.at(service).front().id != ranking.front().id ? 1 : 0;
        }
    }
    CHECK(moved <= 6);
}

TEST_CASE("The relays are the first homes, and at least three instances", "[homeplan]")
{
    const auto instances = makeInstances(std::vector<std::uint32_t>(9, 250));
    CHECK(planRelays(planHomes(makeServices(1), instances), instances).size() == 3);
    CHECK(planRelays(planHomes(makeServices(5), instances), instances).size() == 5);
}

TEST_CASE("An instance receives changes from relays of its own domain first, and never from itself", "[homeplan]")
{
    auto instances = makeInstances(std::vector<std::uint32_t>(12, 250));
    for (std::size_t i = 0; i < instances.size(); ++i) {
        instances[i].domain = FailureDomain(std::string(1, static_cast<char>('a' + i % 3)));
    }
    const auto chosen = relaysOf(instances[0], instances);
    REQUIRE(chosen.size() == 4);
    CHECK(chosen[0].domain == instances[0].domain);
    CHECK(chosen[1].domain == instances[0].domain);
    CHECK(chosen[2].domain != instances[0].domain);
    CHECK(chosen[3].domain != instances[0].domain);
    for (const InstanceRecord &relay : chosen) {
        CHECK(relay.id != instances[0].id);
    }
    CHECK(monitorsOf(instances[0], {instances[0], instances[1]}) == std::vector<InstanceRecord>{instances[1]});
}

TEST_CASE("Changes are accepted from peers only while the store has recently confirmed two of them", "[relaytrust]")
{
    const TimePoint now{100s};
    RelayTrust trust(1s);
    CHECK_FALSE(trust.hasEnoughFreshPeers(now));
    trust.recordConfirmation("a", now);
    CHECK_FALSE(trust.hasEnoughFreshPeers(now));
    trust.recordConfirmation("b", now - 900ms);
    CHECK(trust.hasEnoughFreshPeers(now));
    CHECK_FALSE(trust.hasEnoughFreshPeers(now + 200ms));
    trust.recordConfirmation("b", now - 2s); // an older confirmation does not replace a newer one
    CHECK(trust.hasEnoughFreshPeers(now));
    trust.removePeer("a");
    CHECK_FALSE(trust.hasEnoughFreshPeers(now));
    CHECK(trust.isFresh("b", now));
}

// Guards against a pool on an instance that already carries a service, and against instances of one fleet that try different pools.
TEST_CASE("The pool of quotas avoids first homes, and each domain has candidates of its own", "[homeplan]")
{
    std::vector<InstanceRecord> instances = makeInstances(std::vector<std::uint32_t>(40, 250));
    for (std::size_t i = 0; i < instances.size(); ++i) {
        instances[i].domain = FailureDomain("d" + std::to_string(i % 4));
    }
    const auto homes = planHomes(makeServices(8), instances);
    const std::set<InstanceId> homeIds = firstHomes(homes);
    const std::vector<InstanceRecord> first = planQuotaPools(instances[0], homes, instances);
    for (const InstanceRecord &self : instances) {
        const std::vector<InstanceRecord> pools = planQuotaPools(self, homes, instances);
        REQUIRE(pools.size() == 8);
        CHECK(std::equal(pools.begin(), pools.begin() + 6, first.begin()));
        for (const InstanceRecord &pool : pools) {
            CHECK_FALSE(homeIds.contains(pool.id));
        }
        CHECK(pools[7].domain == self.domain);
    }
    CHECK(planQuotaPools(instances[0], planHomes(makeServices(8), {instances[0]}), {instances[0]}).size() == 1);
}

} // namespace rattanbeam::decisions::session
