// Runs a service's homes through random schedules of faults. Guards against wrong replies to clients during faults, and against a
// group that stays unavailable after them.

#include "groupschedule.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace rattanbeam::decisions::session::test
{

namespace
{

constexpr std::uint32_t firstSeed = 20261204;
constexpr std::uint32_t scheduleCount = 150;
constexpr int stepsPerSchedule = 1500; // 10 ms each
constexpr int recoverySteps = 1200;

} // namespace

TEST_CASE("Replies to clients agree with what the members did, under any schedule of faults", "[groupschedule]")
{
    std::size_t acknowledged = 0;
    std::size_t promotions = 0;
    // In the first schedule, a home is paused while the candidate for a promotion restarts and loses its fence.
    std::vector<std::uint32_t> seeds{52995};
    for (std::uint32_t seed = firstSeed; seed < firstSeed + scheduleCount; ++seed) {
        seeds.push_back(seed);
    }
    for (const std::uint32_t seed : seeds) {
        GroupSchedule schedule(seed);
        for (int i = 0; i < stepsPerSchedule && schedule.violation().empty(); ++i) {
            schedule.step();
        }
        INFO("seed " << seed);
        REQUIRE(schedule.violation() == std::string());
        acknowledged += schedule.acknowledgedCount();
        promotions += schedule.promotionCount();
    }
    // Guards against schedules that cause neither load nor failovers.
    CHECK(acknowledged > 10'000);
    CHECK(promotions > 20);
}

// Guards against statements that run under the wrong caller. Many more workspaces than connections make homes close some for others.
TEST_CASE("No statement is sent on a connection of another workspace, under any schedule of faults", "[groupschedule]")
{
    std::size_t acknowledged = 0;
    std::size_t overloads = 0;
    std::uint64_t closedForRoom = 0;
    for (std::uint32_t seed = firstSeed; seed < firstSeed + scheduleCount / 3; ++seed) {
        GroupSchedule schedule(seed, 40);
        for (int i = 0; i < stepsPerSchedule && schedule.violation().empty(); ++i) {
            schedule.step();
        }
        INFO("seed " << seed);
        REQUIRE(schedule.violation() == std::string());
        acknowledged += schedule.acknowledgedCount();
        overloads += schedule.overloadCount();
        closedForRoom += schedule.closedForRoomCount();
    }
    CHECK(acknowledged > 3'000);
    CHECK(overloads > 100);
    CHECK(closedForRoom > 100);
}

namespace
{

/// Number of writes that are acknowledged in the next second.
std::size_t acknowledgedInOneSecond(GroupSchedule &schedule)
{
    const std::size_t before = schedule.acknowledgedCount();
    for (int i = 0; i < 100; ++i) {
        schedule.step();
    }
    return schedule.acknowledgedCount() - before;
}

/// Runs schedules with synchronous replicas, and checks that the group answers requests again once their faults have ended.
void checkSynchronousSchedules(bool hasDepartures, std::vector<std::uint32_t> seeds)
{
    for (std::uint32_t seed = firstSeed; seed < firstSeed + scheduleCount / 2; ++seed) {
        seeds.push_back(seed);
    }
    // A run that has lost its log is awaited until it is given up.
    const int extraRecoverySeconds = hasDepartures ? static_cast<int>(DepartedRuns::timeout / 1s) : 0;
    std::size_t acknowledged = 0;
    std::size_t promotions = 0;
    for (const std::uint32_t synchronousReplicas : {1U, 2U}) {
        for (const std::uint32_t seed : seeds) {
            GroupSchedule schedule(seed, 0, synchronousReplicas, false, hasDepartures);
            for (int i = 0; i < stepsPerSchedule && schedule.violation().empty(); ++i) {
                schedule.step();
            }
            INFO("seed " << seed << ", synchronous replicas " << synchronousReplicas);
            REQUIRE(schedule.violation() == std::string());
            acknowledged += schedule.acknowledgedCount();
            promotions += schedule.promotionCount();
            schedule.endFaults();
            for (int i = 0; i < recoverySteps; ++i) {
                schedule.step();
            }
            std::size_t recent = acknowledgedInOneSecond(schedule);
            for (int i = 0; i < extraRecoverySeconds && recent <= 20; ++i) {
                recent = acknowledgedInOneSecond(schedule);
            }
            CHECK(recent > 20);
            CHECK(schedule.violation() == std::string());
        }
    }
    CHECK(acknowledged > 5'000);
    CHECK(promotions > 20);
}

} // namespace

// Guards against the promotion of a member that lacks acknowledged commits, and against a group that waits for them for good.
TEST_CASE("No acknowledged write is lost by a promotion if commits are synchronous, under any schedule of faults", "[groupschedule]")
{
    checkSynchronousSchedules(false, {});
}

// Guards against the same if members are out of reach, or start again without their logs. The first seeds once lost writes.
TEST_CASE("No acknowledged write is lost by a promotion if commits are synchronous and members come and go", "[groupschedule]")
{
    checkSynchronousSchedules(true, {20263040, 20263488, 20263892, 20263929, 20264028, 20264314});
}

TEST_CASE("A group answers requests again after all faults have ended", "[groupschedule]")
{
    // In the first schedule, the store is away at the first request.
    std::vector<std::uint32_t> seeds{30200065};
    for (std::uint32_t seed = firstSeed; seed < firstSeed + scheduleCount / 5; ++seed) {
        seeds.push_back(seed);
    }
    for (const std::uint32_t seed : seeds) {
        GroupSchedule schedule(seed);
        for (int i = 0; i < stepsPerSchedule; ++i) {
            schedule.step();
        }
        schedule.endFaults();
        for (int i = 0; i < recoverySteps; ++i) {
            schedule.step();
        }
        const std::size_t before = schedule.acknowledgedCount();
        for (int i = 0; i < 100; ++i) {
            schedule.step();
        }
        INFO("seed " << seed);
        CHECK(schedule.acknowledgedCount() > before + 20);
        CHECK(schedule.violation() == std::string());
    }
}

// Guards against a primary that is appointed from a restored or lost term record while another leads, against fencing tokens that go
// back with the store's revisions, and against homes that never find back to the term.
TEST_CASE("Replies agree with what the members did although the store comes back from older copies", "[groupschedule]")
{
    std::size_t acknowledged = 0;
    std::size_t promotions = 0;
    std::uint64_t epochs = 0;
    for (std::uint32_t seed = firstSeed; seed < firstSeed + scheduleCount; ++seed) {
        GroupSchedule schedule(seed, 0, 0, true);
        for (int i = 0; i < stepsPerSchedule && schedule.violation().empty(); ++i) {
            schedule.step();
        }
        INFO("seed " << seed);
        REQUIRE(schedule.violation() == std::string());
        acknowledged += schedule.acknowledgedCount();
        promotions += schedule.promotionCount();
        epochs += schedule.storeEpoch();
    }
    CHECK(acknowledged > 10'000);
    CHECK(promotions > 20);
    CHECK(epochs > scheduleCount);
}

TEST_CASE("A group answers requests again after the store has come back from older copies", "[groupschedule]")
{
    for (std::uint32_t seed = firstSeed; seed < firstSeed + scheduleCount / 3; ++seed) {
        GroupSchedule schedule(seed, 0, 0, true);
        for (int i = 0; i < stepsPerSchedule; ++i) {
            schedule.step();
        }
        schedule.endFaults();
        for (int i = 0; i < 2 * recoverySteps; ++i) {
            schedule.step();
        }
        const std::size_t before = schedule.acknowledgedCount();
        for (int i = 0; i < 100; ++i) {
            schedule.step();
        }
        INFO("seed " << seed);
        CHECK(schedule.acknowledgedCount() > before + 20);
        CHECK(schedule.violation() == std::string());
    }
}

} // namespace rattanbeam::decisions::session::test
