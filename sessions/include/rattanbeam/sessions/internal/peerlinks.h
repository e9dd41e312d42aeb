#pragma once

#include "rattanbeam/sessions/internal/instancelink.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace rattanbeam::sessions::internal
{

/// Links to the instances that this one sends requests to, opened on demand. A link is established once the peer has answered
/// a ping. Until then frames are queued, so that a request that was never sent is known not to have run.
///
///     PeerLinks links(loop, frameArrived, linkLost, pongArrived);
///     if (!links.send(address, frame)) { tryAnotherInstance(); }
class PeerLinks
{
public:
    /// The link was lost. The `unsent` frames were not handled; all others may have been.
    using LinkLost = std::function<void(const std::string &address, const std::deque<Frame> &unsent)>;
    /// A peer reported the versions and digests of its fleet records. The latest ping to it was sent at `pingSentAt`.
    using PongArrived = std::function<void(const std::string &address, const link::v1::Pong &pong, decisions::TimePoint pingSentAt)>;
    using FrameArrived = std::function<void(const std::string &address, const Frame &frame)>;

    PeerLinks(EventLoop &loop, FrameArrived frameArrived, LinkLost linkLost, PongArrived pongArrived);

    /// Returns false if the frame was not sent: the peer is unreachable, or the queue of an unestablished link is full.
    bool send(const std::string &address, const Frame &frame);
    bool isEstablished(const std::string &address) const;
    /// Whether the last attempt to reach the peer failed, so that send() refuses frames until the peer answers again.
    bool isUnreachable(const std::string &address) const;
    /// Whether the peer has reported that it takes no new work, because it is draining or overloaded.
    bool isLeaving(const std::string &address) const;
    /// When the last frame of the peer arrived, or `distantPast`.
    decisions::TimePoint lastFrameAt(const std::string &address) const;
    /// When the first failure since the peer's last answer was detected; none if the peer answers or was never contacted.
    std::optional<decisions::TimePoint> unreachableSince(const std::string &address) const;
    /// Whether the last failure was a ping without an answer, rather than a connection that was refused or closed.
    bool wasSilent(const std::string &address) const;
    /// Opens a link if there is none, so that unreachableSince() is known for this peer soon.
    void checkReachability(const std::string &address);
    /// Replaces the set of peers whose links are kept open, and pinged also while nothing is sent.
    void setPersistentPeers(const std::set<std::string> &addresses);
    /// Sends pings, detects peers that do not answer them, and reconnects. To be called every few milliseconds.
    void tick();
    /// This process was suspended for `pause`, which does not count as silence of the peers.
    void paused(decisions::Duration pause);

private:
    struct Link {
        std::shared_ptr<FrameStream> stream;
        bool isEstablished = false;
        bool isLeaving = false;
        /// The last attempt failed; nothing is sent until the peer has answered again.
        bool isUnreachable = false;
        decisions::TimePoint unreachableSince = decisions::distantPast;
        bool wasSilent = false;
        std::deque<Frame> unsent;
        std::uint64_t pingNumber = 0;
        decisions::TimePoint pingSentAt = decisions::distantPast;
        bool isAwaitingAnswer = false;
        decisions::TimePoint lastFrameAt = decisions::distantPast;
        decisions::TimePoint lastUsed = decisions::distantPast;
        decisions::TimePoint nextAttemptAt = decisions::distantPast;
        decisions::Duration backoff{};
        bool isPersistent = false;
        /// Counts the streams opened; events of earlier streams are ignored.
        std::uint64_t streamNumber = 0;
    };

    void open(const std::string &address, Link &link);
    void ping(Link &link);
    static bool isPingDue(const Link &link, decisions::TimePoint now);
    void handleFrame(const std::string &address, std::uint64_t streamNumber, const Frame &frame);
    void linkFailed(const std::string &address, std::uint64_t streamNumber, bool isSilent);

    EventLoop &m_loop;
    FrameArrived m_frameArrived;
    LinkLost m_linkLost;
    PongArrived m_pongArrived;
    std::map<std::string, Link> m_links;
};

} // namespace rattanbeam::sessions::internal
