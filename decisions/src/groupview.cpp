#include "rattanbeam/decisions/groupview.h"

#include <algorithm>

namespace rattanbeam::decisions
{

void DataAge::primarySeen(const MemberStatus &status, TimePoint askedAt)
{
    if (!m_observations.empty() && m_observations.back().at >= askedAt) {
        return;
    }
    // An unchanged position only moves its time on: it proves more, and takes no room.
    if (m_observations.size() >= 2 && m_observations.back().position == status.held.position
        && m_observations[m_observations.size() - 2].position == status.held.position && m_observations.back().term == status.term) {
        m_observations.back().at = askedAt;
        return;
    }
    m_observations.push_back({askedAt, status.term, status.held.position});
    if (m_observations.size() > maxObservations) {
        m_observations.pop_front();
    }
}

std::optional<TimePoint> DataAge::completeSince(const MemberStatus &member) const
{
    for (auto each = m_observations.rbegin(); each != m_observations.rend(); ++each) {
        if (each->term == member.term && each->position <= member.applied) {
            return each->at;
        }
    }
    return std::nullopt;
}

void GroupView::learn(const MemberId &member, const MemberSighting &sighting)
{
    const auto found = m_sightings.find(member);
    if (found == m_sightings.end()) {
        m_sightings[member] = sighting;
        return;
    }
    MemberSighting &known = found->second;
    if (sighting.seenAt <= known.seenAt || sighting.status.term < known.status.term) {
        return;
    }
    const double seconds = std::chrono::duration<double>(sighting.seenAt - known.seenAt).count();
    if (sighting.status.term == known.status.term && sighting.status.applied >= known.status.applied) {
        const double rate = static_cast<double>(sighting.status.applied - known.status.applied) / seconds;
        constexpr double smoothing = 0.3;
        double &mean = m_applyRates[member];
        mean += smoothing * (rate - mean);
    }
    const TimePoint dataFrom = std::max(known.dataFrom, sighting.dataFrom);
    known = sighting;
    known.dataFrom = dataFrom;
}

const MemberSighting *GroupView::find(const MemberId &member) const
{
    const auto found = m_sightings.find(member);
    return found == m_sightings.end() ? nullptr : &found->second;
}

double GroupView::applyRate(const MemberId &member) const
{
    const auto found = m_applyRates.find(member);
    return found == m_applyRates.end() ? 0 : found->second;
}

} // namespace rattanbeam::decisions
