#pragma once

#include <compare>
#include <cstdint>
#include <ostream>
#include <vector>

/// Positions in a database group's log, and whether a member's data includes them.
namespace rattanbeam::decisions
{

using Term = std::uint64_t;

/// Identifies a log entry by the term that wrote it and its position in the log, counted from 1. At most one primary
/// writes in a term, so equal LogPositions identify equal entries after equal prefixes (the Log Matching property of
/// Raft, by Ongaro and Ousterhout).
struct LogPosition {
    Term term = 0;
    std::uint64_t position = 0;

    auto operator<=>(const LogPosition &) const = default;
};

std::ostream &operator<<(std::ostream &stream, const LogPosition &logPosition);

/// The entries of `term` follow the position `start`.
struct TermStart {
    Term term = 0;
    std::uint64_t start = 0;

    auto operator<=>(const TermStart &) const = default;
};

/// The terms that wrote one member's log, with the position after which each starts.
///
///     TermHistory history;
///     history.append({1, 0});
///     history.append({4, 250});
///     history.termAt(250); // 1
///     history.termAt(251); // 4
class TermHistory
{
public:
    TermHistory() = default;
    explicit TermHistory(const std::vector<TermStart> &starts);

    /// Appends a term. Does nothing unless it is later than the last one.
    void append(TermStart start);

    /// Removes the terms that have no entry at or below `end`.
    void truncate(std::uint64_t end);

    /// The term that wrote the entry at `position`; 0 if `position` precedes the entries of the oldest term that is kept.
    Term termAt(std::uint64_t position) const;

    Term latestTerm() const;
    const std::vector<TermStart> &starts() const
    {
        return m_starts;
    }

    auto operator<=>(const TermHistory &) const = default;

private:
    std::vector<TermStart> m_starts;
};

/// Whether a member's data includes a required entry.
enum class Coverage {
    Covered,
    Behind, ///< Not yet; the member may still apply it.
    Lost, ///< Never; the member's log has another entry at that position.
};

std::ostream &operator<<(std::ostream &stream, Coverage coverage);

/// Whether the data of a member that has applied its log up to the position `applied` includes the required entry.
/// The term of the entry at that position is compared, since the starts of terms alone are not enough:
/// docs/design/01-session-token.md shows a schedule in which they give a wrong result.
Coverage coverageOf(const LogPosition &required, std::uint64_t applied, const TermHistory &history);

} // namespace rattanbeam::decisions
