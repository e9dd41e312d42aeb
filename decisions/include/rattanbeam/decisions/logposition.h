#pragma once

#include <compare>
#include <cstdint>
#include <ostream>
#include <vector>

/// Places in a database group's log, and which of them a member's data includes.
namespace rattanbeam::decisions
{

using Term = std::uint64_t;

/// One log entry, named by the term that wrote it and its position. At most one primary writes in a term, so equal
/// LogPositions name equal entries with equal prefixes (the Log Matching property of Ongaro and Ousterhout's Raft).
struct LogPosition {
    Term term = 0;
    std::uint64_t position = 0;

    auto operator<=>(const LogPosition &) const = default;
};

std::ostream &operator<<(std::ostream &stream, const LogPosition &at);

/// The entries of `term` stand after `start`.
struct TermStart {
    Term term = 0;
    std::uint64_t start = 0;

    auto operator<=>(const TermStart &) const = default;
};

/// Which term wrote which part of one member's log.
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

    /// Adds a later term. A term that is not later than the last is ignored.
    void append(TermStart start);

    /// Removes the terms that have no entry at or below `end`.
    void truncate(std::uint64_t end);

    /// The term that wrote the entry at `position`; 0 for a position before the oldest term that is kept.
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
    Behind, ///< Not yet: the member may still reach it.
    Lost, ///< Never: the member's log holds another entry at that position.
};

std::ostream &operator<<(std::ostream &stream, Coverage coverage);

/// Compares the required entry with a member that has applied its log up to `applied`. The entry itself is compared,
/// not just the starts of terms: docs/design/01-session-token.md shows the schedule in which that is too little.
Coverage coverageOf(const LogPosition &required, std::uint64_t applied, const TermHistory &history);

} // namespace rattanbeam::decisions
