#include "rattanbeam/decisions/session/isolation.h"

namespace rattanbeam::decisions::session
{

using namespace std::chrono_literals;

namespace
{

constexpr Duration lookPause = 400ms;
constexpr Duration rotationTime = 2200ms; // until the balancer has missed two answers

} // namespace

void Isolation::peersSeen(std::size_t reachable, std::size_t unreachable, TimePoint)
{
    m_arePeersSilent = reachable == 0 && unreachable > 0;
    if (reachable > 0) {
        m_isolatedSince = longAgo;
    }
}

bool Isolation::isLookDue(TimePoint now) const
{
    return (m_arePeersSilent || isIsolated()) && now - m_lookedAt >= lookPause;
}

void Isolation::membersSeen(std::size_t reachable, std::size_t unreachable, TimePoint now)
{
    if (reachable > 0) {
        m_isolatedSince = longAgo;
    } else if (unreachable > 0 && m_arePeersSilent && !isIsolated()) {
        m_isolatedSince = now;
    }
}

bool Isolation::areClientsSentElsewhere(TimePoint now) const
{
    return isIsolated() && now - m_isolatedSince >= rotationTime;
}

} // namespace rattanbeam::decisions::session
