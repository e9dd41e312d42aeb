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
    Term found = 0;
    for (const TermStart &each : m_starts) {
        if (each.start < position) {
            found = each.term;
        }
    }
    return found;
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
    const Term holder = history.termAt(required.position);
    if (holder == required.term) {
        return Coverage::Covered;
    }
    // A member that still follows an older term may yet drop its entry for the required one.
    return history.latestTerm() < required.term ? Coverage::Behind : Coverage::Lost;
}

std::ostream &operator<<(std::ostream &stream, const LogPosition &at)
{
    return stream << at.term << ':' << at.position;
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
