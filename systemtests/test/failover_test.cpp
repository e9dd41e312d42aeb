// Faults of members and of the platform, on real processes; judged by what the book and the database say.

#include "rattanbeam/systemtests/testfleet.h"

#include <catch2/catch.hpp>

#include <csignal>

namespace rattanbeam::systemtests::test
{

using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::seconds statedBound{13}; // for a change of primary

/// Writers run through a fault; service must come back, and the book must agree with the database.
template<typename Fault>
void writeThrough(Fault fault)
{
    TestFleet fleet;
    Writers writers(fleet, 4);
    REQUIRE(writers.waitForAcknowledged(50, 20s));
    fault(fleet);
    const bool isServed = writers.waitForAcknowledged(50, statedBound + 7s);
    INFO(writers.failures());
    INFO(fleet.logs());
    REQUIRE(isServed);
    writers.stop();
    CHECK(audit(fleet, writers) == std::string());
}

} // namespace

TEST_CASE("A member never starts on the tables of an earlier one", "[system]")
{
    TestFleet fleet;
    const std::string used = fleet.directory() + "/tables-a";
    CHECK(Process::run(RATTANBEAM_BACKEND, {"--directory", used}, fleet.directory() + "/second.log") == 1);
}

TEST_CASE("A killed primary is replaced, and no write is lost or doubled", "[system]")
{
    writeThrough([](TestFleet &fleet) {
        fleet.member("a").kill(SIGKILL);
    });
}

TEST_CASE("A frozen primary is replaced, and what it does when it wakes is not acknowledged", "[system]")
{
    TestFleet fleet;
    Writers writers(fleet, 4);
    REQUIRE(writers.waitForAcknowledged(50, 20s));
    fleet.member("a").kill(SIGSTOP);
    INFO(fleet.logs());
    REQUIRE(writers.waitForAcknowledged(50, statedBound + 7s));
    fleet.member("a").kill(SIGCONT);
    REQUIRE(writers.waitForAcknowledged(50, 20s));
    writers.stop();
    CHECK(audit(fleet, writers) == std::string());
    CHECK_FALSE(fleet.memberStatus("a").primary());
}

TEST_CASE("A primary cut off in silence is replaced, and follows when the cut heals", "[system]")
{
    TestFleet fleet;
    Writers writers(fleet, 4);
    REQUIRE(writers.waitForAcknowledged(50, 20s));
    fleet.memberRelay("a").setMode(Relay::Mode::Silent);
    INFO(fleet.logs());
    REQUIRE(writers.waitForAcknowledged(50, statedBound + 7s));
    fleet.memberRelay("a").setMode(Relay::Mode::Pass);
    REQUIRE(writers.waitForAcknowledged(50, 20s));
    writers.stop();
    CHECK(audit(fleet, writers) == std::string());
    for (int tries = 0; tries < 100 && !fleet.memberStatus("a").following(); ++tries) {
        std::this_thread::sleep_for(100ms);
    }
    CHECK(fleet.memberStatus("a").following());
}

TEST_CASE("Connections that go silent while new ones work cause no promotion", "[system]")
{
    TestFleet fleet;
    Writers writers(fleet, 4);
    REQUIRE(writers.waitForAcknowledged(50, 20s));
    fleet.memberRelay("a").setMode(Relay::Mode::SilentOld);
    INFO(fleet.logs());
    REQUIRE(writers.waitForAcknowledged(50, 20s));
    writers.stop();
    CHECK(audit(fleet, writers) == std::string());
    CHECK(fleet.memberStatus("a").primary());
    CHECK(fleet.memberStatus("a").term() == 1);
}

TEST_CASE("While the platform is out nothing is promoted, reads go on, and it is made up for afterwards", "[system]")
{
    TestFleet fleet;
    Writers writers(fleet, 4);
    REQUIRE(writers.waitForAcknowledged(50, 20s));
    platform::v1::FaultRequest outage;
    outage.set_out(true);
    fleet.setPlatformFaults(outage);
    REQUIRE(writers.waitForAcknowledged(50, 20s));
    fleet.member("a").kill(SIGKILL);
    std::this_thread::sleep_for(2s);
    CHECK_FALSE(fleet.memberStatus("b").primary());
    CHECK_FALSE(fleet.memberStatus("c").primary());
    // Within the contract's age limit the replicas serve, and beyond it they refuse truly.
    const auto reply = fleet.execute(fleet.instance("b").address(), fleet.read("SELECT count(*) FROM t"));
    CHECK((reply.status().code() == 0 || reply.status().verdict() == caller::v1::NOT_RUN));
    fleet.setPlatformFaults({});
    INFO(fleet.logs());
    REQUIRE(writers.waitForAcknowledged(50, statedBound + 7s));
    writers.stop();
    CHECK(audit(fleet, writers) == std::string());
}

TEST_CASE("A promotion survives answers that the platform loses after the change took effect", "[system]")
{
    writeThrough([](TestFleet &fleet) {
        platform::v1::FaultRequest losses;
        losses.set_lose_answers(2);
        fleet.setPlatformFaults(losses);
        fleet.member("a").kill(SIGKILL);
    });
}

TEST_CASE("A leaving primary is handed over without a refusal", "[system]")
{
    TestFleet fleet;
    Writers writers(fleet, 4);
    REQUIRE(writers.waitForAcknowledged(50, 20s));
    backend::v1::FaultRequest leaving;
    leaving.set_leaving(true);
    leaving.set_apply_lag_ms(50);
    leaving.set_ship_lag_ms(1);
    fleet.setMemberFaults("a", leaving);
    for (int tries = 0; tries < 100 && fleet.memberStatus("a").primary(); ++tries) {
        std::this_thread::sleep_for(50ms);
    }
    INFO(fleet.logs());
    CHECK_FALSE(fleet.memberStatus("a").primary());
    REQUIRE(writers.waitForAcknowledged(50, 20s));
    writers.stop();
    INFO(writers.failures());
    CHECK(writers.notRun().empty());
    CHECK(writers.mayHaveRun().empty());
    CHECK(audit(fleet, writers) == std::string());
}

} // namespace rattanbeam::systemtests::test
