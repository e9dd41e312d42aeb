// Properties of a member's home over any order of requests, answers, connection losses and term changes.

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

/// Runs long schedules from fixed seeds and returns the first violation, or an empty text. Adds the successful requests to
/// `succeeded`.
template<typename Mechanisms>
std::string findViolation(std::size_t &succeeded)
{
    for (std::uint32_t seed = 1; seed <= 300; ++seed) {
        std::mt19937 random(seed);
        HomeSchedule<Mechanisms> schedule;
        for (int i = 0; i < 2000; ++i) {
            schedule.step(random());
        }
        schedule.finish();
        if (!schedule.violation().empty()) {
            return "seed " + std::to_string(seed) + ": " + schedule.violation();
        }
        succeeded += schedule.succeeded();
    }
    return {};
}

} // namespace

TEST_CASE("Every request gets one reply with a true verdict, and no other request runs on a transaction's connection", "[home]")
{
    std::size_t succeeded = 0;
    rc::prop("over any schedule", [&succeeded] {
        HomeSchedule<AllHomeMechanisms> schedule;
        for (const std::uint32_t choice : *rattanbeam::test::scheduleChoices(400)) {
            schedule.step(choice);
        }
        schedule.finish();
        succeeded += schedule.succeeded();
        RC_ASSERT(schedule.violation() == std::string());
    });
    CHECK(succeeded > 0);
}

TEST_CASE("A home keeps its guarantees over long schedules", "[home]")
{
    std::size_t succeeded = 0;
    CHECK(findViolation<AllHomeMechanisms>(succeeded) == std::string());
    // Schedules in which few requests succeed would prove little.
    CHECK(succeeded > 10'000);
}

// Guards against schedules that are too weak to find violations: each run disables the confirmation of writes, the correlation
// check or the closing of doubtful connections, and must find a violation.
TEST_CASE("With any one mechanism of a home disabled, some schedule violates a guarantee", "[home]")
{
    std::size_t succeeded = 0;
    CHECK(findViolation<WithoutWriteConfirmation>(succeeded) != std::string());
    CHECK(findViolation<WithoutCorrelationCheck>(succeeded) != std::string());
    CHECK(findViolation<WithoutConnectionDropping>(succeeded) != std::string());
}

// The home first sees its member fenced in term 2, and only then as the primary of that term. If the first status counted as the
// start of the term, the writes of term 2 would never be confirmed.
TEST_CASE("A home whose member was fenced confirms writes after the member is promoted in the same term", "[home]")
{
    const TimePoint now{std::chrono::hours(1)};
    HomeLimits limits;
    limits.connections = 4;
    MemberHome home(limits, 1);
    MemberStatus status;
    status.term = 2;
    status.history = TermHistory({{1, 0}});
    home.memberStatusReceived(status, now, now);
    status.isPrimary = true;
    status.history.append({2, 10});
    status.held = {2, 11};
    status.applied = 11;
    home.memberStatusReceived(status, now, now);
    home.otherStatusReceived(otherMember, status, now);
    HomeRequest write;
    write.id = 1;
    write.isWrite = true;
    write.deadline = now + std::chrono::seconds(1);
    home.requestArrived(write, now);
    home.connectionOpened(1, now);
    home.answered(1, 1, {Outcome{}, {2, 12}}, now);
    const HomeActions actions = home.heldPositionReported(otherMember, 2, 12, now);
    REQUIRE(actions.size() == 1);
    CHECK(std::get<ReplyToRequest>(actions.front()).outcome.isSuccess());
}

} // namespace rattanbeam::decisions::test
