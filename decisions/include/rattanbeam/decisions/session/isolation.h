#pragma once

#include "rattanbeam/decisions/timepoint.h"

#include <cstddef>

namespace rattanbeam::decisions::session
{

/// Numbers of other instances by the state of the links to them.
struct PeerCounts {
    /// Instances of other failure domains that answered recently, and those that could not be reached.
    std::size_t crossDomainAnswered = 0;
    std::size_t crossDomainUnreachable = 0;
    /// Instances of any domain that answered recently, that did not answer at all, and whose machine refused the connection.
    std::size_t answered = 0;
    std::size_t silent = 0;
    std::size_t refused = 0;
};

/// Detects a network partition that separates this instance from the other failure domains or from all instances. Its clients
/// should then reconnect to other instances. Unreachable instances of other domains alone are no evidence, since all of them may
/// be down: the members there have to be unreachable as well. A running machine refuses connections to a process that has ended,
/// so if several peers are silent and none refuses, it is this instance that is cut off.
///
///     isolation.updatePeers(counts, now);
///     if (isolation.isProbeDue(now)) { isolation.probeStarted(now); probeMembersOfOtherDomains(); }
///     ...
///     isolation.membersProbed(reachable, unreachable, now);
class IsolationDetector
{
public:
    void updatePeers(const PeerCounts &peers, TimePoint now);
    /// Whether the members of other failure domains should be probed now.
    bool isProbeDue(TimePoint now) const;
    void probeStarted(TimePoint now)
    {
        m_probedAt = now;
    }
    /// Result of probing the members of other failure domains.
    void membersProbed(std::size_t reachable, std::size_t unreachable, TimePoint now);
    bool isIsolated() const
    {
        return m_isolatedSince != distantPast;
    }
    /// Whether the load balancer no longer sends new clients to this instance, so that sessions may be closed.
    bool isOutOfRotation(TimePoint now) const;

private:
    bool m_areOtherDomainsSilent = false;
    TimePoint m_allPeersSilentSince = distantPast;
    TimePoint m_probedAt = distantPast;
    TimePoint m_isolatedSince = distantPast;
};

} // namespace rattanbeam::decisions::session
