#pragma once

#include "rattanbeam/decisions/timepoint.h"

#include <cstddef>

namespace rattanbeam::decisions::session
{

/// What is known of the links to other instances.
struct PeerCounts {
    /// Instances of other domains that answered of late, and that were asked in vain.
    std::size_t foreignHeard = 0;
    std::size_t foreignUnreachable = 0;
    /// Instances of any domain that answered of late, that were silent when asked, and whose machine refused the connection.
    std::size_t heard = 0;
    std::size_t silent = 0;
    std::size_t refused = 0;
};

/// Decides whether this instance is cut off, so that clients are better served elsewhere: from the other failure domains, or from
/// all instances. Silent instances of other domains alone prove nothing, since all of them may be down: members there have to be
/// out of reach as well. A machine that lives refuses connections to a process that does not, so where several are silent and
/// none refuses, this instance is the one that is cut off.
///
///     isolation.peersSeen(counts, now);
///     if (isolation.isLookDue(now)) { isolation.lookBegan(now); lookAtForeignMembers(); }
///     ...
///     isolation.membersSeen(reachable, unreachable, now);
class Isolation
{
public:
    void peersSeen(const PeerCounts &peers, TimePoint now);
    bool isLookDue(TimePoint now) const;
    void lookBegan(TimePoint now)
    {
        m_lookedAt = now;
    }
    /// Outcome of a look at members of other domains.
    void membersSeen(std::size_t reachable, std::size_t unreachable, TimePoint now);
    bool isIsolated() const
    {
        return m_isolatedSince != distantPast;
    }
    /// Whether clients that come now are sent elsewhere, so that sessions may be closed.
    bool areClientsSentElsewhere(TimePoint now) const;

private:
    bool m_arePeersSilent = false;
    TimePoint m_aloneSince = distantPast;
    TimePoint m_lookedAt = distantPast;
    TimePoint m_isolatedSince = distantPast;
};

} // namespace rattanbeam::decisions::session
