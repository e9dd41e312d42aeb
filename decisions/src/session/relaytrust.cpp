#include "rattanbeam/decisions/session/relaytrust.h"

#include <algorithm>

namespace rattanbeam::decisions::session
{

void RelayTrust::recordConfirmation(const std::string &peer, TimePoint confirmedAt)
{
    TimePoint &latest = m_confirmedAt.try_emplace(peer, confirmedAt).first->second;
    latest = std::max(latest, confirmedAt);
}

bool RelayTrust::isFresh(const std::string &peer, TimePoint now) const
{
    const auto found = m_confirmedAt.find(peer);
    return found != m_confirmedAt.end() && now - found->second <= m_maxAge;
}

bool RelayTrust::hasEnoughFreshPeers(TimePoint now) const
{
    const auto freshPeers = std::count_if(m_confirmedAt.begin(), m_confirmedAt.end(), [&](const auto &entry) {
        return now - entry.second <= m_maxAge;
    });
    return static_cast<std::size_t>(freshPeers) >= minFreshPeers;
}

} // namespace rattanbeam::decisions::session
