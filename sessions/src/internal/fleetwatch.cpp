#include "rattanbeam/sessions/internal/fleetwatch.h"

#include "rattanbeam/kernel/logevent.h"

#include <utility>

namespace rattanbeam::sessions::internal
{

using kernel::LogEvent;
using kernel::LogLevel;
using namespace std::chrono_literals;

namespace
{

constexpr decisions::Duration isolationInterval = 100ms;
constexpr decisions::Duration heardLately = 900ms; // links are asked every 500 ms
constexpr decisions::Duration careInterval = 3s;
constexpr decisions::Duration goneAfter = 10s; // without an answer, until a registration is removed

} // namespace

FleetWatch::FleetWatch(EventLoop &loop,
                       const SessionSettings &settings,
                       RecordStore &store,
                       Directory &directory,
                       PeerLinks &links,
                       HomeService &homes,
                       EntryService &entry)
    : m_loop(loop), m_settings(settings), m_store(store), m_directory(directory), m_links(links), m_homes(homes), m_entry(entry)
{}

decisions::session::PeerCounts FleetWatch::countPeers(TimePoint now) const
{
    decisions::session::PeerCounts peers;
    for (const auto &[name, record] : m_directory.instanceRecords()) {
        const auto &instance = std::get<InstanceRecord>(record.value);
        const bool isForeign = instance.domain != m_settings.domain;
        if (now - m_links.lastFrameAt(instance.address) < heardLately) {
            ++peers.answered;
            peers.crossDomainAnswered += isForeign ? 1 : 0;
        } else if (m_links.unreachableSince(instance.address)) {
            ++(m_links.wasSilent(instance.address) ? peers.silent : peers.refused);
            peers.crossDomainUnreachable += isForeign ? 1 : 0;
        }
    }
    return peers;
}

/// Clients of an instance that is cut off are served better elsewhere.
void FleetWatch::watchIsolation()
{
    const TimePoint now = EventLoop::now();
    const decisions::session::PeerCounts peers = countPeers(now);
    m_isolation.updatePeers(peers, now);
    if (m_isolation.isProbeDue(now)) {
        m_isolation.probeStarted(now);
        m_homes.lookAtForeignMembers([this](std::size_t reached, std::size_t silent) {
            m_isolation.membersProbed(reached, silent, EventLoop::now());
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
        m_entry.closeResting();
    }
}

void FleetWatch::start()
{
    m_loop.every(isolationInterval, [this] {
        watchIsolation();
    });
    m_loop.every(careInterval, [this] {
        careForInstances();
    });
}

/// Whether this is the first of the instance's caretakers that is alive.
bool FleetWatch::isInCare(const InstanceRecord &instance, TimePoint now) const
{
    for (const InstanceRecord &caretaker : decisions::session::monitorsOf(instance, m_homes.relays())) {
        if (caretaker.id == m_settings.instance) {
            return true;
        }
        const auto since = m_links.unreachableSince(caretaker.address);
        if (!since || now - *since < goneAfter) {
            return false;
        }
    }
    return false;
}

/// Registrations do not expire by themselves: one whose instance answers nobody is removed. An instance that was only cut off
/// registers anew.
void FleetWatch::careForInstances()
{
    if (!m_homes.isRelay() || m_isAway || !m_directory.isStoreReachable()) {
        return;
    }
    const TimePoint now = EventLoop::now();
    for (const auto &[name, record] : m_directory.instanceRecords()) {
        const auto &instance = std::get<InstanceRecord>(record.value);
        if (instance.id == m_settings.instance || !isInCare(instance, now)) {
            continue;
        }
        m_links.checkReachability(instance.address);
        const auto since = m_links.unreachableSince(instance.address);
        if (since && now - *since > goneAfter) {
            LogEvent("instance-removed", LogLevel::Warning)
                .with("peer", instance.id)
                .with("unreachable_ms", decisions::millisecondsUntil(now, *since));
            m_store.remove(Collection::Instances, name, record.revision, [](StoreOutcome, const std::optional<Record> &) {});
        }
    }
}

} // namespace rattanbeam::sessions::internal
