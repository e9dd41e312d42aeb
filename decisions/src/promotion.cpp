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

PromotionAttempt::PromotionAttempt(const StoredGroup &from, AttemptId id, TimePoint deadline, std::set<MemberId> avoided)
    : m_target(from.group), m_version(from.version), m_deadline(deadline), m_avoided(std::move(avoided))
{
    ++m_target.term;
    m_target.primary = MemberId();
    m_target.attempt = std::move(id);
}

PromotionActions PromotionAttempt::start()
{
    return writeTarget();
}

PromotionActions PromotionAttempt::written(bool applied, const StoredGroup &now)
{
    if (m_phase != PromotionPhase::TakingTerm && m_phase != PromotionPhase::Publishing) {
        return {};
    }
    // A refused repeat of a write that did take effect shows our own object.
    if (applied || isOwnWrite(now.group)) {
        return ownWriteTookEffect(now.version);
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

PromotionActions PromotionAttempt::readBack(const StoredGroup &now)
{
    if (m_phase != PromotionPhase::TakingTerm && m_phase != PromotionPhase::Publishing) {
        return {};
    }
    if (isOwnWrite(now.group)) {
        return ownWriteTookEffect(now.version);
    }
    if (now.version == m_version) {
        return writeTarget();
    }
    if (now.version > m_version) {
        m_phase = PromotionPhase::Abandoned;
    }
    return {};
}

PromotionActions PromotionAttempt::fenced(const MemberId &member, bool accepted, const LogPosition &last)
{
    if (m_phase != PromotionPhase::Fencing) {
        return {};
    }
    if (!accepted) {
        // A member that refuses has seen a later term: another attempt goes on.
        m_phase = PromotionPhase::Abandoned;
        return {};
    }
    if (m_avoided.contains(member)) {
        return {};
    }
    m_fenced[member] = last;
    if (m_fenced.size() < m_target.majority()) {
        return {};
    }
    const auto best = std::max_element(m_fenced.begin(), m_fenced.end(), [](const auto &left, const auto &right) {
        return left.second < right.second;
    });
    m_target.primary = best->first;
    m_phase = PromotionPhase::Promoting;
    return promoteChosen();
}

PromotionActions PromotionAttempt::promoted(const MemberId &member, bool accepted)
{
    if (m_phase != PromotionPhase::Promoting || member != m_target.primary) {
        return {};
    }
    if (!accepted) {
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
        return fenceAll();
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

PromotionActions PromotionAttempt::fenceAll() const
{
    PromotionActions actions;
    for (const auto &[member, place] : m_target.members) {
        if (!m_fenced.contains(member)) {
            actions.push_back(FenceMember{member, m_target.term, m_target.attempt});
        }
    }
    return actions;
}

PromotionActions PromotionAttempt::promoteChosen() const
{
    return {PromoteMember{m_target.primary, m_target.term, m_target.attempt}};
}

PromotionActions PromotionAttempt::ownWriteTookEffect(std::uint64_t version)
{
    m_version = version;
    if (m_phase == PromotionPhase::Publishing) {
        m_phase = PromotionPhase::Published;
        return {};
    }
    m_phase = PromotionPhase::Fencing;
    return fenceAll();
}

bool PromotionAttempt::isOwnWrite(const DatabaseGroup &stored) const
{
    return stored.term == m_target.term && stored.attempt == m_target.attempt && stored.primary == m_target.primary;
}

} // namespace rattanbeam::decisions
