// Tests of what a home takes for evidence that its primary has not been replaced, above all a home that is cut off from the store.

#include "fakegroup.h"

#include <catch2/catch.hpp>

namespace rattanbeam::decisions::session::test
{

namespace
{

const MemberId primary("m1");
const MemberId firstReplica("m2");
const MemberId secondReplica("m3");

/// A home that the term record does not list, and that the store does not answer any more. All members reach it, and `primary` leads
/// term 3.
struct CutOffHome : FakeGroup {
    CutOffHome()
    {
        for (const MemberId &id : {primary, firstReplica, secondReplica}) {
            statuses[id].term = 3;
            logPositions[id] = {3, 10};
        }
        statuses[primary].isPrimary = true;
        TermRecord record{ServiceName("orders"), 1, primary, {"b1/1"}};
        record.term = 3;
        home.termSeen(record, termRevision, distantPast, now);
        advanceTime(20ms);
        answerAll();
    }
    /// Sends the request, and answers all commands for as long as clients wait. Returns whether it was answered with success.
    bool isServed(const HomeRequest &request)
    {
        home.request(request, now);
        for (int i = 0; i < 100 && replyTo(request.number) == nullptr; ++i) {
            answerAll();
            advanceTime(10ms);
        }
        const HomeReply *reply = replyTo(request.number);
        return reply != nullptr && reply->answer.isSuccess();
    }
    /// No command of the home reaches the member any more.
    void cutOff(const MemberId &member)
    {
        unreachableMembers.insert(member);
        for (const auto &[connection, owner] : std::map(connectionMembers)) {
            if (owner == member) {
                home.connectionFailed(connection, ConnectFailure::Lost, now);
            }
        }
    }
    bool isReadServed()
    {
        return isServed(readRequest("r" + std::to_string(lastRequest), Consistency::Latest));
    }
};

} // namespace

// Guards against a rule so strict that an instance serves nothing once it reaches neither the store nor other instances.
TEST_CASE("A cut-off home serves as long as every replica follows its primary", "[grouphomeevidence]")
{
    CutOffHome group;
    for (int i = 0; i < 10; ++i) {
        CHECK(group.isReadServed());
        CHECK(group.isServed(group.writeRequest("w" + std::to_string(i))));
        group.advanceTime(500ms);
    }
}

// Guards against stale reads and lost writes at a replaced primary, at a home that does not know the member that was promoted. The fences
// of the replicas that it knows have been lifted after the promotion.
TEST_CASE("The word of replicas that follow a later term is no evidence for the primary", "[grouphomeevidence]")
{
    CutOffHome group;
    REQUIRE(group.isReadServed());
    for (const MemberId &id : {firstReplica, secondReplica}) {
        group.statuses[id].term = 4;
        group.advanceTime(500ms);
        CHECK_FALSE(group.isReadServed());
        CHECK_FALSE(group.isServed(group.writeRequest("w-" + id.text())));
    }
}

// Guards against the same at a home whose lease rests on the word of a witness.
TEST_CASE("The word of a witness that follows a later term is no evidence for the primary", "[grouphomeevidence]")
{
    CutOffHome group;
    TermRecord record{ServiceName("orders"), 1, primary, {"a1/1"}};
    record.term = 3;
    record.witnesses = {firstReplica};
    group.home.termSeen(record, ++group.termRevision, group.now, group.now);
    group.unreachableMembers.insert(secondReplica);
    for (int i = 0; i < 5; ++i) {
        group.advanceTime(400ms);
        CHECK(group.isReadServed());
    }
    group.statuses[firstReplica].term = 4;
    group.advanceTime(500ms);
    CHECK_FALSE(group.isReadServed());
    CHECK_FALSE(group.isServed(group.writeRequest("w1")));
}

// Guards against the same if the promoted member joined after the home was cut off, and the replicas that the home knows do not follow it.
TEST_CASE("The word of every replica counts for a limited time after the members were last known", "[grouphomeevidence]")
{
    CutOffHome group;
    group.isMemberListFollowed = false;
    group.advanceTime(PrimaryLease::memberListTerm - 1s);
    CHECK(group.isReadServed());
    group.advanceTime(1s);
    CHECK_FALSE(group.isReadServed());
    CHECK_FALSE(group.isServed(group.writeRequest("w1")));
    group.home.memberListConfirmed(group.now);
    group.advanceTime(6s); // after a while without requests, a home without evidence takes new ones
    CHECK(group.isReadServed());
}

// Guards against the same if the promoted member has lost its registration since.
TEST_CASE("The word of a replica is needed for some time after its registration has disappeared", "[grouphomeevidence]")
{
    CutOffHome group;
    group.cutOff(firstReplica);
    group.home.membersChanged({FakeGroup::member("m1", true), FakeGroup::member("m3", false)}, group.now);
    group.advanceTime(500ms);
    CHECK_FALSE(group.isReadServed());
    SECTION("it ends with a read of the term record")
    {
        group.advanceTime(3s);
        CHECK_FALSE(group.isReadServed());
        TermRecord record{ServiceName("orders"), 1, primary, {"b1/1"}};
        record.term = 3;
        group.home.termSeen(record, ++group.termRevision, group.now, group.now);
    }
    SECTION("without one it ends when the home would no longer rely on a list of members of that time")
    {
        group.advanceTime(15s);
        CHECK_FALSE(group.isReadServed());
    }
    group.advanceTime(6s);
    group.answerAll();
    CHECK(group.isReadServed());
}

} // namespace rattanbeam::decisions::session::test
