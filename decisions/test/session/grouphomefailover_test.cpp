#include "fakegroup.h"

#include <catch2/catch.hpp>

namespace rattanbeam::decisions::session::test
{

namespace
{

void loseMember(FakeGroup &group, const char *id)
{
    group.down.insert(MemberId(id));
    std::vector<ConnectionNumber> connections;
    for (const auto &[connection, owner] : group.owners) {
        if (owner == MemberId(id)) {
            connections.push_back(connection);
        }
    }
    for (const ConnectionNumber connection : connections) {
        group.home.connectionFailed(connection, ConnectFailure::Lost, group.now);
    }
    group.openAll();
}

/// Lets the group answer and the clock run until `isDone`, two seconds at most.
template<typename Condition>
bool runUntil(FakeGroup &group, Condition isDone)
{
    for (int i = 0; i < 200 && !isDone(); ++i) {
        group.answerAll();
        group.pass(10ms);
    }
    return isDone();
}

} // namespace

TEST_CASE("A dead primary is replaced once peers do not reach it either", "[grouphomefailover]")
{
    FakeGroup group;
    group.settle();
    group.logs[MemberId("m3")] = {1, 12};
    loseMember(group, "m1");
    REQUIRE(group.peerInquiries == 1);
    CHECK(group.orders.empty());
    group.home.peersAnswered(MemberId("m1"), 0, 2, group.now);
    REQUIRE(group.writes.back().first.generation == 2);
    group.writeDone();
    REQUIRE(runUntil(group, [&] {
        return !group.orders.empty();
    }));
    CHECK(group.orders.front().first == MemberId("m3")); // the most advanced
    CHECK(group.orders.front().second == group.revision);
}

TEST_CASE("A home recognises the primary that it ordered, and serves writes there", "[grouphomefailover]")
{
    FakeGroup group;
    group.settle();
    loseMember(group, "m1");
    group.home.peersAnswered(MemberId("m1"), 0, 2, group.now);
    group.writeDone();
    REQUIRE(runUntil(group, [&] {
        return !group.orders.empty();
    }));
    const MemberId chosen = group.orders.front().first;
    group.home.promotionAnswered(chosen, PromotionResult::Accepted, group.now);
    group.statuses[chosen].isPrimary = true;
    group.statuses[chosen].term = 2;
    group.statuses[chosen].fencedAt = 0;
    group.logs[chosen] = {2, 10};
    REQUIRE(runUntil(group, [&] {
        return group.home.primary() == chosen;
    }));
    group.writeDone();
    const HomeRequest request = group.write("w1");
    group.home.request(request, group.now);
    REQUIRE(runUntil(group, [&] {
        return group.replyTo(request.number) != nullptr;
    }));
    CHECK(group.replyTo(request.number)->answer.signature == "signed-by-" + chosen.text());
}

TEST_CASE("A primary that peers reach is not replaced; new work goes to another home", "[grouphomefailover]")
{
    FakeGroup group;
    group.settle();
    loseMember(group, "m1");
    group.home.peersAnswered(MemberId("m1"), 1, 1, group.now);
    CHECK(group.writes.size() == 1); // the one that listed this home
    const HomeRequest request = group.write("w1");
    group.home.request(request, group.now);
    REQUIRE(group.replyTo(request.number) != nullptr);
    CHECK(group.replyTo(request.number)->isRedirect);
}

TEST_CASE("A promotion waits until another listed home has given up its lease or must have lost it", "[grouphomefailover]")
{
    FakeGroup group;
    group.settle();
    group.home.termSeen(TermRecord{ServiceName("orders"), 1, MemberId("m1"), {"a1/1", "b1/1"}}, ++group.revision, group.now, group.now);
    loseMember(group, "m1");
    group.home.peersAnswered(MemberId("m1"), 0, 2, group.now);
    group.writeDone();
    const TimePoint writtenAt = group.now;
    REQUIRE(group.yieldRequests == std::vector<std::string>{"b1/1"});

    SECTION("it gives up")
    {
        group.answerAll();
        group.pass(50ms);
        CHECK(group.orders.empty());
        group.home.leaseYielded("b1/1", 2, group.now);
        CHECK(group.orders.size() == 1);
    }
    SECTION("it says nothing")
    {
        REQUIRE(runUntil(group, [&] {
            group.home.termSeen(*group.stored, group.revision, group.now, group.now);
            return !group.orders.empty();
        }));
        CHECK(group.now - writtenAt >= GroupHomeLimits().leaseDuration);
    }
}

TEST_CASE("An order needs a fresh sight of its own term", "[grouphomefailover]")
{
    FakeGroup group;
    group.settle();
    group.home.termSeen(TermRecord{ServiceName("orders"), 1, MemberId("m1"), {"a1/1", "b1/1"}}, ++group.revision, group.now, group.now);
    loseMember(group, "m1");
    group.home.peersAnswered(MemberId("m1"), 0, 2, group.now);
    group.writeDone();
    group.answerAll();
    // Cut off from the store while it waits for the other home's lease to lapse.
    const int readsBefore = group.termReads;
    for (int i = 0; i < 300; ++i) {
        group.pass(10ms);
        group.answerAll();
    }
    CHECK(group.orders.empty());
    CHECK(group.termReads > readsBefore);
    // What it then sees is a later term: the order is never sent.
    group.home.termSeen(TermRecord{ServiceName("orders"), 3, MemberId("m2"), {"b1/1"}}, ++group.revision, group.now, group.now);
    group.pass(500ms);
    CHECK(group.orders.empty());
}

TEST_CASE("An answer of the primary is not passed on without evidence of its term", "[grouphomefailover]")
{
    FakeGroup group;
    group.settle();
    const HomeRequest request = group.write("w1");
    group.home.request(request, group.now);
    group.now += 3s; // suspended meanwhile
    const auto owner = group.sent.back();
    REQUIRE(owner.command.statement.id == "w1");
    group.answerNext();
    CHECK(group.replyTo(request.number) == nullptr);
    group.home.termSeen(TermRecord{ServiceName("orders"), 2, MemberId("m2"), {"b1/1"}}, ++group.revision, group.now, group.now);
    REQUIRE(group.replyTo(request.number) != nullptr);
    CHECK(group.replyTo(request.number)->answer.error == StatementError::InDoubt);
}

TEST_CASE("A sight of the term without a time is no evidence", "[grouphomefailover]")
{
    FakeGroup group;
    group.settle();
    const HomeRequest request = group.write("w1");
    group.home.request(request, group.now);
    group.now += 3s;
    group.answerNext();
    REQUIRE(group.replyTo(request.number) == nullptr);
    // An event of a watch: history, so it may be older than a promotion.
    group.home.termSeen(*group.stored, ++group.revision, distantPast, group.now);
    CHECK(group.replyTo(request.number) == nullptr);
    group.home.termSeen(*group.stored, group.revision, group.now, group.now);
    REQUIRE(group.replyTo(request.number) != nullptr);
    CHECK(group.replyTo(request.number)->answer.isSuccess());
}

TEST_CASE("A leaving primary is demoted before another is ordered, and nothing of its log is lost", "[grouphomefailover]")
{
    FakeGroup group;
    group.settle();
    group.logs[MemberId("m1")] = {1, 20};
    group.logs[MemberId("m2")] = {1, 15};
    group.logs[MemberId("m3")] = {1, 15};
    MemberRecord leaving = FakeGroup::member("m1", true);
    leaving.isLeaving = true;
    group.pass(400ms);
    group.home.membersChanged({leaving, FakeGroup::member("m2", false), FakeGroup::member("m3", false)}, group.now);
    group.pass(20ms);
    REQUIRE(group.writes.back().first.generation == 2);
    group.writeDone();
    for (int i = 0; i < 10; ++i) {
        group.answerAll();
        group.pass(10ms);
    }
    CHECK_FALSE(group.statuses[MemberId("m1")].isPrimary);
    CHECK(group.orders.empty()); // no replica holds all of it yet
    group.logs[MemberId("m2")] = {1, 20};
    REQUIRE(runUntil(group, [&] {
        return !group.orders.empty();
    }));
    CHECK(group.orders.front().first == MemberId("m2"));
}

TEST_CASE("A home that cannot write the term leaves the change of primary to another home", "[grouphomefailover]")
{
    FakeGroup group;
    group.settle();
    loseMember(group, "m1");
    const HomeRequest waiting = group.write("w1");
    group.home.request(waiting, group.now);
    group.home.peersAnswered(MemberId("m1"), 0, 2, group.now);
    group.home.termWriteFailed(TermWriteFailure::StoreUnavailable, group.now);
    REQUIRE(group.replyTo(waiting.number) != nullptr);
    CHECK(group.replyTo(waiting.number)->isRedirect);
    const HomeRequest next = group.write("w2");
    group.home.request(next, group.now);
    REQUIRE(group.replyTo(next.number) != nullptr);
    CHECK(group.replyTo(next.number)->isRedirect);
    const std::size_t tries = group.writes.size();
    runUntil(group, [] {
        return false; // two seconds
    });
    CHECK(group.writes.size() <= tries + 1); // ever more seldom
}

TEST_CASE("A home whose record of the term was overtaken goes on", "[grouphomefailover]")
{
    FakeGroup group;
    group.settle();
    loseMember(group, "m1");
    group.home.peersAnswered(MemberId("m1"), 0, 2, group.now);
    TermRecord other = *group.stored;
    other.homes.push_back("b1/1");
    group.home.termSeen(other, ++group.revision, group.now, group.now);
    group.home.termWriteFailed(TermWriteFailure::Superseded, group.now);
    const HomeRequest request = group.write("w1");
    group.home.request(request, group.now);
    CHECK(group.replyTo(request.number) == nullptr);
}

} // namespace rattanbeam::decisions::session::test
