#include "rattanbeam/decisions/session/departedruns.h"

#include <catch2/catch.hpp>

#include <vector>

namespace rattanbeam::decisions::session::test
{

using namespace std::chrono_literals;

namespace
{

using Cause = DepartedRuns::Cause;

const MemberRun firstRun{MemberId("m3"), 1};
const MemberRun secondRun{MemberId("m3"), 2};
constexpr TimePoint start{1000s};

} // namespace

// Guards against the loss of commits that a run received after its registration had disappeared.
TEST_CASE("A run out of reach is awaited whatever the other replicas have received", "[departedruns]")
{
    DepartedRuns runs;
    runs.unregistered(firstRun, start);
    runs.primaryAnswered({1, 10}, start + 1s);
    CHECK(runs.update({{1, 10}, {1, 10}}, 1, true, start + 2s).empty());
    CHECK(runs.awaited() == std::vector{firstRun});
    CHECK(runs.absence(firstRun, start + 2s) == Duration(2s));
}

TEST_CASE("A run that has ended is forgotten once enough replicas have received what the primary had after its end", "[departedruns]")
{
    DepartedRuns runs;
    runs.unregistered(firstRun, start);
    runs.ended(firstRun, start + 3s);
    // Guards against a position from before the end: the run may have received later commits.
    runs.primaryAnswered({1, 10}, start + 2s);
    CHECK(runs.update({{1, 10}, {1, 10}}, 1, true, start + 3s).empty());
    runs.primaryAnswered({1, 12}, start + 4s);
    CHECK(runs.update({{1, 12}, {1, 11}}, 2, true, start + 4s).empty());
    CHECK(runs.update({{1, 12}, {1, 11}}, 1, true, start + 4s)
          == std::vector<DepartedRuns::Forgotten>{{firstRun, Cause::ReceivedElsewhere}});
    CHECK_FALSE(runs.isAwaited(firstRun.member));
    CHECK(runs.contains(firstRun.member));
    runs.dropForgottenExcept({firstRun.member});
    CHECK(runs.contains(firstRun.member));
    runs.dropForgottenExcept({});
    CHECK_FALSE(runs.contains(firstRun.member));
}

TEST_CASE("A run that stays out of reach counts as ended after the timeout", "[departedruns]")
{
    DepartedRuns runs;
    runs.unregistered(firstRun, start);
    const TimePoint endedAt = start + DepartedRuns::timeout;
    CHECK(runs.update({}, 1, true, endedAt).empty());
    SECTION("and is forgotten once its commits are elsewhere")
    {
        runs.primaryAnswered({1, 10}, endedAt + 1s);
        CHECK(runs.update({{1, 10}}, 1, true, endedAt + 1s).size() == 1);
    }
    SECTION("and is forgotten by a home that does not use the primary after another timeout")
    {
        CHECK(runs.update({}, 1, true, endedAt + DepartedRuns::timeout - 1s).empty());
        CHECK(runs.update({}, 1, true, endedAt + DepartedRuns::timeout)
              == std::vector<DepartedRuns::Forgotten>{{firstRun, Cause::TimedOut}});
    }
}

TEST_CASE("A run that is registered again is no longer awaited, but earlier runs of the member are", "[departedruns]")
{
    DepartedRuns runs;
    runs.unregistered(firstRun, start);
    SECTION("the same run")
    {
        runs.registered(firstRun, start + 5s);
        CHECK(runs.awaited().empty());
    }
    SECTION("a later run")
    {
        runs.registered(secondRun, start + 5s);
        CHECK(runs.awaited() == std::vector{firstRun});
        runs.primaryAnswered({1, 10}, start + 5s); // the earlier run has ended
        CHECK(runs.update({{1, 10}}, 1, true, start + 5s).size() == 1);
    }
    SECTION("a run of unknown incarnation")
    {
        runs.unregistered({MemberId("m4"), 0}, start);
        runs.registered({MemberId("m4"), 7}, start + 5s);
        CHECK_FALSE(runs.contains(MemberId("m4")));
    }
}

// Guards against a group that stays without a primary for good.
TEST_CASE("Without a primary, a run is given up after the timeout", "[departedruns]")
{
    DepartedRuns runs;
    const MemberRun other{MemberId("m4"), 1};
    runs.ended(firstRun, start);
    runs.unregistered(other, start + 10s);
    const TimePoint leaderlessSince = start + 5s;
    CHECK_FALSE(runs.giveUp(firstRun, leaderlessSince, leaderlessSince + DepartedRuns::timeout - 1s));
    CHECK(runs.giveUp(firstRun, leaderlessSince, leaderlessSince + DepartedRuns::timeout));
    CHECK_FALSE(runs.giveUp(other, leaderlessSince, leaderlessSince + DepartedRuns::timeout));
    CHECK(runs.awaited() == std::vector{other});
    CHECK(runs.giveUp(other, leaderlessSince, start + 10s + DepartedRuns::timeout));
    CHECK(runs.awaited().empty());
}

// Guards against unbounded memory: a member may start again any number of times.
TEST_CASE("Of the runs of a member that have ended, only the last one is kept", "[departedruns]")
{
    DepartedRuns runs;
    for (std::uint64_t incarnation = 1; incarnation <= 5; ++incarnation) {
        runs.ended({MemberId("m3"), incarnation}, start + std::chrono::seconds(incarnation));
    }
    CHECK(runs.awaited() == std::vector{MemberRun{MemberId("m3"), 5}});
}

TEST_CASE("A change of primary leaves only the runs that have not ended", "[departedruns]")
{
    DepartedRuns runs;
    runs.ended(firstRun, start);
    const MemberRun other{MemberId("m4"), 1};
    runs.unregistered(other, start);
    runs.primaryChanged();
    CHECK(runs.awaited() == std::vector{other});
}

} // namespace rattanbeam::decisions::session::test
