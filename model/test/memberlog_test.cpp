#include "rattanbeam/model/memberlog.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace rattanbeam::model::test
{

namespace
{

using Log = MemberLog<int>;

/// The length of the longest common prefix, found by comparing the entries one by one.
std::uint64_t commonPrefixLengthByEntries(const Log &first, const Log &second)
{
    std::uint64_t length = 0;
    while (length < first.end() && length < second.end() && first.entries()[length].at == second.entries()[length].at) {
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

// Guards against the loss of a confirmed entry: a batch that was made before the last append arrives after it, and its end of
// the primary's log is before the end of the follower's log.
TEST_CASE("A delayed batch does not shorten a reconciled log", "[memberlog]")
{
    Log primary = primaryOfTerm(1);
    Log follower;
    follower.follow(1);
    const auto earlyBatch = primary.batchFor(1, follower.history(), follower.end(), 10);
    primary.append(1, 7);
    follower.accept(primary.batchFor(1, follower.history(), follower.end(), 10));
    REQUIRE(follower.end() == 2);
    follower.accept(earlyBatch);
    CHECK(follower.end() == 2);
}

// Guards against writes that a replaced primary still gets confirmed: it keeps writing and sends a batch of its term after the
// follower was fenced.
TEST_CASE("A fenced member accepts and confirms no entries of an earlier term", "[memberlog]")
{
    Log primary = primaryOfTerm(1);
    Log follower;
    follower.follow(1);
    follower.accept(primary.batchFor(1, follower.history(), follower.end(), 10));
    REQUIRE(follower.heldPosition(1) == 1);
    REQUIRE(follower.fence(2, AttemptId("second")));
    primary.append(1, 7);
    follower.accept(primary.batchFor(1, follower.history(), follower.end(), 10));
    CHECK(follower.end() == 1);
    CHECK(follower.heldPosition(1) == 0);
    CHECK_FALSE(follower.follow(1));
}

// Guards against the confirmation of entries that the new primary does not have: a replaced primary has a longer log of its
// own term when it starts to follow.
TEST_CASE("A follower confirms nothing before its log is reconciled with the new primary", "[memberlog]")
{
    Log replacedPrimary = primaryOfTerm(2);
    replacedPrimary.append(2, 1);
    Log primary = primaryOfTerm(3);
    REQUIRE(replacedPrimary.follow(3));
    CHECK(replacedPrimary.heldPosition(3) == 0);
    replacedPrimary.accept(primary.batchFor(3, replacedPrimary.history(), replacedPrimary.end(), 10));
    CHECK(replacedPrimary.entries() == primary.entries());
    CHECK(replacedPrimary.heldPosition(3) == 1);
}

// Guards against a follower that keeps entries which the primary does not have, or removes entries that both have, because the
// term histories give another common prefix than the entries.
TEST_CASE("The common prefix computed from terms equals the one computed from entries", "[memberlog]")
{
    rc::prop("for logs that were replicated from each other between promotions", [](const std::vector<std::uint8_t> &steps) {
        std::array<Log, 3> logs;
        Term term = 0;
        std::size_t primary = 0;
        for (const std::uint8_t step : steps) {
            const std::size_t member = (step / 8) % logs.size();
            if (step % 8 < 2) {
                ++term;
                const AttemptId attempt(std::to_string(term));
                logs[member].fence(term, attempt);
                logs[member].promote(term, attempt);
                primary = member;
            } else if (step % 8 < 5) {
                logs[primary].append(term, step);
            } else if (member != primary && term > 0) {
                logs[member].follow(term);
                logs[member].accept(logs[primary].batchFor(term, logs[member].history(), logs[member].end(), 1 + step % 3));
            }
        }
        for (const Log &first : logs) {
            for (const Log &second : logs) {
                RC_ASSERT(commonPrefixLength(first.history(), first.end(), second.history(), second.end())
                          == commonPrefixLengthByEntries(first, second));
            }
        }
    });
}

} // namespace rattanbeam::model::test
