#include "rattanbeam/decisions/session/isolation.h"

namespace rattanbeam::decisions::session
{

using namespace std::chrono_literals;

namespace
{

constexpr Duration lookPause = 400ms;
constexpr Duration aloneTime = 500ms;
constexpr std::size_t leastSilent = 3;
constexpr Duration rotationTime = 2200ms; // until the balancer has missed two answers

} // namespace

void Isolation::peersSeen(const PeerCounts &peers, TimePoint now)
{
    m_arePeersSilent = peers.foreignHeard == 0 && peers.foreignUnreachable > 0;
    const bool isAlone = peers.heard == 0 && peers.refused == 0 && peers.silent >= leastSilent;
    if (!isAlone) {
        m_aloneSince = distantPast;
    } else if (m_aloneSince == distantPast) {
        m_aloneSince = now;
    }
    if (peers.foreignHeard > 0 || (peers.heard > 0 && !m_arePeersSilent)) {
        m_isolatedSince = distantPast;
    } else if (isAlone && !isIsolated() && now - m_aloneSince >= aloneTime) {
        m_isolatedSince = now;
    }
}

bool Isolation::isLookDue(TimePoint now) const
{
    return (m_arePeersSilent || isIsolated()) && now - m_lookedAt >= lookPause;
}

void Isolation::membersSeen(std::size_t reachable, std::size_t unreachable, TimePoint now)
{
    if (reachable > 0 && m_aloneSince == distantPast) {
        m_isolatedSince = distantPast;
    } else if (reachable == 0 && unreachable > 0 && m_arePeersSilent && !isIsolated()) {
        m_isolatedSince = now;
    }
}

bool Isolation::areClientsSentElsewhere(TimePoint now) const
{
    return isIsolated() && now - m_isolatedSince >= rotationTime;
}

} // namespace rattanbeam::decisions::session
