#pragma once

#include "rattanbeam/decisions/configstore.h"
#include "rattanbeam/decisions/fleetview.h"
#include "rattanbeam/decisions/membership.h"
#include "rattanbeam/proxy/internal/messages.h"
#include "rattanbeam/proxy/internal/services.h"

#include <caf/event_based_actor.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace rattanbeam::proxy::internal
{

/// Keeps what the instance knows of the fleet and exchanges it with peers: membership by heartbeats, configuration by
/// highest version. Publishes a FleetView whenever it changes.
class StateService : public caf::event_based_actor
{
public:
    StateService(caf::actor_config &config, ServiceContextPtr context);
    caf::behavior make_behavior() override;
    const char *name() const override
    {
        return stateServiceName;
    }

private:
    void tick();
    void exchangeWith(const std::string &address);
    void exchangeWithDomain();
    std::vector<std::string> exchangeTargets();
    peer::v1::ExchangeMessage composeMessage(std::uint64_t peerCompleteTo) const;
    void learn(const std::shared_ptr<const peer::v1::ExchangeMessage> &message);
    void mergeConfig(const decisions::ConfigChanges &changes, bool tellDomain);
    void publishIfChanged(bool changed);
    decisions::InstanceRecord self() const;
    peer::v1::ShowReply show(const std::string &key) const;

    ServiceContextPtr m_context;
    decisions::ConfigStore m_store;
    decisions::Membership m_membership;
    decisions::FleetBuilder m_builder;
    std::uint64_t m_heartbeat = 0;
    bool m_leaving = false;
    std::size_t m_nextTarget = 0;
    std::map<std::string, std::uint64_t> m_peerCompleteTo;
    std::set<std::string> m_exchangesUnderWay;
    std::vector<peer::v1::MemberReport> m_ownMembers;
    std::vector<peer::v1::Suspicion> m_ownSuspicions;
};

} // namespace rattanbeam::proxy::internal
