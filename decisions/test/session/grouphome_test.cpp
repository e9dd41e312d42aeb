#include "fakegroup.h"

#include <catch2/catch.hpp>

namespace rattanbeam::decisions::session::test
{

TEST_CASE("A write at a healthy primary is answered with the member's proof", "[grouphome]")
{
    FakeGroup group;
    group.settle();
    const HomeRequest request = group.write("w1");
    group.home.request(request, group.now);
    group.answerAll();
    const HomeReply *reply = group.replyTo(request.number);
    REQUIRE(reply != nullptr);
    CHECK(reply->answer.isSuccess());
    CHECK(reply->answer.signature == "signed-by-m1");
    CHECK(group.timesSent("w1") == 1);
}

TEST_CASE("A connection carries one command at a time, also when a status answer frees held work", "[grouphome]")
{
    FakeGroup group;
    group.settle();
    // Held work is released by the answer to a status request, onto the connection that carried it.
    group.home.termSeen(TermRecord{ServiceName("orders"), 2, MemberId("m1"), {"a1/1"}}, ++group.revision, group.now, group.now);
    for (int i = 0; i < 40; ++i) {
        group.home.request(group.write("w" + std::to_string(i)), group.now);
        group.pass(20ms);
        if (i % 3 == 0) {
            group.answerAll();
        }
    }
    group.answerAll();
    CHECK(group.mostOwed == 1);
    for (int i = 0; i < 40; ++i) {
        CHECK(group.timesSent("w" + std::to_string(i)) <= 1);
    }
}

TEST_CASE("Work that is refused while its connection is being prepared is never sent", "[grouphome]")
{
    FakeGroup group;
    group.settle();
    HomeRequest request = group.write("w1");
    request.values = std::make_shared<const SessionValues>(SessionValues{{"zone", "utc"}});
    group.home.request(request, group.now);
    REQUIRE(group.timesSent("w1") == 0); // the value is being set
    // The member stays audible on other connections, so that it does not count as silent.
    for (int i = 0; i < 90; ++i) {
        group.pass(10ms);
        const auto status = std::find_if(group.sent.begin(), group.sent.end(), [](const FakeGroup::Sent &each) {
            return each.command.kind == CommandKind::Status;
        });
        if (status != group.sent.end()) {
            std::rotate(group.sent.begin(), status, status + 1);
            group.answerNext();
        }
    }
    const HomeReply *reply = group.replyTo(request.number);
    REQUIRE(reply != nullptr);
    CHECK(isNotRun(reply->answer.error));
    group.answerAll();
    CHECK(group.timesSent("w1") == 0);
}

TEST_CASE("A write whose connection ends after it was sent is in doubt", "[grouphome]")
{
    FakeGroup group;
    group.settle();
    const HomeRequest request = group.write("w1");
    group.home.request(request, group.now);
    REQUIRE(group.timesSent("w1") == 1);
    group.home.connectionFailed(group.sent.back().connection, ConnectFailure::Lost, group.now);
    REQUIRE(group.replyTo(request.number) != nullptr);
    CHECK(group.replyTo(request.number)->answer.error == StatementError::InDoubt);
}

TEST_CASE("A read whose connection ends is tried again", "[grouphome]")
{
    FakeGroup group;
    group.settle();
    const HomeRequest request = group.read("r1", Consistency::BoundedAge);
    group.home.request(request, group.now);
    REQUIRE(group.timesSent("r1") == 1);
    group.home.connectionFailed(group.sent.back().connection, ConnectFailure::Lost, group.now);
    group.answerAll();
    REQUIRE(group.replyTo(request.number) != nullptr);
    CHECK(group.replyTo(request.number)->answer.isSuccess());
    CHECK(group.timesSent("r1") == 2);
}

TEST_CASE("A read whose answer does not come is asked again at another member", "[grouphome]")
{
    FakeGroup group;
    group.settle();
    const HomeRequest request = group.read("r1", Consistency::BoundedAge);
    group.home.request(request, group.now);
    REQUIRE(group.timesSent("r1") == 1);
    const MemberId first = group.owners.at(group.sent.back().connection);
    group.sent.clear(); // the answer is lost
    group.pass(80ms);
    REQUIRE(group.timesSent("r1") == 2);
    CHECK(group.owners.at(group.sent.back().connection) != first);
    group.answerAll();
    CHECK(group.replyTo(request.number)->answer.isSuccess());
}

TEST_CASE("A read that a replica is too far behind for goes to another member, not to the same again", "[grouphome]")
{
    FakeGroup group;
    group.settle();
    HomeRequest request = group.read("r1", Consistency::BoundedAge);
    group.home.request(request, group.now);
    std::set<MemberId> asked;
    for (int i = 0; i < 2; ++i) {
        REQUIRE_FALSE(group.sent.empty());
        const FakeGroup::Sent next = group.sent.back();
        const MemberId member = group.owners.at(next.connection);
        if (member == MemberId("m1")) {
            break;
        }
        CHECK(asked.insert(member).second);
        group.sent.pop_back();
        --group.owed[next.connection];
        Answer lagging = Answer::failure(StatementError::Lagging, "", SessionPhase::Idle);
        lagging.position = LogPosition{1, 1};
        group.home.answered(next.connection, lagging, std::nullopt, group.now);
    }
    group.answerAll();
    REQUIRE(group.replyTo(request.number) != nullptr);
    CHECK(group.replyTo(request.number)->answer.signature == "signed-by-m1");
}

TEST_CASE("A write whose answer does not come is never sent again", "[grouphome]")
{
    FakeGroup group;
    group.settle();
    const HomeRequest request = group.write("w1");
    group.home.request(request, group.now);
    REQUIRE(group.timesSent("w1") == 1);
    group.sent.clear();
    for (int i = 0; i < 100; ++i) {
        group.pass(10ms);
        group.answerAll();
    }
    CHECK(group.timesSent("w1") == 1);
    REQUIRE(group.replyTo(request.number) != nullptr);
    CHECK(group.replyTo(request.number)->answer.error == StatementError::InDoubt);
}

TEST_CASE("A statement of another transaction never runs on a pinned connection", "[grouphome]")
{
    FakeGroup group;
    group.settle();
    HomeRequest opening = group.write("t1");
    opening.transaction = {"peer-1", 5, 1};
    opening.forwarded.transaction = 1;
    opening.forwarded.opensTransaction = true;
    group.home.request(opening, group.now);
    group.answerAll();
    REQUIRE(group.replyTo(opening.number)->isTransactionOpen);
    const ConnectionNumber pinned = group.history.back().connection;
    for (int i = 0; i < 20; ++i) {
        group.home.request(group.write("w" + std::to_string(i)), group.now);
        group.answerAll();
    }
    for (const FakeGroup::Sent &each : group.history) {
        if (!each.command.statement.id.empty() && each.command.statement.id != "t1") {
            CHECK(each.connection != pinned);
        }
    }
}

namespace
{

/// Transactions that stay open, each on a connection of its own, begun over a while.
void openTransactions(FakeGroup &group, int count)
{
    for (int i = 1; i <= count; ++i) {
        HomeRequest request = group.write("t" + std::to_string(i));
        request.transaction = {"entry", static_cast<std::uint64_t>(i), 1};
        request.forwarded.opensTransaction = true;
        group.home.request(request, group.now);
        group.pass(40ms);
        group.answerAll();
    }
}

} // namespace

TEST_CASE("A cap on connections that a member once met does not last", "[grouphome]")
{
    FakeGroup group;
    group.settle();
    openTransactions(group, 4);
    // Another home holds the rest of the member's cap for a while.
    group.home.request(group.write("w1"), group.now);
    group.pass(20ms);
    REQUIRE_FALSE(group.opening.empty());
    group.home.connectionFailed(group.opening.front(), ConnectFailure::Overloaded, group.now);
    group.opening.clear();
    const std::size_t capped = group.home.openTransactions();
    for (int i = 0; i < 20; ++i) {
        group.pass(200ms);
        group.answerAll();
    }
    openTransactions(group, 9);
    CHECK(group.home.openTransactions() > capped + 2);
}

TEST_CASE("A substitute that is needed for long opens connections as a first home does", "[grouphome]")
{
    FakeGroup group;
    group.settle();
    group.home.setFirstHome(false);
    group.pass(1100ms); // a rest, after which it starts over
    group.answerAll();
    std::size_t early = 0;
    for (int i = 1; i <= 60; ++i) {
        HomeRequest request = group.write("t" + std::to_string(i));
        request.transaction = {"entry", static_cast<std::uint64_t>(i), 1};
        request.forwarded.opensTransaction = true;
        group.home.termSeen(group.stored, group.revision, group.now, group.now); // evidence of the term
        group.home.request(request, group.now);
        group.answerAll();
        group.now += 15ms; // no timer fires, so that no status request opens a connection
        early = i == 20 ? group.home.openTransactions() : early;
    }
    CHECK(early <= 4);
    CHECK(group.home.openTransactions() > 6);
}

namespace
{

/// Answers the statement `id` with an error; returns the member that it was sent to.
MemberId failStatement(FakeGroup &group, const std::string &id, StatementError error)
{
    const auto found = std::find_if(group.sent.begin(), group.sent.end(), [&](const FakeGroup::Sent &each) {
        return each.command.statement.id == id;
    });
    REQUIRE(found != group.sent.end());
    const ConnectionNumber connection = found->connection;
    group.sent.erase(found);
    --group.owed[connection];
    group.home.answered(connection, Answer::failure(error, "", SessionPhase::Idle), std::nullopt, group.now);
    return group.owners.at(connection);
}

} // namespace

TEST_CASE("A read that fails at one member is asked at another", "[grouphome]")
{
    FakeGroup group;
    group.settle();
    const HomeRequest request = group.read("r1", Consistency::BoundedAge);
    group.home.request(request, group.now);
    const MemberId first = failStatement(group, "r1", StatementError::Failed);
    CHECK(group.replyTo(request.number) == nullptr);
    const MemberId second = failStatement(group, "r1", StatementError::Busy);
    CHECK(second != first);
    group.answerAll();
    REQUIRE(group.replyTo(request.number) != nullptr);
    CHECK(group.replyTo(request.number)->answer.isSuccess());
}

TEST_CASE("A write that failed is not sent again", "[grouphome]")
{
    FakeGroup group;
    group.settle();
    const HomeRequest request = group.write("w1");
    group.home.request(request, group.now);
    failStatement(group, "w1", StatementError::Failed);
    group.answerAll();
    REQUIRE(group.replyTo(request.number) != nullptr);
    CHECK(group.replyTo(request.number)->answer.error == StatementError::Failed);
    CHECK(group.timesSent("w1") == 1);
}

TEST_CASE("The first statement of a transaction may be tried again after a failure, since its member rolls back", "[grouphome]")
{
    FakeGroup group;
    group.settle();
    HomeRequest request = group.write("t1");
    request.transaction = {"entry", 1, 1};
    request.forwarded.opensTransaction = true;
    group.home.request(request, group.now);
    group.answerNext(); // BEGIN
    failStatement(group, "t1", StatementError::Failed);
    group.answerAll();
    REQUIRE(group.replyTo(request.number) != nullptr);
    CHECK(group.replyTo(request.number)->answer.isSuccess());
    CHECK(group.timesSent("t1") == 2);
}

TEST_CASE("Reads turn away from a member that fails many of them", "[grouphome]")
{
    FakeGroup group;
    group.settle();
    const auto isAtM2 = [&](const FakeGroup::Sent &each) {
        return group.owners.at(each.connection) == MemberId("m2") && !each.command.statement.id.empty();
    };
    int late = 0;
    for (int i = 0; i < 60; ++i) {
        const std::string id = "r" + std::to_string(i);
        group.home.request(group.read(id, Consistency::BoundedAge), group.now);
        while (std::any_of(group.sent.begin(), group.sent.end(), isAtM2)) {
            failStatement(group, id, StatementError::Failed);
            late += i >= 20 ? 1 : 0;
        }
        group.answerAll();
        group.pass(10ms);
    }
    CHECK(late <= 4);
}

TEST_CASE("A home that has lost sight of the term sends new work elsewhere at once, and takes it again with new evidence", "[grouphome]")
{
    FakeGroup group;
    group.settle();
    // Only the primary is within reach: neither replicas nor the store show whether it was replaced.
    const auto answerPrimary = [&] {
        for (std::size_t i = 0; i < group.sent.size();) {
            if (group.owners.at(group.sent[i].connection) == MemberId("m1")) {
                std::rotate(group.sent.begin(),
                            group.sent.begin() + static_cast<std::ptrdiff_t>(i),
                            group.sent.begin() + static_cast<std::ptrdiff_t>(i) + 1);
                group.answerNext();
                i = 0;
            } else {
                ++i;
            }
        }
    };
    for (int i = 0; i < 300; ++i) {
        group.pass(10ms);
        answerPrimary();
        if (i % 20 == 0) {
            group.home.request(group.write("k" + std::to_string(i)), group.now);
        }
    }
    const HomeRequest blind = group.write("w1");
    group.home.request(blind, group.now);
    REQUIRE(group.replyTo(blind.number) != nullptr);
    CHECK(group.replyTo(blind.number)->isRedirect);
    CHECK(group.timesSent("w1") == 0);
    group.home.termSeen(group.stored, group.revision, group.now, group.now);
    group.pass(20ms);
    const HomeRequest sighted = group.write("w2");
    group.home.request(sighted, group.now);
    answerPrimary();
    CHECK(group.timesSent("w2") == 1);
}

} // namespace rattanbeam::decisions::session::test
