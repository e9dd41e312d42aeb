#include "fakegroup.h"

#include <catch2/catch.hpp>

// The store comes back from an older copy, in a new epoch.
namespace rattanbeam::decisions::session::test
{

namespace
{

const MemberId m1("m1");
const MemberId m2("m2");
const MemberId m3("m3");

void runFor(FakeGroup &group, Duration time)
{
    for (Duration elapsed{}; elapsed < time; elapsed += 10ms) {
        group.answerAll();
        group.advanceTime(10ms);
    }
}

void crashMember(FakeGroup &group, const MemberId &id)
{
    group.downMembers.insert(id);
    for (const auto &[connection, owner] : std::map(group.connectionMembers)) {
        if (owner == id) {
            group.home.connectionFailed(connection, ConnectFailure::Lost, group.now);
        }
    }
    group.finishConnecting();
}

/// Answers the store's reads with its record while time passes, as a store that is up does.
void runWithStore(FakeGroup &group, Duration time)
{
    int reads = group.termReads;
    for (Duration elapsed{}; elapsed < time; elapsed += 10ms) {
        group.advanceTime(10ms);
        group.answerAll();
        if (std::exchange(reads, group.termReads) != group.termReads) {
            group.home.termSeen(group.storedTerm, group.storeRevision(), group.now, group.now);
        }
    }
}

/// Has the group replace its crashed primary, up to the order of promotion.
void orderPromotion(FakeGroup &group)
{
    crashMember(group, m1);
    group.home.peersAnswered(m1, 0, 2, group.now);
    group.completeTermWrite();
    for (int i = 0; i < 300 && group.promotionOrders.empty(); ++i) {
        runWithStore(group, 10ms);
    }
    REQUIRE_FALSE(group.promotionOrders.empty());
}

void completePromotion(FakeGroup &group)
{
    const MemberId candidate = group.promotionOrders.back().first;
    group.home.promotionAnswered(candidate, PromotionResult::Accepted, group.now);
    group.statuses[candidate].isPrimary = true;
    group.statuses[candidate].fenceTerm = 0;
    group.statuses[candidate].term = 2;
    for (int i = 0; i < 100 && group.home.primary() != candidate; ++i) {
        runFor(group, 10ms);
    }
    REQUIRE(group.home.primary() == candidate);
}

TermRecord term(std::uint64_t generation, const MemberId &primary, std::vector<std::string> homes = {})
{
    return {ServiceName("orders"), generation, primary, std::move(homes), 1};
}

} // namespace

// Without the record, another home could start a change of primary without waiting for this home's lease.
TEST_CASE("A home that holds its lease writes a lost term record again and goes on serving", "[grouphomeepoch]")
{
    FakeGroup group;
    group.makeHealthy();
    const std::size_t writes = group.termWrites.size();
    group.restoreStore(std::nullopt, 3);
    const RequestNumber open = group.lastRequest + 1;
    group.home.request(group.writeRequest("under way"), group.now);
    runFor(group, 300ms);
    CHECK(group.termWrites.size() == writes); // an order that rests on a lost record may still be on its way
    runFor(group, 700ms);
    REQUIRE(group.termWrites.size() > writes);
    const auto [record, expected] = group.termWrites.back();
    CHECK(expected == 0);
    CHECK(record.primary == m1);
    CHECK(record.generation > firstOfStoreEpoch(1));
    CHECK(record.homes.front() == "a1/1");
    REQUIRE(group.replyTo(open) != nullptr);
    CHECK(group.replyTo(open)->answer.isSuccess());
    const RequestNumber spanning = group.lastRequest + 1;
    group.home.request(group.writeRequest("spanning"), group.now);
    group.completeTermWrite();
    group.answerAll();
    REQUIRE(group.replyTo(spanning) != nullptr);
    CHECK(group.replyTo(spanning)->answer.isSuccess());
    CHECK(group.timesSent("spanning") == 1);
}

// A home that does not know of the epoch may send an order up to 400 ms after its last read of the record.
TEST_CASE("A term record is not written again before all orders that rest on a lost record were sent", "[grouphomeepoch]")
{
    const auto offset = GENERATE(range(0, 400, 40)); // since the members were asked for their status
    FakeGroup group;
    group.makeHealthy();
    runFor(group, std::chrono::milliseconds(offset));
    const std::size_t writes = group.termWrites.size();
    group.restoreStore(std::nullopt, 3);
    runFor(group, 390ms);
    CHECK(group.termWrites.size() == writes);
    runFor(group, 600ms);
    CHECK(group.termWrites.size() > writes);
}

// A home that is cut off from the store does not know whether the store still lists it, so that a change of primary may not wait for it.
TEST_CASE("A lease counts as listed for a limited time after a read of the record", "[grouphomeepoch]")
{
    PrimaryLease lease(1350ms);
    const TimePoint readAt{1000s};
    lease.restart(1, true, {m2});
    lease.limitListing();
    lease.termRecordRead(1, true, readAt);
    lease.memberListConfirmed(readAt);
    const TimePoint answeredAt = readAt + PrimaryLease::witnessTerm - 100ms;
    lease.replicaConfirmed(m2, {answeredAt - 50ms, readAt, answeredAt});
    CHECK(lease.covers(answeredAt, answeredAt));
    CHECK_FALSE(lease.covers(answeredAt + 200ms, answeredAt + 200ms));
    lease.replicaConfirmed(m2, {answeredAt + 300ms, readAt, answeredAt + 310ms});
    CHECK(lease.covers(answeredAt + 200ms, answeredAt + 400ms)); // the replicas' word is later than the answer
}

// The record of an earlier promotion is all that tells who led since: the restored one names the primary before it.
TEST_CASE("A restored record never brings back a primary that was replaced", "[grouphomeepoch]")
{
    FakeGroup group;
    group.makeHealthy();
    const auto before = group.storedTerm;
    orderPromotion(group);
    completePromotion(group);
    const MemberId leader = group.home.primary();
    group.completeTermWrite();
    group.downMembers.clear();
    group.statuses[m1].isPrimary = false;
    runWithStore(group, 1s);
    const std::uint64_t known = group.storedTerm->generation;
    group.restoreStore(before, 8);
    CHECK(group.home.primary() == leader);
    runWithStore(group, 1500ms);
    const auto [record, expected] = group.termWrites.back();
    CHECK(record.primary == leader);
    CHECK(record.generation > known);
    CHECK(expected == group.storeRevision());
}

TEST_CASE("Nothing is promoted before the term record was read in the store's new epoch", "[grouphomeepoch]")
{
    FakeGroup group;
    group.makeHealthy();
    const std::size_t writes = group.termWrites.size();
    group.home.storeEpochChanged(1, group.now, group.now);
    crashMember(group, m1);
    group.home.peersAnswered(m1, 0, 2, group.now);
    runFor(group, 6s);
    CHECK(group.termWrites.size() == writes);
    CHECK(group.promotionOrders.empty());
    CHECK(group.termReads > 0);
}

// The platform refuses or, worse, accepts an order whose token is lower than that of an order before it.
TEST_CASE("Fencing tokens rise although the store's revisions go back", "[grouphomeepoch]")
{
    FakeGroup group;
    group.makeHealthy();
    orderPromotion(group);
    const std::uint64_t earlier = group.promotionOrders.back().second;
    group.promotionOrders.clear();
    group.restoreStore(std::nullopt, 1);
    for (int i = 0; i < 2000 && group.promotionOrders.empty(); ++i) {
        runWithStore(group, 10ms);
        if (group.termWrites.back().first != group.storedTerm
            && group.termWrites.back().second == (group.storedTerm ? group.storeRevision() : 0)) {
            group.completeTermWrite();
        }
    }
    REQUIRE_FALSE(group.promotionOrders.empty());
    CHECK(group.promotionOrders.back().second > earlier);
}

// Another home may begin a change in the new epoch without knowing of this one.
TEST_CASE("A change of primary ends in each of its stages when the store's epoch changes", "[grouphomeepoch]")
{
    FakeGroup group;
    group.makeHealthy();
    SECTION("while peers are asked")
    {
        crashMember(group, m1);
    }
    SECTION("while the term record is written")
    {
        crashMember(group, m1);
        group.home.peersAnswered(m1, 0, 2, group.now);
    }
    SECTION("while replicas are fenced")
    {
        crashMember(group, m1);
        group.home.peersAnswered(m1, 0, 2, group.now);
        group.completeTermWrite();
    }
    SECTION("while the promotion is ordered")
    {
        orderPromotion(group);
    }
    SECTION("while the candidate is to lead")
    {
        orderPromotion(group);
        group.home.promotionAnswered(group.promotionOrders.back().first, PromotionResult::Accepted, group.now);
    }
    group.promotionOrders.clear();
    const std::size_t writes = group.termWrites.size();
    group.home.storeEpochChanged(1, group.now, group.now);
    CHECK(group.events.back() == "primary-change-abandoned");
    runFor(group, 5s);
    CHECK(group.promotionOrders.empty());
    CHECK(group.termWrites.size() == writes);
}

// A promotion in the lost seconds: the restored record names the primary before it, and nobody is left who knows better.
TEST_CASE("A home that knows nothing finds the member that leads instead of the one that a restored record names", "[grouphomeepoch]")
{
    FakeGroup group;
    group.statuses[m1] = {true, 1, {1, 10}, 0, 0, 0, 1};
    group.statuses[m2] = {true, 2, {2, 12}, 0, 0, 0, 1};
    group.statuses[m3] = {false, 2, {2, 12}, 0, 0, 0, 1};
    for (const MemberId &id : {m1, m2, m3}) {
        group.logPositions[id] = group.statuses[id].received;
    }
    group.restoreStore(term(4, m1, {"b1/1"}), 5);
    const RequestNumber write = group.lastRequest + 1;
    group.home.request(group.writeRequest("at the replaced primary"), group.now);
    for (int i = 0; i < 1200 && group.home.primary() != m2; ++i) {
        runWithStore(group, 10ms);
        group.home.request(group.readRequest("keeps the home in use " + std::to_string(i), Consistency::Latest), group.now);
        if (group.termWrites.size() > 0 && group.termWrites.back().second == group.storeRevision()) {
            CHECK(group.termWrites.back().first.primary != m1);
            group.completeTermWrite();
        }
        for (const auto &[member, token] : std::exchange(group.promotionOrders, {})) {
            CHECK(member == m2);
            group.home.promotionAnswered(member, PromotionResult::Accepted, group.now);
        }
    }
    CHECK(group.home.primary() == m2);
    CHECK(group.termWrites.front().first.primary.isEmpty());
    const HomeReply *reply = group.replyTo(write);
    CHECK((reply == nullptr || !reply->answer.isSuccess()));
}

// A holder that only the lost record listed may still pass on answers of the primary by the word of a witness.
TEST_CASE("A change of primary waits for leases that the store may have lost", "[grouphomeepoch]")
{
    FakeGroup group;
    group.makeHealthy();
    group.restoreStore(group.storedTerm, 8);
    runWithStore(group, 1s);
    group.completeTermWrite();
    const bool isReplicaDown = GENERATE(false, true);
    if (isReplicaDown) {
        crashMember(group, m3);
    }
    const TimePoint restoredAt = group.now;
    crashMember(group, m1);
    group.home.peersAnswered(m1, 0, 2, group.now);
    REQUIRE(group.termWrites.back().first.primary.isEmpty());
    group.completeTermWrite();
    for (int i = 0; i < 2000 && group.promotionOrders.empty(); ++i) {
        runWithStore(group, 10ms);
    }
    REQUIRE_FALSE(group.promotionOrders.empty());
    // All other members were fenced for the length of a lease, or such leases have ended.
    CHECK(group.now - restoredAt >= (isReplicaDown ? 12s : 1500ms));
    CHECK(group.now - restoredAt < (isReplicaDown ? 15s : 4s));
}

// Otherwise each restart of an instance would slow down changes of primary for 13.65 s.
TEST_CASE("A home waits for no lost leases if another instance has known the epoch for long", "[grouphomeepoch]")
{
    FakeGroup group;
    group.makeHealthy();
    group.restoreStore(group.storedTerm, 8);
    runWithStore(group, 1s);
    group.completeTermWrite();
    group.home.storeEpochChanged(1, group.now - 20s, group.now);
    const TimePoint crashedAt = group.now;
    orderPromotion(group);
    CHECK(group.now - crashedAt < 1s);
}

TEST_CASE("A home that missed a change of the epoch does not count a lease as yielded that was written again", "[grouphomeepoch]")
{
    FakeGroup group;
    group.makeHealthy();
    group.restoreStore(std::nullopt, 3);
    runFor(group, 1s);
    group.completeTermWrite();
    CHECK_FALSE(group.home.yieldLease(9, group.now)); // of a change that began in the epoch before
    CHECK(group.home.primary() == m1);
    CHECK(group.home.yieldLease(firstOfStoreEpoch(1) + 100, group.now));
    CHECK(group.home.primary().isEmpty());
}

TEST_CASE("A late answer of an earlier epoch changes nothing", "[grouphomeepoch]")
{
    FakeGroup group;
    group.makeHealthy();
    const std::uint64_t earlierRevision = group.storeRevision();
    group.home.storeEpochChanged(1, group.now, group.now);
    group.home.termSeen(term(2, m2, {"b1/1"}), earlierRevision + 1, group.now, group.now);
    CHECK(group.home.primary() == m1);
    group.restoreStore(std::nullopt, 3);
    runFor(group, 1s);
    group.completeTermWrite();
    group.home.termSeen(term(50, m2, {"b1/1"}), earlierRevision + 1, group.now, group.now);
    CHECK(group.home.primary() == m1);
    CHECK(group.home.yieldLease(firstOfStoreEpoch(1) + 1, group.now));
}

TEST_CASE("The record is written again after each of two changes of the epoch in a row", "[grouphomeepoch]")
{
    FakeGroup group;
    group.makeHealthy();
    const auto copy = group.storedTerm;
    group.restoreStore(copy, 8);
    runFor(group, 200ms);
    group.restoreStore(copy, 8);
    runFor(group, 1s);
    const auto record = group.termWrites.back().first;
    CHECK(record.primary == m1);
    CHECK(record.generation > firstOfStoreEpoch(2));
    CHECK(group.termWrites.back().second == group.storeRevision());
}

} // namespace rattanbeam::decisions::session::test
