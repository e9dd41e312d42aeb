#include "rattanbeam/decisions/promotion.h"

#include <algorithm>
#include <utility>

namespace rattanbeam::decisions
{

std::ostream &operator<<(std::ostream &stream, PromotionPhase phase)
{
    switch (phase) {
    case PromotionPhase::TakingTerm:
        return stream << "taking-term";
    case PromotionPhase::Fencing:
        return stream << "fencing";
    case PromotionPhase::Promoting:
        return stream << "promoting";
    case PromotionPhase::Publishing:
        return stream << "publishing";
    case PromotionPhase::Published:
        return stream << "published";
    case PromotionPhase::Abandoned:
        return stream << "abandoned";
    }
    return stream;
}

PromotionAttempt::PromotionAttempt(const StoredGroup &stored, AttemptId id, TimePoint deadline, std::set<MemberId> excluded)
    : m_target(stored.group), m_version(stored.version), m_deadline(deadline), m_excluded(std::move(excluded))
{
    ++m_target.term;
    m_target.primary = MemberId();
    m_target.attempt = std::move(id);
}

PromotionActions PromotionAttempt::start()
{
    return writeTarget();
}

PromotionActions PromotionAttempt::writeAnswered(bool isApplied, const StoredGroup &stored)
{
    if (m_phase != PromotionPhase::TakingTerm && m_phase != PromotionPhase::Publishing) {
        return {};
    }
    // A repeat is refused if the first write was applied; the object is then this attempt's own.
    if (isApplied || isOwnWrite(stored.group)) {
        return ownWriteApplied(stored.version);
    }
    m_phase = PromotionPhase::Abandoned;
    return {};
}

PromotionActions PromotionAttempt::writeUnanswered()
{
    if (m_phase != PromotionPhase::TakingTerm && m_phase != PromotionPhase::Publishing) {
        return {};
    }
    return {ReadGroup{}};
}

PromotionActions PromotionAttempt::readAnswered(const StoredGroup &stored)
{
    if (m_phase != PromotionPhase::TakingTerm && m_phase != PromotionPhase::Publishing) {
        return {};
    }
    if (isOwnWrite(stored.group)) {
        return ownWriteApplied(stored.version);
    }
    if (stored.version == m_version) {
        return writeTarget();
    }
    if (stored.version > m_version) {
        m_phase = PromotionPhase::Abandoned;
    }
    return {};
}

PromotionActions PromotionAttempt::fenceAnswered(const MemberId &member, bool isAccepted, const LogPosition &last)
{
    if (m_phase != PromotionPhase::Fencing) {
        return {};
    }
    if (!isAccepted) {
        // A member refuses only if it has seen a later term, so another attempt is under way.
        m_phase = PromotionPhase::Abandoned;
        return {};
    }
    if (m_excluded.contains(member)) {
        return {};
    }
    m_lastEntries[member] = last;
    if (m_lastEntries.size() < m_target.majority()) {
        return {};
    }
    const auto mostUpToDate = std::max_element(m_lastEntries.begin(), m_lastEntries.end(), [](const auto &left, const auto &right) {
        return left.second < right.second;
    });
    m_target.primary = mostUpToDate->first;
    m_phase = PromotionPhase::Promoting;
    return promoteChosen();
}

PromotionActions PromotionAttempt::promoteAnswered(const MemberId &member, bool isAccepted)
{
    if (m_phase != PromotionPhase::Promoting || member != m_target.primary) {
        return {};
    }
    if (!isAccepted) {
        m_phase = PromotionPhase::Abandoned;
        return {};
    }
    m_phase = PromotionPhase::Publishing;
    return writeTarget();
}

PromotionActions PromotionAttempt::tick(TimePoint now)
{
    if (isOver()) {
        return {};
    }
    if (now >= m_deadline) {
        m_phase = PromotionPhase::Abandoned;
        return {};
    }
    switch (m_phase) {
    case PromotionPhase::TakingTerm:
    case PromotionPhase::Publishing:
        return {ReadGroup{}};
    case PromotionPhase::Fencing:
        return fenceUnanswered();
    case PromotionPhase::Promoting:
        return promoteChosen();
    case PromotionPhase::Published:
    case PromotionPhase::Abandoned:
        break;
    }
    return {};
}

PromotionActions PromotionAttempt::writeTarget() const
{
    return {WriteGroup{m_target, m_version}};
}

PromotionActions PromotionAttempt::fenceUnanswered() const
{
    PromotionActions actions;
    for (const auto &[member, location] : m_target.members) {
        if (!m_lastEntries.contains(member)) {
            actions.push_back(FenceMember{member, m_target.term, m_target.attempt});
        }
    }
    return actions;
}

PromotionActions PromotionAttempt::promoteChosen() const
{
    return {PromoteMember{m_target.primary, m_target.term, m_target.attempt}};
}

PromotionActions PromotionAttempt::ownWriteApplied(std::uint64_t version)
{
    m_version = version;
    if (m_phase == PromotionPhase::Publishing) {
        m_phase = PromotionPhase::Published;
        return {};
    }
    m_phase = PromotionPhase::Fencing;
    return fenceUnanswered();
}

bool PromotionAttempt::isOwnWrite(const DatabaseGroup &group) const
{
    return group.term == m_target.term && group.attempt == m_target.attempt && group.primary == m_target.primary;
}

} // namespace rattanbeam::decisions
