// Property tests of failover under random schedules of requests and faults, also with single mechanisms disabled.

#include "failoverschedule.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "schedules.h"

#include <cstdlib>
#include <iostream>

namespace rattanbeam::decisions::test
{

namespace
{

constexpr std::chrono::seconds maxRecoveryTime{13}; // limit that deployments set for a change of the primary
constexpr std::uint32_t firstSeed = 20261204;
constexpr std::uint32_t scheduleCount = 3000;
constexpr std::uint32_t stepsPerSchedule = 400;

/// Runs many schedules; returns the first violation with its seed and step, or an empty string.
template<typename Mechanisms>
std::string findViolation()
{
    for (std::uint32_t seed = firstSeed; seed < firstSeed + scheduleCount; ++seed) {
        std::mt19937 choices(seed);
        FailoverSchedule<Mechanisms> schedule(seed);
        for (std::uint32_t i = 0; i < stepsPerSchedule; ++i) {
            schedule.step(choices());
            if (!schedule.violation().empty()) {
                return "seed " + std::to_string(seed) + ", step " + std::to_string(i) + ": " + schedule.violation();
            }
        }
        // Also after recovery: the unconfirmed writes of an old primary must not be acknowledged then.
        schedule.heal(maxRecoveryTime);
        if (!schedule.violation().empty()) {
            return "seed " + std::to_string(seed) + ", healed: " + schedule.violation();
        }
    }
    return {};
}

} // namespace

// Guards against the loss of an acknowledged write: a primary confirms a write that too few members hold, or a promotion
// chooses a member that lacks it. Also guards against split brain, when two attempts promote a primary in one term.
TEST_CASE("No acknowledged write is missing from a later primary, and no term has two primaries", "[failover]")
{
    rc::prop("over any schedule", [](std::uint32_t seed) {
        FailoverSchedule<AllMechanisms> schedule(seed);
        for (const std::uint32_t choice : *rattanbeam::test::scheduleChoices(stepsPerSchedule)) {
            schedule.step(choice);
        }
        RC_ASSERT(schedule.violation() == std::string());
    });
    CHECK(findViolation<AllMechanisms>() == std::string());
}

// Guards against a group that stays without a primary after all faults have ended, for instance because an abandoned
// promotion is never taken over or competing observers keep interrupting each other.
TEST_CASE("After all faults end, a group acknowledges writes again within the time limit", "[failover]")
{
    std::uint64_t promotions = 0;
    for (std::uint32_t seed = firstSeed; seed < firstSeed + scheduleCount; ++seed) {
        std::mt19937 choices(seed);
        FailoverSchedule<AllMechanisms> schedule(seed);
        for (std::uint32_t i = 0; i < stepsPerSchedule; ++i) {
            schedule.step(choices());
        }
        const auto recoveryTime = schedule.heal(maxRecoveryTime);
        INFO("seed " << seed);
        REQUIRE(recoveryTime.has_value());
        promotions += schedule.promotions();
    }
    INFO("promotions " << promotions);
    // Without promotions in the schedules this test would show little.
    CHECK(promotions > scheduleCount);
}

// Guards against schedules that are too weak to find lost writes: each run disables one mechanism and must find a violation.
TEST_CASE("With any one mechanism of failover disabled, some schedule violates a property", "[failover]")
{
    CHECK(findViolation<WithoutConfirmation>() != std::string());
    CHECK(findViolation<WithoutTermCheck>() != std::string());
    CHECK(findViolation<WithoutFencing>() != std::string());
    CHECK(findViolation<WithoutUpToDateChoice>() != std::string());
}

} // namespace rattanbeam::decisions::test
