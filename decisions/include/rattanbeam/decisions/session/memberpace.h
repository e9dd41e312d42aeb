#pragma once

#include "rattanbeam/decisions/rank.h"
#include "rattanbeam/decisions/timepoint.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace rattanbeam::decisions::session
{

/// Mean time in which a service's members in steady state answer statements of each rank.
class UsualAnswerTimes
{
public:
    void answered(Rank rank, Duration time);
    /// The time as a multiple of the usual one; 1 if that is not known.
    double ratioTo(Rank rank, Duration time) const;

private:
    PerRank<double> m_meanSeconds{};
};

/// Limits the statements in flight at a member that has started, recovered or failed several statements in a row, until its answers show
/// that it carries all its slots. A member in steady state has no limit.
///
/// Answers are judged in rounds of as many as the limit allows in flight. The limit doubles after a round whose answers were in the usual
/// time, or no slower than at a lower limit, since then the load is not what makes them slow. It halves after a round of failures or of
/// answers that became slower with the load.
///
///     pace.start(slots);
///     if (const auto limit = pace.limit()) { startAtMost(*limit); }
///     pace.answered(usualTimes.ratioTo(rank, time));
class MemberPace
{
public:
    enum class Change {
        None,
        Started,
        Raised,
        Lowered,
        Ended,
    };

    /// The member has started or was reached again: begins with the lowest limit.
    Change start(std::size_t slots);
    /// A statement was answered in `ratio` times the usual time.
    Change answered(double ratio);
    /// A statement failed by the member's fault, or its answer did not come.
    Change failed(std::size_t slots);

    /// Maximum number of statements in flight, from 1; none in steady state.
    std::optional<std::size_t> limit() const
    {
        return m_limit;
    }

private:
    Change endRound();
    Change setLimit(std::size_t limit);
    void beginRound();

    std::optional<std::size_t> m_limit;
    std::size_t m_slots = 1;
    /// Without a limit: failures since the last answer.
    std::size_t m_failuresInRow = 0;
    std::size_t m_answers = 0;
    std::size_t m_failures = 0;
    double m_ratioSum = 0;
    /// The lowest mean ratio of a round since the limit began; 0 before the first.
    double m_lowestRatio = 0;
    std::uint32_t m_unchangedRounds = 0;
};

} // namespace rattanbeam::decisions::session
