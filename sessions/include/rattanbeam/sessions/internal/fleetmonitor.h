#pragma once

#include "rattanbeam/decisions/session/isolation.h"
#include "rattanbeam/sessions/eventloop.h"
#include "rattanbeam/sessions/internal/directory.h"
#include "rattanbeam/sessions/internal/entryservice.h"
#include "rattanbeam/sessions/internal/homeservice.h"
#include "rattanbeam/sessions/internal/peerlinks.h"
#include "rattanbeam/sessions/ports.h"
#include "rattanbeam/sessions/sessionsettings.h"

namespace rattanbeam::sessions::internal
{

/// Monitors the other instances: detects that this instance is cut off from them, and removes the registrations of instances that
/// have stopped without deregistering.
///
///     FleetMonitor monitor(loop, settings, store, directory, links, homes, entry);
///     monitor.start();
///     const bool isReady = !monitor.isIsolated();
class FleetMonitor
{
public:
    FleetMonitor(EventLoop &loop,
                 const SessionSettings &settings,
                 RecordStore &store,
                 Directory &directory,
                 PeerLinks &links,
                 HomeService &homes,
                 EntryService &entry);

    void start();
    bool isIsolated() const
    {
        return m_isolation.isIsolated();
    }
    /// While this instance is leaving or overloaded, and redirects requests, it removes no registrations.
    void setRedirecting(bool isRedirecting)
    {
        m_isRedirecting = isRedirecting;
    }

private:
    decisions::session::PeerCounts countPeers(TimePoint now) const;
    void updateIsolation();
    bool isResponsibleFor(const InstanceRecord &instance, TimePoint now) const;
    void removeLostInstances();

    EventLoop &m_loop;
    const SessionSettings &m_settings;
    RecordStore &m_store;
    Directory &m_directory;
    PeerLinks &m_links;
    HomeService &m_homes;
    EntryService &m_entry;
    decisions::session::IsolationDetector m_isolation;
    bool m_isIsolationReported = false;
    bool m_isRedirecting = false;
};

} // namespace rattanbeam::sessions::internal
