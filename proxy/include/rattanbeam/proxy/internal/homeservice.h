#pragma once

#include "rattanbeam/decisions/memberhome.h"
#include "rattanbeam/proxy/internal/messages.h"
#include "rattanbeam/proxy/internal/services.h"

#include <caf/event_based_actor.hpp>

#include <map>
#include <memory>
#include <string>

namespace rattanbeam::proxy::internal
{

/// Runs a MemberHome for each member that this instance is home to, or stands in for: holds the connections and the
/// statements, and carries out what the MemberHome decides.
class HomeService : public caf::event_based_actor
{
public:
    HomeService(caf::actor_config &config, ServiceContextPtr context);
    caf::behavior make_behavior() override;
    const char *name() const override
    {
        return homeServiceName;
    }

private:
    /// A connection that is open or being opened.
    struct Connection {
        std::unique_ptr<MemberConnection> stream;
        decisions::TimePoint openDeadline;
        bool isOpen = false;
        kernel::Span span;
    };
    /// A forwarded request until its reply.
    struct Work {
        std::shared_ptr<const peer::v1::ForwardRequest> request;
        ForwardResponder responder;
        std::shared_ptr<const backend::v1::AnswerFrame> answer;
        decisions::TimePoint arrivedAt;
        decisions::TimePoint sentAt;
        kernel::Span hop;
        kernel::Span phase;
    };
    struct Home {
        decisions::MemberId member;
        decisions::DatabaseName database;
        std::string address;
        std::unique_ptr<decisions::MemberHome> decisions;
        std::map<decisions::ConnectionId, Connection> connections;
        std::map<decisions::WorkId, Work> works;
        std::shared_ptr<const decisions::GroupView> group;
        decisions::Duration latency{};
        bool isStandIn = false;
        bool isHeld = false;
        decisions::TimePoint lastUsed;
    };

    void tick();
    void fleetChanged(const std::shared_ptr<const decisions::FleetView> &fleet);
    void forwardArrived(const ForwardArrived &message);
    Home *findHome(const peer::v1::ForwardRequest &request);
    Home *openHome(const decisions::DatabaseName &database, const decisions::MemberId &member, bool isStandIn);
    decisions::HomeLimits limitsFor(const decisions::DatabaseGroup &group, bool isStandIn) const;
    decisions::PerRank<std::uint32_t> weightsFor(const decisions::DatabaseName &database) const;
    std::string addressOf(const decisions::DatabaseName &database, const decisions::MemberId &member) const;
    std::size_t connectionLimit(const decisions::CustomerId &customer, const decisions::DatabaseName &database) const;
    void refuse(const ForwardArrived &message, decisions::ErrorCode code);

    void perform(Home &home, const decisions::HomeActions &actions);
    void performOne(Home &home, const decisions::OpenConnection &open);
    void performOne(Home &home, const decisions::CloseConnection &close);
    void performOne(Home &home, const decisions::SendStatement &send);
    void performOne(Home &home, const decisions::RequestConfirmation &ask);
    void performOne(Home &home, const decisions::ReplyToRequest &reply);
    void answered(const ConnectionAnswered &message);
    void connectionEnded(const ConnectionEnded &message);
    void reportLoad(const Home &home);

    ServiceContextPtr m_context;
    std::shared_ptr<const decisions::FleetView> m_fleet;
    std::map<decisions::MemberId, Home> m_homes;
    decisions::WorkId m_lastWork = 0;
    decisions::TimePoint m_nextLoadReport;
    bool m_draining = false;
};

} // namespace rattanbeam::proxy::internal
