#include "fakeplatform.h"

#include <catch2/catch.hpp>

namespace rattanbeam::sessions::test
{

TEST_CASE("A session's write runs at the primary and is answered", "[sessioninstance]")
{
    InstanceFixture fixture;
    REQUIRE(fixture.runUntil([&] {
        return fixture.instance->isReady();
    }));
    const auto [session, client] = fixture.open();
    REQUIRE(client->isAccepted);
    REQUIRE(fixture.runUntil([&, number = session, &answers = client->answers] {
        if (answers.empty() || !answers.back().isSuccess()) {
            fixture.instance->front().statementArrived(number, InstanceFixture::write("w" + std::to_string(answers.size())));
        }
        return !answers.empty() && answers.back().isSuccess();
    }));
    CHECK(client->answers.back().signature == "signed");
}

TEST_CASE("A database without a route is refused", "[sessioninstance]")
{
    InstanceFixture fixture;
    REQUIRE(fixture.runUntil([&] {
        return fixture.instance->isReady();
    }));
    CHECK(fixture.open("nowhere").second->refused == StatementError::UnknownDatabase);
}

TEST_CASE("An instance without store and peers is not ready and refuses sessions", "[sessioninstance]")
{
    InstanceFixture fixture(false);
    fixture.runUntil(
        [] {
            return false;
        },
        300ms);
    CHECK_FALSE(fixture.instance->isReady());
    CHECK(fixture.open().second->refused == StatementError::Busy);
}

TEST_CASE("A client that leaves while its request is sent elsewhere harms nobody", "[sessioninstance]")
{
    InstanceFixture fixture;
    REQUIRE(fixture.runUntil([&] {
        return fixture.instance->isReady();
    }));
    const auto [session, client] = fixture.open();
    // A draining home answers that the request is to go elsewhere; the client is gone by then.
    fixture.instance->drain([] {}, [] {});
    fixture.instance->front().statementArrived(session, InstanceFixture::write("w1"));
    fixture.instance->front().sessionClosed(session);
    fixture.runUntil(
        [] {
            return false;
        },
        100ms);
    CHECK(client->answers.empty());
    CHECK(fixture.members->ran.empty());
}

TEST_CASE("The front closes before a draining instance asks whether all sessions have ended", "[sessioninstance]")
{
    InstanceFixture fixture;
    REQUIRE(fixture.runUntil([&] {
        return fixture.instance->isReady();
    }));
    bool isFrontClosed = false;
    bool isStopped = false;
    bool wasClosedFirst = false;
    fixture.instance->drain(
        [&] {
            isFrontClosed = true;
        },
        [&] {
            wasClosedFirst = isFrontClosed;
            isStopped = true;
        });
    CHECK_FALSE(fixture.instance->isReady());
    // Sessions are still taken while the balancer sends them.
    CHECK(fixture.open().second->isAccepted);
    REQUIRE(fixture.runUntil([&] {
        return isStopped;
    }));
    CHECK(wasClosedFirst);
}

TEST_CASE("Watches whose end has a bound are short", "[sessioninstance]")
{
    InstanceFixture fixture;
    REQUIRE(fixture.runUntil([&] {
        return fixture.instance->isReady() && fixture.store->watchesBegun >= 4;
    }));
    CHECK(fixture.store->longestWait <= 20s);
}

TEST_CASE("All watches begin anew when the store is back", "[sessioninstance]")
{
    InstanceFixture fixture;
    REQUIRE(fixture.runUntil([&] {
        return fixture.instance->isReady() && fixture.store->watchesBegun >= 4;
    }));
    const int before = fixture.store->watchesBegun;
    fixture.store->isAway = true;
    fixture.store->put(Collection::Members, "m9", RecordValue()); // ends the watch of the members
    REQUIRE(fixture.runUntil([&] {
        return fixture.store->watchesBegun > before + 1;
    }));
    fixture.store->isAway = false;
    CHECK(fixture.runUntil([&] {
        return fixture.store->watchesBegun >= before + 5;
    }));
}

TEST_CASE("Settings of the sessions interface are checked", "[sessionsettings]")
{
    const std::string good = "[interface]\nkind = sessions\n[instance]\nname = a1\ndomain = a\nip = 10.0.0.1\n[listen]\nfront = "
                             "10.0.0.1:80\nreadiness = 10.0.0.1:81\npeers = 10.0.0.1:82\n[platform]\nstore = 10.0.0.9:90\n";
    REQUIRE(parseSessionSettings(good));
    CHECK(selectsSessionsInterface(good));
    CHECK_FALSE(selectsSessionsInterface("[instance]\nname = a1\n"));
    CHECK_FALSE(parseSessionSettings(good + "[limits]\ngrace = soon\n"));
    CHECK_FALSE(parseSessionSettings(good + "[limits]\ngrce = 6s\n"));
    CHECK(parseSessionSettings(good + "[limits]\nprocessor-share = 0.25\nprocessor-speed = 2\n")->processorMilli == 500);
    CHECK_FALSE(parseSessionSettings(good + "[limits]\nprocessor-share = 0\n"));
    CHECK_FALSE(parseSessionSettings(good + "[limits]\nprocessor-share = 1e\n"));
    CHECK_FALSE(parseSessionSettings("[interface]\nkind = sessions\n"));
    const auto error = parseSessionSettings(good + "[peers]\nseeds = 10.0.0.1\n");
    REQUIRE_FALSE(error);
    CHECK(error.error().text("a1.ini").find("seeds") != std::string::npos);
}

} // namespace rattanbeam::sessions::test
