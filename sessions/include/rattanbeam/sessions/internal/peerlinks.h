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
/// A peer that goes silent may only be slow. New frames are refused until it answers, on a new stream, and the old stream stays open for a
/// moment, so that answers to what it was sent before still arrive.
///
///     PeerLinks links(loop, {frameArrived, linkLost, linkSilent, pongArrived});
///     if (!links.send(address, frame)) { tryAnotherInstance(); }
class PeerLinks
{
public:
    /// Counts the streams opened to one peer.
    using StreamNumber = std::uint64_t;
    /// The stream was lost. The `unsent` frames were not handled; all others may have been.
    using LinkLost = std::function<void(const std::string &address, StreamNumber stream, const std::deque<Frame> &unsent)>;
    /// The peer sends nothing on the stream. All frames sent on it may have been handled, and answers may still arrive until it is lost.
    using LinkSilent = std::function<void(const std::string &address, StreamNumber stream)>;
    /// A peer reported the versions and digests of its fleet records. The latest ping to it was sent at `pingSentAt`.
    using PongArrived = std::function<void(const std::string &address, const link::v1::Pong &pong, decisions::TimePoint pingSentAt)>;
    using FrameArrived = std::function<void(const std::string &address, StreamNumber stream, const Frame &frame)>;
    struct Callbacks {
        FrameArrived frameArrived;
        LinkLost linkLost;
        LinkSilent linkSilent;
        PongArrived pongArrived;
    };

    PeerLinks(EventLoop &loop, Callbacks callbacks);

    /// Returns the stream that the frame was sent on, or will be once the link is established. No value if it was not sent: the peer is
    /// unreachable, or the queue of an unestablished link is full.
    std::optional<StreamNumber> send(const std::string &address, const Frame &frame);
    /// Like send(), but the peer is pinged only while it owes an answer. For frames that are sent at regular intervals.
    std::optional<StreamNumber> sendPeriodic(const std::string &address, const Frame &frame);
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
        /// When the last periodic frame was sent.
        decisions::TimePoint lastPeriodicAt = decisions::distantPast;
        /// When the first frame since the peer's last one was sent.
        decisions::TimePoint firstUnansweredAt = decisions::distantPast;
        decisions::TimePoint nextAttemptAt = decisions::distantPast;
        decisions::Duration backoff{};
        bool isPersistent = false;
        /// Events of earlier streams are ignored, unless they linger.
        StreamNumber streamNumber = 0;
    };
    /// The stream of a peer that went silent, kept for answers that are still to come.
    struct LingeringStream {
        std::shared_ptr<FrameStream> stream;
        decisions::TimePoint expiresAt;
    };

    std::optional<StreamNumber> sendOn(const std::string &address, Link &link, const Frame &frame);
    void open(const std::string &address, Link &link);
    void ping(Link &link);
    static bool isPingDue(const Link &link, decisions::Duration interval, decisions::TimePoint now);
    decisions::Duration pingInterval(decisions::TimePoint now) const;
    void handleFrame(const std::string &address, StreamNumber streamNumber, const Frame &frame);
    void streamEnded(const std::string &address, StreamNumber streamNumber);
    void linkFailed(const std::string &address, StreamNumber streamNumber, bool isSilent);
    void endLingeringStreams(decisions::TimePoint now);

    EventLoop &m_loop;
    Callbacks m_callbacks;
    std::map<std::string, Link> m_links;
    std::map<std::pair<std::string, StreamNumber>, LingeringStream> m_lingeringStreams;
};

} // namespace rattanbeam::sessions::internal
