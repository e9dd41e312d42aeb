#pragma once

#include "rattanbeam/decisions/session/grouphome.h"
#include "rattanbeam/decisions/session/homeplan.h"
#include "rattanbeam/sessions/eventloop.h"
#include "rattanbeam/sessions/internal/directory.h"
#include "rattanbeam/sessions/internal/peerlinks.h"
#include "rattanbeam/sessions/ports.h"
#include "rattanbeam/sessions/sessionsettings.h"

#include "link.pb.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace rattanbeam::sessions::internal
{

/// Carries out the decisions of the homes that this instance is for services, and brings them their events.
class HomeService
{
public:
    using Reply = std::function<void(const link::v1::StatementReply &)>;

    HomeService(
        EventLoop &loop, const SessionSettings &settings, std::uint64_t incarnation, Directory &directory, PeerLinks &links, Ports &ports);
    ~HomeService();

    /// A statement of the entry instance `entry`.
    void handle(const std::string &entry, const link::v1::StatementRequest &request, Reply reply);
    void endTransaction(const std::string &entry, const link::v1::TransactionEnd &end);
    void entryLost(const std::string &entry);
    void probe(const link::v1::ProbeRequest &request, const std::function<void(bool isReachable)> &reply);
    /// Tries a few members of other domains; tells how many were reached and how many were not.
    void lookAtForeignMembers(const std::function<void(std::size_t reachable, std::size_t unreachable)> &seen);
    void fence(const link::v1::FenceRequest &request);
    /// Answers to what this instance's homes asked.
    void probeAnswered(const link::v1::ProbeReply &reply);
    void fenceAnswered(const link::v1::FenceReply &reply);

    void fleetChanged();
    /// The instances that may be home to a service, best first.
    const HomeRanking &ranking(const ServiceName &service) const;
    /// Instances that follow the store for the others.
    const std::vector<InstanceRecord> &relays() const
    {
        return m_relays;
    }
    bool isRelay() const;
    void termSeen(const ServiceName &service, const std::optional<TermRecord> &record, std::uint64_t revision, TimePoint startedAt);
    void tick();
    void paused(decisions::Duration pause);
    /// A leaving or overloaded instance takes no new work as a home.
    void setAway(bool isAway);
    bool isQuiet() const;
    std::size_t connections() const;
    std::size_t openTransactions() const;

private:
    class Group;
    struct Inquiry {
        ServiceName service;
        MemberId member;
        std::size_t asked = 0;
        std::size_t reachable = 0;
        std::size_t unreachable = 0;
    };
    struct YieldRequest {
        ServiceName service;
        std::string home;
        std::uint64_t generation = 0;
    };

    Group *group(const ServiceName &service);
    decisions::session::GroupHome &homeOf(const ServiceName &service);
    void feedGroup(Group &group);
    bool isFirstHome(const ServiceName &service) const;
    void planFleet();
    void tryMember(const MemberRecord &member, const std::function<void(bool isReachable)> &tried);
    void askPeers(const ServiceName &service, const MemberId &member);
    void askToYield(const ServiceName &service, const std::string &home, std::uint64_t generation);
    void endInquiry(std::uint64_t number);

    EventLoop &m_loop;
    const SessionSettings &m_settings;
    std::string m_self;
    Directory &m_directory;
    PeerLinks &m_links;
    Ports &m_ports;
    bool m_isAway = false;
    std::map<ServiceName, HomeRanking> m_plan;
    std::vector<InstanceRecord> m_relays;
    std::map<ServiceName, std::unique_ptr<Group>> m_groups;
    std::map<RequestNumber, Reply> m_replies;
    RequestNumber m_lastRequest = 0;
    std::uint64_t m_lastInquiry = 0;
    std::map<std::uint64_t, Inquiry> m_inquiries;
    std::map<std::uint64_t, YieldRequest> m_yieldRequests;
    std::map<std::uint64_t, std::unique_ptr<MemberLink>> m_probes;
};

} // namespace rattanbeam::sessions::internal
