// Loads of several workspaces at one service's home. Guards against workspaces that take the slots or connections of others.

#include "workspaceload.h"

#include "schedules.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <string>

namespace rattanbeam::decisions::session::test
{

namespace
{

/// Ends the load and checks that each request got its one reply.
void checkAllAnswered(WorkspaceLoad &load)
{
    load.stopLoad();
    load.run(4s);
    CHECK(load.unanswered() == 0);
    CHECK(load.violation == std::string());
}

void checkServedInTime(const WorkspaceLoad &load, const std::string &prefix, double minShare)
{
    for (const auto &[workspace, result] : load.results) {
        if (workspace.starts_with(prefix)) {
            INFO(workspace << " sent " << result.sent << " in time " << result.servedInTime << " late " << result.servedLate << " refused "
                           << result.refused);
            CHECK(result.shareInTime() >= minShare);
        }
    }
}

} // namespace

// With one customer for all sessions, the flood made the queue count as full for everyone.
TEST_CASE("A workspace at seven times its rate does not displace workspaces that send little", "[workspaceload]")
{
    for (const bool isWrite : {true, false}) {
        WorkspaceLoad load(66);
        for (int i = 0; i < 20; ++i) {
            load.setLoad("small" + std::to_string(i), 2, isWrite, 24ms);
        }
        load.setLoad("flood", isWrite ? 80 : 240, isWrite, 24ms);
        load.run(5s);
        load.results.clear();
        // The primary runs 208 of these writes a second, the three members 625 reads.
        load.setLoad("flood", isWrite ? 560 : 1680, isWrite, 24ms);
        load.run(20s);
        checkServedInTime(load, "small", 0.95);
        // The flood gets what the others leave.
        CHECK(load.results["flood"].servedInTime > (isWrite ? 2000U : 6000U));
        CHECK(load.results["flood"].refused > 0);
        checkAllAnswered(load);
    }
}

// Each statement needs a connection opened for it, in place of another workspace's.
TEST_CASE("Many workspaces on few connections are all served", "[workspaceload]")
{
    WorkspaceLoad load(16);
    for (int i = 0; i < 87; ++i) {
        load.setLoad("w" + std::to_string(i), 1, true, 24ms);
    }
    load.run(40s);
    checkServedInTime(load, "w", 0.9);
    CHECK(load.connectionCounters().closedForRoom > 1000);
    CHECK(load.maxConnectionCount <= 16);
    checkAllAnswered(load);
}

// Without a limit on what one workspace holds, its idle transactions take the primary's last connection for some seconds.
TEST_CASE("Idle transactions of one workspace leave connections to the others", "[workspaceload]")
{
    WorkspaceLoad load(66);
    for (int i = 0; i < 20; ++i) {
        load.setLoad("small" + std::to_string(i), 4, true, 10ms);
    }
    load.run(3s);
    load.results.clear();
    for (std::uint64_t client = 1; client <= 132; ++client) {
        load.send("holder", true, 8ms, client);
        load.run(4ms);
    }
    load.run(10s);
    checkServedInTime(load, "small", 0.95);
    CHECK(load.results["holder"].servedInTime >= 40);
    checkAllAnswered(load);
}

// While nobody else sends, a workspace may hold all connections.
TEST_CASE("A workspace alone is not limited to a share of the connections", "[workspaceload]")
{
    WorkspaceLoad load(24);
    load.run(30s);
    load.results.clear();
    for (std::uint64_t client = 1; client <= 18; ++client) {
        load.send("holder", true, 8ms, client);
        load.run(20ms);
    }
    load.run(100ms);
    CHECK(load.results["holder"].servedInTime == 18);
    checkAllAnswered(load);
}

// Members count a connection for some time after it was closed. Each refusal used to stop all openings for 300 ms.
TEST_CASE("Refusals of connections are retried, neither returned to clients nor repeated without pause", "[workspaceload]")
{
    WorkspaceLoad load(16);
    load.setAcceptedConnections(12, 30ms);
    for (int i = 0; i < 60; ++i) {
        load.setLoad("w" + std::to_string(i), 0.5, true, 10ms);
    }
    load.run(30s);
    std::size_t sent = 0;
    std::size_t inTime = 0;
    for (const auto &[workspace, result] : load.results) {
        sent += result.sent;
        inTime += result.servedInTime;
    }
    INFO("sent " << sent << " in time " << inTime << " refused connections " << load.connectionCounters().refusedAsOverloaded);
    CHECK(inTime * 100 >= sent * 90);
    CHECK(load.connectionCounters().refusedAsOverloaded > 0);
    CHECK(load.connectionCounters().refusedAsOverloaded <= sent);
    checkAllAnswered(load);
}

// Each opening costs a member a slot for some time, also one that it refuses.
TEST_CASE("Members that accept no more connections are not flooded with openings", "[workspaceload]")
{
    WorkspaceLoad load(16);
    for (int i = 0; i < 60; ++i) {
        load.setLoad("w" + std::to_string(i), 2, true, 10ms);
    }
    load.setAcceptedConnections(0, 0ms);
    load.run(3s);
    // Each of the three members refuses a few with short pauses, then one every 300 ms: at most 16.
    CHECK(load.connectionCounters().refusedAsOverloaded > 3);
    CHECK(load.connectionCounters().refusedAsOverloaded <= 48U);
    load.setAcceptedConnections(16, 0ms);
    load.run(1s);
    load.results.clear();
    load.run(5s);
    checkServedInTime(load, "w", 0.9);
    checkAllAnswered(load);
}

// Guards against statements on another workspace's connection and lost or double replies when connections come and go.
TEST_CASE("Each request is answered once and runs for its workspace, over any schedule of requests, pauses and failures", "[workspaceload]")
{
    std::uint64_t closedForRoom = 0;
    std::uint64_t refusedAsOverloaded = 0;
    std::size_t served = 0;
    rc::prop("over any schedule", [&] {
        WorkspaceLoad load(16);
        std::uint64_t lastTransaction = 0;
        for (const std::uint32_t choice : *rattanbeam::test::scheduleChoices(400)) {
            const std::uint32_t detail = choice / 16;
            const std::string workspace = detail % 8 == 0 ? "" : "w" + std::to_string(detail % 40);
            switch (choice % 16) {
            case 0:
                load.loseConnection();
                break;
            case 1:
                load.pause(std::chrono::milliseconds(detail % 1500));
                break;
            case 2:
                load.setAcceptedConnections(1 + detail % 16, std::chrono::milliseconds(detail % 50));
                break;
            case 3:
                load.run(std::chrono::milliseconds(detail % 300));
                break;
            case 4:
            case 5:
            case 6:
                load.send(workspace, true, 5ms, ++lastTransaction);
                break;
            case 7:
            case 8:
                load.continueTransaction();
                break;
            default:
                load.send(workspace, detail % 2 == 0, std::chrono::milliseconds(detail % 60));
                break;
            }
            load.run(3ms);
        }
        load.run(5s);
        RC_ASSERT(load.violation == std::string());
        RC_ASSERT(load.unanswered() == 0U);
        RC_ASSERT(load.maxConnectionCount <= 16U);
        closedForRoom += load.connectionCounters().closedForRoom;
        refusedAsOverloaded += load.connectionCounters().refusedAsOverloaded;
        for (const auto &[workspace, result] : load.results) {
            served += result.servedInTime + result.servedLate;
        }
    });
    // Guards against schedules that make the property trivial.
    CHECK(closedForRoom > 100);
    CHECK(refusedAsOverloaded > 100);
    CHECK(served > 1000);
}

} // namespace rattanbeam::decisions::session::test
