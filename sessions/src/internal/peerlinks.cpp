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

constexpr decisions::Duration minPingInterval = 500ms;
constexpr decisions::Duration maxPingInterval = 4s;
// A peer that owes an answer and sends no frame for this long is pinged early; with few links, so is each peer in use.
constexpr decisions::Duration answerMaxSilence = 250ms;
constexpr std::size_t fewLinks = 8; // up to this number, all links in use are pinged every minPingInterval
constexpr std::size_t maxPingsPerSecond = 4; // beyond it, to all peers together that are not persistent
constexpr decisions::Duration pingTimeout = 500ms;
constexpr decisions::Duration activeLinkPeriod = 2s; // after its last use; later, only persistent links are pinged
constexpr decisions::Duration reconnectPeriod = 30s; // after its last use, a lost peer is retried for this long
constexpr decisions::Duration minBackoff = 200ms;
constexpr decisions::Duration maxBackoff = 1s;
constexpr std::size_t maxUnsentFrames = 1024;
constexpr decisions::Duration lingerTime = 1500ms; // after a peer went silent, for the answers to what it was sent before

} // namespace

PeerLinks::PeerLinks(EventLoop &loop, Callbacks callbacks) : m_loop(loop), m_callbacks(std::move(callbacks))
{}

std::optional<PeerLinks::StreamNumber> PeerLinks::send(const std::string &address, const Frame &frame)
{
    Link &link = m_links[address];
    link.lastUsed = EventLoop::now();
    return sendOn(address, link, frame);
}

std::optional<PeerLinks::StreamNumber> PeerLinks::sendPeriodic(const std::string &address, const Frame &frame)
{
    Link &link = m_links[address];
    link.lastPeriodicAt = EventLoop::now();
    return sendOn(address, link, frame);
}

std::optional<PeerLinks::StreamNumber> PeerLinks::sendOn(const std::string &address, Link &link, const Frame &frame)
{
    const TimePoint now = EventLoop::now();
    if (link.firstUnansweredAt <= link.lastFrameAt) {
        link.firstUnansweredAt = now;
    }
    if (link.isUnreachable) {
        return std::nullopt;
    }
    if (!link.stream) {
        open(address, link);
    }
    if (!link.isEstablished) {
        if (link.unsent.size() >= maxUnsentFrames) {
            return std::nullopt;
        }
        link.unsent.push_back(frame);
        return link.streamNumber;
    }
    link.stream->write(frame);
    return link.streamNumber;
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
    const StreamNumber streamNumber = ++link.streamNumber;
    link.isEstablished = false;
    link.isLeaving = false;
    FrameEvents events;
    events.arrived = [this, address, streamNumber](const Frame &frame) {
        handleFrame(address, streamNumber, frame);
    };
    events.ended = [this, address, streamNumber] {
        streamEnded(address, streamNumber);
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

void PeerLinks::handleFrame(const std::string &address, StreamNumber streamNumber, const Frame &frame)
{
    if (m_lingeringStreams.contains({address, streamNumber})) {
        if (!frame.has_pong()) {
            m_callbacks.frameArrived(address, streamNumber, frame);
        }
        return;
    }
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
        m_callbacks.pongArrived(address, frame.pong(), pingSentAt);
        return;
    }
    m_callbacks.frameArrived(address, streamNumber, frame);
}

void PeerLinks::streamEnded(const std::string &address, StreamNumber streamNumber)
{
    if (m_lingeringStreams.erase({address, streamNumber}) > 0) {
        m_callbacks.linkLost(address, streamNumber, {});
    } else {
        linkFailed(address, streamNumber, false);
    }
}

void PeerLinks::linkFailed(const std::string &address, StreamNumber streamNumber, bool isSilent)
{
    Link &link = m_links[address];
    if (streamNumber != link.streamNumber || !link.stream) {
        return;
    }
    const bool wasEstablished = link.isEstablished;
    const std::shared_ptr<FrameStream> stream = std::exchange(link.stream, nullptr);
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
    if (isSilent && wasEstablished) {
        m_lingeringStreams[{address, streamNumber}] = {stream, EventLoop::now() + lingerTime};
        m_callbacks.linkSilent(address, streamNumber);
        return;
    }
    stream->close();
    m_callbacks.linkLost(address, streamNumber, unsent);
}

void PeerLinks::endLingeringStreams(TimePoint now)
{
    std::vector<std::pair<std::string, StreamNumber>> expired;
    for (const auto &[key, lingering] : m_lingeringStreams) {
        if (now >= lingering.expiresAt) {
            expired.push_back(key);
        }
    }
    for (const auto &[address, streamNumber] : expired) {
        m_lingeringStreams.at({address, streamNumber}).stream->close();
        streamEnded(address, streamNumber);
    }
}

void PeerLinks::paused(decisions::Duration pause)
{
    for (auto &[address, link] : m_links) {
        link.pingSentAt += pause;
    }
    for (auto &[key, lingering] : m_lingeringStreams) {
        lingering.expiresAt += pause;
    }
}

/// A link that awaits an answer is pinged soon, so that a dead peer is noticed. The others are pinged the less often the more there are:
/// an instance of a large fleet has links to all homes, each of which it uses now and then.
bool PeerLinks::isPingDue(const Link &link, decisions::Duration interval, TimePoint now)
{
    const bool isActive = now - link.lastUsed < activeLinkPeriod;
    const bool isAnswerOwed = link.firstUnansweredAt > link.lastFrameAt;
    const bool isPeriodicAnswerOwed = isAnswerOwed && now - link.lastPeriodicAt < activeLinkPeriod;
    const TimePoint quietSince = isAnswerOwed ? link.firstUnansweredAt : link.lastFrameAt;
    const bool isAnswerLate
        = (isAnswerOwed || interval == minPingInterval) && now - std::max(quietSince, link.pingSentAt) > answerMaxSilence;
    return ((isActive || isPeriodicAnswerOwed) && isAnswerLate) || ((isActive || link.isPersistent) && now - link.pingSentAt > interval);
}

decisions::Duration PeerLinks::pingInterval(TimePoint now) const
{
    const auto pingedLinks = std::count_if(m_links.begin(), m_links.end(), [&](const auto &entry) {
        return now - entry.second.lastUsed < activeLinkPeriod;
    });
    if (static_cast<std::size_t>(pingedLinks) <= fewLinks) {
        return minPingInterval;
    }
    const decisions::Duration interval = 1s * pingedLinks / static_cast<std::ptrdiff_t>(maxPingsPerSecond);
    return std::clamp<decisions::Duration>(interval, minPingInterval, maxPingInterval);
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
    endLingeringStreams(now);
    const decisions::Duration interval = pingInterval(now);
    std::vector<std::pair<std::string, StreamNumber>> timedOutLinks;
    for (auto &[address, link] : m_links) {
        if (!link.stream) {
            if (link.isUnreachable && now >= link.nextAttemptAt
                && (link.isPersistent || now - std::max(link.lastUsed, link.lastPeriodicAt) < reconnectPeriod)) {
                open(address, link);
            }
            continue;
        }
        if (link.isAwaitingAnswer && now - link.pingSentAt > pingTimeout) {
            timedOutLinks.emplace_back(address, link.streamNumber);
        } else if (!link.isAwaitingAnswer && link.isEstablished && isPingDue(link, link.isPersistent ? minPingInterval : interval, now)) {
            ping(link);
        }
    }
    for (const auto &[address, streamNumber] : timedOutLinks) {
        linkFailed(address, streamNumber, true);
    }
}

} // namespace rattanbeam::sessions::internal
