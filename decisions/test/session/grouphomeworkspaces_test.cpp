#include "fakegroup.h"

#include <catch2/catch.hpp>

#include <string>

namespace rattanbeam::decisions::session::test
{

namespace
{

HomeRequest writeOf(FakeGroup &group, const std::string &workspace, const std::string &id)
{
    HomeRequest request = group.writeRequest(id);
    request.workspace = WorkspaceName(workspace);
    return request;
}

} // namespace

// A key may be given to another workspace while its session has a transaction open.
TEST_CASE("A transaction ends when its next statement belongs to another workspace", "[grouphome]")
{
    FakeGroup group;
    group.makeHealthy();
    HomeRequest first = writeOf(group, "mill", "t1");
    first.transaction = {"e1", 1, 1};
    first.forwarded.opensTransaction = true;
    group.home.request(first, group.now);
    group.answerAll();
    REQUIRE(group.home.openTransactions() == 1);
    HomeRequest second = writeOf(group, "quay", "t2");
    second.transaction = first.transaction;
    group.home.request(second, group.now);
    group.answerAll();
    REQUIRE(group.replyTo(second.number) != nullptr);
    CHECK(group.replyTo(second.number)->answer.error == StatementError::Aborted);
    CHECK(group.timesSent("t2") == 0);
    CHECK(group.home.openTransactions() == 0);
    CHECK(group.sentCommands.back().command.statement.kind == StatementKind::Rollback);
}

TEST_CASE("A request whose deadline passes while its connection opens is refused and never sent", "[grouphome]")
{
    FakeGroup group;
    group.makeHealthy();
    const HomeRequest request = writeOf(group, "mill", "w1");
    group.home.request(request, group.now);
    for (int i = 0; i < 90; ++i) {
        group.advanceTime(10ms);
        while (!group.pendingCommands.empty()) {
            group.answerNext();
        }
    }
    REQUIRE(group.replyTo(request.number) != nullptr);
    CHECK(group.replyTo(request.number)->answer.error == StatementError::Busy);
    group.answerAll();
    CHECK(group.timesSent("w1") == 0);
    // The slot is free again, and the connection serves the next request of the workspace.
    const std::uint64_t opened = group.home.connectionCounters().opened;
    const HomeRequest next = writeOf(group, "mill", "w2");
    group.home.request(next, group.now);
    group.answerAll();
    REQUIRE(group.replyTo(next.number) != nullptr);
    CHECK(group.replyTo(next.number)->answer.isSuccess());
    CHECK(group.home.connectionCounters().opened == opened);
}

TEST_CASE("A request whose connection the member refuses as overloaded is sent on the next one", "[grouphome]")
{
    FakeGroup group;
    group.makeHealthy();
    const HomeRequest request = writeOf(group, "mill", "w1");
    group.home.request(request, group.now);
    for (int refusals = 0; refusals < 3; ++refusals) {
        REQUIRE(group.openingConnections.size() == 1);
        for (const ConnectionNumber connection : std::exchange(group.openingConnections, {})) {
            group.home.connectionFailed(connection, ConnectFailure::Overloaded, group.now);
        }
        CHECK(group.openingConnections.empty()); // not again at once
        CHECK(group.replyTo(request.number) == nullptr);
        for (int i = 0; i < 10; ++i) {
            group.advanceTime(10ms);
            while (!group.pendingCommands.empty()) {
                group.answerNext();
            }
        }
    }
    group.answerAll();
    CHECK(group.timesSent("w1") == 1);
    REQUIRE(group.replyTo(request.number) != nullptr);
    CHECK(group.replyTo(request.number)->answer.isSuccess());
}

TEST_CASE("Maintenance commands run on an idle connection of any workspace", "[grouphome]")
{
    FakeGroup group;
    group.makeHealthy();
    group.home.request(writeOf(group, "mill", "w1"), group.now);
    group.answerAll();
    group.advanceTime(22s); // the connections of no workspace have been closed
    group.answerAll();
    const std::uint64_t opened = group.home.connectionCounters().opened;
    group.sentCommands.clear();
    for (int i = 0; i < 30; ++i) {
        group.home.request(writeOf(group, "mill", "x" + std::to_string(i)), group.now);
        group.advanceTime(100ms);
        group.answerAll();
    }
    const auto statusCommands = std::count_if(group.sentCommands.begin(), group.sentCommands.end(), [](const auto &each) {
        return each.command.kind == CommandKind::Status;
    });
    CHECK(statusCommands > 10);
    CHECK(group.home.connectionCounters().opened <= opened + 1);
}

} // namespace rattanbeam::decisions::session::test
