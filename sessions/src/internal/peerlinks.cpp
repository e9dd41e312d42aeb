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
constexpr decisions::Duration silenceInterval = 250ms; // a link in use that hears nothing for so long is asked sooner
constexpr decisions::Duration pingTimeout = 500ms;
constexpr decisions::Duration usedFor = 2s; // links without traffic for longer are not pinged
constexpr decisions::Duration wantedFor = 30s; // a lost peer is tried again for this long after its last use
constexpr decisions::Duration leastBackoff = 200ms;
constexpr decisions::Duration mostBackoff = 1s;
constexpr std::size_t mostUnsent = 1024;

} // namespace

PeerLinks::PeerLinks(EventLoop &loop, Arrived arrived, Lost lost, Known known)
    : m_loop(loop), m_arrived(std::move(arrived)), m_lost(std::move(lost)), m_known(std::move(known))
{}

bool PeerLinks::send(const std::string &address, const Frame &frame)
{
    Link &link = m_links[address];
    const TimePoint now = EventLoop::now();
    link.lastUsed = now;
    if (link.isSuspect) {
        return false;
    }
    if (!link.stream) {
        open(address, link);
    }
    if (!link.isEstablished) {
        if (link.unsent.size() >= mostUnsent) {
            return false;
        }
        link.unsent.push_back(frame);
        return true;
    }
    link.stream->write(frame);
    return true;
}

void PeerLinks::keep(const std::set<std::string> &addresses)
{
    for (auto &[address, link] : m_links) {
        link.isKept = false;
    }
    for (const std::string &address : addresses) {
        Link &link = m_links[address];
        link.isKept = true;
        if (!link.stream && !link.isSuspect) {
            open(address, link);
        }
    }
}

bool PeerLinks::isUsable(const std::string &address) const
{
    const auto found = m_links.find(address);
    return found != m_links.end() && found->second.isEstablished;
}

bool PeerLinks::isSuspect(const std::string &address) const
{
    const auto found = m_links.find(address);
    return found != m_links.end() && found->second.isSuspect;
}

bool PeerLinks::isLeaving(const std::string &address) const
{
    const auto found = m_links.find(address);
    return found != m_links.end() && found->second.isLeaving;
}

void PeerLinks::open(const std::string &address, Link &link)
{
    const std::uint64_t generation = ++link.generation;
    link.isEstablished = false;
    link.isLeaving = false;
    FrameEvents events;
    events.arrived = [this, address, generation](const Frame &frame) {
        arrived(address, generation, frame);
    };
    events.ended = [this, address, generation] {
        fail(address, generation, false);
    };
    link.stream = connectInstance(m_loop, address, std::move(events));
    ping(link);
}

void PeerLinks::ping(Link &link)
{
    Frame frame;
    frame.mutable_ping()->set_number(++link.pingNumber);
    link.pingSentAt = EventLoop::now();
    link.isPingOwed = true;
    link.stream->write(frame);
}

void PeerLinks::arrived(const std::string &address, std::uint64_t generation, const Frame &frame)
{
    Link &link = m_links[address];
    if (generation != link.generation || !link.stream) {
        return;
    }
    const TimePoint askedAt = link.pingSentAt;
    link.isPingOwed = false;
    link.heardAt = EventLoop::now();
    if (!link.isEstablished) {
        link.isEstablished = true;
        link.isSuspect = false;
        link.suspectSince = decisions::distantPast;
        link.backoff = {};
        LogEvent("peer-reached").with("peer", address);
        for (const Frame &waiting : std::exchange(link.unsent, {})) {
            link.stream->write(waiting);
        }
    }
    if (frame.has_pong()) {
        link.isLeaving = frame.pong().leaving();
        m_known(address, frame.pong(), askedAt);
        return;
    }
    m_arrived(address, frame);
}

void PeerLinks::fail(const std::string &address, std::uint64_t generation, bool isSilent)
{
    Link &link = m_links[address];
    if (generation != link.generation || !link.stream) {
        return;
    }
    const bool wasEstablished = link.isEstablished;
    link.stream->close();
    link.stream.reset();
    link.isEstablished = false;
    link.backoff = wasEstablished ? decisions::Duration(leastBackoff / 4)
                                  : std::clamp<decisions::Duration>(link.backoff * 2, leastBackoff, mostBackoff);
    link.isSuspect = true;
    link.wasSilent = isSilent;
    link.suspectSince = link.suspectSince == decisions::distantPast ? EventLoop::now() : link.suspectSince;
    link.nextTryAt = EventLoop::now() + link.backoff;
    const char *cause = isSilent ? "silent" : "ended";
    LogEvent("peer-lost", LogLevel::Warning).with("peer", address).with("cause", cause).with("unsent", link.unsent.size());
    const std::deque<Frame> unsent = std::exchange(link.unsent, {});
    m_lost(address, unsent);
}

void PeerLinks::paused(decisions::Duration pause)
{
    for (auto &[address, link] : m_links) {
        link.pingSentAt += pause;
    }
}

bool PeerLinks::isPingDue(const Link &link, TimePoint now)
{
    const bool isUsed = now - link.lastUsed < usedFor;
    const bool isSilent = isUsed && now - std::max(link.heardAt, link.pingSentAt) > silenceInterval;
    return (isSilent || now - link.pingSentAt > pingInterval) && (isUsed || link.isKept);
}

TimePoint PeerLinks::heardAt(const std::string &address) const
{
    const auto found = m_links.find(address);
    return found == m_links.end() ? decisions::distantPast : found->second.heardAt;
}

std::optional<TimePoint> PeerLinks::unreachableSince(const std::string &address) const
{
    const auto found = m_links.find(address);
    const bool isSilent = found != m_links.end() && found->second.suspectSince != decisions::distantPast;
    return isSilent ? std::optional(found->second.suspectSince) : std::nullopt;
}

bool PeerLinks::wasSilent(const std::string &address) const
{
    const auto found = m_links.find(address);
    return found != m_links.end() && found->second.wasSilent;
}

void PeerLinks::look(const std::string &address)
{
    Link &link = m_links[address];
    link.lastUsed = EventLoop::now();
    if (!link.stream && !link.isSuspect) {
        open(address, link);
    }
}

void PeerLinks::tick()
{
    const TimePoint now = EventLoop::now();
    std::vector<std::pair<std::string, std::uint64_t>> silent;
    for (auto &[address, link] : m_links) {
        if (!link.stream) {
            if (link.isSuspect && now >= link.nextTryAt && (link.isKept || now - link.lastUsed < wantedFor)) {
                open(address, link);
            }
            continue;
        }
        if (link.isPingOwed && now - link.pingSentAt > pingTimeout) {
            silent.emplace_back(address, link.generation);
        } else if (!link.isPingOwed && link.isEstablished && isPingDue(link, now)) {
            ping(link);
        }
    }
    for (const auto &[address, generation] : silent) {
        fail(address, generation, true);
    }
}

} // namespace rattanbeam::sessions::internal
