#include "rattanbeam/sessions/internal/directory.h"

#include "fakeplatform.h"

#include <catch2/catch.hpp>

namespace rattanbeam::sessions::test
{

namespace
{

MemberRecord memberRecord(const std::string &id)
{
    return {MemberId(id), ServiceName("orders"), "10.0.0.1:80", decisions::FailureDomain("a"), 2, false, id == "m1", 1};
}

/// A directory that takes its records from a fake store and from snapshots of peers.
struct DirectoryFixture {
    DirectoryFixture()
    {
        FleetConfiguration configuration;
        configuration.version = 3;
        store.put(Collection::Configuration, "main", configuration);
        for (const char *id : {"m1", "m2"}) {
            store.put(Collection::Members, id, memberRecord(id));
        }
        directory.start();
        runUntil([&] {
            return directory.isReady() && store.watchesStarted >= 1;
        });
    }
    template<typename Condition>
    bool runUntil(Condition isDone, std::chrono::milliseconds timeout = 5s)
    {
        const auto deadline = std::chrono::steady_clock::now() + timeout;
        while (!isDone() && std::chrono::steady_clock::now() < deadline) {
            loop.context().restart();
            loop.context().run_for(5ms);
        }
        return isDone();
    }
    std::set<std::string> memberNames() const
    {
        std::set<std::string> names;
        for (const MemberRecord &member : directory.members()) {
            names.insert(member.id.text());
        }
        return names;
    }
    link::v1::Snapshot snapshot() const
    {
        return directory.snapshot({});
    }

    /// A pong of a peer with this version of the configuration, and otherwise the same records.
    void reportPeer(const std::string &address, std::uint64_t version)
    {
        link::v1::Pong pong;
        directory.fillPong(pong);
        internal::PeerDirectoryState peer;
        peer.address = address;
        peer.configurationVersion = version;
        peer.membersDigest = pong.members_digest();
        peer.instancesDigest = pong.instances_digest();
        peer.termsDigest = pong.terms_digest();
        directory.peerReported(peer);
    }
    void putConfiguration(std::uint64_t version)
    {
        FleetConfiguration configuration;
        configuration.version = version;
        store.put(Collection::Configuration, "main", configuration);
    }

    EventLoop loop;
    FakeStore store{loop};
    internal::Directory directory{loop, store, 3s};
};

} // namespace

TEST_CASE("A member that has left does not come back with the snapshot of a peer that is behind", "[directory]")
{
    DirectoryFixture fixture;
    const link::v1::Snapshot oldSnapshot = fixture.snapshot();
    REQUIRE(fixture.memberNames() == std::set<std::string>{"m1", "m2"});
    // The member leaves, and a list of the store, here from a peer that is up to date, no longer holds it.
    link::v1::Snapshot newSnapshot = oldSnapshot;
    newSnapshot.mutable_members()->DeleteSubrange(1, 1);
    newSnapshot.set_members_revision(oldSnapshot.members_revision() + 10);
    fixture.directory.merge(newSnapshot);
    REQUIRE(fixture.memberNames() == std::set<std::string>{"m1"});
    fixture.directory.merge(oldSnapshot);
    CHECK(fixture.memberNames() == std::set<std::string>{"m1"});
}

TEST_CASE("A member that is newer than this directory is taken from the snapshot of a peer", "[directory]")
{
    DirectoryFixture fixture;
    link::v1::Snapshot snapshot = fixture.snapshot();
    link::v1::Member &added = *snapshot.add_members();
    added = snapshot.members(0);
    added.set_id("m3");
    added.set_revision(snapshot.members_revision() + 5);
    snapshot.set_members_revision(snapshot.members_revision() + 5);
    fixture.directory.merge(snapshot);
    CHECK(fixture.memberNames().contains("m3"));
}

// Guards against a relay that never finishes reading a large configuration: while peers had the version already, it replaced its watch
// every 1.5 s, and discarded the answer that was on its way.
TEST_CASE("The answer of a watch that was replaced meanwhile is applied", "[directory]")
{
    DirectoryFixture fixture;
    fixture.directory.setRelay(true);
    REQUIRE(fixture.runUntil([&] {
        return fixture.store.watchesStarted >= 4;
    }));
    fixture.store.isHoldingWatchAnswers = true;
    fixture.putConfiguration(4);
    REQUIRE(fixture.runUntil([&] {
        return !fixture.store.heldWatchAnswers.empty();
    }));
    const int watchesBefore = fixture.store.watchesStarted;
    fixture.reportPeer("peer:1", 4);
    REQUIRE(fixture.store.watchesStarted > watchesBefore);
    for (const auto &answer : std::vector(fixture.store.heldWatchAnswers)) {
        answer();
    }
    CHECK(fixture.directory.configuration()->version == 4);
}

TEST_CASE("The answer of a replaced watch does not bring back a member that has left since", "[directory]")
{
    DirectoryFixture fixture;
    fixture.store.isHoldingWatchAnswers = true;
    fixture.store.put(Collection::Members, "m3", memberRecord("m3"));
    REQUIRE(fixture.runUntil([&] {
        return !fixture.store.heldWatchAnswers.empty();
    }));
    // Another instance has seen the member leave.
    link::v1::Snapshot snapshot = fixture.snapshot();
    snapshot.set_members_revision(fixture.store.revision + 10);
    fixture.directory.merge(snapshot);
    fixture.directory.setRelay(true);
    fixture.reportPeer("peer:1", 4);
    for (const auto &answer : std::vector(fixture.store.heldWatchAnswers)) {
        answer();
    }
    CHECK(fixture.memberNames() == std::set<std::string>{"m1", "m2"});
}

// Revisions go back when the store comes back from an older copy. Taken for old news, its records would never be applied again.
TEST_CASE("Lower revisions of a later epoch replace higher ones, in a list and in watches", "[directory]")
{
    DirectoryFixture fixture;
    fixture.directory.setRelay(true);
    const auto copy = fixture.store.records;
    const std::uint64_t copiedRevision = fixture.store.revision;
    fixture.store.put(Collection::Members, "m3", memberRecord("m3"));
    MemberRecord moved = memberRecord("m1");
    moved.address = "10.0.0.7:80";
    fixture.store.put(Collection::Members, "m1", moved);
    REQUIRE(fixture.runUntil([&] {
        return fixture.memberNames().size() == 3;
    }));
    fixture.store.restore(copy, copiedRevision);
    fixture.directory.readTerm(ServiceName("orders")); // the first answer of the new epoch
    REQUIRE(fixture.runUntil([&] {
        return fixture.directory.members().front().address == "10.0.0.1:80";
    }));
    CHECK(fixture.directory.storeEpoch() == 1);
    CHECK(fixture.memberNames().contains("m3")); // it has a moment to register again
    MemberRecord movedAgain = memberRecord("m1");
    movedAgain.address = "10.0.0.8:80";
    fixture.store.put(Collection::Members, "m1", movedAgain);
    CHECK(fixture.runUntil([&] {
        return fixture.directory.members().front().address == "10.0.0.8:80";
    }));
    CHECK(fixture.runUntil(
        [&] {
            return !fixture.memberNames().contains("m3"); // it did not
        },
        8s));
}

TEST_CASE("A configuration does not go back with the store", "[directory]")
{
    DirectoryFixture fixture;
    const auto copy = fixture.store.records;
    fixture.putConfiguration(4);
    REQUIRE(fixture.runUntil([&] {
        return fixture.directory.configuration()->version == 4;
    }));
    const int lists = fixture.store.listsAnswered[Collection::Configuration];
    fixture.store.restore(copy, 4);
    fixture.directory.readTerm(ServiceName("orders"));
    REQUIRE(fixture.runUntil([&] {
        return fixture.store.listsAnswered[Collection::Configuration] > lists;
    }));
    CHECK(fixture.directory.configuration()->version == 4);
    fixture.putConfiguration(5);
    CHECK(fixture.runUntil([&] {
        return fixture.directory.configuration()->version == 5;
    }));
}

TEST_CASE("An answer of an earlier epoch that arrives late changes nothing", "[directory]")
{
    DirectoryFixture fixture;
    const auto copy = fixture.store.records;
    const std::uint64_t copiedRevision = fixture.store.revision;
    fixture.store.isHoldingWatchAnswers = true;
    fixture.store.put(Collection::Members, "m3", memberRecord("m3"));
    REQUIRE(fixture.runUntil([&] {
        return !fixture.store.heldWatchAnswers.empty();
    }));
    fixture.store.restore(copy, copiedRevision);
    fixture.directory.readTerm(ServiceName("orders"));
    REQUIRE(fixture.runUntil([&] {
        return fixture.directory.storeEpoch() == 1;
    }));
    for (const auto &answer : std::vector(fixture.store.heldWatchAnswers)) {
        answer();
    }
    CHECK(fixture.memberNames() == std::set<std::string>{"m1", "m2"});
}

// An instance that takes changes from relays, or that the store rejects, hears of the epoch from other instances only.
TEST_CASE("An epoch is taken from a peer, and its records replace those of the earlier epoch", "[directory]")
{
    DirectoryFixture fixture;
    std::uint64_t reported = 0;
    fixture.directory.onStoreEpoch([&](std::uint64_t epoch, TimePoint) {
        reported = epoch;
    });
    link::v1::Snapshot snapshot = fixture.snapshot();
    fixture.store.isUnavailable = true;
    snapshot.set_store_epoch(2);
    snapshot.mutable_members(0)->set_address("10.0.0.9:80");
    for (auto &member : *snapshot.mutable_members()) {
        member.set_revision(firstOfStoreEpoch(2) + 1);
    }
    snapshot.set_members_revision(firstOfStoreEpoch(2) + 1);
    fixture.directory.merge(snapshot);
    CHECK(reported == 2);
    CHECK(fixture.store.knownEpoch == 2); // calls with revisions of the earlier epoch end here
    CHECK(fixture.directory.members().front().address == "10.0.0.9:80");
    link::v1::Pong pong;
    fixture.directory.fillPong(pong);
    CHECK(pong.store_epoch() == 2);
}

namespace
{

/// What a peer with the same records says that has confirmed its list of members at `confirmedAt`.
internal::PeerDirectoryState samePeer(const internal::Directory &directory, TimePoint confirmedAt)
{
    link::v1::Pong pong;
    directory.fillPong(pong);
    internal::PeerDirectoryState peer;
    peer.address = "10.0.0.7:80";
    peer.configurationVersion = pong.configuration_version();
    peer.membersDigest = pong.members_digest();
    peer.instancesDigest = pong.instances_digest();
    peer.termsDigest = pong.terms_digest();
    peer.membersConfirmedAt = confirmedAt;
    return peer;
}

} // namespace

// Guards against evidence that leaves out a member that has joined: the list must not count as newer than it is.
TEST_CASE("The list of members is confirmed as of the start of the call that returned it", "[directory]")
{
    const TimePoint beforeStart = EventLoop::now();
    DirectoryFixture fixture;
    const TimePoint listedAt = fixture.directory.membersConfirmedAt();
    CHECK(listedAt >= beforeStart);
    REQUIRE(fixture.runUntil([&] {
        return fixture.store.watchesStarted >= 4;
    }));
    const TimePoint watched = EventLoop::now();
    fixture.runUntil(
        [] {
            return false;
        },
        50ms);
    fixture.store.put(Collection::Members, "m3", memberRecord("m3"));
    REQUIRE(fixture.runUntil([&] {
        return fixture.memberNames().contains("m3");
    }));
    CHECK(fixture.directory.membersConfirmedAt() > listedAt);
    CHECK(fixture.directory.membersConfirmedAt() <= watched);
}

TEST_CASE("A peer confirms the list of members only if it has the same members", "[directory]")
{
    DirectoryFixture fixture;
    const TimePoint listedAt = fixture.directory.membersConfirmedAt();
    const TimePoint confirmedAt = listedAt + 10s;
    internal::PeerDirectoryState peer = samePeer(fixture.directory, confirmedAt);
    ++peer.membersDigest;
    fixture.directory.peerReported(peer);
    CHECK(fixture.directory.membersConfirmedAt() == listedAt);
    --peer.membersDigest;
    fixture.directory.peerReported(peer);
    CHECK(fixture.directory.membersConfirmedAt() == confirmedAt);
}

TEST_CASE("A member that appears after the first list is known since then", "[directory]")
{
    DirectoryFixture fixture;
    const TimePoint appearedAfter = EventLoop::now();
    fixture.store.put(Collection::Members, "m3", memberRecord("m3"));
    REQUIRE(fixture.runUntil([&] {
        return fixture.memberNames().contains("m3");
    }));
    for (const MemberRecord &member : fixture.directory.members()) {
        INFO(member.id.text());
        CHECK((member.knownSince >= appearedAfter) == (member.id == MemberId("m3")));
    }
}

} // namespace rattanbeam::sessions::test
