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

/// Streams to the instances that this one asks, opened on demand. A stream counts as usable once the other side has
/// answered a ping; frames wait until then, so that what was never handed over is known not to have run.
class PeerLinks
{
public:
    /// `sent` frames may have been handled, `unsent` ones were not.
    using Lost = std::function<void(const std::string &address, const std::deque<Frame> &unsent)>;
    /// A peer answered a ping sent at `askedAt` with what it knows of the fleet.
    using Known = std::function<void(const std::string &address, const link::v1::Pong &pong, decisions::TimePoint askedAt)>;
    using Arrived = std::function<void(const std::string &address, const Frame &frame)>;

    PeerLinks(EventLoop &loop, Arrived arrived, Lost lost, Known known);

    /// False when the instance was found unreachable a moment ago; nothing was sent then.
    bool send(const std::string &address, const Frame &frame);
    bool isUsable(const std::string &address) const;
    /// Whether a send now would be refused.
    bool isSuspect(const std::string &address) const;
    bool isLeaving(const std::string &address) const;
    /// When the instance last answered anything.
    decisions::TimePoint heardAt(const std::string &address) const;
    /// Since when no answer has come; none while the instance answers, or was never asked.
    std::optional<decisions::TimePoint> unreachableSince(const std::string &address) const;
    /// Whether the last try to reach the instance ended in silence rather than in a refusal.
    bool wasSilent(const std::string &address) const;
    /// Opens a link, so that unreachableSince() tells something of it soon.
    void look(const std::string &address);
    /// Keeps links to these instances, and looks for their answers, also while nothing is sent.
    void keep(const std::set<std::string> &addresses);
    /// To be called every few milliseconds.
    void tick();
    /// This process stood still for `pause`: silence in that time says nothing about peers.
    void paused(decisions::Duration pause);

private:
    struct Link {
        std::shared_ptr<FrameStream> stream;
        bool isEstablished = false;
        bool isLeaving = false;
        /// The last try failed: nothing is sent before the peer has answered again.
        bool isSuspect = false;
        decisions::TimePoint suspectSince = decisions::distantPast;
        bool wasSilent = false;
        std::deque<Frame> unsent;
        std::uint64_t pingNumber = 0;
        decisions::TimePoint pingSentAt = decisions::distantPast;
        bool isPingOwed = false;
        decisions::TimePoint heardAt = decisions::distantPast;
        decisions::TimePoint lastUsed = decisions::distantPast;
        decisions::TimePoint nextTryAt = decisions::distantPast;
        decisions::Duration backoff{};
        bool isKept = false;
        std::uint64_t generation = 0;
    };

    void open(const std::string &address, Link &link);
    void ping(Link &link);
    static bool isPingDue(const Link &link, decisions::TimePoint now);
    void arrived(const std::string &address, std::uint64_t generation, const Frame &frame);
    void fail(const std::string &address, std::uint64_t generation, bool isSilent);

    EventLoop &m_loop;
    Arrived m_arrived;
    Lost m_lost;
    Known m_known;
    std::map<std::string, Link> m_links;
};

} // namespace rattanbeam::sessions::internal
