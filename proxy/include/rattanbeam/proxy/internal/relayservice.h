#pragma once

#include "rattanbeam/decisions/fleetview.h"
#include "rattanbeam/proxy/internal/messages.h"
#include "rattanbeam/proxy/internal/services.h"

#include <caf/event_based_actor.hpp>

#include <memory>
#include <random>

namespace rattanbeam::proxy::internal
{

/// Brings the platform's objects and its list of instances to the failure domain. Two instances of each domain, the
/// first in rendezvous order, hold a watch; the others are fed by exchanges.
class RelayService : public caf::event_based_actor
{
public:
    static constexpr std::size_t relaysInDomain = 2;

    RelayService(caf::actor_config &config, ServiceContextPtr context);
    caf::behavior make_behavior() override;
    const char *name() const override
    {
        return relayServiceName;
    }

private:
    void tick();
    bool shouldRelay() const;
    void startWatch();
    void listInstances();

    ServiceContextPtr m_context;
    std::shared_ptr<const decisions::FleetView> m_fleet;
    bool m_isWatching = false;
    bool m_isLeaving = false;
    decisions::TimePoint m_nextWatch;
    decisions::TimePoint m_nextList;
    decisions::TimePoint m_nextAnnounce;
    decisions::Duration m_watchBackoff{};
    std::minstd_rand m_random;
};

} // namespace rattanbeam::proxy::internal
