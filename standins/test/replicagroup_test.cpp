#include "rattanbeam/standins/sessions/replicagroup.h"

#include <catch2/catch.hpp>

namespace rattanbeam::standins::sessions
{

using namespace std::chrono_literals;

TEST_CASE("Replicas receive and apply commits after their lag", "[replicagroup]")
{
    ReplicaGroup group({"m1", "m2", "m3"});
    const Clock::time_point start = Clock::now();
    REQUIRE(group.append("m1", start));
    CHECK_FALSE(group.append("m2", start));
    group.advance(start + 5ms);
    CHECK(group.member("m2").log.size() == 1);
    CHECK(group.member("m2").applied == 0);
    group.advance(start + 25ms);
    CHECK(group.member("m2").applied == 1);
}

TEST_CASE("A promoted member leads with what it had received, and the rest is cut back", "[replicagroup]")
{
    ReplicaGroup group({"m1", "m2", "m3"});
    const Clock::time_point start = Clock::now();
    group.member("m2").isDeaf = true;
    const LogEntry lost = group.append("m1", start).value();
    group.advance(start + 50ms);
    CHECK(group.survives(lost));
    REQUIRE(group.promote("m2", start + 50ms));
    group.advance(start + 500ms);
    CHECK(group.leader() == "m2");
    CHECK_FALSE(group.survives(lost));
    group.advance(start + 600ms);
    CHECK(group.member("m3").log.empty());
    group.advance(start + 2s);
    CHECK_FALSE(group.member("m1").isPrimary);
}

TEST_CASE("A fenced replica receives nothing until it is resumed", "[replicagroup]")
{
    ReplicaGroup group({"m1", "m2", "m3"});
    const Clock::time_point start = Clock::now();
    group.suspend("m2", 2);
    group.append("m1", start);
    group.advance(start + 50ms);
    CHECK(group.member("m2").log.empty());
    group.member("m2").fencedAt = 0;
    group.advance(start + 50ms);
    CHECK(group.member("m2").log.size() == 1);
}

TEST_CASE("A member that is down is not promoted", "[replicagroup]")
{
    ReplicaGroup group({"m1", "m2", "m3"});
    group.setUp("m2", false);
    CHECK_FALSE(group.promote("m2", Clock::now()));
}

} // namespace rattanbeam::standins::sessions
