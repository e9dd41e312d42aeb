// Properties of failover over schedules of faults, each also with one mechanism taken out.

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

constexpr std::chrono::seconds statedBound{13}; // for a change of primary, as the deployments ask
constexpr std::uint32_t firstSeed = 20261204;
constexpr std::uint32_t schedules = 3000;
constexpr std::uint32_t stepsInSchedule = 400;

/// Runs many schedules; returns the first violation found.
template<typename Mechanisms>
std::string findViolation()
{
    for (std::uint32_t seed = firstSeed; seed < firstSeed + schedules; ++seed) {
        std::mt19937 choices(seed);
        FailoverSchedule<Mechanisms> schedule(seed);
        for (std::uint32_t i = 0; i < stepsInSchedule; ++i) {
            schedule.step(choices());
            if (!schedule.violation().empty()) {
                return "seed " + std::to_string(seed) + ", step " + std::to_string(i) + ": " + schedule.violation();
            }
        }
        // Also once all is well again: an old primary's writes must not surface.
        schedule.heal(statedBound);
        if (!schedule.violation().empty()) {
            return "seed " + std::to_string(seed) + ", healed: " + schedule.violation();
        }
    }
    return {};
}

} // namespace

TEST_CASE("No acknowledged write is missing from a later primary, and no term has two primaries", "[failover]")
{
    rc::prop("over any schedule", [](std::uint32_t seed) {
        FailoverSchedule<AllMechanisms> schedule(seed);
        for (const std::uint32_t choice : *rattanbeam::test::scheduleOf(stepsInSchedule)) {
            schedule.step(choice);
        }
        RC_ASSERT(schedule.violation() == std::string());
    });
    CHECK(findViolation<AllMechanisms>() == std::string());
}

TEST_CASE("A healed group acknowledges writes again within the stated bound", "[failover]")
{
    std::uint64_t promotions = 0;
    for (std::uint32_t seed = firstSeed; seed < firstSeed + schedules; ++seed) {
        std::mt19937 choices(seed);
        FailoverSchedule<AllMechanisms> schedule(seed);
        for (std::uint32_t i = 0; i < stepsInSchedule; ++i) {
            schedule.step(choices());
        }
        const auto served = schedule.heal(statedBound);
        INFO("seed " << seed);
        REQUIRE(served.has_value());
        promotions += schedule.promotions();
    }
    INFO("promotions " << promotions);
    // Schedules in which nothing is ever promoted would prove little.
    CHECK(promotions > schedules);
}

TEST_CASE("Each mechanism of failover is needed: without it a schedule loses an acknowledged write", "[failover]")
{
    CHECK(findViolation<WithoutConfirmation>() != std::string());
    CHECK(findViolation<WithoutTermCheck>() != std::string());
    CHECK(findViolation<WithoutFencing>() != std::string());
    CHECK(findViolation<WithoutBestChoice>() != std::string());
}

} // namespace rattanbeam::decisions::test
