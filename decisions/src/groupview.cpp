#include "rattanbeam/decisions/groupview.h"

#include <algorithm>

namespace rattanbeam::decisions
{

void DataAge::primaryObserved(const MemberStatus &status, TimePoint askedAt)
{
    if (!m_primaryPositions.empty() && m_primaryPositions.back().askedAt >= askedAt) {
        return;
    }
    // While the position stays the same, its entry only gets a later time: that gives a tighter bound, and an idle primary
    // does not fill the list.
    if (m_primaryPositions.size() >= 2 && m_primaryPositions.back().position == status.held.position
        && m_primaryPositions[m_primaryPositions.size() - 2].position == status.held.position
        && m_primaryPositions.back().term == status.term) {
        m_primaryPositions.back().askedAt = askedAt;
        return;
    }
    m_primaryPositions.push_back({askedAt, status.term, status.held.position});
    if (m_primaryPositions.size() > maxPrimaryPositions) {
        m_primaryPositions.pop_front();
    }
}

std::optional<TimePoint> DataAge::completeAsOf(const MemberStatus &member) const
{
    for (auto each = m_primaryPositions.rbegin(); each != m_primaryPositions.rend(); ++each) {
        if (each->term == member.term && each->position <= member.applied) {
            return each->askedAt;
        }
    }
    return std::nullopt;
}

void GroupView::update(const MemberId &member, const MemberObservation &observation)
{
    const auto found = m_memberObservations.find(member);
    if (found == m_memberObservations.end()) {
        m_memberObservations[member] = observation;
        return;
    }
    MemberObservation &known = found->second;
    if (observation.observedAt <= known.observedAt || observation.status.term < known.status.term) {
        return;
    }
    const double seconds = std::chrono::duration<double>(observation.observedAt - known.observedAt).count();
    if (observation.status.term == known.status.term && observation.status.applied >= known.status.applied) {
        const double rate = static_cast<double>(observation.status.applied - known.status.applied) / seconds;
        constexpr double smoothingFactor = 0.3;
        double &meanRate = m_applyRates[member];
        meanRate += smoothingFactor * (rate - meanRate);
    }
    const TimePoint completeAsOf = std::max(known.completeAsOf, observation.completeAsOf);
    known = observation;
    known.completeAsOf = completeAsOf;
}

const MemberObservation *GroupView::find(const MemberId &member) const
{
    const auto found = m_memberObservations.find(member);
    return found == m_memberObservations.end() ? nullptr : &found->second;
}

double GroupView::applyRate(const MemberId &member) const
{
    const auto found = m_applyRates.find(member);
    return found == m_applyRates.end() ? 0 : found->second;
}

} // namespace rattanbeam::decisions
