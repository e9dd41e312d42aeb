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

InstanceRecord makeRecord(const std::string &name, std::uint64_t incarnation, std::uint64_t heartbeat, bool isLeaving = false)
{
    return {InstanceId(name), FailureDomain("a"), "127.0.0.1:1", incarnation, heartbeat, isLeaving};
}

} // namespace

// Guards against an instance that stays live after its failure because other instances keep forwarding its old records.
TEST_CASE("An instance is live while its heartbeat grows, and old heartbeats do not make it live again", "[membership]")
{
    Membership membership(1s);
    membership.heartbeatReceived(makeRecord("x", 1, 5), start);
    CHECK(membership.live(start + 900ms).size() == 1);
    CHECK_FALSE(membership.heartbeatReceived(makeRecord("x", 1, 5), start + 900ms));
    CHECK_FALSE(membership.heartbeatReceived(makeRecord("x", 1, 4), start + 900ms));
    CHECK(membership.live(start + 1100ms).empty());
    CHECK(membership.heartbeatReceived(makeRecord("x", 1, 6), start + 2s));
    CHECK(membership.live(start + 2s).size() == 1);
}

// Guards against two faults: a forwarded record from before the leave cancels it, and a restarted instance stays leaving.
TEST_CASE("An instance stays leaving within an incarnation, and is live again after a restart", "[membership]")
{
    Membership membership(1s);
    membership.heartbeatReceived(makeRecord("x", 1, 5), start);
    membership.heartbeatReceived(makeRecord("x", 1, 5, true), start);
    CHECK(membership.live(start).empty());
    membership.heartbeatReceived(makeRecord("x", 1, 9, false), start);
    CHECK(membership.live(start).empty());
    membership.heartbeatReceived(makeRecord("x", 2, 1), start);
    CHECK(membership.live(start).size() == 1);
}

// Guards against treating an instance as live because the platform's list, which lags, still has it.
TEST_CASE("An instance on the platform's list is a contact but not live, and is forgotten after a while", "[membership]")
{
    Membership membership(1s);
    membership.listedByPlatform(makeRecord("x", 0, 0), start);
    CHECK(membership.live(start).empty());
    CHECK(membership.contacts(start).size() == 1);
    membership.removeExpired(start + 11min);
    CHECK(membership.contacts(start + 11min).empty());
}

// Guards against a member without a home, a home in another domain although the own one has live instances, and
// instances that compute different homes because they learned of members and instances in another order.
TEST_CASE("Every member has a home, in its own domain where possible, whatever the order of the input", "[homes]")
{
    rc::prop("for any fleet", [] {
        const auto memberCount = *rc::gen::inRange<std::size_t>(1, 60);
        const auto instanceCount = *rc::gen::inRange<std::size_t>(2, 12);
        std::vector<MemberToAssign> members;
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
        for (const MemberToAssign &member : members) {
            const InstanceId &home = homes.at(member.member).front();
            ++load[home];
            const auto domainHasInstances = std::any_of(instances.begin(), instances.end(), [&](const LiveInstance &each) {
                return each.domain == member.domain;
            });
            const auto found = std::find_if(instances.begin(), instances.end(), [&](const LiveInstance &each) {
                return each.id == home;
            });
            RC_ASSERT(found != instances.end());
            RC_ASSERT(!domainHasInstances || found->domain == member.domain);
        }
        // The same input in another order gives the same homes.
        std::reverse(members.begin(), members.end());
        std::reverse(instances.begin(), instances.end());
        RC_ASSERT(assignHomes(members, instances, 1.25) == homes);
    });
}

// Guards against connections that are moved needlessly throughout the fleet when an instance of one domain fails.
TEST_CASE("A change in one domain does not move homes in another", "[homes]")
{
    std::vector<MemberToAssign> members;
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
    for (const MemberToAssign &member : members) {
        CHECK(after.at(member.member).size() <= maxHomes);
        if (member.domain == FailureDomain("b")) {
            CHECK(after.at(member.member) == before.at(member.member));
        }
    }
}

// Guards against requests that go to a replacement chosen by the old view, while the new view has another home.
TEST_CASE("When an instance fails, the next one in each member's order becomes its home", "[homes]")
{
    std::vector<MemberToAssign> members;
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
    const InstanceId removed = instances.back().id;
    instances.pop_back();
    const auto after = assignHomes(members, instances, 10);
    for (const auto &[member, order] : before) {
        CHECK(after.at(member).front() == (order.front() == removed ? order[1] : order.front()));
    }
}

} // namespace rattanbeam::decisions::test
