#include "rattanbeam/decisions/session/relaytrust.h"

#include <algorithm>

namespace rattanbeam::decisions::session
{

void RelayTrust::confirmed(const std::string &peer, TimePoint at)
{
    TimePoint &latest = m_confirmed.try_emplace(peer, at).first->second;
    latest = std::max(latest, at);
}

bool RelayTrust::isFresh(const std::string &peer, TimePoint now) const
{
    const auto found = m_confirmed.find(peer);
    return found != m_confirmed.end() && now - found->second <= m_freshFor;
}

bool RelayTrust::isCovered(TimePoint now) const
{
    const auto fresh = std::count_if(m_confirmed.begin(), m_confirmed.end(), [&](const auto &entry) {
        return now - entry.second <= m_freshFor;
    });
    return static_cast<std::size_t>(fresh) >= leastPeers;
}

} // namespace rattanbeam::decisions::session
