// Properties of a service's homes over schedules of faults.

#include "groupschedule.h"

#include <catch2/catch.hpp>

#include <string>

namespace rattanbeam::decisions::session::test
{

namespace
{

constexpr std::uint32_t firstSeed = 20261204;
constexpr std::uint32_t schedules = 150;
constexpr int stepsInSchedule = 1500; // of ten milliseconds
constexpr int healingSteps = 1200;

} // namespace

TEST_CASE("No client is told what the members did not do, over any schedule of faults", "[groupschedule]")
{
    std::size_t acknowledged = 0;
    std::size_t promotions = 0;
    for (std::uint32_t seed = firstSeed; seed < firstSeed + schedules; ++seed) {
        GroupSchedule schedule(seed);
        for (int i = 0; i < stepsInSchedule && schedule.violation().empty(); ++i) {
            schedule.step();
        }
        INFO("seed " << seed);
        REQUIRE(schedule.violation() == std::string());
        acknowledged += schedule.acknowledged();
        promotions += schedule.promotions();
    }
    // The schedules do exercise what they are meant to.
    CHECK(acknowledged > 10'000);
    CHECK(promotions > 20);
}

TEST_CASE("A healed group answers again", "[groupschedule]")
{
    for (std::uint32_t seed = firstSeed; seed < firstSeed + schedules / 5; ++seed) {
        GroupSchedule schedule(seed);
        for (int i = 0; i < stepsInSchedule; ++i) {
            schedule.step();
        }
        schedule.heal();
        for (int i = 0; i < healingSteps; ++i) {
            schedule.step();
        }
        const std::size_t before = schedule.acknowledged();
        for (int i = 0; i < 100; ++i) {
            schedule.step();
        }
        INFO("seed " << seed);
        CHECK(schedule.acknowledged() > before + 20);
        CHECK(schedule.violation() == std::string());
    }
}

} // namespace rattanbeam::decisions::session::test
