#pragma once

#include "rattanbeam/decisions/timepoint.h"

#include <map>
#include <string>

namespace rattanbeam::decisions::session
{

/// Decides whether an instance may take changes from peers that follow the store, or has to follow it by itself. One peer could
/// be cut off from the store without knowing, so that two are needed that the store has confirmed of late.
///
///     trust.confirmed(peer, pingSentAt - age);
///     if (!trust.isCovered(now)) { followStore(); }
class RelayTrust
{
public:
    explicit RelayTrust(Duration freshFor) : m_freshFor(freshFor)
    {}

    /// The store had confirmed to `peer`, as of `at`, all that it knows.
    void confirmed(const std::string &peer, TimePoint at);
    /// The peer does not follow the store, or cannot be reached.
    void forget(const std::string &peer)
    {
        m_confirmed.erase(peer);
    }
    bool isCovered(TimePoint now) const;
    bool isFresh(const std::string &peer, TimePoint now) const;

private:
    static constexpr std::size_t leastPeers = 2;

    Duration m_freshFor;
    std::map<std::string, TimePoint> m_confirmed;
};

} // namespace rattanbeam::decisions::session
