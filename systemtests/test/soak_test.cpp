// The real daemon under randomized faults, and the auditor that judges it.

#include "rattanbeam/systemtests/soak/soakfleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

namespace rattanbeam::systemtests::soak
{

namespace
{

using namespace std::chrono_literals;

/// A group of three members and an auditor that is told of single events.
struct AuditFixture {
    SentStatement sent(const std::string &id, const std::string &text, std::uint64_t session = 1, std::uint64_t transaction = 0)
    {
        SentStatement statement{id, text, session, transaction, transaction != 0};
        statement.startedAt = now;
        auditor.sent(statement);
        return statement;
    }
    RunStatement run(const std::string &id, const std::string &text, const std::string &member = "m1", const std::string &row = {})
    {
        return {id, text, member, 1, 0, {}, "sig-" + id, row, row.empty()};
    }
    standins::sessions::LogEntry write(const std::string &id)
    {
        sent(id, "WRITE 1 a");
        auditor.ran(run(id, "WRITE 1 a"));
        const auto entry = group.append("m1", now).value();
        auditor.committed({{id}, entry, "m1", false});
        return entry;
    }
    bool hasFound(const std::string &rule) const
    {
        return std::any_of(auditor.findings().begin(), auditor.findings().end(), [&](const std::string &finding) {
            return finding.rfind("rule=" + rule + ' ', 0) == 0;
        });
    }

    ReplicaGroup group{{"m1", "m2", "m3"}};
    Auditor auditor{group};
    Clock::time_point now = Clock::now();
};

} // namespace

TEST_CASE("The auditor finds nothing in a write that is answered as its member answered it", "[soak]")
{
    AuditFixture fixture;
    fixture.write("w1");
    fixture.auditor.succeeded("w1", "sig-w1", "", fixture.now);
    fixture.auditor.finish();
    CHECK(fixture.auditor.findings().empty());
    CHECK(fixture.auditor.acknowledgedCommits() == 1);
}

TEST_CASE("The auditor finds a read that lacks an acknowledged commit", "[soak]")
{
    AuditFixture fixture;
    fixture.write("w1");
    fixture.auditor.succeeded("w1", "sig-w1", "", fixture.now);
    fixture.now += 10ms;
    fixture.sent("r1", "READ 1");
    fixture.auditor.ran(fixture.run("r1", "READ 1", "m2", "row1"));
    CHECK_FALSE(fixture.hasFound("STALE"));
    fixture.auditor.succeeded("r1", "sig-r1", "row1", fixture.now);
    CHECK(fixture.hasFound("STALE"));
}

TEST_CASE("The auditor finds answers that no member gave, and text that no client sent", "[soak]")
{
    AuditFixture fixture;
    fixture.write("w1");
    fixture.auditor.succeeded("w1", "sig-other", "", fixture.now);
    CHECK(fixture.hasFound("MIXED"));
    fixture.auditor.ran(fixture.run("w9", "WRITE 1 a"));
    CHECK(fixture.hasFound("UNASKED"));
}

TEST_CASE("The auditor finds a refused write that was kept, and one that was kept twice", "[soak]")
{
    AuditFixture fixture;
    fixture.write("w1");
    fixture.auditor.promisedNotRun("w1");
    fixture.auditor.committed({{"w1"}, fixture.group.append("m1", fixture.now).value(), "m1", false});
    fixture.auditor.finish();
    CHECK(fixture.hasFound("REFUSED"));
    CHECK(fixture.hasFound("TWICE"));
}

TEST_CASE("The auditor finds a write that a replaced primary acknowledged", "[soak]")
{
    AuditFixture fixture;
    fixture.sent("w1", "WRITE 1 a");
    fixture.auditor.ran(fixture.run("w1", "WRITE 1 a"));
    fixture.auditor.committed({{"w1"}, fixture.group.append("m1", fixture.now).value(), "m1", true});
    CHECK_FALSE(fixture.hasFound("ONE"));
    fixture.auditor.succeeded("w1", "sig-w1", "", fixture.now);
    CHECK(fixture.hasFound("ONE"));
}

TEST_CASE("The auditor finds statements outside their transaction and with another session's values", "[soak]")
{
    AuditFixture fixture;
    fixture.sent("t1", "READ 1", 1, 1);
    fixture.auditor.ran(fixture.run("t1", "READ 1", "m1", "row1"));
    CHECK(fixture.hasFound("PINNED"));
    AuditFixture other;
    other.sent("r1", "READ 1");
    RunStatement run = other.run("r1", "READ 1", "m1", "row1");
    run.values["zone"] = "z1";
    other.auditor.ran(run);
    CHECK(other.hasFound("PINNED"));
}

TEST_CASE("The auditor finds a statement that ran on a connection of another workspace", "[soak]")
{
    AuditFixture fixture;
    SentStatement statement = fixture.sent("r1", "READ 1");
    statement.id = "r2";
    statement.workspace = "mill";
    fixture.auditor.sent(statement);
    RunStatement run = fixture.run("r2", "READ 1", "m1", "row1");
    run.caller = "mill";
    fixture.auditor.ran(run);
    CHECK_FALSE(fixture.hasFound("CALLER"));
    run.caller = "quay";
    fixture.auditor.ran(run);
    CHECK(fixture.hasFound("CALLER"));
}

// The third run has more workspaces than members accept connections.
TEST_CASE("Real instances keep every promise under randomized faults and serve again afterwards", "[soak]")
{
    const auto [seed, workspaces] = GENERATE(table<std::uint32_t, int>({{20261204U, 0}, {20261205U, 0}, {20261206U, 20}}));
    SoakOptions options;
    options.seed = seed;
    options.workspaces = workspaces;
    options.faultsFor = 12s;
    options.daemon = RATTANBEAM_DAEMON;
    options.directory = "soak-" + std::to_string(seed);
    const SoakResult result = SoakFleet(options).run();
    std::string faults;
    for (const std::string &fault : result.faults) {
        faults += fault + '\n';
    }
    INFO("seed=" << seed << " logs in " << options.directory << '\n' << faults);
    for (const std::string &finding : result.findings) {
        UNSCOPED_INFO(finding);
    }
    CHECK(result.findings.empty());
    CHECK(result.counts.succeeded > 0);
    CHECK(result.isServedAgain);
}

} // namespace rattanbeam::systemtests::soak
