#pragma once

#include "rattanbeam/decisions/timepoint.h"

#include <map>
#include <string>

namespace rattanbeam::decisions::session
{

/// Decides whether an instance may receive changes from peers that watch the store, or has to watch the store itself. A single
/// peer could be cut off from the store without noticing, so two peers with a recent confirmation by the store are required.
///
///     trust.recordConfirmation(peer, pingSentAt - age);
///     if (!trust.hasEnoughFreshPeers(now)) { watchStore(); }
class RelayTrust
{
public:
    /// `maxAge`: how long a confirmation counts as recent.
    explicit RelayTrust(Duration maxAge) : m_maxAge(maxAge)
    {}

    /// The store has confirmed that what `peer` knew at `confirmedAt` was up to date.
    void recordConfirmation(const std::string &peer, TimePoint confirmedAt);
    /// The peer does not watch the store or cannot be reached.
    void removePeer(const std::string &peer)
    {
        m_confirmedAt.erase(peer);
    }
    /// Whether enough peers have a recent confirmation, so that this instance need not watch the store.
    bool hasEnoughFreshPeers(TimePoint now) const;
    /// Whether the store has confirmed this peer recently.
    bool isFresh(const std::string &peer, TimePoint now) const;

private:
    static constexpr std::size_t minFreshPeers = 2;

    Duration m_maxAge;
    std::map<std::string, TimePoint> m_confirmedAt;
};

} // namespace rattanbeam::decisions::session
