#include "rattanbeam/decisions/logposition.h"

#include <utility>

namespace rattanbeam::decisions
{

TermHistory::TermHistory(const std::vector<TermStart> &starts)
{
    for (const TermStart &start : starts) {
        append(start);
    }
}

void TermHistory::append(TermStart start)
{
    if (start.term > latestTerm()) {
        m_starts.push_back(start);
    }
}

void TermHistory::truncate(std::uint64_t end)
{
    while (!m_starts.empty() && m_starts.back().start >= end) {
        m_starts.pop_back();
    }
}

Term TermHistory::termAt(std::uint64_t position) const
{
    Term term = 0;
    for (const TermStart &termStart : m_starts) {
        if (termStart.start < position) {
            term = termStart.term;
        }
    }
    return term;
}

Term TermHistory::latestTerm() const
{
    return m_starts.empty() ? 0 : m_starts.back().term;
}

Coverage coverageOf(const LogPosition &required, std::uint64_t applied, const TermHistory &history)
{
    if (required.position == 0) {
        return Coverage::Covered;
    }
    if (applied < required.position) {
        return Coverage::Behind;
    }
    const Term appliedTerm = history.termAt(required.position);
    if (appliedTerm == required.term) {
        return Coverage::Covered;
    }
    // A member that has not reached the required term may still replace its entry with the required one.
    return history.latestTerm() < required.term ? Coverage::Behind : Coverage::Lost;
}

std::ostream &operator<<(std::ostream &stream, const LogPosition &logPosition)
{
    return stream << logPosition.term << ':' << logPosition.position;
}

std::ostream &operator<<(std::ostream &stream, Coverage coverage)
{
    switch (coverage) {
    case Coverage::Covered:
        return stream << "covered";
    case Coverage::Behind:
        return stream << "behind";
    case Coverage::Lost:
        return stream << "lost";
    }
    return stream;
}

} // namespace rattanbeam::decisions
