#include "rattanbeam/sessions/internal/peerlinks.h"

#include "rattanbeam/kernel/logevent.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace rattanbeam::sessions::internal
{

using decisions::TimePoint;
using kernel::LogEvent;
using kernel::LogLevel;
using namespace std::chrono_literals;

namespace
{

constexpr decisions::Duration pingInterval = 500ms;
constexpr decisions::Duration activeLinkMaxSilence = 250ms; // an active link without a frame for this long is pinged early
constexpr decisions::Duration pingTimeout = 500ms;
constexpr decisions::Duration activeLinkPeriod = 2s; // after its last use; later, only persistent links are pinged
constexpr decisions::Duration reconnectPeriod = 30s; // after its last use, a lost peer is retried for this long
constexpr decisions::Duration minBackoff = 200ms;
constexpr decisions::Duration maxBackoff = 1s;
constexpr std::size_t maxUnsentFrames = 1024;

} // namespace

PeerLinks::PeerLinks(EventLoop &loop, FrameArrived frameArrived, LinkLost linkLost, PongArrived pongArrived)
    : m_loop(loop), m_frameArrived(std::move(frameArrived)), m_linkLost(std::move(linkLost)), m_pongArrived(std::move(pongArrived))
{}

bool PeerLinks::send(const std::string &address, const Frame &frame)
{
    Link &link = m_links[address];
    const TimePoint now = EventLoop::now();
    link.lastUsed = now;
    if (link.isUnreachable) {
        return false;
    }
    if (!link.stream) {
        open(address, link);
    }
    if (!link.isEstablished) {
        if (link.unsent.size() >= maxUnsentFrames) {
            return false;
        }
        link.unsent.push_back(frame);
        return true;
    }
    link.stream->write(frame);
    return true;
}

void PeerLinks::setPersistentPeers(const std::set<std::string> &addresses)
{
    for (auto &[address, link] : m_links) {
        link.isPersistent = false;
    }
    for (const std::string &address : addresses) {
        Link &link = m_links[address];
        link.isPersistent = true;
        if (!link.stream && !link.isUnreachable) {
            open(address, link);
        }
    }
}

bool PeerLinks::isEstablished(const std::string &address) const
{
    const auto found = m_links.find(address);
    return found != m_links.end() && found->second.isEstablished;
}

bool PeerLinks::isUnreachable(const std::string &address) const
{
    const auto found = m_links.find(address);
    return found != m_links.end() && found->second.isUnreachable;
}

bool PeerLinks::isLeaving(const std::string &address) const
{
    const auto found = m_links.find(address);
    return found != m_links.end() && found->second.isLeaving;
}

void PeerLinks::open(const std::string &address, Link &link)
{
    const std::uint64_t streamNumber = ++link.streamNumber;
    link.isEstablished = false;
    link.isLeaving = false;
    FrameEvents events;
    events.arrived = [this, address, streamNumber](const Frame &frame) {
        handleFrame(address, streamNumber, frame);
    };
    events.ended = [this, address, streamNumber] {
        linkFailed(address, streamNumber, false);
    };
    link.stream = connectInstance(m_loop, address, std::move(events));
    ping(link);
}

void PeerLinks::ping(Link &link)
{
    Frame frame;
    frame.mutable_ping()->set_number(++link.pingNumber);
    link.pingSentAt = EventLoop::now();
    link.isAwaitingAnswer = true;
    link.stream->write(frame);
}

void PeerLinks::handleFrame(const std::string &address, std::uint64_t streamNumber, const Frame &frame)
{
    Link &link = m_links[address];
    if (streamNumber != link.streamNumber || !link.stream) {
        return;
    }
    const TimePoint pingSentAt = link.pingSentAt;
    link.isAwaitingAnswer = false;
    link.lastFrameAt = EventLoop::now();
    if (!link.isEstablished) {
        link.isEstablished = true;
        link.isUnreachable = false;
        link.unreachableSince = decisions::distantPast;
        link.backoff = {};
        LogEvent("peer-reached").with("peer", address);
        for (const Frame &queuedFrame : std::exchange(link.unsent, {})) {
            link.stream->write(queuedFrame);
        }
    }
    if (frame.has_pong()) {
        link.isLeaving = frame.pong().leaving();
        m_pongArrived(address, frame.pong(), pingSentAt);
        return;
    }
    m_frameArrived(address, frame);
}

void PeerLinks::linkFailed(const std::string &address, std::uint64_t streamNumber, bool isSilent)
{
    Link &link = m_links[address];
    if (streamNumber != link.streamNumber || !link.stream) {
        return;
    }
    const bool wasEstablished = link.isEstablished;
    link.stream->close();
    link.stream.reset();
    link.isEstablished = false;
    link.backoff
        = wasEstablished ? decisions::Duration(minBackoff / 4) : std::clamp<decisions::Duration>(link.backoff * 2, minBackoff, maxBackoff);
    link.isUnreachable = true;
    link.wasSilent = isSilent;
    link.unreachableSince = link.unreachableSince == decisions::distantPast ? EventLoop::now() : link.unreachableSince;
    link.nextAttemptAt = EventLoop::now() + link.backoff;
    const char *cause = isSilent ? "silent" : "ended";
    LogEvent("peer-lost", LogLevel::Warning).with("peer", address).with("cause", cause).with("unsent", link.unsent.size());
    const std::deque<Frame> unsent = std::exchange(link.unsent, {});
    m_linkLost(address, unsent);
}

void PeerLinks::paused(decisions::Duration pause)
{
    for (auto &[address, link] : m_links) {
        link.pingSentAt += pause;
    }
}

bool PeerLinks::isPingDue(const Link &link, TimePoint now)
{
    const bool isActive = now - link.lastUsed < activeLinkPeriod;
    const bool isSilent = isActive && now - std::max(link.lastFrameAt, link.pingSentAt) > activeLinkMaxSilence;
    return (isSilent || now - link.pingSentAt > pingInterval) && (isActive || link.isPersistent);
}

TimePoint PeerLinks::lastFrameAt(const std::string &address) const
{
    const auto found = m_links.find(address);
    return found == m_links.end() ? decisions::distantPast : found->second.lastFrameAt;
}

std::optional<TimePoint> PeerLinks::unreachableSince(const std::string &address) const
{
    const auto found = m_links.find(address);
    const bool isUnreachable = found != m_links.end() && found->second.unreachableSince != decisions::distantPast;
    return isUnreachable ? std::optional(found->second.unreachableSince) : std::nullopt;
}

bool PeerLinks::wasSilent(const std::string &address) const
{
    const auto found = m_links.find(address);
    return found != m_links.end() && found->second.wasSilent;
}

void PeerLinks::checkReachability(const std::string &address)
{
    Link &link = m_links[address];
    link.lastUsed = EventLoop::now();
    if (!link.stream && !link.isUnreachable) {
        open(address, link);
    }
}

void PeerLinks::tick()
{
    const TimePoint now = EventLoop::now();
    std::vector<std::pair<std::string, std::uint64_t>> timedOutLinks;
    for (auto &[address, link] : m_links) {
        if (!link.stream) {
            if (link.isUnreachable && now >= link.nextAttemptAt && (link.isPersistent || now - link.lastUsed < reconnectPeriod)) {
                open(address, link);
            }
            continue;
        }
        if (link.isAwaitingAnswer && now - link.pingSentAt > pingTimeout) {
            timedOutLinks.emplace_back(address, link.streamNumber);
        } else if (!link.isAwaitingAnswer && link.isEstablished && isPingDue(link, now)) {
            ping(link);
        }
    }
    for (const auto &[address, streamNumber] : timedOutLinks) {
        linkFailed(address, streamNumber, true);
    }
}

} // namespace rattanbeam::sessions::internal
