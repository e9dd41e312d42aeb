#include "rattanbeam/decisions/session/memberpace.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace rattanbeam::decisions::session::test
{

using namespace std::chrono_literals;
using Change = MemberPace::Change;

namespace
{

constexpr std::size_t slots = 6;

/// Number of answers, each in `ratio` times the usual time, after which the limit ends; at most 1000.
int answersUntilEnd(MemberPace &pace, double ratio)
{
    int answers = 0;
    while (pace.limit() && answers < 1000) {
        pace.answered(ratio);
        ++answers;
    }
    return answers;
}

} // namespace

// Guards against a flood of statements at a server with cold caches.
TEST_CASE("A member that has started is not given all slots at once, and gets them within a few answers", "[memberpace]")
{
    MemberPace pace;
    CHECK(pace.start(slots) == Change::Started);
    CHECK(pace.limit() == 1U);
    CHECK(answersUntilEnd(pace, 1) == 1 + 2 + 4);
}

TEST_CASE("A member in steady state is never limited, however slow single answers are", "[memberpace]")
{
    MemberPace pace;
    for (int i = 0; i < 1000; ++i) {
        pace.answered(i % 10 == 0 ? 50 : 1);
        if (i % 3 == 0) {
            pace.failed(slots); // a part of its statements fails
        }
        REQUIRE_FALSE(pace.limit());
    }
}

TEST_CASE("A member that fails all statements falls back, and never below one statement", "[memberpace]")
{
    MemberPace pace;
    std::size_t limit = slots;
    for (int i = 0; i < 100; ++i) {
        pace.failed(slots);
        const std::size_t next = pace.limit().value_or(slots);
        CHECK(next <= limit);
        CHECK(next >= 1);
        limit = next;
    }
    CHECK(limit == 1);
    CHECK(answersUntilEnd(pace, 1) < 10);
}

// Guards against a limit that leaves a member idle which is slow for another reason than its load.
TEST_CASE("A member that is slow at every limit gets all slots", "[memberpace]")
{
    MemberPace pace;
    pace.start(slots);
    CHECK(answersUntilEnd(pace, 8) == 1 + 2 + 4);
}

TEST_CASE("A member that becomes slow with its load is not given more", "[memberpace]")
{
    MemberPace pace;
    pace.start(slots);
    std::size_t highest = 0;
    for (int i = 0; i < 200; ++i) {
        REQUIRE(pace.limit());
        highest = std::max(highest, *pace.limit());
        pace.answered(*pace.limit() <= 2 ? 1 : 9);
    }
    CHECK(highest == 4);
    CHECK(*pace.limit() <= 4);
    CHECK(answersUntilEnd(pace, 1) < 10); // it is warm now
}

TEST_CASE("A limit that is held rises by one from time to time", "[memberpace]")
{
    MemberPace pace;
    pace.start(slots);
    pace.answered(1);
    REQUIRE(pace.limit() == 2U);
    for (int i = 0; i < 6; ++i) {
        pace.answered(3); // slower than usual, but not much
    }
    CHECK(pace.limit() == 3U);
}

TEST_CASE("A member with one slot has no limit", "[memberpace]")
{
    MemberPace pace;
    CHECK(pace.start(1) == Change::None);
    for (int i = 0; i < 10; ++i) {
        pace.failed(1);
    }
    CHECK_FALSE(pace.limit());
}

TEST_CASE("Answer times are compared with the usual ones of their rank", "[memberpace]")
{
    UsualAnswerTimes times;
    CHECK(times.ratioTo(Rank::Urgent, 100ms) == 1);
    times.answered(Rank::Urgent, 10ms);
    times.answered(Rank::Batch, 40ms);
    CHECK(times.ratioTo(Rank::Urgent, 100ms) == Approx(10));
    CHECK(times.ratioTo(Rank::Batch, 100ms) == Approx(2.5));
}

} // namespace rattanbeam::decisions::session::test
