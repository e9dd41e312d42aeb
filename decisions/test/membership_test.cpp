#include "rattanbeam/decisions/membership.h"

#include "schedules.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <set>

namespace rattanbeam::decisions::test
{

namespace
{

using namespace std::chrono_literals;

const TimePoint start{std::chrono::hours(1)};

InstanceRecord record(const std::string &name, std::uint64_t incarnation, std::uint64_t heartbeat, bool leaving = false)
{
    return {InstanceId(name), FailureDomain("a"), "127.0.0.1:1", incarnation, heartbeat, leaving};
}

} // namespace

TEST_CASE("An instance lives while its heartbeat grows, and old heartbeats do not revive it", "[membership]")
{
    Membership membership(1s);
    membership.heard(record("x", 1, 5), start);
    CHECK(membership.live(start + 900ms).size() == 1);
    CHECK_FALSE(membership.heard(record("x", 1, 5), start + 900ms));
    CHECK_FALSE(membership.heard(record("x", 1, 4), start + 900ms));
    CHECK(membership.live(start + 1100ms).empty());
    CHECK(membership.heard(record("x", 1, 6), start + 2s));
    CHECK(membership.live(start + 2s).size() == 1);
}

TEST_CASE("Leaving is final for an incarnation, and a restart is alive again", "[membership]")
{
    Membership membership(1s);
    membership.heard(record("x", 1, 5), start);
    membership.heard(record("x", 1, 5, true), start);
    CHECK(membership.live(start).empty());
    membership.heard(record("x", 1, 9, false), start);
    CHECK(membership.live(start).empty());
    membership.heard(record("x", 2, 1), start);
    CHECK(membership.live(start).size() == 1);
}

TEST_CASE("The platform's list names whom to ask but makes nobody alive", "[membership]")
{
    Membership membership(1s);
    membership.listed(record("x", 0, 0), start);
    CHECK(membership.live(start).empty());
    CHECK(membership.contacts(start).size() == 1);
    membership.forgetOld(start + 11min);
    CHECK(membership.contacts(start + 11min).empty());
}

TEST_CASE("Every member has a home in its domain, no home is overloaded, and few homes move", "[homes]")
{
    rc::prop("for any fleet", [] {
        const auto memberCount = *rc::gen::inRange<std::size_t>(1, 60);
        const auto instanceCount = *rc::gen::inRange<std::size_t>(2, 12);
        std::vector<HomeSeeker> members;
        std::vector<LiveInstance> instances;
        members.reserve(memberCount);
        instances.reserve(instanceCount);
        for (std::size_t i = 0; i < memberCount; ++i) {
            members.push_back({MemberId("m" + std::to_string(i)), FailureDomain(std::string(1, static_cast<char>('a' + i % 3)))});
        }
        for (std::size_t i = 0; i < instanceCount; ++i) {
            instances.push_back({InstanceId("i" + std::to_string(i)), FailureDomain(std::string(1, static_cast<char>('a' + i % 3)))});
        }
        const auto homes = assignHomes(members, instances, 1.25);
        RC_ASSERT(homes.size() == members.size());
        std::map<InstanceId, std::size_t> load;
        for (const HomeSeeker &seeker : members) {
            const InstanceId &home = homes.at(seeker.member).front();
            ++load[home];
            const auto domainHasInstances = std::any_of(instances.begin(), instances.end(), [&](const LiveInstance &each) {
                return each.domain == seeker.domain;
            });
            const auto found = std::find_if(instances.begin(), instances.end(), [&](const LiveInstance &each) {
                return each.id == home;
            });
            RC_ASSERT(found != instances.end());
            RC_ASSERT(!domainHasInstances || found->domain == seeker.domain);
        }
        // Another order of the same input gives the same homes.
        std::reverse(members.begin(), members.end());
        std::reverse(instances.begin(), instances.end());
        RC_ASSERT(assignHomes(members, instances, 1.25) == homes);
    });
}

TEST_CASE("A change in one domain moves no home of another", "[homes]")
{
    std::vector<HomeSeeker> members;
    std::vector<LiveInstance> instances;
    members.reserve(30);
    instances.reserve(9);
    for (int i = 0; i < 30; ++i) {
        members.push_back({MemberId("m" + std::to_string(i)), FailureDomain(i % 2 == 0 ? "a" : "b")});
    }
    for (int i = 0; i < 9; ++i) {
        instances.push_back({InstanceId("i" + std::to_string(i)), FailureDomain(i % 2 == 0 ? "a" : "b")});
    }
    const auto before = assignHomes(members, instances, 1.25);
    instances.pop_back();
    const auto after = assignHomes(members, instances, 1.25);
    for (const HomeSeeker &seeker : members) {
        CHECK(after.at(seeker.member).size() <= mostHomes);
        if (seeker.domain == FailureDomain("b")) {
            CHECK(after.at(seeker.member) == before.at(seeker.member));
        }
    }
}

TEST_CASE("When an instance dies the next in order takes its members", "[homes]")
{
    std::vector<HomeSeeker> members;
    std::vector<LiveInstance> instances;
    members.reserve(9);
    instances.reserve(3);
    for (int i = 0; i < 9; ++i) {
        members.push_back({MemberId("m" + std::to_string(i)), FailureDomain("a")});
    }
    for (int i = 0; i < 3; ++i) {
        instances.push_back({InstanceId("i" + std::to_string(i)), FailureDomain("a")});
    }
    const auto before = assignHomes(members, instances, 10);
    const InstanceId dead = instances.back().id;
    instances.pop_back();
    const auto after = assignHomes(members, instances, 10);
    for (const auto &[member, order] : before) {
        CHECK(after.at(member).front() == (order.front() == dead ? order[1] : order.front()));
    }
}

} // namespace rattanbeam::decisions::test
