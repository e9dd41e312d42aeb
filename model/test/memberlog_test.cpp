#include "rattanbeam/model/memberlog.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace rattanbeam::model::test
{

namespace
{

using Log = MemberLog<int>;

/// The longest common prefix, entry by entry.
std::uint64_t naiveCommonPrefix(const Log &mine, const Log &theirs)
{
    std::uint64_t length = 0;
    while (length < mine.end() && length < theirs.end() && mine.entries()[length].at == theirs.entries()[length].at) {
        ++length;
    }
    return length;
}

Log primaryOfTerm(Term term)
{
    Log log;
    log.fence(term, AttemptId("attempt"));
    log.promote(term, AttemptId("attempt"));
    return log;
}

} // namespace

TEST_CASE("A late batch does not shorten a reconciled log", "[memberlog]")
{
    Log primary = primaryOfTerm(1);
    Log follower;
    follower.follow(1);
    const auto early = primary.batchFor(1, follower.history(), follower.end(), 10);
    primary.append(1, 7);
    follower.accept(primary.batchFor(1, follower.history(), follower.end(), 10));
    REQUIRE(follower.end() == 2);
    follower.accept(early);
    CHECK(follower.end() == 2);
}

TEST_CASE("A fenced member takes and confirms nothing of an earlier term", "[memberlog]")
{
    Log primary = primaryOfTerm(1);
    Log follower;
    follower.follow(1);
    follower.accept(primary.batchFor(1, follower.history(), follower.end(), 10));
    REQUIRE(follower.heldUnder(1) == 1);
    REQUIRE(follower.fence(2, AttemptId("second")));
    primary.append(1, 7);
    follower.accept(primary.batchFor(1, follower.history(), follower.end(), 10));
    CHECK(follower.end() == 1);
    CHECK(follower.heldUnder(1) == 0);
    CHECK_FALSE(follower.follow(1));
}

TEST_CASE("A follower confirms nothing before its log is reconciled with the new primary", "[memberlog]")
{
    Log stray = primaryOfTerm(2);
    stray.append(2, 1);
    Log primary = primaryOfTerm(3);
    REQUIRE(stray.follow(3));
    CHECK(stray.heldUnder(3) == 0);
    stray.accept(primary.batchFor(3, stray.history(), stray.end(), 10));
    CHECK(stray.entries() == primary.entries());
    CHECK(stray.heldUnder(3) == 1);
}

TEST_CASE("The common prefix by terms equals the one by entries", "[memberlog]")
{
    rc::prop("for logs that grew from each other through promotions", [](const std::vector<std::uint8_t> &steps) {
        std::array<Log, 3> logs;
        Term term = 0;
        std::size_t primary = 0;
        for (const std::uint8_t step : steps) {
            const std::size_t who = (step / 8) % logs.size();
            if (step % 8 < 2) {
                ++term;
                const AttemptId attempt(std::to_string(term));
                logs[who].fence(term, attempt);
                logs[who].promote(term, attempt);
                primary = who;
            } else if (step % 8 < 5) {
                logs[primary].append(term, step);
            } else if (who != primary && term > 0) {
                logs[who].follow(term);
                logs[who].accept(logs[primary].batchFor(term, logs[who].history(), logs[who].end(), 1 + step % 3));
            }
        }
        for (const Log &mine : logs) {
            for (const Log &theirs : logs) {
                RC_ASSERT(commonPrefix(mine.history(), mine.end(), theirs.history(), theirs.end()) == naiveCommonPrefix(mine, theirs));
            }
        }
    });
}

} // namespace rattanbeam::model::test
