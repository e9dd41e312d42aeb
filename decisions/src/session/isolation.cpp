#include "rattanbeam/decisions/session/isolation.h"

namespace rattanbeam::decisions::session
{

using namespace std::chrono_literals;

namespace
{

constexpr Duration probeInterval = 400ms;
constexpr Duration minSilenceOfAllPeers = 500ms;
constexpr std::size_t minSilentPeers = 3;
constexpr Duration balancerRemovalTime = 2200ms; // until the load balancer has missed two answers to its health checks

} // namespace

void IsolationDetector::updatePeers(const PeerCounts &peers, TimePoint now)
{
    m_areOtherDomainsSilent = peers.crossDomainAnswered == 0 && peers.crossDomainUnreachable > 0;
    const bool areAllPeersSilent = peers.answered == 0 && peers.refused == 0 && peers.silent >= minSilentPeers;
    if (!areAllPeersSilent) {
        m_allPeersSilentSince = distantPast;
    } else if (m_allPeersSilentSince == distantPast) {
        m_allPeersSilentSince = now;
    }
    if (peers.crossDomainAnswered > 0 || (peers.answered > 0 && !m_areOtherDomainsSilent)) {
        m_isolatedSince = distantPast;
    } else if (areAllPeersSilent && !isIsolated() && now - m_allPeersSilentSince >= minSilenceOfAllPeers) {
        m_isolatedSince = now;
    }
}

bool IsolationDetector::isProbeDue(TimePoint now) const
{
    return (m_areOtherDomainsSilent || isIsolated()) && now - m_probedAt >= probeInterval;
}

void IsolationDetector::membersProbed(std::size_t reachable, std::size_t unreachable, TimePoint now)
{
    if (reachable > 0 && m_allPeersSilentSince == distantPast) {
        m_isolatedSince = distantPast;
    } else if (reachable == 0 && unreachable > 0 && m_areOtherDomainsSilent && !isIsolated()) {
        m_isolatedSince = now;
    }
}

bool IsolationDetector::isOutOfRotation(TimePoint now) const
{
    return isIsolated() && now - m_isolatedSince >= balancerRemovalTime;
}

} // namespace rattanbeam::decisions::session
