#include "rattanbeam/decisions/confirmation.h"

#include <algorithm>
#include <limits>

namespace rattanbeam::decisions
{

std::vector<WriteId> ConfirmationTracker::startTerm(Term term, std::uint64_t barrier)
{
    if (term <= m_term) {
        return {};
    }
    m_term = term;
    m_barrier = barrier;
    return endTerm();
}

std::vector<WriteId> ConfirmationTracker::endTerm()
{
    std::vector<WriteId> unconfirmable;
    for (const auto &[position, id] : m_waiting) {
        unconfirmable.push_back(id);
    }
    m_waiting.clear();
    m_heldBy.clear();
    return unconfirmable;
}

bool ConfirmationTracker::add(WriteId id, std::uint64_t position)
{
    const std::uint64_t needed = std::max(position, m_barrier);
    if (confirmedPosition() >= needed) {
        return true;
    }
    m_waiting.emplace(needed, id);
    return false;
}

void ConfirmationTracker::remove(WriteId id)
{
    std::erase_if(m_waiting, [id](const auto &each) {
        return each.second == id;
    });
}

std::vector<WriteId> ConfirmationTracker::held(const MemberId &member, Term term, std::uint64_t position)
{
    std::vector<WriteId> confirmed;
    if (term != m_term) {
        return confirmed;
    }
    std::uint64_t &heldPosition = m_heldBy[member];
    heldPosition = std::max(heldPosition, position);
    const auto end = m_waiting.upper_bound(confirmedPosition());
    for (auto write = m_waiting.begin(); write != end; ++write) {
        confirmed.push_back(write->second);
    }
    m_waiting.erase(m_waiting.begin(), end);
    return confirmed;
}

std::optional<std::uint64_t> ConfirmationTracker::nextAwaitedPosition(const MemberId &member) const
{
    const auto found = m_heldBy.find(member);
    const std::uint64_t heldPosition = found == m_heldBy.end() ? 0 : found->second;
    const auto next = m_waiting.upper_bound(heldPosition);
    if (next == m_waiting.end()) {
        return std::nullopt;
    }
    return next->first;
}

std::uint64_t ConfirmationTracker::confirmedPosition() const
{
    if (m_confirmationsNeeded == 0) {
        return std::numeric_limits<std::uint64_t>::max();
    }
    std::vector<std::uint64_t> positions;
    for (const auto &[member, position] : m_heldBy) {
        positions.push_back(position);
    }
    if (positions.size() < m_confirmationsNeeded) {
        return 0;
    }
    std::sort(positions.rbegin(), positions.rend());
    return positions[m_confirmationsNeeded - 1];
}

} // namespace rattanbeam::decisions
