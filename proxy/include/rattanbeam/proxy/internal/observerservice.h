#pragma once

#include "rattanbeam/decisions/groupobserver.h"
#include "rattanbeam/proxy/internal/messages.h"
#include "rattanbeam/proxy/internal/services.h"

#include <caf/event_based_actor.hpp>

#include <map>
#include <memory>
#include <set>

namespace rattanbeam::proxy::internal
{

/// Runs a GroupObserver for each group that this instance is home to a member of: carries out its probes, its platform
/// writes and its orders to members, and tells peers and the home service what it sees.
class ObserverService : public caf::event_based_actor
{
public:
    ObserverService(caf::actor_config &config, ServiceContextPtr context);
    caf::behavior make_behavior() override;
    const char *name() const override
    {
        return observerServiceName;
    }

private:
    using Observers = std::map<decisions::DatabaseName, decisions::GroupObserver>;

    void tick();
    void fleetChanged(const std::shared_ptr<const decisions::FleetView> &fleet);
    std::set<decisions::MemberId> ownMembersOf(const decisions::DatabaseGroup &group) const;
    void peerReported(const PeerReports &reports);
    void probeEnded(const ProbeEnded &message);
    void observeMember(const decisions::MemberId &member);
    void groupWritten(const GroupWritten &message);
    void groupRead(const GroupRead &message);
    void learnObject(const decisions::ConfigObject &object);
    void perform(const decisions::DatabaseName &database, const decisions::ObserverActions &actions);
    void performOne(const decisions::GroupObserver &observer, const decisions::ProbeMember &probe);
    void performOne(const decisions::GroupObserver &observer, const decisions::FollowPrimary &follow);
    void performOne(const decisions::GroupObserver &observer, const decisions::NotifyPeers &tell);
    void performOne(const decisions::GroupObserver &observer, const decisions::PauseMember &hold);
    void performOne(const decisions::GroupObserver &observer, const decisions::ReportPromotion &report);
    void performOne(const decisions::GroupObserver &observer, const decisions::WriteGroup &write);
    void performOne(const decisions::GroupObserver &observer, const decisions::ReadGroup &read);
    void performOne(const decisions::GroupObserver &observer, const decisions::FenceMember &fence);
    void performOne(const decisions::GroupObserver &observer, const decisions::PromoteMember &promote);
    void tellHome(const decisions::GroupObserver &observer, const decisions::MemberId &seen);
    void reportState(bool isUrgent);
    std::string addressOf(const decisions::GroupObserver &observer, const decisions::MemberId &member) const;

    ServiceContextPtr m_context;
    std::shared_ptr<const decisions::FleetView> m_fleet;
    Observers m_observers;
    /// Members that this instance stands in for, and until when.
    std::map<decisions::MemberId, decisions::TimePoint> m_standIns;
};

} // namespace rattanbeam::proxy::internal
