#include "rattanbeam/sessions/internal/fleetmonitor.h"

#include "rattanbeam/kernel/logevent.h"

#include <utility>

namespace rattanbeam::sessions::internal
{

using kernel::LogEvent;
using kernel::LogLevel;
using namespace std::chrono_literals;

namespace
{

constexpr decisions::Duration isolationCheckInterval = 100ms;
constexpr decisions::Duration maxAnswerAge = 900ms; // peers are pinged every 500 ms
constexpr decisions::Duration registrationCheckInterval = 3s;
constexpr decisions::Duration removalTimeout = 10s; // without an answer, until the registration is removed

} // namespace

FleetMonitor::FleetMonitor(EventLoop &loop,
                           const SessionSettings &settings,
                           RecordStore &store,
                           Directory &directory,
                           PeerLinks &links,
                           HomeService &homes,
                           EntryService &entry)
    : m_loop(loop), m_settings(settings), m_store(store), m_directory(directory), m_links(links), m_homes(homes), m_entry(entry)
{}

decisions::session::PeerCounts FleetMonitor::countPeers(TimePoint now) const
{
    decisions::session::PeerCounts peers;
    for (const auto &[name, record] : m_directory.instanceRecords()) {
        const auto &instance = std::get<InstanceRecord>(record.value);
        const bool isCrossDomain = instance.domain != m_settings.domain;
        if (now - m_links.lastFrameAt(instance.address) < maxAnswerAge) {
            ++peers.answered;
            peers.crossDomainAnswered += isCrossDomain ? 1 : 0;
        } else if (m_links.unreachableSince(instance.address)) {
            ++(m_links.wasSilent(instance.address) ? peers.silent : peers.refused);
            peers.crossDomainUnreachable += isCrossDomain ? 1 : 0;
        }
    }
    return peers;
}

/// Detects isolation. An isolated instance closes its idle sessions once it is out of rotation, so that its clients reconnect to
/// other instances.
void FleetMonitor::updateIsolation()
{
    const TimePoint now = EventLoop::now();
    const decisions::session::PeerCounts peers = countPeers(now);
    m_isolation.updatePeers(peers, now);
    if (m_isolation.isProbeDue(now)) {
        m_isolation.probeStarted(now);
        m_homes.probeMembersInOtherDomains([this](std::size_t reachable, std::size_t unreachable) {
            m_isolation.membersProbed(reachable, unreachable, EventLoop::now());
        });
    }
    if (std::exchange(m_isIsolationReported, m_isolation.isIsolated()) != m_isolation.isIsolated()) {
        LogEvent(m_isIsolationReported ? "isolated" : "isolation-ended", LogLevel::Warning)
            .with("peers_heard", peers.answered)
            .with("peers_silent", peers.silent)
            .with("peers_refused", peers.refused)
            .with("sessions", m_entry.sessions());
    }
    if (m_isolation.isOutOfRotation(now)) {
        m_entry.closeIdleSessions();
    }
}

void FleetMonitor::start()
{
    m_loop.every(isolationCheckInterval, [this] {
        updateIsolation();
    });
    m_loop.every(registrationCheckInterval, [this] {
        removeLostInstances();
    });
}

/// Whether this instance is the first monitor of `instance` that is alive.
bool FleetMonitor::isResponsibleFor(const InstanceRecord &instance, TimePoint now) const
{
    for (const InstanceRecord &monitor : decisions::session::monitorsOf(instance, m_homes.relays())) {
        if (monitor.id == m_settings.instance) {
            return true;
        }
        const auto unreachableSince = m_links.unreachableSince(monitor.address);
        if (!unreachableSince || now - *unreachableSince < removalTimeout) {
            return false;
        }
    }
    return false;
}

/// Registrations do not expire, so those of instances that no longer answer have to be removed. An instance that was only cut off
/// registers again.
void FleetMonitor::removeLostInstances()
{
    if (!m_homes.isRelay() || m_isRedirecting || !m_directory.isStoreReachable()) {
        return;
    }
    const TimePoint now = EventLoop::now();
    for (const auto &[name, record] : m_directory.instanceRecords()) {
        const auto &instance = std::get<InstanceRecord>(record.value);
        if (instance.id == m_settings.instance || !isResponsibleFor(instance, now)) {
            continue;
        }
        m_links.checkReachability(instance.address);
        const auto unreachableSince = m_links.unreachableSince(instance.address);
        if (unreachableSince && now - *unreachableSince > removalTimeout) {
            LogEvent("instance-removed", LogLevel::Warning)
                .with("peer", instance.id)
                .with("unreachable_ms", decisions::millisecondsUntil(now, *unreachableSince));
            m_store.remove(Collection::Instances, name, record.revision, [](StoreOutcome, const std::optional<Record> &) {});
        }
    }
}

} // namespace rattanbeam::sessions::internal
