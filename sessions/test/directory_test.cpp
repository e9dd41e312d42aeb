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
    bool runUntil(Condition isDone)
    {
        for (int attempts = 0; attempts < 1000 && !isDone(); ++attempts) {
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

} // namespace rattanbeam::sessions::test
