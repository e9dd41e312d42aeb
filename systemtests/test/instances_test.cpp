// Faults of instances, graceful shutdown, sessions that roam and transactions, on real processes.

#include "rattanbeam/systemtests/testfleet.h"

#include <catch2/catch.hpp>

#include <csignal>

namespace rattanbeam::systemtests::test
{

using namespace std::chrono_literals;

namespace
{

caller::v1::StatementRequest inTransaction(const caller::v1::StatementRequest &request, const std::string &transaction)
{
    caller::v1::StatementRequest inside = request;
    inside.set_transaction(transaction);
    return inside;
}

backend::v1::FaultRequest leaving()
{
    backend::v1::FaultRequest faults;
    faults.set_leaving(true);
    faults.set_apply_lag_ms(50);
    faults.set_ship_lag_ms(1);
    return faults;
}

} // namespace

TEST_CASE("A session reads its writes through every instance", "[system]")
{
    TestFleet fleet;
    std::string token;
    for (int i = 0; i < 30; ++i) {
        const std::string id = "s" + std::to_string(i);
        const std::string writer = i % 3 == 0 ? "a" : i % 3 == 1 ? "b" : "c";
        caller::v1::StatementRequest write = fleet.write("INSERT INTO t VALUES('" + id + "')", id);
        write.set_session_token(token);
        const auto written = fleet.executeUntilDone(writer, write);
        for (const char *domain : {"a", "b", "c"}) {
            const auto read
                = fleet.execute(fleet.instance(domain).address(), fleet.read("SELECT count(*) FROM t", written.session_token()));
            INFO(read.status().message());
            REQUIRE(read.status().code() == 0);
            REQUIRE(read.rows(0).values(0) == std::to_string(i + 1));
            token = read.session_token();
        }
    }
}

TEST_CASE("A repeat through another instance, also after a promotion, gets the first outcome", "[system]")
{
    TestFleet fleet;
    const auto request = fleet.write("INSERT INTO t VALUES('once')", "once");
    CHECK_FALSE(fleet.executeUntilDone("a", request).repeated());
    CHECK(fleet.executeUntilDone("b", request).repeated());
    fleet.member("a").kill(SIGKILL);
    CHECK(fleet.executeUntilDone("c", request).repeated());
    const auto other = fleet.execute(fleet.instance("b").address(), fleet.write("INSERT INTO t VALUES('other')", "once"));
    CHECK(other.status().message() == "the request id belongs to another request");
    CHECK(other.status().verdict() == caller::v1::NOT_RUN);
    CHECK(fleet.executeUntilDone("b", fleet.read("SELECT count(*) FROM t")).rows(0).values(0) == "1");
}

TEST_CASE("A large answer arrives whole", "[system]")
{
    TestFleet fleet;
    const auto reply = fleet.execute(fleet.instance("a").address(), fleet.read("SELECT hex(zeroblob(4000000))"));
    INFO(reply.status().message());
    REQUIRE(reply.status().code() == 0);
    CHECK(reply.rows(0).values(0).size() == 8'000'000);
}

TEST_CASE("Requests that are not allowed or not well-formed are refused as not run", "[system]")
{
    TestFleet fleet;
    const std::string address = fleet.instance("a").address();
    const auto check = [&](const caller::v1::StatementRequest &request, const std::string &message) {
        const auto reply = fleet.execute(address, request);
        CHECK(reply.status().message() == message);
        CHECK(reply.status().verdict() == caller::v1::NOT_RUN);
    };
    caller::v1::StatementRequest request = fleet.read("SELECT 1");
    request.set_customer("nobody");
    check(request, "no-contract");
    request = fleet.read("SELECT 1");
    request.set_credential("wrong");
    check(request, "wrong-credential");
    request = fleet.read("SELECT 1");
    request.set_database("other");
    check(request, "unknown-database");
    check(fleet.read("SELECT 1", "forged"), "bad-session-token");
    check(fleet.read(""), "malformed-request");
    check(fleet.read(std::string(2'000'000, 'x')), "request-too-large");
    check(inTransaction(fleet.write("INSERT INTO t VALUES('x')"), "entry-a/orders-a/77"), "unknown-transaction");
    check(inTransaction(fleet.write("INSERT INTO t VALUES('x')"), "nonsense"), "malformed-request");
    CHECK(fleet.execute(address, fleet.read("SELECT 1")).status().code() == 0);
}

TEST_CASE("A transaction's statements run together or not at all, through any instance", "[system]")
{
    TestFleet fleet;
    const auto begun = fleet.execute(fleet.instance("a").address(), fleet.write(""), "Begin");
    REQUIRE(begun.status().code() == 0);
    const auto step = inTransaction(fleet.write("INSERT INTO t VALUES('in')"), begun.transaction());
    REQUIRE(fleet.execute(fleet.instance("b").address(), step).status().code() == 0);
    CHECK(fleet.executeUntilDone("c", fleet.read("SELECT count(*) FROM t")).rows(0).values(0) == "0");
    const auto commit = inTransaction(fleet.write("", "commit"), begun.transaction());
    const auto committed = fleet.execute(fleet.instance("c").address(), commit, "Commit");
    REQUIRE(committed.status().code() == 0);
    const auto read = fleet.read("SELECT count(*) FROM t", committed.session_token());
    CHECK(fleet.executeUntilDone("a", read).rows(0).values(0) == "1");
    CHECK(fleet.execute(fleet.instance("a").address(), step).status().message() == "unknown-transaction");
}

TEST_CASE("A home killed in the middle of a transaction frees its connections", "[system]")
{
    TestFleet fleet;
    std::string transaction;
    for (int i = 0; i < 8; ++i) {
        const auto begun = fleet.execute(fleet.instance("a").address(), fleet.write(""), "Begin");
        REQUIRE(begun.status().code() == 0);
        transaction = begun.transaction();
        fleet.execute(fleet.instance("a").address(), inTransaction(fleet.write("INSERT INTO t VALUES('cut')"), transaction));
    }
    CHECK(fleet.memberStatus("a").connections() >= 8);
    fleet.instance("a").kill(SIGKILL);
    for (int tries = 0; tries < 100 && fleet.memberStatus("a").connections() >= 8; ++tries) {
        std::this_thread::sleep_for(50ms);
    }
    CHECK(fleet.memberStatus("a").connections() < 8);
    const auto commit = fleet.execute(fleet.instance("b").address(), inTransaction(fleet.write("", "c"), transaction), "Commit");
    CHECK(commit.status().code() != 0);
    // The next domain's instance takes the member over.
    CHECK(fleet.executeUntilDone("b", fleet.write("INSERT INTO t VALUES('after')", "after")).status().code() == 0);
    CHECK(fleet.executeUntilDone("c", fleet.read("SELECT count(*) FROM t WHERE id='cut'")).rows(0).values(0) == "0");
}

TEST_CASE("SIGTERM under load cuts no request and no transaction", "[system]")
{
    TestFleet fleet;
    Writers writers(fleet, 6);
    REQUIRE(writers.waitForAcknowledged(50, 20s));
    const auto begun = fleet.execute(fleet.instance("a").address(), fleet.write(""), "Begin");
    REQUIRE(begun.status().code() == 0);
    fleet.instance("a").kill(SIGTERM);
    std::this_thread::sleep_for(500ms);
    const auto step = inTransaction(fleet.write("INSERT INTO t VALUES('drained')"), begun.transaction());
    CHECK(fleet.execute(fleet.instance("b").address(), step).status().code() == 0);
    const auto committed
        = fleet.execute(fleet.instance("b").address(), inTransaction(fleet.write("", "commit"), begun.transaction()), "Commit");
    CHECK(committed.status().code() == 0);
    // The balancer's callers stop sending to it, as these writers do not; so they are stopped first.
    writers.stop();
    CHECK(fleet.instance("a").waitForExit(20s) == 0);
    INFO(writers.failures());
    INFO(fleet.logs());
    CHECK(writers.unanswered() == 0);
    CHECK(writers.notRun().empty());
    CHECK(writers.mayHaveRun().empty());
    CHECK(audit(fleet, writers) == std::string());
}

TEST_CASE("A killed instance costs its callers nothing that another instance cannot finish", "[system]")
{
    TestFleet fleet;
    Writers writers(fleet, 4);
    REQUIRE(writers.waitForAcknowledged(50, 20s));
    // It is the home of the primary: the others take it over.
    fleet.instance("a").kill(SIGKILL);
    REQUIRE(writers.waitForAcknowledged(100, 20s));
    writers.stop();
    CHECK(writers.notRun().empty());
    CHECK(audit(fleet, writers) == std::string());
}

TEST_CASE("A leaving replica gets no new reads after three seconds, although the platform's list lags", "[system]")
{
    TestFleet fleet;
    platform::v1::FaultRequest lag;
    lag.set_list_lag_ms(30'000);
    fleet.setPlatformFaults(lag);
    fleet.setMemberFaults("b", leaving());
    std::this_thread::sleep_for(3s);
    for (int i = 0; i < 60; ++i) {
        const char *domain = i % 3 == 0 ? "a" : i % 3 == 1 ? "b" : "c";
        const auto reply = fleet.execute(fleet.instance(domain).address(), fleet.read("SELECT 1"));
        INFO(reply.status().message());
        REQUIRE(reply.status().code() == 0);
        CHECK(reply.member() != "orders-b");
    }
}

} // namespace rattanbeam::systemtests::test
