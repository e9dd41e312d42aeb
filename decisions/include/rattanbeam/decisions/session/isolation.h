#pragma once

#include "rattanbeam/decisions/timepoint.h"

#include <cstddef>

namespace rattanbeam::decisions::session
{

/// Decides whether this instance is cut off from the other failure domains, so that clients are better served elsewhere. Silent
/// instances alone prove nothing, since all of them may be down: members of other domains have to be out of reach as well.
///
///     isolation.peersSeen(reachable, unreachable, now);
///     if (isolation.isLookDue(now)) { isolation.lookBegan(now); lookAtForeignMembers(); }
///     ...
///     isolation.membersSeen(reachable, unreachable, now);
class Isolation
{
public:
    /// Instances of other domains that answer, and that were asked in vain.
    void peersSeen(std::size_t reachable, std::size_t unreachable, TimePoint now);
    bool isLookDue(TimePoint now) const;
    void lookBegan(TimePoint now)
    {
        m_lookedAt = now;
    }
    /// Outcome of a look at members of other domains.
    void membersSeen(std::size_t reachable, std::size_t unreachable, TimePoint now);
    bool isIsolated() const
    {
        return m_isolatedSince != longAgo;
    }
    /// Whether clients that come now are sent elsewhere, so that sessions may be closed.
    bool areClientsSentElsewhere(TimePoint now) const;

private:
    bool m_arePeersSilent = false;
    TimePoint m_lookedAt = longAgo;
    TimePoint m_isolatedSince = longAgo;
};

} // namespace rattanbeam::decisions::session
