#include "rattanbeam/decisions/logposition.h"

#include "rattanbeam/model/memberlog.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <array>

namespace rattanbeam::decisions::test
{

namespace
{

using Log = model::MemberLog<int>;

/// The rule that the design started from: covered when the position is reached and no later term started below it.
/// A token of it names the term that the member was in, not the term of the entry.
Coverage coverageByTermStarts(const LogPosition &required, std::uint64_t applied, const TermHistory &history)
{
    if (applied < required.position) {
        return Coverage::Behind;
    }
    const bool overtaken = std::any_of(history.starts().begin(), history.starts().end(), [&](const TermStart &each) {
        return each.term > required.term && each.start < required.position;
    });
    return overtaken ? Coverage::Lost : Coverage::Covered;
}

bool holds(const Log &log, const LogPosition &at)
{
    return at.position == 0 || (at.position <= log.end() && log.entries()[at.position - 1].at == at);
}

/// Three logs after promotions, appends and pulls, some of them of primaries that had been replaced without knowing.
std::array<Log, 3> grow(const std::vector<std::uint8_t> &steps)
{
    std::array<Log, 3> logs;
    Term term = 0;
    for (const std::uint8_t step : steps) {
        Log &log = logs[(step / 8) % logs.size()];
        Log &other = logs[(step / 8 + 1 + step % 2) % logs.size()];
        if (step % 8 < 2) {
            ++term;
            log.fence(term, AttemptId(std::to_string(term)));
            log.promote(term, AttemptId(std::to_string(term)));
        } else if (step % 8 < 5) {
            log.append(log.term(), step);
        } else {
            log.follow(other.term());
            log.accept(other.batchFor(log.term(), log.history(), log.end(), 1 + step % 3));
        }
    }
    return logs;
}

} // namespace

TEST_CASE("A covered entry is in the member's log, and a lost one can only be another's", "[coverage]")
{
    rc::prop("for logs of any history", [](const std::vector<std::uint8_t> &steps) {
        const std::array<Log, 3> logs = grow(steps);
        for (const Log &reader : logs) {
            for (const Log &writer : logs) {
                for (const auto &entry : writer.entries()) {
                    const Coverage coverage = coverageOf(entry.at, reader.end(), reader.history());
                    RC_ASSERT((coverage == Coverage::Covered) == holds(reader, entry.at));
                }
            }
        }
    });
}

TEST_CASE("The starts of terms alone call a lost entry covered", "[coverage]")
{
    // A primary of term 2 that was replaced before it knew writes at position 2; term 3 starts later, from a longer log
    // of term 1.
    std::array<Log, 2> logs;
    logs[0].fence(1, AttemptId("1"));
    logs[0].promote(1, AttemptId("1"));
    logs[1].follow(1);
    logs[1].accept(logs[0].batchFor(1, logs[1].history(), logs[1].end(), 10));
    logs[0].append(1, 1);
    logs[0].append(1, 2);
    logs[1].fence(2, AttemptId("2"));
    logs[1].promote(2, AttemptId("2"));
    const LogPosition seen = logs[1].last();
    logs[0].fence(3, AttemptId("3"));
    logs[0].promote(3, AttemptId("3"));

    REQUIRE_FALSE(holds(logs[0], seen));
    CHECK(coverageByTermStarts(seen, logs[0].end(), logs[0].history()) == Coverage::Covered);
    CHECK(coverageOf(seen, logs[0].end(), logs[0].history()) == Coverage::Lost);
}

TEST_CASE("An entry of a term that the member has not heard of is not covered yet", "[coverage]")
{
    const TermHistory history({{1, 0}});
    CHECK(coverageOf({2, 5}, 9, history) == Coverage::Behind);
    CHECK(coverageOf({1, 5}, 9, history) == Coverage::Covered);
    CHECK(coverageOf({1, 10}, 9, history) == Coverage::Behind);
    CHECK(coverageOf({0, 0}, 0, TermHistory()) == Coverage::Covered);
}

} // namespace rattanbeam::decisions::test
