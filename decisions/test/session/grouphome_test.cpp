#include "fakegroup.h"

#include <catch2/catch.hpp>

#include <array>
#include <random>

namespace rattanbeam::decisions::session::test
{

TEST_CASE("A write at a healthy primary is answered with the member's signature", "[grouphome]")
{
    FakeGroup group;
    group.makeHealthy();
    const HomeRequest request = group.writeRequest("w1");
    group.home.request(request, group.now);
    group.answerAll();
    const HomeReply *reply = group.replyTo(request.number);
    REQUIRE(reply != nullptr);
    CHECK(reply->answer.isSuccess());
    CHECK(reply->answer.signature == "signed-by-m1");
    CHECK(group.timesSent("w1") == 1);
}

TEST_CASE("A connection carries one command at a time, also when the answer to a status request releases held requests", "[grouphome]")
{
    FakeGroup group;
    group.makeHealthy();
    // Held requests are released by the answer to a status request and sent on the connection that carried it.
    group.home.termSeen(TermRecord{ServiceName("orders"), 2, MemberId("m1"), {"a1/1"}}, ++group.termRevision, group.now, group.now);
    for (int i = 0; i < 40; ++i) {
        group.home.request(group.writeRequest("w" + std::to_string(i)), group.now);
        group.advanceTime(20ms);
        if (i % 3 == 0) {
            group.answerAll();
        }
    }
    group.answerAll();
    CHECK(group.maxPendingCount == 1);
    for (int i = 0; i < 40; ++i) {
        CHECK(group.timesSent("w" + std::to_string(i)) <= 1);
    }
}

TEST_CASE("A request that is refused while its connection is being prepared is never sent", "[grouphome]")
{
    FakeGroup group;
    group.makeHealthy();
    HomeRequest request = group.writeRequest("w1");
    request.values = std::make_shared<const SessionValues>(SessionValues{{"zone", "utc"}});
    group.home.request(request, group.now);
    REQUIRE(group.timesSent("w1") == 0); // the value is being set
    // The member still answers status requests on other connections, so that it does not count as silent.
    for (int i = 0; i < 90; ++i) {
        group.advanceTime(10ms);
        const auto status
            = std::find_if(group.pendingCommands.begin(), group.pendingCommands.end(), [](const FakeGroup::SentCommand &each) {
                  return each.command.kind == CommandKind::Status;
              });
        if (status != group.pendingCommands.end()) {
            std::rotate(group.pendingCommands.begin(), status, status + 1);
            group.answerNext();
        }
    }
    const HomeReply *reply = group.replyTo(request.number);
    REQUIRE(reply != nullptr);
    CHECK(guaranteesNoEffect(reply->answer.error));
    group.answerAll();
    CHECK(group.timesSent("w1") == 0);
}

TEST_CASE("A write whose connection is lost after it was sent is reported as in doubt", "[grouphome]")
{
    FakeGroup group;
    group.makeHealthy();
    const HomeRequest request = group.writeRequest("w1");
    group.home.request(request, group.now);
    REQUIRE(group.timesSent("w1") == 1);
    group.home.connectionFailed(group.pendingCommands.back().connection, ConnectFailure::Lost, group.now);
    REQUIRE(group.replyTo(request.number) != nullptr);
    CHECK(group.replyTo(request.number)->answer.error == StatementError::InDoubt);
}

TEST_CASE("A write at a primary that is only silent for a while is neither given up nor sent again", "[grouphome]")
{
    FakeGroup group;
    group.makeHealthy();
    const HomeRequest request = group.writeRequest("w1");
    group.home.request(request, group.now);
    group.advanceTime(700ms);
    CHECK(std::count(group.events.begin(), group.events.end(), "member-silent") == 1);
    group.finishConnecting();
    CHECK(group.replyTo(request.number) == nullptr);
    group.answerAll();
    REQUIRE(group.replyTo(request.number) != nullptr);
    CHECK(group.replyTo(request.number)->answer.isSuccess());
    CHECK(group.timesSent("w1") == 1);
}

// Its rollback, too, would never be answered if the connection was lost without a word.
TEST_CASE("A transaction that ends at a silent primary does not keep its connection", "[grouphome]")
{
    FakeGroup group;
    group.makeHealthy();
    HomeRequest request = group.writeRequest("w1");
    request.transaction = {"e1", 1, 1};
    request.forwarded.transaction = 1;
    request.forwarded.opensTransaction = true;
    group.home.request(request, group.now);
    group.answerAll();
    REQUIRE(group.home.openTransactions() == 1);
    const HomeRequest other = group.writeRequest("w2"); // makes the member owe an answer
    group.home.request(other, group.now);
    group.advanceTime(600ms);
    group.finishConnecting();
    REQUIRE(group.home.openTransactions() == 1);
    const ConnectionNumber connection = [&] {
        for (const FakeGroup::SentCommand &each : group.sentCommands) {
            if (each.command.statement.id == "w1") {
                return each.connection;
            }
        }
        return ConnectionNumber();
    }();
    group.home.endTransaction(request.transaction, group.now);
    for (int i = 0; i < 12; ++i) {
        group.advanceTime(100ms);
        group.finishConnecting();
    }
    CHECK(std::count(group.closedConnections.begin(), group.closedConnections.end(), connection) == 1);
}

TEST_CASE("A write at a primary that stays silent is in doubt at its deadline", "[grouphome]")
{
    FakeGroup group;
    group.makeHealthy();
    const HomeRequest request = group.writeRequest("w1");
    group.home.request(request, group.now);
    group.advanceTime(790ms);
    CHECK(group.replyTo(request.number) == nullptr);
    group.advanceTime(20ms);
    REQUIRE(group.replyTo(request.number) != nullptr);
    CHECK(group.replyTo(request.number)->answer.error == StatementError::InDoubt);
    CHECK(group.timesSent("w1") == 1);
}

TEST_CASE("A read that only the primary can serve is not sent there again while it may still be answered in time", "[grouphome]")
{
    FakeGroup group;
    group.makeHealthy();
    const HomeRequest request = group.readRequest("r1", Consistency::Latest);
    group.home.request(request, group.now);
    REQUIRE(group.timesSent("r1") == 1);
    group.advanceTime(100ms);
    CHECK(group.timesSent("r1") == 1);
    group.answerAll();
    REQUIRE(group.replyTo(request.number) != nullptr);
    CHECK(group.replyTo(request.number)->answer.isSuccess());
}

// A store outage beside a crashed replica: the primary and the other replica are well, and the group goes on.
TEST_CASE("While the store is away, the word of one replica keeps the group serving", "[grouphome]")
{
    FakeGroup group;
    group.makeHealthy();
    group.home.termSeen(group.storedTerm, group.termRevision, group.now, group.now); // the last read before the outage
    group.downMembers.insert(MemberId("m3"));
    const auto runFor = [&](Duration time) {
        for (Duration elapsed{}; elapsed < time; elapsed += 50ms) {
            group.answerAll();
            std::erase_if(group.pendingCommands, [&](const FakeGroup::SentCommand &each) {
                return group.connectionMembers.at(each.connection) == MemberId("m3");
            });
            group.advanceTime(50ms);
        }
    };
    for (const auto &[connection, owner] : std::map(group.connectionMembers)) {
        if (owner == MemberId("m3")) {
            group.home.connectionFailed(connection, ConnectFailure::Lost, group.now);
        }
    }
    runFor(8s);
    const HomeRequest served = group.writeRequest("w1");
    group.home.request(served, group.now);
    group.answerAll();
    REQUIRE(group.replyTo(served.number) != nullptr);
    CHECK(group.replyTo(served.number)->answer.isSuccess());
    // Not for ever: a change of primary that cannot fence the replica waits for the end of this time.
    runFor(8s);
    const HomeRequest late = group.writeRequest("w2");
    group.home.request(late, group.now);
    group.answerAll();
    group.advanceTime(900ms);
    REQUIRE(group.replyTo(late.number) != nullptr);
    CHECK_FALSE(group.replyTo(late.number)->answer.isSuccess());
}

TEST_CASE("A read whose connection is lost is retried", "[grouphome]")
{
    FakeGroup group;
    group.makeHealthy();
    const HomeRequest request = group.readRequest("r1", Consistency::BoundedAge);
    group.home.request(request, group.now);
    REQUIRE(group.timesSent("r1") == 1);
    group.home.connectionFailed(group.pendingCommands.back().connection, ConnectFailure::Lost, group.now);
    group.answerAll();
    REQUIRE(group.replyTo(request.number) != nullptr);
    CHECK(group.replyTo(request.number)->answer.isSuccess());
    CHECK(group.timesSent("r1") == 2);
}

TEST_CASE("A read that gets no answer is retried at another member", "[grouphome]")
{
    FakeGroup group;
    group.makeHealthy();
    const HomeRequest request = group.readRequest("r1", Consistency::BoundedAge);
    group.home.request(request, group.now);
    REQUIRE(group.timesSent("r1") == 1);
    const MemberId first = group.connectionMembers.at(group.pendingCommands.back().connection);
    group.pendingCommands.clear(); // the answer is lost
    group.advanceTime(80ms);
    REQUIRE(group.timesSent("r1") == 2);
    CHECK(group.connectionMembers.at(group.pendingCommands.back().connection) != first);
    group.answerAll();
    CHECK(group.replyTo(request.number)->answer.isSuccess());
}

TEST_CASE("A read that a replica refuses because it lags is retried at another member, never at the same one", "[grouphome]")
{
    FakeGroup group;
    group.makeHealthy();
    HomeRequest request = group.readRequest("r1", Consistency::BoundedAge);
    group.home.request(request, group.now);
    std::set<MemberId> askedMembers;
    for (int i = 0; i < 2; ++i) {
        REQUIRE_FALSE(group.pendingCommands.empty());
        const FakeGroup::SentCommand next = group.pendingCommands.back();
        const MemberId member = group.connectionMembers.at(next.connection);
        if (member == MemberId("m1")) {
            break;
        }
        CHECK(askedMembers.insert(member).second);
        group.pendingCommands.pop_back();
        --group.pendingCounts[next.connection];
        Answer lagging = Answer::failure(StatementError::Lagging, "", SessionPhase::Idle);
        lagging.position = LogPosition{1, 1};
        group.home.answered(next.connection, lagging, std::nullopt, group.now);
    }
    group.answerAll();
    REQUIRE(group.replyTo(request.number) != nullptr);
    CHECK(group.replyTo(request.number)->answer.signature == "signed-by-m1");
}

// Guards against a stale read right after a change of primary: the position (1, 9) counts as applied by a log that ends at (2, 3).
TEST_CASE("A read is not answered from a log of a newer term that ends before the required position", "[grouphome]")
{
    FakeGroup group;
    group.makeHealthy();
    HomeRequest request = group.readRequest("r1", Consistency::ReadYourWrites);
    request.lastCommitPosition = LogPosition{1, 1};
    group.home.request(request, group.now);
    REQUIRE_FALSE(group.pendingCommands.empty());
    const FakeGroup::SentCommand next = group.pendingCommands.back();
    REQUIRE(group.connectionMembers.at(next.connection) != MemberId("m1"));
    REQUIRE(next.command.statement.after);
    group.pendingCommands.pop_back();
    --group.pendingCounts[next.connection];
    Answer stale = Answer::success(SessionPhase::Idle);
    stale.signature = "signed-by-a-replica";
    stale.position = LogPosition{next.command.statement.after->term + 1, next.command.statement.after->position - 1};
    group.home.answered(next.connection, stale, std::nullopt, group.now);
    CHECK(group.replyTo(request.number) == nullptr);
    group.answerAll();
    REQUIRE(group.replyTo(request.number) != nullptr);
    CHECK(group.replyTo(request.number)->answer.signature != stale.signature);
}

TEST_CASE("A write that gets no answer is never resent", "[grouphome]")
{
    FakeGroup group;
    group.makeHealthy();
    const HomeRequest request = group.writeRequest("w1");
    group.home.request(request, group.now);
    REQUIRE(group.timesSent("w1") == 1);
    group.pendingCommands.clear();
    for (int i = 0; i < 100; ++i) {
        group.advanceTime(10ms);
        group.answerAll();
    }
    CHECK(group.timesSent("w1") == 1);
    REQUIRE(group.replyTo(request.number) != nullptr);
    CHECK(group.replyTo(request.number)->answer.error == StatementError::InDoubt);
}

TEST_CASE("A statement of another transaction never runs on a pinned connection", "[grouphome]")
{
    FakeGroup group;
    group.makeHealthy();
    HomeRequest firstStatement = group.writeRequest("t1");
    firstStatement.transaction = {"peer-1", 5, 1};
    firstStatement.forwarded.transaction = 1;
    firstStatement.forwarded.opensTransaction = true;
    group.home.request(firstStatement, group.now);
    group.answerAll();
    REQUIRE(group.replyTo(firstStatement.number)->isTransactionOpen);
    const ConnectionNumber pinned = group.sentCommands.back().connection;
    for (int i = 0; i < 20; ++i) {
        group.home.request(group.writeRequest("w" + std::to_string(i)), group.now);
        group.answerAll();
    }
    for (const FakeGroup::SentCommand &each : group.sentCommands) {
        if (!each.command.statement.id.empty() && each.command.statement.id != "t1") {
            CHECK(each.connection != pinned);
        }
    }
}

namespace
{

/// Opens `count` transactions 40 ms apart and leaves them open, so that each one pins a connection.
void openTransactions(FakeGroup &group, int count)
{
    for (int i = 1; i <= count; ++i) {
        HomeRequest request = group.writeRequest("t" + std::to_string(i));
        request.transaction = {"entry", static_cast<std::uint64_t>(i), 1};
        request.forwarded.opensTransaction = true;
        group.home.request(request, group.now);
        group.advanceTime(40ms);
        group.answerAll();
    }
}

} // namespace

TEST_CASE("A connection limit that a member once enforced is tried again later", "[grouphome]")
{
    FakeGroup group;
    group.makeHealthy();
    openTransactions(group, 4);
    // The member refuses one connection, as it does while another home uses up the rest of its limit.
    group.home.request(group.writeRequest("w1"), group.now);
    group.advanceTime(20ms);
    REQUIRE_FALSE(group.openingConnections.empty());
    group.home.connectionFailed(group.openingConnections.front(), ConnectFailure::Overloaded, group.now);
    group.openingConnections.clear();
    const std::size_t openAtLimit = group.home.openTransactions();
    for (int i = 0; i < 20; ++i) {
        group.advanceTime(200ms);
        group.answerAll();
    }
    openTransactions(group, 9);
    CHECK(group.home.openTransactions() > openAtLimit + 2);
}

TEST_CASE("A substitute home that stays in use for long opens more connections, as a first home does", "[grouphome]")
{
    FakeGroup group;
    group.makeHealthy();
    group.home.setFirstHome(false);
    group.advanceTime(1100ms); // an idle time, after which the substitute starts again with few connections
    group.answerAll();
    std::size_t openEarly = 0;
    for (int i = 1; i <= 60; ++i) {
        HomeRequest request = group.writeRequest("t" + std::to_string(i));
        request.transaction = {"entry", static_cast<std::uint64_t>(i), 1};
        request.forwarded.opensTransaction = true;
        group.home.termSeen(group.storedTerm, group.termRevision, group.now, group.now); // renews the evidence of the term
        group.home.request(request, group.now);
        group.answerAll();
        group.now += 15ms; // no timer fires, so that no status request opens a connection
        openEarly = i == 20 ? group.home.openTransactions() : openEarly;
    }
    CHECK(openEarly <= 4);
    CHECK(group.home.openTransactions() > 6);
}

namespace
{

/// Answers the statement `id` with an error; returns the member that it was sent to.
MemberId answerWithError(FakeGroup &group, const std::string &id, StatementError error)
{
    const auto found = std::find_if(group.pendingCommands.begin(), group.pendingCommands.end(), [&](const FakeGroup::SentCommand &each) {
        return each.command.statement.id == id;
    });
    REQUIRE(found != group.pendingCommands.end());
    const ConnectionNumber connection = found->connection;
    group.pendingCommands.erase(found);
    --group.pendingCounts[connection];
    group.home.answered(connection, Answer::failure(error, "", SessionPhase::Idle), std::nullopt, group.now);
    return group.connectionMembers.at(connection);
}

} // namespace

TEST_CASE("A read that fails at one member is retried at another", "[grouphome]")
{
    FakeGroup group;
    group.makeHealthy();
    const HomeRequest request = group.readRequest("r1", Consistency::BoundedAge);
    group.home.request(request, group.now);
    const MemberId first = answerWithError(group, "r1", StatementError::Failed);
    CHECK(group.replyTo(request.number) == nullptr);
    const MemberId second = answerWithError(group, "r1", StatementError::Busy);
    CHECK(second != first);
    group.answerAll();
    REQUIRE(group.replyTo(request.number) != nullptr);
    CHECK(group.replyTo(request.number)->answer.isSuccess());
}

TEST_CASE("A write that failed is not resent", "[grouphome]")
{
    FakeGroup group;
    group.makeHealthy();
    const HomeRequest request = group.writeRequest("w1");
    group.home.request(request, group.now);
    answerWithError(group, "w1", StatementError::Failed);
    group.answerAll();
    REQUIRE(group.replyTo(request.number) != nullptr);
    CHECK(group.replyTo(request.number)->answer.error == StatementError::Failed);
    CHECK(group.timesSent("w1") == 1);
}

TEST_CASE("The first statement of a transaction is retried after a failure, since its member rolls back", "[grouphome]")
{
    FakeGroup group;
    group.makeHealthy();
    HomeRequest request = group.writeRequest("t1");
    request.transaction = {"entry", 1, 1};
    request.forwarded.opensTransaction = true;
    group.home.request(request, group.now);
    group.answerNext(); // BEGIN
    answerWithError(group, "t1", StatementError::Failed);
    group.answerAll();
    REQUIRE(group.replyTo(request.number) != nullptr);
    CHECK(group.replyTo(request.number)->answer.isSuccess());
    CHECK(group.timesSent("t1") == 2);
}

TEST_CASE("Reads avoid a member at which many of them have failed", "[grouphome]")
{
    FakeGroup group;
    group.makeHealthy();
    const auto isAtM2 = [&](const FakeGroup::SentCommand &each) {
        return group.connectionMembers.at(each.connection) == MemberId("m2") && !each.command.statement.id.empty();
    };
    int lateFailures = 0;
    for (int i = 0; i < 60; ++i) {
        const std::string id = "r" + std::to_string(i);
        group.home.request(group.readRequest(id, Consistency::BoundedAge), group.now);
        while (std::any_of(group.pendingCommands.begin(), group.pendingCommands.end(), isAtM2)) {
            answerWithError(group, id, StatementError::Failed);
            lateFailures += i >= 20 ? 1 : 0;
        }
        group.answerAll();
        group.advanceTime(10ms);
    }
    CHECK(lateFailures <= 4);
}

TEST_CASE("A home without recent evidence of the term redirects new requests at once, and accepts them again with new evidence",
          "[grouphome]")
{
    FakeGroup group;
    group.makeHealthy();
    // Only the primary is reachable: neither the replicas nor the store show whether it was replaced.
    const auto answerPrimary = [&] {
        for (std::size_t i = 0; i < group.pendingCommands.size();) {
            if (group.connectionMembers.at(group.pendingCommands[i].connection) == MemberId("m1")) {
                std::rotate(group.pendingCommands.begin(),
                            group.pendingCommands.begin() + static_cast<std::ptrdiff_t>(i),
                            group.pendingCommands.begin() + static_cast<std::ptrdiff_t>(i) + 1);
                group.answerNext();
                i = 0;
            } else {
                ++i;
            }
        }
    };
    for (int i = 0; i < 300; ++i) {
        group.advanceTime(10ms);
        answerPrimary();
        if (i % 20 == 0) {
            group.home.request(group.writeRequest("k" + std::to_string(i)), group.now);
        }
    }
    const HomeRequest requestWithoutEvidence = group.writeRequest("w1");
    group.home.request(requestWithoutEvidence, group.now);
    REQUIRE(group.replyTo(requestWithoutEvidence.number) != nullptr);
    CHECK(group.replyTo(requestWithoutEvidence.number)->isRedirect);
    CHECK(group.timesSent("w1") == 0);
    group.home.termSeen(group.storedTerm, group.termRevision, group.now, group.now);
    group.advanceTime(20ms);
    const HomeRequest requestWithEvidence = group.writeRequest("w2");
    group.home.request(requestWithEvidence, group.now);
    answerPrimary();
    CHECK(group.timesSent("w2") == 1);
}

namespace
{

/// Brings up all members of a group that has no term record yet.
void reachMembers(FakeGroup &group)
{
    group.statuses[MemberId("m1")].isPrimary = true;
    for (const char *id : {"m1", "m2", "m3"}) {
        group.logPositions[MemberId(id)] = {1, 10};
    }
    group.home.termSeen(std::nullopt, 0, group.now, group.now);
    group.advanceTime(20ms);
    group.answerAll();
}

/// Sends writes so often that some are always held, while the store rejects all writes of the term record. Returns the number of
/// rejected ones.
std::size_t sendWritesWithoutStore(FakeGroup &group, Duration time)
{
    std::size_t failedWrites = 0;
    for (Duration elapsed{}; elapsed < time; elapsed += 10ms) {
        group.home.request(group.writeRequest("early"), group.now);
        if (group.termWrites.size() > failedWrites) {
            failedWrites = group.termWrites.size();
            group.home.termWriteFailed(TermWriteFailure::StoreUnavailable, group.now);
        }
        group.advanceTime(10ms);
        group.answerAll();
    }
    return failedWrites;
}

} // namespace

// Guards against a home that is shut for good: the first term record was written for dispatched requests only, and all were turned away
// for lack of evidence of a term that did not exist.
TEST_CASE("A store that is away at the first request delays the first term record only until it is back", "[grouphome]")
{
    FakeGroup group;
    reachMembers(group);
    const std::size_t rejectedWrites = sendWritesWithoutStore(group, 4500ms);
    HomeRequest request = group.writeRequest("late");
    for (Duration elapsed{}; elapsed < 1500ms && group.timesSent("late") == 0; elapsed += 10ms) {
        if (group.termWrites.size() > rejectedWrites && !group.storedTerm) {
            group.completeTermWrite();
        }
        request = group.writeRequest("late");
        group.home.request(request, group.now);
        group.advanceTime(10ms);
        group.answerAll();
    }
    CHECK(group.home.primary() == MemberId("m1"));
    REQUIRE(group.replyTo(request.number) != nullptr);
    CHECK(group.replyTo(request.number)->answer.isSuccess());
}

TEST_CASE("Requests are redirected while the store does not accept the first term record", "[grouphome]")
{
    FakeGroup group;
    reachMembers(group);
    sendWritesWithoutStore(group, 400ms);
    const HomeRequest request = group.writeRequest("w1");
    group.home.request(request, group.now);
    REQUIRE(group.replyTo(request.number) != nullptr);
    CHECK(group.replyTo(request.number)->isRedirect);
}

TEST_CASE("The first home writes the first term record without waiting for a request", "[grouphome]")
{
    FakeGroup group;
    reachMembers(group);
    SECTION("as the first home")
    {
        group.advanceTime(4s);
        REQUIRE(group.termWrites.size() >= 1);
        CHECK(group.termWrites.front().first.primary == MemberId("m1"));
    }
    SECTION("but not as a substitute")
    {
        group.home.setFirstHome(false);
        group.advanceTime(4s);
        CHECK(group.termWrites.empty());
    }
}

TEST_CASE("A home that has not read the term record goes on reading it while it redirects requests", "[grouphome]")
{
    FakeGroup group;
    for (int i = 0; i < 200; ++i) {
        group.home.request(group.writeRequest("early"), group.now);
        group.advanceTime(10ms);
    }
    const int readsBefore = group.termReads;
    for (int i = 0; i < 200; ++i) {
        group.home.request(group.writeRequest("late"), group.now);
        group.advanceTime(10ms);
    }
    CHECK(group.termReads > readsBefore);
}

namespace
{

constexpr std::uint32_t manySlots = 5;

std::vector<MemberRecord> membersWithSlots(std::uint64_t replicaIncarnation)
{
    std::vector<MemberRecord> members{FakeGroup::member("m1", true), FakeGroup::member("m2", false), FakeGroup::member("m3", false)};
    for (MemberRecord &member : members) {
        member.slots = manySlots;
    }
    members.back().incarnation = replicaIncarnation;
    return members;
}

/// A group under more writes than its primary can run at once.
class LoadedGroup : public FakeGroup
{
public:
    LoadedGroup() : FakeGroup(membersWithSlots(1))
    {
        makeHealthy();
        run(1s);
        events.clear();
    }
    /// Offers 8 writes every 10 ms. The primary answers those that it has got within 10 ms.
    void run(Duration time)
    {
        for (Duration elapsed{}; elapsed < time; elapsed += 10ms) {
            for (int i = 0; i < 8; ++i) {
                home.request(writeRequest("load"), now);
            }
            noteLimit();
            answerSent();
            advanceTime(10ms);
        }
    }
    void noteLimit()
    {
        const std::size_t limit = home.memberLimits().at(MemberId("m1"));
        const std::size_t inFlight = statementsInFlight();
        maxInFlight = std::max(maxInFlight, inFlight);
        inFlightOverLimit += inFlight > limit ? 1 : 0;
        if (limits != nullptr && isReported("member-limited") && (limits->empty() || limits->back() != limit)) {
            limits->push_back(limit);
        }
    }
    std::size_t statementsInFlight() const
    {
        return static_cast<std::size_t>(std::count_if(pendingCommands.begin(), pendingCommands.end(), [](const SentCommand &each) {
            return each.command.kind == CommandKind::Statement;
        }));
    }
    /// Answers the commands that have been sent by now, but not those that follow from the answers.
    void answerSent()
    {
        finishConnecting();
        for (std::size_t count = pendingCommands.size(); count > 0 && !pendingCommands.empty(); --count) {
            answerNext();
        }
        if (storedTerm && termWrites.size() > completedTermWrites) {
            completeTermWrite();
        }
        home.termSeen(storedTerm, termRevision, now, now);
    }
    /// The primary cannot be reached for a moment.
    void interruptPrimary()
    {
        downMembers.insert(MemberId("m1"));
        const auto connections = connectionMembers;
        for (const auto &[connection, owner] : connections) {
            if (owner == MemberId("m1")) {
                home.connectionFailed(connection, ConnectFailure::Lost, now);
            }
        }
        finishConnecting();
        home.peersAnswered(MemberId("m1"), 1, 0, now); // it is not replaced
        downMembers.clear();
        run(1500ms); // the home redirects its requests for a second, and connects to the member again
    }
    bool isReported(const std::string &event) const
    {
        return std::find(events.begin(), events.end(), event) != events.end();
    }

    std::size_t maxInFlight = 0;
    int inFlightOverLimit = 0;
    /// If set, gets the limits of the primary, each once, since the first one.
    std::vector<std::size_t> *limits = nullptr;
};

} // namespace

// Guards against a limit on members that merely carry full load.
TEST_CASE("A healthy member under full load is never limited", "[grouphome]")
{
    LoadedGroup group;
    group.maxInFlight = 0;
    group.run(2s);
    CHECK(group.maxInFlight > manySlots);
    CHECK_FALSE(group.isReported("member-limited"));
}

// Guards against a flood at a server whose caches are cold, and against one that is left idle.
TEST_CASE("A member that recovers under full load gets its slots step by step", "[grouphome]")
{
    LoadedGroup group;
    std::vector<std::size_t> limits;
    group.limits = &limits;
    group.interruptPrimary();
    REQUIRE(group.isReported("member-limited"));
    REQUIRE(group.isReported("member-limit-ended"));
    CHECK(limits == std::vector<std::size_t>{1, 2, 4, manySlots + 1});
    CHECK(group.inFlightOverLimit == 0);
}

TEST_CASE("A member that has restarted is limited, and the others are not", "[grouphome]")
{
    LoadedGroup group;
    group.home.membersChanged(membersWithSlots(2), group.now);
    CHECK(group.home.memberLimits().at(MemberId("m3")) == 1);
    CHECK(group.home.memberLimits().at(MemberId("m1")) == manySlots + 1);
}

TEST_CASE("Members are not limited if the setting is off", "[grouphome]")
{
    LoadedGroup group;
    GroupHomeLimits limits;
    limits.isPaceEnabled = false;
    group.home.setLimits(limits);
    group.interruptPrimary();
    CHECK_FALSE(group.isReported("member-limited"));
}

namespace
{

/// Answers all commands as members do that run each SET, PREPARE and RESET, and answer some of them with an error nevertheless. Checks that
/// statements run with the values of their session.
class FailingMembers
{
public:
    FailingMembers(FakeGroup &group, StatementError error) : m_group(group), m_error(error)
    {}
    /// A write of a session with these values.
    HomeRequest writeRequest(const std::string &id, const SessionValues &values)
    {
        m_sessionValues[id] = values;
        HomeRequest request = m_group.writeRequest(id);
        request.values = std::make_shared<const SessionValues>(values);
        return request;
    }
    /// `isFailed()` tells of each command that prepares a connection whether it is answered with the error.
    template<typename Decision>
    void answerAll(Decision isFailed)
    {
        m_group.finishConnecting();
        while (!m_group.pendingCommands.empty()) {
            const FakeGroup::SentCommand next = m_group.pendingCommands.front();
            if (run(next) && isFailed()) {
                m_group.pendingCommands.erase(m_group.pendingCommands.begin());
                --m_group.pendingCounts[next.connection];
                m_group.home.answered(next.connection, Answer::failure(m_error, "", SessionPhase::Idle), std::nullopt, m_group.now);
            } else {
                m_group.answerNext();
            }
            m_group.finishConnecting();
        }
    }

private:
    /// Returns whether the command prepares its connection.
    bool run(const FakeGroup::SentCommand &sent)
    {
        SessionValues &values = m_memberValues[sent.connection];
        const Statement &statement = sent.command.statement;
        if (sent.command.kind == CommandKind::Reset) {
            values.clear();
            return true;
        }
        if (sent.command.kind != CommandKind::Statement) {
            return false;
        }
        if (statement.kind == StatementKind::SetValue) {
            values[statement.name] = statement.arguments;
            return true;
        }
        if (const auto expected = m_sessionValues.find(statement.id); expected != m_sessionValues.end()) {
            INFO(statement.id);
            CHECK(values == expected->second);
        }
        return false;
    }

    FakeGroup &m_group;
    StatementError m_error;
    std::map<ConnectionNumber, SessionValues> m_memberValues;
    std::map<std::string, SessionValues> m_sessionValues;
};

} // namespace

// Guards against statements that run with the values of another session.
TEST_CASE("A connection on which a SET or RESET failed is reset before its next statement", "[grouphome]")
{
    const StatementError error = GENERATE(StatementError::Failed, StatementError::TimedOut);
    FakeGroup group;
    group.makeHealthy();
    FailingMembers members(group, error);
    std::mt19937 random(20261207);
    const std::array<SessionValues, 3> values{SessionValues(), SessionValues{{"zone", "utc"}}, SessionValues{{"zone", "cet"}}};
    for (int i = 0; i < 300; ++i) {
        group.home.request(members.writeRequest("w" + std::to_string(i), values[random() % values.size()]), group.now);
        members.answerAll([&] {
            return random() % 2 == 0;
        });
        group.advanceTime(10ms);
    }
    const auto served = std::count_if(group.replies.begin(), group.replies.end(), [](const FakeGroup::SentReply &each) {
        return each.reply.answer.isSuccess();
    });
    CHECK(served > 100);
}

// Guards against writes that count as perhaps run, although they were never sent.
TEST_CASE("A write whose connection could not be prepared is tried again", "[grouphome]")
{
    FakeGroup group;
    group.makeHealthy();
    FailingMembers members(group, StatementError::Failed);
    const HomeRequest request = members.writeRequest("w1", {{"zone", "utc"}});
    group.home.request(request, group.now);
    bool isFailed = false;
    for (int i = 0; i < 10; ++i) {
        members.answerAll([&] {
            return !std::exchange(isFailed, true);
        });
        group.advanceTime(10ms);
    }
    CHECK(isFailed);
    REQUIRE(group.replyTo(request.number) != nullptr);
    CHECK(group.replyTo(request.number)->answer.isSuccess());
    CHECK(group.timesSent("w1") == 1);
}

} // namespace rattanbeam::decisions::session::test
