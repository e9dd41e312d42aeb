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

} // namespace rattanbeam::decisions::session::test
