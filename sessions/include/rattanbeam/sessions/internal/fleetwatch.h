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

/// Looks after the rest of the fleet: notices that this instance is cut off, and removes registrations of instances that are gone.
///
///     FleetWatch watch(loop, settings, store, directory, links, homes, entry);
///     watch.start();
///     const bool isReady = !watch.isIsolated();
class FleetWatch
{
public:
    FleetWatch(EventLoop &loop,
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
    /// A leaving or overloaded instance looks after no other.
    void setAway(bool isAway)
    {
        m_isAway = isAway;
    }

private:
    decisions::session::PeerCounts countPeers(TimePoint now) const;
    void watchIsolation();
    bool isInCare(const InstanceRecord &instance, TimePoint now) const;
    void careForInstances();

    EventLoop &m_loop;
    const SessionSettings &m_settings;
    RecordStore &m_store;
    Directory &m_directory;
    PeerLinks &m_links;
    HomeService &m_homes;
    EntryService &m_entry;
    decisions::session::IsolationDetector m_isolation;
    bool m_isIsolationReported = false;
    bool m_isAway = false;
};

} // namespace rattanbeam::sessions::internal
