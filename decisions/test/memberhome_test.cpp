// Properties of a member's home over any order of requests, answers, losses and term changes.

#include "homeschedule.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "schedules.h"

#include <map>
#include <optional>
#include <random>
#include <set>

namespace rattanbeam::decisions::test
{

namespace
{

template<typename Mechanisms>
std::string findViolation(std::size_t &succeeded)
{
    for (std::uint32_t seed = 1; seed <= 300; ++seed) {
        std::mt19937 random(seed);
        HomeSchedule<Mechanisms> schedule;
        for (int i = 0; i < 2000; ++i) {
            schedule.step(random());
        }
        schedule.end();
        if (!schedule.violation().empty()) {
            return "seed " + std::to_string(seed) + ": " + schedule.violation();
        }
        succeeded += schedule.succeeded();
    }
    return {};
}

} // namespace

TEST_CASE("Every request gets one reply with a true verdict, and transactions keep their connections to themselves", "[home]")
{
    std::size_t succeeded = 0;
    rc::prop("over any schedule", [&succeeded] {
        HomeSchedule<AllMechanisms> schedule;
        for (const std::uint32_t choice : *rattanbeam::test::scheduleOf(400)) {
            schedule.step(choice);
        }
        schedule.end();
        succeeded += schedule.succeeded();
        RC_ASSERT(schedule.violation() == std::string());
    });
    CHECK(succeeded > 0);
}

TEST_CASE("A long schedule of a home keeps all promises", "[home]")
{
    std::size_t succeeded = 0;
    CHECK(findViolation<AllMechanisms>(succeeded) == std::string());
    // Schedules in which hardly anything succeeds would prove little.
    CHECK(succeeded > 10'000);
}

TEST_CASE("Each mechanism of a home is needed: without it a schedule breaks a promise", "[home]")
{
    std::size_t succeeded = 0;
    CHECK(findViolation<WithoutConfirmation>(succeeded) != std::string());
    CHECK(findViolation<WithoutCorrelation>(succeeded) != std::string());
    CHECK(findViolation<WithoutDropping>(succeeded) != std::string());
}

TEST_CASE("A home that saw its member fenced confirms the writes of the term that the member is then promoted in", "[home]")
{
    const TimePoint now{std::chrono::hours(1)};
    HomeLimits limits;
    limits.connections = 4;
    MemberHome home(limits, 1);
    MemberStatus status;
    status.term = 2;
    status.history = TermHistory({{1, 0}});
    home.memberSeen(status, now, now);
    status.isPrimary = true;
    status.history.append({2, 10});
    status.held = {2, 11};
    status.applied = 11;
    home.memberSeen(status, now, now);
    home.otherSeen(otherMember, status, now);
    HomeRequest write;
    write.id = 1;
    write.isWrite = true;
    write.deadline = now + std::chrono::seconds(1);
    home.arrived(write, now);
    home.connectionOpened(1, now);
    home.answered(1, 1, {Outcome{}, {2, 12}}, now);
    const HomeActions actions = home.otherHolds(otherMember, 2, 12, now);
    REQUIRE(actions.size() == 1);
    CHECK(std::get<ReplyToRequest>(actions.front()).outcome.isSuccess());
}

} // namespace rattanbeam::decisions::test
