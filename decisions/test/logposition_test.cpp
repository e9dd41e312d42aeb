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

/// An earlier, faulty rule: an entry is covered when its position is reached and no later term started below it.
/// Its tokens name the term that the member was in, not the term of the entry.
Coverage coverageByTermStarts(const LogPosition &required, std::uint64_t applied, const TermHistory &history)
{
    if (applied < required.position) {
        return Coverage::Behind;
    }
    const bool isOverwritten = std::any_of(history.starts().begin(), history.starts().end(), [&](const TermStart &termStart) {
        return termStart.term > required.term && termStart.start < required.position;
    });
    return isOverwritten ? Coverage::Lost : Coverage::Covered;
}

bool containsEntry(const Log &log, const LogPosition &logPosition)
{
    return logPosition.position == 0 || (logPosition.position <= log.end() && log.entries()[logPosition.position - 1].at == logPosition);
}

/// Three logs after promotions, appends and pulls, some of them by primaries that did not know they had been replaced.
std::array<Log, 3> logsAfter(const std::vector<std::uint8_t> &steps)
{
    std::array<Log, 3> logs;
    Term term = 0;
    for (const std::uint8_t step : steps) {
        Log &log = logs[(step / 8) % logs.size()];
        Log &source = logs[(step / 8 + 1 + step % 2) % logs.size()];
        if (step % 8 < 2) {
            ++term;
            log.fence(term, AttemptId(std::to_string(term)));
            log.promote(term, AttemptId(std::to_string(term)));
        } else if (step % 8 < 5) {
            log.append(log.term(), step);
        } else {
            log.follow(source.term());
            log.accept(source.batchFor(log.term(), log.history(), log.end(), 1 + step % 3));
        }
    }
    return logs;
}

} // namespace

TEST_CASE("An entry is covered exactly when the member's log contains it", "[coverage]")
{
    rc::prop("for logs after any sequence of steps", [](const std::vector<std::uint8_t> &steps) {
        const std::array<Log, 3> logs = logsAfter(steps);
        for (const Log &reader : logs) {
            for (const Log &writer : logs) {
                for (const auto &entry : writer.entries()) {
                    const Coverage coverage = coverageOf(entry.at, reader.end(), reader.history());
                    RC_ASSERT((coverage == Coverage::Covered) == containsEntry(reader, entry.at));
                }
            }
        }
    });
}

TEST_CASE("Comparing only the starts of terms reports a lost entry as covered", "[coverage]")
{
    // The primary of term 2 writes at position 2 without knowing that it was replaced. Term 3 starts at a later
    // position, after a longer log of term 1.
    std::array<Log, 2> logs;
    logs[0].fence(1, AttemptId("1"));
    logs[0].promote(1, AttemptId("1"));
    logs[1].follow(1);
    logs[1].accept(logs[0].batchFor(1, logs[1].history(), logs[1].end(), 10));
    logs[0].append(1, 1);
    logs[0].append(1, 2);
    logs[1].fence(2, AttemptId("2"));
    logs[1].promote(2, AttemptId("2"));
    const LogPosition required = logs[1].last();
    logs[0].fence(3, AttemptId("3"));
    logs[0].promote(3, AttemptId("3"));

    REQUIRE_FALSE(containsEntry(logs[0], required));
    CHECK(coverageByTermStarts(required, logs[0].end(), logs[0].history()) == Coverage::Covered);
    CHECK(coverageOf(required, logs[0].end(), logs[0].history()) == Coverage::Lost);
}

TEST_CASE("An entry of a term that the member has not reached is behind, not lost", "[coverage]")
{
    const TermHistory history({{1, 0}});
    CHECK(coverageOf({2, 5}, 9, history) == Coverage::Behind);
    CHECK(coverageOf({1, 5}, 9, history) == Coverage::Covered);
    CHECK(coverageOf({1, 10}, 9, history) == Coverage::Behind);
    CHECK(coverageOf({0, 0}, 0, TermHistory()) == Coverage::Covered);
}

} // namespace rattanbeam::decisions::test
