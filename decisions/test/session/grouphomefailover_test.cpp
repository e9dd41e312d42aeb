#include "fakegroup.h"

#include <catch2/catch.hpp>

namespace rattanbeam::decisions::session::test
{

namespace
{

void crashMember(FakeGroup &group, const char *id)
{
    group.downMembers.insert(MemberId(id));
    std::vector<ConnectionNumber> connections;
    for (const auto &[connection, owner] : group.connectionMembers) {
        if (owner == MemberId(id)) {
            connections.push_back(connection);
        }
    }
    for (const ConnectionNumber connection : connections) {
        group.home.connectionFailed(connection, ConnectFailure::Lost, group.now);
    }
    group.finishConnecting();
}

/// Answers all commands and advances the time until `isDone`, for at most two seconds.
template<typename Condition>
bool runUntil(FakeGroup &group, Condition isDone)
{
    for (int i = 0; i < 200 && !isDone(); ++i) {
        group.answerAll();
        group.advanceTime(10ms);
    }
    return isDone();
}

} // namespace

TEST_CASE("A failed primary is replaced once the peers report that they cannot reach it either", "[grouphomefailover]")
{
    FakeGroup group;
    group.makeHealthy();
    group.logPositions[MemberId("m3")] = {1, 12};
    crashMember(group, "m1");
    REQUIRE(group.peerInquiries == 1);
    CHECK(group.promotionOrders.empty());
    group.home.peersAnswered(MemberId("m1"), 0, 2, group.now);
    REQUIRE(group.termWrites.back().first.generation == 2);
    group.completeTermWrite();
    REQUIRE(runUntil(group, [&] {
        return !group.promotionOrders.empty();
    }));
    CHECK(group.promotionOrders.front().first == MemberId("m3")); // the most advanced
    CHECK(group.promotionOrders.front().second == group.termRevision);
}

namespace
{

/// Makes another home a lease holder, and crashes the primary and one replica, which is a witness.
void crashPrimaryAndWitness(FakeGroup &group)
{
    group.makeHealthy();
    TermRecord record = *group.storedTerm;
    REQUIRE(record.witnesses == std::vector{MemberId("m2"), MemberId("m3")});
    record.homes.emplace_back("b1/1");
    group.home.termSeen(record, ++group.termRevision, group.now, group.now);
    crashMember(group, "m2");
    crashMember(group, "m1");
    group.home.peersAnswered(MemberId("m1"), 0, 2, group.now);
    group.completeTermWrite();
}

/// As runUntil(), with a store that answers, and for at most `time`.
template<typename Condition>
bool runWithStoreUntil(FakeGroup &group, Duration time, Condition isDone)
{
    for (Duration elapsed{}; elapsed < time && !isDone(); elapsed += 20ms) {
        group.answerAll();
        group.home.termSeen(group.storedTerm, group.termRevision, group.now, group.now);
        group.advanceTime(20ms);
    }
    return isDone();
}

} // namespace

TEST_CASE("No promotion is ordered while a lease holder may rely on a witness that cannot be fenced", "[grouphomefailover]")
{
    FakeGroup group;
    crashPrimaryAndWitness(group);
    const auto isOrdered = [&] {
        return !group.promotionOrders.empty();
    };
    CHECK_FALSE(runWithStoreUntil(group, PrimaryLease::witnessTerm, isOrdered));
    CHECK(runWithStoreUntil(group, 3s, isOrdered));
}

TEST_CASE("A promotion is ordered as soon as all lease holders have yielded", "[grouphomefailover]")
{
    FakeGroup group;
    crashPrimaryAndWitness(group);
    REQUIRE(group.yieldRequests == std::vector<std::string>{"b1/1"});
    const auto isOrdered = [&] {
        return !group.promotionOrders.empty();
    };
    CHECK_FALSE(runWithStoreUntil(group, 1s, isOrdered));
    group.home.leaseYielded("b1/1", group.storedTerm->generation, group.now);
    CHECK(runWithStoreUntil(group, 200ms, isOrdered));
}

TEST_CASE("A member that is down when its group gets a new primary is no witness, since it could not be fenced later",
          "[grouphomefailover]")
{
    FakeGroup group;
    group.makeHealthy();
    crashMember(group, "m1");
    group.home.peersAnswered(MemberId("m1"), 0, 2, group.now);
    group.completeTermWrite();
    REQUIRE(runUntil(group, [&] {
        return !group.promotionOrders.empty();
    }));
    const MemberId chosen = group.promotionOrders.front().first;
    const MemberId other(chosen == MemberId("m2") ? "m3" : "m2");
    group.home.promotionAnswered(chosen, PromotionResult::Accepted, group.now);
    group.statuses[chosen].isPrimary = true;
    group.statuses[chosen].term = 2;
    group.statuses[chosen].fenceTerm = 0;
    REQUIRE(runUntil(group, [&] {
        return group.home.primary() == chosen;
    }));
    CHECK(group.termWrites.back().first.witnesses == std::vector{other});
    group.completeTermWrite();
    // It is one again once it is back, as a replica.
    group.downMembers.clear();
    group.statuses[MemberId("m1")].isPrimary = false;
    REQUIRE(runUntil(group, [&] {
        return group.home.isReachable(MemberId("m1"));
    }));
    group.advanceTime(2s);
    group.answerAll();
    group.home.request(group.writeRequest("w1"), group.now);
    CHECK(group.termWrites.back().first.witnesses.size() == 2);
}

TEST_CASE("A home that takes over an unfinished change waits for the lease holders of the old primary", "[grouphomefailover]")
{
    FakeGroup group;
    group.makeHealthy();
    TermRecord record = *group.storedTerm;
    record.generation = 2;
    record.primary = MemberId();
    record.homes = {"c1/1", "b1/1"};
    group.home.termSeen(record, ++group.termRevision, group.now, group.now);
    group.advanceTime(5s);
    REQUIRE(group.termWrites.back().first.generation == 3);
    CHECK(group.termWrites.back().first.homes == std::vector<std::string>{"a1/1", "c1/1", "b1/1"});
    group.completeTermWrite();
    CHECK(group.yieldRequests == std::vector<std::string>{"b1/1", "c1/1"});
}

// Reads of the earlier record may be under way while the next one is written. Taking one for the answer to the write made the home abandon
// its change when the write's own answer came, again and again.
TEST_CASE("A read of a home's earlier unfinished change is not taken for its next one", "[grouphomefailover]")
{
    FakeGroup group;
    group.makeHealthy();
    TermRecord record = *group.storedTerm;
    record.generation = 2;
    record.primary = MemberId();
    record.homes = {"a1/1"};
    group.home.termSeen(record, ++group.termRevision, distantPast, group.now);
    group.home.termWriteFailed(TermWriteFailure::StoreUnavailable, group.now);
    group.advanceTime(5s);
    const std::size_t writes = group.termWrites.size();
    group.advanceTime(5s);
    REQUIRE(group.termWrites.size() > writes);
    REQUIRE(group.termWrites.back().first.generation == 3);
    group.home.termSeen(record, group.termRevision, group.now, group.now);
    group.events.clear();
    group.completeTermWrite();
    CHECK(std::count(group.events.begin(), group.events.end(), "primary-change-abandoned") == 0);
    CHECK(runWithStoreUntil(group, 5s, [&] {
        return !group.promotionOrders.empty() || !group.home.primary().isEmpty();
    }));
}

// Guards against a home that refuses everything for good: another home's write that ended the change was seen while this home was writing
// the next generation, and was stored without being adopted.
TEST_CASE("A change that another home ends while this one takes it over is taken as ended", "[grouphomefailover]")
{
    FakeGroup group;
    group.makeHealthy();
    TermRecord record = *group.storedTerm;
    record.generation = 2;
    record.primary = MemberId();
    record.homes = {"c1/1"};
    group.home.termSeen(record, ++group.termRevision, group.now, group.now);
    group.advanceTime(5s);
    REQUIRE(group.termWrites.back().first.generation == 3); // takes the change over
    record.primary = MemberId("m2");
    record.term = 2;
    group.statuses[MemberId("m1")].isPrimary = false;
    group.statuses[MemberId("m2")] = {true, 2, {2, 10}, 0, 0, 0, 1};
    group.logPositions[MemberId("m2")] = {2, 10};
    SECTION("the write of the next generation fails afterwards")
    {
        group.home.termSeen(record, ++group.termRevision, distantPast, group.now);
        group.home.termWriteFailed(TermWriteFailure::Superseded, group.now);
    }
    SECTION("the write of the next generation is not answered")
    {
        group.home.termSeen(record, ++group.termRevision, distantPast, group.now);
        group.advanceTime(3s);
    }
    CHECK(group.home.primary() == MemberId("m2"));
    group.storedTerm = record;
    const HomeRequest request = group.writeRequest("w1");
    group.home.request(request, group.now);
    REQUIRE(runWithStoreUntil(group, 1s, [&] {
        return group.replyTo(request.number) != nullptr;
    }));
    CHECK(group.replyTo(request.number)->answer.isSuccess());
}

TEST_CASE("A home recognizes the primary whose promotion it ordered, and sends writes to it", "[grouphomefailover]")
{
    FakeGroup group;
    group.makeHealthy();
    crashMember(group, "m1");
    group.home.peersAnswered(MemberId("m1"), 0, 2, group.now);
    group.completeTermWrite();
    REQUIRE(runUntil(group, [&] {
        return !group.promotionOrders.empty();
    }));
    const MemberId chosen = group.promotionOrders.front().first;
    group.home.promotionAnswered(chosen, PromotionResult::Accepted, group.now);
    group.statuses[chosen].isPrimary = true;
    group.statuses[chosen].term = 2;
    group.statuses[chosen].fenceTerm = 0;
    group.logPositions[chosen] = {2, 10};
    REQUIRE(runUntil(group, [&] {
        return group.home.primary() == chosen;
    }));
    group.completeTermWrite();
    const HomeRequest request = group.writeRequest("w1");
    group.home.request(request, group.now);
    REQUIRE(runUntil(group, [&] {
        return group.replyTo(request.number) != nullptr;
    }));
    CHECK(group.replyTo(request.number)->answer.signature == "signed-by-" + chosen.text());
}

TEST_CASE("A primary that peers still reach is not replaced, and new requests are redirected to another home", "[grouphomefailover]")
{
    FakeGroup group;
    group.makeHealthy();
    crashMember(group, "m1");
    group.home.peersAnswered(MemberId("m1"), 1, 1, group.now);
    CHECK(group.termWrites.size() == 1); // the write that listed this home
    const HomeRequest request = group.writeRequest("w1");
    group.home.request(request, group.now);
    REQUIRE(group.replyTo(request.number) != nullptr);
    CHECK(group.replyTo(request.number)->isRedirect);
}

TEST_CASE("A promotion waits until another listed home has yielded its lease or the lease must have expired", "[grouphomefailover]")
{
    FakeGroup group;
    group.makeHealthy();
    group.home.termSeen(TermRecord{ServiceName("orders"), 1, MemberId("m1"), {"a1/1", "b1/1"}}, ++group.termRevision, group.now, group.now);
    crashMember(group, "m1");
    group.home.peersAnswered(MemberId("m1"), 0, 2, group.now);
    group.completeTermWrite();
    const TimePoint writtenAt = group.now;
    REQUIRE(group.yieldRequests == std::vector<std::string>{"b1/1"});

    SECTION("the other home yields its lease")
    {
        group.answerAll();
        group.advanceTime(50ms);
        CHECK(group.promotionOrders.empty());
        group.home.leaseYielded("b1/1", 2, group.now);
        CHECK(group.promotionOrders.size() == 1);
    }
    SECTION("the other home does not answer")
    {
        REQUIRE(runUntil(group, [&] {
            group.home.termSeen(*group.storedTerm, group.termRevision, group.now, group.now);
            return !group.promotionOrders.empty();
        }));
        CHECK(group.now - writtenAt >= GroupHomeLimits().leaseDuration);
    }
}

TEST_CASE("A promotion is ordered only after its own term was read from the store again", "[grouphomefailover]")
{
    FakeGroup group;
    group.makeHealthy();
    group.home.termSeen(TermRecord{ServiceName("orders"), 1, MemberId("m1"), {"a1/1", "b1/1"}}, ++group.termRevision, group.now, group.now);
    crashMember(group, "m1");
    group.home.peersAnswered(MemberId("m1"), 0, 2, group.now);
    group.completeTermWrite();
    group.answerAll();
    // The home is cut off from the store while it waits for the other home's lease to expire.
    const int readsBefore = group.termReads;
    for (int i = 0; i < 300; ++i) {
        group.advanceTime(10ms);
        group.answerAll();
    }
    CHECK(group.promotionOrders.empty());
    CHECK(group.termReads > readsBefore);
    // It then reads a later term, so that it never orders the promotion.
    group.home.termSeen(TermRecord{ServiceName("orders"), 3, MemberId("m2"), {"b1/1"}}, ++group.termRevision, group.now, group.now);
    group.advanceTime(500ms);
    CHECK(group.promotionOrders.empty());
}

TEST_CASE("An answer from the primary is withheld until there is evidence of its term", "[grouphomefailover]")
{
    FakeGroup group;
    group.makeHealthy();
    const HomeRequest request = group.writeRequest("w1");
    group.home.request(request, group.now);
    group.now += 3s; // the process is paused
    const auto pendingWrite = group.pendingCommands.back();
    REQUIRE(pendingWrite.command.statement.id == "w1");
    group.answerNext();
    CHECK(group.replyTo(request.number) == nullptr);
    group.home.termSeen(TermRecord{ServiceName("orders"), 2, MemberId("m2"), {"b1/1"}}, ++group.termRevision, group.now, group.now);
    REQUIRE(group.replyTo(request.number) != nullptr);
    CHECK(group.replyTo(request.number)->answer.error == StatementError::InDoubt);
}

TEST_CASE("A term record without a read time is no evidence of the term", "[grouphomefailover]")
{
    FakeGroup group;
    group.makeHealthy();
    const HomeRequest request = group.writeRequest("w1");
    group.home.request(request, group.now);
    group.now += 3s;
    group.answerNext();
    REQUIRE(group.replyTo(request.number) == nullptr);
    // An event of a watch reports the past, so it may be older than a promotion.
    group.home.termSeen(*group.storedTerm, ++group.termRevision, distantPast, group.now);
    CHECK(group.replyTo(request.number) == nullptr);
    group.home.termSeen(*group.storedTerm, group.termRevision, group.now, group.now);
    REQUIRE(group.replyTo(request.number) != nullptr);
    CHECK(group.replyTo(request.number)->answer.isSuccess());
}

TEST_CASE("A leaving primary is demoted before another member is promoted, and no entry of its log is lost", "[grouphomefailover]")
{
    FakeGroup group;
    group.makeHealthy();
    group.logPositions[MemberId("m1")] = {1, 20};
    group.logPositions[MemberId("m2")] = {1, 15};
    group.logPositions[MemberId("m3")] = {1, 15};
    MemberRecord leaving = FakeGroup::member("m1", true);
    leaving.isLeaving = true;
    group.advanceTime(400ms);
    group.home.membersChanged({leaving, FakeGroup::member("m2", false), FakeGroup::member("m3", false)}, group.now);
    group.advanceTime(20ms);
    REQUIRE(group.termWrites.back().first.generation == 2);
    group.completeTermWrite();
    for (int i = 0; i < 10; ++i) {
        group.answerAll();
        group.advanceTime(10ms);
    }
    CHECK_FALSE(group.statuses[MemberId("m1")].isPrimary);
    CHECK(group.promotionOrders.empty()); // no replica holds the whole log yet
    group.logPositions[MemberId("m2")] = {1, 20};
    REQUIRE(runUntil(group, [&] {
        return !group.promotionOrders.empty();
    }));
    CHECK(group.promotionOrders.front().first == MemberId("m2"));
}

TEST_CASE("A home that cannot write the term leaves the change of primary to another home", "[grouphomefailover]")
{
    FakeGroup group;
    group.makeHealthy();
    crashMember(group, "m1");
    const HomeRequest heldRequest = group.writeRequest("w1");
    group.home.request(heldRequest, group.now);
    group.home.peersAnswered(MemberId("m1"), 0, 2, group.now);
    group.home.termWriteFailed(TermWriteFailure::StoreUnavailable, group.now);
    REQUIRE(group.replyTo(heldRequest.number) != nullptr);
    CHECK(group.replyTo(heldRequest.number)->isRedirect);
    const HomeRequest laterRequest = group.writeRequest("w2");
    group.home.request(laterRequest, group.now);
    REQUIRE(group.replyTo(laterRequest.number) != nullptr);
    CHECK(group.replyTo(laterRequest.number)->isRedirect);
    const std::size_t writesBefore = group.termWrites.size();
    runUntil(group, [] {
        return false; // runs for two seconds
    });
    CHECK(group.termWrites.size() <= writesBefore + 1); // later attempts back off
}

TEST_CASE("A home whose term write lost to another home's write does not redirect its requests", "[grouphomefailover]")
{
    FakeGroup group;
    group.makeHealthy();
    crashMember(group, "m1");
    group.home.peersAnswered(MemberId("m1"), 0, 2, group.now);
    TermRecord other = *group.storedTerm;
    other.homes.push_back("b1/1");
    group.home.termSeen(other, ++group.termRevision, group.now, group.now);
    group.home.termWriteFailed(TermWriteFailure::Superseded, group.now);
    const HomeRequest request = group.writeRequest("w1");
    group.home.request(request, group.now);
    CHECK(group.replyTo(request.number) == nullptr);
}

namespace
{

/// Lets the members register and be reached, and the store show that there is no term record. No request comes.
void startWithoutRequests(FakeGroup &group)
{
    group.statuses[MemberId("m1")].isPrimary = true;
    for (const char *id : {"m1", "m2", "m3"}) {
        group.logPositions[MemberId(id)] = {1, 10};
    }
    group.home.termSeen(std::nullopt, 0, group.now, group.now);
    group.advanceTime(20ms);
    group.answerAll();
}

/// Runs the group with a store that accepts all writes, until `isDone` or for at most `time`. The members in `silent` are connected but
/// do not answer.
template<typename Condition>
bool runGroup(FakeGroup &group, Duration time, const std::set<MemberId> &silent, Condition isDone)
{
    for (Duration elapsed{}; elapsed < time && !isDone(); elapsed += 10ms) {
        for (;;) {
            group.finishConnecting();
            const auto next
                = std::find_if(group.pendingCommands.begin(), group.pendingCommands.end(), [&](const FakeGroup::SentCommand &each) {
                      return !silent.contains(group.connectionMembers.at(each.connection));
                  });
            if (next == group.pendingCommands.end()) {
                break;
            }
            std::rotate(group.pendingCommands.begin(), next, std::next(next));
            group.answerNext();
        }
        if (group.termWrites.size() > group.completedTermWrites) {
            group.completeTermWrite();
        } else if (group.storedTerm) {
            group.home.termSeen(group.storedTerm, group.termRevision, group.now, group.now);
        }
        group.advanceTime(10ms);
    }
    return isDone();
}

void completePromotion(FakeGroup &group)
{
    const MemberId chosen = group.promotionOrders.back().first;
    group.home.promotionAnswered(chosen, PromotionResult::Accepted, group.now);
    ReplicationStatus &status = group.statuses[chosen];
    status.isPrimary = true;
    status.fenceTerm = 0;
    ++status.term;
    group.logPositions[chosen] = {status.term, group.logPositions[chosen].position};
}

} // namespace

// Guards against a service that never gets a primary: only a statement led to the term record without which no change of primary begins.
TEST_CASE("A primary that is lost before the first statement is replaced", "[grouphomefailover]")
{
    FakeGroup group;
    startWithoutRequests(group);
    const auto isOrdered = [&] {
        return !group.promotionOrders.empty();
    };
    SECTION("it is lost after its term record was written")
    {
        runGroup(group, 4s, {}, isOrdered);
        REQUIRE(group.home.primary() == MemberId("m1"));
        crashMember(group, "m1");
        group.home.peersAnswered(MemberId("m1"), 0, 2, group.now);
    }
    SECTION("its registration ends before the instance is settled")
    {
        crashMember(group, "m1");
        group.home.membersChanged({FakeGroup::member("m2", false), FakeGroup::member("m3", false)}, group.now);
    }
    REQUIRE(runGroup(group, 12s, {}, isOrdered));
    completePromotion(group);
    REQUIRE(runGroup(group, 2s, {}, [&] {
        return !group.home.primary().isEmpty();
    }));
    CHECK(group.home.primary() == group.promotionOrders.back().first);
    const HomeRequest late = group.writeRequest("w1");
    group.home.request(late, group.now);
    REQUIRE(runGroup(group, 1s, {}, [&] {
        return group.replyTo(late.number) != nullptr;
    }));
    CHECK(group.replyTo(late.number)->answer.isSuccess());
}

// Guards against a promotion in a deployment that starts: replicas may register before their primary.
TEST_CASE("A primary that registers some seconds after its replicas is not replaced", "[grouphomefailover]")
{
    FakeGroup group;
    group.home.membersChanged({FakeGroup::member("m2", false), FakeGroup::member("m3", false)}, group.now);
    startWithoutRequests(group);
    runGroup(group, 5s, {}, [] {
        return false;
    });
    CHECK(group.termWrites.empty());
    group.home.membersChanged({FakeGroup::member("m1", true), FakeGroup::member("m2", false), FakeGroup::member("m3", false)}, group.now);
    runGroup(group, 10s, {}, [] {
        return false;
    });
    CHECK(group.home.primary() == MemberId("m1"));
    CHECK(group.promotionOrders.empty());
}

namespace
{

/// Sends a write every 1.5 s.
void runUnderLoad(FakeGroup &group, Duration time, const std::set<MemberId> &silent = {})
{
    for (Duration elapsed{}; elapsed < time; elapsed += 1500ms) {
        group.home.request(group.writeRequest("w"), group.now);
        runGroup(group, 1500ms, silent, [] {
            return false;
        });
    }
}

const MemberId incomplete("m2");
const MemberId complete("m3");

/// A group in which commits are acknowledged once `synchronousReplicas` replicas have them. Its primary crashes; m3 has all commits, and
/// m2 lacks some.
class SynchronousGroup : public FakeGroup
{
public:
    explicit SynchronousGroup(std::uint32_t synchronousReplicas)
    {
        GroupHomeLimits limits;
        limits.synchronousReplicas = synchronousReplicas;
        home.setLimits(limits);
        makeHealthy();
        logPositions[MemberId("m1")] = {1, 20};
        logPositions[complete] = {1, 20};
    }
    void losePrimary()
    {
        crashMember(*this, "m1");
        home.peersAnswered(MemberId("m1"), 0, 2, now);
        completeTermWrite();
    }
    void runUnderLoad(Duration time)
    {
        test::runUnderLoad(*this, time, silentMembers);
    }
    /// The member receives commits, but neither answers this home nor accepts its connections.
    void cutOff(const MemberId &id)
    {
        silentMembers.insert(id);
        unreachableMembers.insert(id);
    }
    void reconnect(const MemberId &id)
    {
        silentMembers.erase(id);
        unreachableMembers.erase(id);
    }
    bool runUntilOrdered(Duration time, const std::set<MemberId> &silent)
    {
        return runGroup(*this, time, silent, [&] {
            return !promotionOrders.empty();
        });
    }

    std::set<MemberId> silentMembers;
};

} // namespace

// Guards against the loss of acknowledged commits: the best of the replicas that had answered within 500 ms was promoted.
TEST_CASE("With a synchronous replica, no promotion is ordered before the replica that may hold acknowledged commits has answered",
          "[grouphomefailover]")
{
    SynchronousGroup group(1);
    group.losePrimary();
    REQUIRE_FALSE(group.runUntilOrdered(2s, {complete}));
    REQUIRE(group.runUntilOrdered(1s, {}));
    CHECK(group.promotionOrders.back().first == complete);
}

TEST_CASE("Without synchronous replicas, a promotion does not wait for a replica that does not answer", "[grouphomefailover]")
{
    SynchronousGroup group(0);
    group.losePrimary();
    REQUIRE(group.runUntilOrdered(1s, {complete}));
    CHECK(group.promotionOrders.back().first == incomplete);
}

TEST_CASE("If each commit is at all replicas, any one of them may be promoted", "[grouphomefailover]")
{
    SynchronousGroup group(2);
    group.losePrimary();
    CHECK(group.runUntilOrdered(1s, {complete}));
}

TEST_CASE("Of three replicas, as many must have answered as show every commit", "[grouphomefailover]")
{
    const auto replicas = GENERATE(1U, 2U);
    SynchronousGroup group(replicas);
    group.home.membersChanged(
        {FakeGroup::member("m1", true), FakeGroup::member("m2", false), FakeGroup::member("m3", false), FakeGroup::member("m4", false)},
        group.now);
    group.logPositions[MemberId("m4")] = {1, 10};
    group.advanceTime(20ms);
    group.answerAll();
    group.losePrimary();
    const bool isEnough = replicas == 2;
    CHECK(group.runUntilOrdered(2s, {complete}) == isEnough);
}

// Guards against the loss of commits that a replica received after a restart had lifted its fence, and that another home acknowledged
// under its lease.
TEST_CASE("The replicas are asked again after all leases have ended", "[grouphomefailover]")
{
    SynchronousGroup group(1);
    group.logPositions[incomplete] = {1, 20};
    TermRecord record = *group.storedTerm;
    record.homes.emplace_back("b1/1");
    group.home.termSeen(record, ++group.termRevision, group.now, group.now);
    group.losePrimary();
    REQUIRE_FALSE(group.runUntilOrdered(1s, {}));
    group.statuses[complete].fenceTerm = 0;
    group.logPositions[complete] = {1, 25};
    REQUIRE(group.runUntilOrdered(10s, {}));
    CHECK(group.promotionOrders.back().first == complete);
}

// Guards against a promotion that loses commits once the only replica that holds them is no longer registered.
TEST_CASE("A replica that may hold acknowledged commits is awaited also after it has left the group", "[grouphomefailover]")
{
    SynchronousGroup group(1);
    crashMember(group, "m3");
    group.losePrimary();
    group.home.membersChanged({FakeGroup::member("m2", false)}, group.now);
    CHECK_FALSE(group.runUntilOrdered(30s, {}));
    SECTION("until it is back")
    {
        group.downMembers.erase(complete);
        group.home.membersChanged({FakeGroup::member("m2", false), FakeGroup::member("m3", false)}, group.now);
        REQUIRE(group.runUntilOrdered(10s, {}));
        CHECK(group.promotionOrders.back().first == complete);
    }
    SECTION("or until the old primary is back")
    {
        group.downMembers.erase(MemberId("m1"));
        group.home.membersChanged({FakeGroup::member("m1", true), FakeGroup::member("m2", false)}, group.now);
        REQUIRE(runGroup(group, 15s, {}, [&] {
            return group.home.primary() == MemberId("m1") || !group.promotionOrders.empty();
        }));
        CHECK((group.promotionOrders.empty() || group.promotionOrders.back().first == MemberId("m1")));
    }
}

namespace
{

MemberRecord laterRun(const std::string &id)
{
    MemberRecord record = FakeGroup::member(id, false);
    record.incarnation = 2;
    return record;
}

} // namespace

// Guards against the loss of commits that only the earlier run of a member had: the report of the run without a log counted for it.
TEST_CASE("A replica that started again without its log has not reported for its earlier run", "[grouphomefailover]")
{
    SynchronousGroup group(1);
    const bool isBeforePrimaryFails = GENERATE(true, false);
    crashMember(group, "m3");
    if (!isBeforePrimaryFails) {
        group.losePrimary();
        REQUIRE_FALSE(group.runUntilOrdered(500ms, {}));
    }
    group.downMembers.erase(complete);
    group.logPositions[complete] = {0, 0};
    group.statuses[complete] = {};
    group.home.membersChanged({FakeGroup::member("m1", true), FakeGroup::member("m2", false), laterRun("m3")}, group.now);
    group.finishConnecting();
    if (isBeforePrimaryFails) {
        group.losePrimary();
    }
    CHECK_FALSE(group.runUntilOrdered(20s, {}));
    // The old primary comes back with its log.
    group.downMembers.erase(MemberId("m1"));
    REQUIRE(runGroup(group, 15s, {}, [&] {
        return group.home.primary() == MemberId("m1") || !group.promotionOrders.empty();
    }));
    CHECK((group.promotionOrders.empty() || group.promotionOrders.back().first == MemberId("m1")));
}

// Guards against the same before the member's registration shows that it has started again.
TEST_CASE("A replica that reports less than before has not reported for its earlier run", "[grouphomefailover]")
{
    SynchronousGroup group(1);
    runUnderLoad(group, 1500ms); // the home has seen what m3 received
    crashMember(group, "m3");
    group.losePrimary();
    group.downMembers.erase(complete);
    group.logPositions[complete] = {1, 5};
    group.statuses[complete] = {};
    CHECK_FALSE(group.runUntilOrdered(20s, {}));
}

// Guards against a wait for a run whose commits the others have.
TEST_CASE("A replica that started again is not awaited once the replicas have caught up with the primary", "[grouphomefailover]")
{
    SynchronousGroup group(1);
    crashMember(group, "m3");
    group.downMembers.erase(complete);
    group.logPositions[complete] = {1, 5};
    group.statuses[complete] = {};
    group.home.membersChanged({FakeGroup::member("m1", true), FakeGroup::member("m2", false), laterRun("m3")}, group.now);
    const bool isCaughtUp = GENERATE(false, true);
    if (isCaughtUp) {
        group.logPositions[complete] = {1, 20};
    }
    group.runUnderLoad(3s);
    group.losePrimary();
    CHECK(group.runUntilOrdered(5s, {}) == isCaughtUp);
}

// Guards against the promotion of a member whose log is gone: the position that its earlier run had reported stayed the highest.
TEST_CASE("A candidate that starts again without its log is not promoted for what its earlier run had reported", "[grouphomefailover]")
{
    const auto synchronousReplicas = GENERATE(0U, 1U);
    SynchronousGroup group(synchronousReplicas);
    group.logPositions[incomplete] = {1, 20};
    group.logPositions[complete] = {1, 25};
    TermRecord record = *group.storedTerm;
    record.homes.emplace_back("b1/1"); // its lease is awaited once the candidate has been chosen
    group.home.termSeen(record, ++group.termRevision, group.now, group.now);
    group.losePrimary();
    REQUIRE_FALSE(group.runUntilOrdered(1s, {}));
    group.logPositions[complete] = {0, 0};
    group.statuses[complete] = {};
    crashMember(group, "m3");
    group.downMembers.erase(complete);
    group.home.membersChanged({FakeGroup::member("m2", false), laterRun("m3")}, group.now);
    const bool isOrdered = group.runUntilOrdered(20s, {});
    CHECK(isOrdered == (synchronousReplicas == 0));
    CHECK((group.promotionOrders.empty() || group.promotionOrders.back().first == incomplete));
}

// Guards against two primaries: a home that had been paused relied on a fence that the candidate had lost with a restart meanwhile.
TEST_CASE("A promotion is not ordered if the candidate has lost its fence since it was chosen", "[grouphomefailover]")
{
    SynchronousGroup group(0);
    group.logPositions[incomplete] = {1, 19};
    TermRecord record = *group.storedTerm;
    record.homes.emplace_back("b1/1");
    group.home.termSeen(record, ++group.termRevision, group.now, group.now);
    group.losePrimary();
    REQUIRE_FALSE(group.runUntilOrdered(1s, {})); // m3 is chosen, and the other home's lease is awaited
    group.now += 5s; // the process is paused
    group.home.paused(5s);
    group.statuses[complete].fenceTerm = 0;
    group.home.termSeen(group.storedTerm, group.termRevision, group.now, group.now);
    group.home.tick(group.now);
    CHECK(group.promotionOrders.empty());
    REQUIRE(group.runUntilOrdered(10s, {}));
    CHECK(group.statuses[group.promotionOrders.back().first].fenceTerm != 0);
}

// Guards against a promotion that trusts an old primary without its log: the position that it had shown was forgotten with its restart.
TEST_CASE("An old primary that started again without its log shows nothing about acknowledged commits", "[grouphomefailover]")
{
    SynchronousGroup group(1);
    crashMember(group, "m3");
    group.losePrimary();
    group.downMembers.erase(MemberId("m1"));
    group.logPositions[MemberId("m1")] = {1, 0};
    group.statuses[MemberId("m1")] = {};
    MemberRecord restarted = laterRun("m1");
    group.home.membersChanged({restarted, FakeGroup::member("m2", false), FakeGroup::member("m3", false)}, group.now);
    CHECK_FALSE(group.runUntilOrdered(20s, {}));
}

// Guards against a group that stays without a primary for good.
TEST_CASE("A group whose only holder of acknowledged commits is gone for good gets a primary after a limited wait", "[grouphomefailover]")
{
    SynchronousGroup group(1);
    const bool hasCrashed = GENERATE(true, false);
    if (hasCrashed) {
        crashMember(group, "m3");
    } else {
        group.cutOff(complete);
    }
    group.losePrimary();
    group.home.membersChanged({FakeGroup::member("m2", false)}, group.now);
    CHECK_FALSE(group.runUntilOrdered(DepartedRuns::timeout, group.silentMembers));
    REQUIRE(group.runUntilOrdered(15s, group.silentMembers));
    CHECK(group.promotionOrders.back().first == incomplete);
    CHECK(std::count(group.events.begin(), group.events.end(), "holder-forgotten") == 1);
}

// Guards against the loss of commits of a member that is only slow: a registration that is renewed shows that it runs.
TEST_CASE("A registered replica is awaited beyond the limited wait", "[grouphomefailover]")
{
    SynchronousGroup group(1);
    group.cutOff(complete);
    group.losePrimary();
    CHECK_FALSE(group.runUntilOrdered(2 * DepartedRuns::timeout, group.silentMembers));
    group.reconnect(complete);
    REQUIRE(group.runUntilOrdered(10s, {}));
    CHECK(group.promotionOrders.back().first == complete);
}

TEST_CASE("A registered old primary is awaited beyond the limited wait", "[grouphomefailover]")
{
    SynchronousGroup group(1);
    crashMember(group, "m3");
    group.losePrimary();
    group.home.membersChanged({FakeGroup::member("m1", true), FakeGroup::member("m2", false)}, group.now);
    CHECK_FALSE(group.runUntilOrdered(2 * DepartedRuns::timeout, {}));
}

// Guards against a change that waits for a member that was taken out of the group long ago.
TEST_CASE("A replica that left while the primary was up is not awaited once another one has caught up", "[grouphomefailover]")
{
    SynchronousGroup group(1);
    crashMember(group, "m3");
    group.home.membersChanged({FakeGroup::member("m1", true), FakeGroup::member("m2", false)}, group.now);
    group.runUnderLoad(7500ms);
    const bool isCaughtUp = GENERATE(false, true);
    if (isCaughtUp) {
        group.logPositions[incomplete] = {1, 20};
    }
    group.runUnderLoad(7500ms);
    group.losePrimary();
    CHECK(group.runUntilOrdered(5s, {}) == isCaughtUp);
}

// Guards against the loss of commits that a replica received after it was out of this home's sight: it was forgotten as soon as the other
// replica had received what the primary had when it disappeared.
TEST_CASE("A replica that cannot be reached is awaited although another one had caught up when it disappeared", "[grouphomefailover]")
{
    SynchronousGroup group(1);
    group.cutOff(complete);
    group.home.membersChanged({FakeGroup::member("m1", true), FakeGroup::member("m2", false)}, group.now);
    group.logPositions[incomplete] = {1, 20};
    group.runUnderLoad(9s);
    group.logPositions[MemberId("m1")] = {1, 30};
    group.logPositions[complete] = {1, 30};
    group.losePrimary();
    REQUIRE_FALSE(group.runUntilOrdered(12s, group.silentMembers));
    group.reconnect(complete);
    group.home.membersChanged({FakeGroup::member("m2", false), FakeGroup::member("m3", false)}, group.now);
    REQUIRE(group.runUntilOrdered(10s, {}));
    CHECK(group.promotionOrders.back().first == complete);
}

// Guards against the same loss by a home that has started since: only the term record tells it of the replica.
TEST_CASE("A replica that only the term record names is awaited", "[grouphomefailover]")
{
    FakeGroup group({FakeGroup::member("m1", true), FakeGroup::member("m2", false)});
    GroupHomeLimits limits;
    limits.synchronousReplicas = 1;
    group.home.setLimits(limits);
    group.statuses[MemberId("m1")].isPrimary = true;
    group.logPositions = {{MemberId("m1"), {1, 20}}, {MemberId("m2"), {1, 20}}};
    group.storedTerm = TermRecord{ServiceName("orders"), 1, MemberId("m1"), {"a1/0"}, 1, {MemberId("m2"), MemberId("m3")}};
    group.home.termSeen(group.storedTerm, group.storeRevision(), group.now, group.now);
    runUnderLoad(group, 9s);
    CHECK(group.storedTerm->witnesses == std::vector{MemberId("m2"), MemberId("m3")});
    crashMember(group, "m1");
    group.home.peersAnswered(MemberId("m1"), 0, 2, group.now);
    group.completeTermWrite();
    CHECK_FALSE(runGroup(group, 12s, {}, [&] {
        return !group.promotionOrders.empty();
    }));
}

namespace
{

/// Crashes the primary, and goes on until the promotion of a replica has been ordered. Returns the replica.
MemberId orderPromotion(FakeGroup &group)
{
    group.makeHealthy();
    crashMember(group, "m1");
    group.home.peersAnswered(MemberId("m1"), 0, 2, group.now);
    group.completeTermWrite();
    REQUIRE(runUntil(group, [&] {
        return !group.promotionOrders.empty();
    }));
    return group.promotionOrders.front().first;
}

void makePrimary(FakeGroup &group, const MemberId &id)
{
    group.statuses[id].isPrimary = true;
    group.statuses[id].term = 2;
    group.statuses[id].fenceTerm = 0;
}

} // namespace

// Guards against answers of a replaced primary at a home that has given up its lease for a later change of primary.
TEST_CASE("A home that yields its lease does not complete its change of primary", "[grouphomefailover]")
{
    FakeGroup group;
    const MemberId chosen = orderPromotion(group);
    group.home.promotionAnswered(chosen, PromotionResult::Accepted, group.now);
    REQUIRE(group.home.yieldLease(3, group.now));
    makePrimary(group, chosen);
    const std::size_t writes = group.termWrites.size();
    group.advanceTime(500ms);
    group.answerAll();
    CHECK(group.home.primary().isEmpty());
    CHECK(group.termWrites.size() == writes);
}

// Guards against a lease that rests on a read of the term record that the store never answered.
TEST_CASE("A home that completes a change of primary has evidence from the last answered read of the term record", "[grouphomefailover]")
{
    FakeGroup group;
    const MemberId chosen = orderPromotion(group);
    // The platform's answer is late, and the store does not answer any more. Before the order is repeated, the home reads the record.
    const int reads = group.termReads;
    group.home.promotionAnswered(chosen, PromotionResult::Unavailable, group.now);
    for (int i = 0; i < 14; ++i) {
        group.advanceTime(100ms);
        group.answerAll();
    }
    REQUIRE(group.termReads > reads);
    group.home.promotionAnswered(chosen, PromotionResult::Accepted, group.now);
    makePrimary(group, chosen);
    REQUIRE(runUntil(group, [&] {
        return group.home.primary() == chosen;
    }));
    const HomeRequest request = group.writeRequest("w1");
    group.home.request(request, group.now);
    group.answerAll();
    CHECK(group.replyTo(request.number) == nullptr);
    group.completeTermWrite();
    REQUIRE(runUntil(group, [&] {
        return group.replyTo(request.number) != nullptr;
    }));
    CHECK(group.replyTo(request.number)->answer.signature == "signed-by-" + chosen.text());
}

namespace
{

constexpr Duration leaseTime = GroupHomeLimits().leaseDuration + GroupHomeLimits().leaseMargin;

/// A group whose replica m2 has joined just now.
std::vector<MemberRecord> groupWithNewReplica()
{
    std::vector<MemberRecord> members{FakeGroup::member("m1", true), FakeGroup::member("m2", false), FakeGroup::member("m3", false)};
    members[1].knownSince = TimePoint(1000s);
    return members;
}

/// Crashes the primary. The store takes the new term, and no other home is listed.
void crashPrimary(FakeGroup &group)
{
    crashMember(group, "m1");
    group.home.peersAnswered(MemberId("m1"), 0, 2, group.now);
    group.completeTermWrite();
}

bool isOrdered(const FakeGroup &group, const char *id)
{
    return !group.promotionOrders.empty() && group.promotionOrders.back().first == MemberId(id);
}

} // namespace

TEST_CASE("Among equals, a replica that every home knows is promoted", "[grouphomefailover]")
{
    FakeGroup group(groupWithNewReplica());
    group.makeHealthy();
    crashPrimary(group);
    REQUIRE(runWithStoreUntil(group, 2s, [&] {
        return !group.promotionOrders.empty();
    }));
    CHECK(isOrdered(group, "m3"));
}

// Guards against stale reads at a home that is cut off and has not heard of the promoted replica: the word of the others is its evidence.
TEST_CASE("After the promotion of a new replica, one that every home knows stays fenced until all know the new one", "[grouphomefailover]")
{
    FakeGroup group(groupWithNewReplica());
    group.makeHealthy();
    group.logPositions[MemberId("m2")] = {1, 12};
    crashPrimary(group);
    REQUIRE(runWithStoreUntil(group, 2s, [&] {
        return isOrdered(group, "m2");
    }));
    group.statuses[MemberId("m2")].isPrimary = true;
    group.statuses[MemberId("m2")].term = 2;
    group.statuses[MemberId("m2")].fenceTerm = 0;
    group.home.promotionAnswered(MemberId("m2"), PromotionResult::Accepted, group.now);
    REQUIRE(runUntil(group, [&] {
        return group.home.primary() == MemberId("m2");
    }));
    group.completeTermWrite();
    // The replica's fence does not speak against the new primary.
    group.advanceTime(500ms);
    group.answerAll();
    const HomeRequest request = group.writeRequest("w1");
    group.home.request(request, group.now);
    group.answerAll();
    REQUIRE(group.replyTo(request.number) != nullptr);
    CHECK(group.replyTo(request.number)->answer.signature == "signed-by-m2");
    const TimePoint knownToAllAt = TimePoint(1000s) + PrimaryLease::memberListTerm + leaseTime;
    const auto isResumed = [&] {
        return group.statuses[MemberId("m3")].fenceTerm == 0;
    };
    CHECK_FALSE(runWithStoreUntil(group, knownToAllAt - group.now - 100ms, isResumed));
    CHECK(runWithStoreUntil(group, 2s, isResumed));
}

TEST_CASE("A new replica is not promoted before every home knows it if no other replica can be fenced", "[grouphomefailover]")
{
    FakeGroup group(groupWithNewReplica());
    group.makeHealthy();
    crashMember(group, "m3");
    crashPrimary(group);
    const TimePoint knownToAllAt = TimePoint(1000s) + PrimaryLease::memberListTerm + leaseTime;
    const auto isAnyOrdered = [&] {
        return !group.promotionOrders.empty();
    };
    CHECK_FALSE(runWithStoreUntil(group, knownToAllAt - group.now - 100ms, isAnyOrdered));
    CHECK(runWithStoreUntil(group, 2s, isAnyOrdered));
}

// Guards against a long wait in a group whose members have all joined lately: no home knows only others than the first one.
TEST_CASE("A new replica that joined before all others is promoted at once", "[grouphomefailover]")
{
    std::vector<MemberRecord> members = groupWithNewReplica();
    members[0].knownSince = members[1].knownSince;
    members[2].knownSince = members[1].knownSince + 10ms;
    FakeGroup group(members);
    group.makeHealthy();
    const bool isOtherReplicaDown = GENERATE(false, true);
    if (isOtherReplicaDown) {
        crashMember(group, "m3");
    }
    crashPrimary(group);
    REQUIRE(runWithStoreUntil(group, 2s, [&] {
        return !group.promotionOrders.empty();
    }));
    CHECK(isOrdered(group, "m2"));
    CHECK(std::find(group.events.begin(), group.events.end(), "fence-held") == group.events.end());
}

} // namespace rattanbeam::decisions::session::test
