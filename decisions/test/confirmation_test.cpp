#include "rattanbeam/decisions/confirmation.h"

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

const MemberId first("first");
const MemberId second("second");

void promote(Log &primary, Log &other, Term term)
{
    const AttemptId attempt(std::to_string(term));
    primary.fence(term, attempt);
    other.fence(term, attempt);
    primary.promote(term, attempt);
}

struct BarrierOutcome {
    bool isAcknowledged = false;
    bool isLost = false;
};

/// The schedule of figure 8 in the Raft paper: a write of term 1 reaches a second member only under term 3, while a third
/// member has an entry of term 2. Then term 4 starts at the two members other than the primary of term 3.
BarrierOutcome replicateUnderLaterTerm(bool waitsForBarrier)
{
    constexpr int write = 7;
    std::array<Log, 3> logs;
    promote(logs[0], logs[1], 1);
    logs[0].append(1, write);
    promote(logs[1], logs[2], 2);
    promote(logs[0], logs[2], 3);
    logs[2].follow(3);
    logs[2].accept(logs[0].batchFor(3, logs[2].history(), logs[2].end(), 2));

    ConfirmationTracker tracker(1);
    const std::uint64_t barrier = logs[0].history().starts().back().start + 1;
    tracker.startTerm(3, waitsForBarrier ? barrier : 0);
    BarrierOutcome outcome;
    outcome.isAcknowledged = tracker.add(1, 2) || !tracker.held(second, 3, logs[2].heldPosition(3)).empty();

    // The second and third member are the fenced majority of term 4. The one with the highest last entry is promoted.
    const bool isSecondAhead = logs[2].last() < logs[1].last();
    Log &primary = isSecondAhead ? logs[1] : logs[2];
    promote(primary, isSecondAhead ? logs[2] : logs[1], 4);
    outcome.isLost = std::none_of(primary.entries().begin(), primary.entries().end(), [](const auto &entry) {
        return entry.payload == write;
    });
    return outcome;
}

} // namespace

TEST_CASE("A write of an earlier term is confirmed only with the first entry of the current term", "[confirmation]")
{
    const BarrierOutcome withBarrier = replicateUnderLaterTerm(true);
    CHECK_FALSE(withBarrier.isAcknowledged);
    // Without the wait for the barrier the same schedule acknowledges the write and then loses it.
    const BarrierOutcome withoutBarrier = replicateUnderLaterTerm(false);
    CHECK(withoutBarrier.isAcknowledged);
    CHECK(withoutBarrier.isLost);
}

TEST_CASE("Positions reported under another term confirm no write", "[confirmation]")
{
    ConfirmationTracker tracker(1);
    tracker.startTerm(2, 5);
    CHECK_FALSE(tracker.add(1, 6));
    CHECK(tracker.held(first, 1, 10).empty());
    CHECK(tracker.held(first, 3, 10).empty());
    CHECK(tracker.held(first, 2, 5).empty());
    CHECK(tracker.held(first, 2, 6) == std::vector<WriteId>{1});
}

TEST_CASE("Writes that wait when a new term starts can no longer be confirmed", "[confirmation]")
{
    ConfirmationTracker tracker(1);
    tracker.startTerm(1, 1);
    tracker.add(1, 2);
    tracker.add(2, 3);
    CHECK(tracker.startTerm(2, 4) == std::vector<WriteId>{1, 2});
    CHECK(tracker.waiting() == 0);
    CHECK(tracker.startTerm(1, 1).empty());
    CHECK(tracker.term() == 2);
}

TEST_CASE("A write is confirmed exactly when enough other members hold it", "[confirmation]")
{
    rc::prop("for any order of writes and reported positions", [](const std::vector<std::pair<std::uint8_t, std::uint8_t>> &events) {
        constexpr std::uint64_t barrier = 3;
        constexpr std::size_t confirmationsNeeded = 2;
        ConfirmationTracker tracker(confirmationsNeeded);
        tracker.startTerm(1, barrier);
        std::array<std::uint64_t, 4> held{};
        std::map<WriteId, std::uint64_t> waiting;
        WriteId lastId = 0;
        const auto isHeld = [&](std::uint64_t position) {
            const auto holders = std::count_if(held.begin(), held.end(), [&](std::uint64_t each) {
                return each >= std::max(position, barrier);
            });
            return static_cast<std::size_t>(holders) >= confirmationsNeeded;
        };
        for (const auto &[kind, position] : events) {
            if (kind % 2 == 0) {
                const bool confirmed = tracker.add(++lastId, position);
                RC_ASSERT(confirmed == isHeld(position));
                if (!confirmed) {
                    waiting[lastId] = position;
                }
                continue;
            }
            const std::size_t holder = (kind / 2) % held.size();
            held[holder] = std::max<std::uint64_t>(held[holder], position);
            for (const WriteId id : tracker.held(MemberId(std::to_string(holder)), 1, position)) {
                RC_ASSERT(isHeld(waiting.at(id)));
                waiting.erase(id);
            }
            for (const auto &[id, at] : waiting) {
                RC_ASSERT(!isHeld(at));
            }
        }
    });
}

} // namespace rattanbeam::decisions::test
