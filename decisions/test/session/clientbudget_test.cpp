// Guards against client bytes that are counted wrongly, a bound that does not hold, and small statements without a reserve.

#include "fakegroup.h"

#include "rattanbeam/decisions/session/clientbudget.h"
#include "rattanbeam/decisions/session/memberconnections.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace rattanbeam::decisions::session::test
{

TEST_CASE("Closing the connections that the budget names keeps the total within its bound and spares smaller ones", "[clients]")
{
    CHECK(rc::check([] {
        const auto maxBytes = *rc::gen::inRange<std::size_t>(0, 5000);
        const auto changes = *rc::gen::container<std::vector<std::pair<std::uint64_t, std::size_t>>>(
            rc::gen::pair(rc::gen::inRange<std::uint64_t>(1, 12), rc::gen::inRange<std::size_t>(0, 1500)));
        ClientBudget budget(maxBytes);
        std::map<std::uint64_t, std::size_t> held;
        for (const auto &[connection, bytes] : changes) {
            budget.setHeld(connection, bytes);
            held[connection] = bytes;
            while (const auto largest = budget.connectionToClose()) {
                for (const auto &[other, otherBytes] : held) {
                    RC_ASSERT(otherBytes <= held.at(*largest));
                }
                budget.remove(*largest);
                held.erase(*largest);
            }
            std::size_t total = 0;
            for (const auto &[other, otherBytes] : held) {
                total += otherBytes;
            }
            RC_ASSERT(budget.total() == total);
            RC_ASSERT(total <= maxBytes);
        }
    }));
}

TEST_CASE("Large statements leave a reserve for small ones, and release gives the room back", "[clients]")
{
    StatementBudget budget(1'000'000);
    std::size_t admitted = 0;
    while (budget.tryAdd(100'000)) {
        ++admitted;
    }
    CHECK(admitted == 7);
    CHECK(budget.tryAdd(10'000));
    budget.release(100'000);
    CHECK(budget.tryAdd(90'000));
    CHECK_FALSE(budget.tryAdd(100'000));
}

TEST_CASE("A statement larger than the bound is admitted when nothing else is under way", "[clients]")
{
    StatementBudget budget(1000);
    CHECK(budget.tryAdd(50'000));
    CHECK_FALSE(budget.tryAdd(1));
    budget.release(50'000);
    CHECK(budget.total() == 0);
}

TEST_CASE("Client connections leave descriptors for files, members and peers", "[clients]")
{
    ClientLimits limits;
    deriveLimits(limits, 60'000'000, 4200);
    CHECK(limits.maxConnections == 2950);
    CHECK(limits.maxConnectionsBytes + limits.maxForwardedBytes + limits.maxAcceptedBytes <= 60'000'000);
    deriveLimits(limits, 60'000'000, 100);
    CHECK(limits.maxConnections == 16);
}

TEST_CASE("The names of prepared statements are bounded in number and bytes, and none is given twice", "[clients]")
{
    PreparedNames names;
    std::set<std::string> given;
    for (std::size_t i = 0; i < PreparedNames::maxNames + 100; ++i) {
        CHECK(given.insert(names.nameOf("READ q" + std::to_string(i))).second);
    }
    CHECK(names.count() == PreparedNames::maxNames);
    CHECK(given.insert(names.nameOf("READ q0")).second);
    for (int i = 0; i < 20; ++i) {
        names.nameOf("READ " + std::to_string(i) + std::string(1'000'000, 'x'));
        CHECK(names.bytes() <= PreparedNames::maxBytes);
    }
}

TEST_CASE("A connection with many prepared statements is reset before it gets one more, but not within a transaction", "[clients]")
{
    MemberConnection connection;
    for (std::size_t i = 0; i < maxPreparedPerConnection; ++i) {
        connection.preparedNames.insert("p" + std::to_string(i));
    }
    CHECK(preparationCommands(connection, {}, "p1", "READ q").empty());
    const auto commands = preparationCommands(connection, {}, "new", "READ q");
    REQUIRE(commands.size() == 2);
    CHECK(commands.front().kind == CommandKind::Reset);
    connection.pinnedBy = TransactionKey{"entry", 1, 1};
    CHECK(preparationCommands(connection, {}, "new", "READ q").size() == 1);
}

TEST_CASE("A connection that served a session with large values is reset once it is at rest", "[clients]")
{
    FakeGroup group;
    group.makeHealthy();
    const auto countResets = [&] {
        return std::count_if(group.pendingCommands.begin(), group.pendingCommands.end(), [](const FakeGroup::SentCommand &each) {
            return each.command.kind == CommandKind::Reset;
        });
    };
    for (const std::size_t bytes : {maxIdleValueBytes, maxIdleValueBytes + 1}) {
        HomeRequest request = group.writeRequest("w" + std::to_string(bytes));
        request.values = std::make_shared<const SessionValues>(SessionValues{{"zone", std::string(bytes, 'x')}});
        group.home.request(request, group.now);
        group.answerAll();
        REQUIRE(group.replyTo(request.number)->answer.isSuccess());
        group.advanceTime(20ms);
        CHECK(countResets() == (bytes > maxIdleValueBytes ? 1 : 0));
    }
    group.answerAll();
    group.advanceTime(20ms);
    CHECK(countResets() == 0);
}

} // namespace rattanbeam::decisions::session::test
