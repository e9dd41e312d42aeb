#pragma once

#include "rattanbeam/decisions/session/clientbudget.h"
#include "rattanbeam/decisions/session/grouphome.h"
#include "rattanbeam/decisions/session/homeplan.h"
#include "rattanbeam/sessions/eventloop.h"
#include "rattanbeam/sessions/internal/directory.h"
#include "rattanbeam/sessions/internal/peerlinks.h"
#include "rattanbeam/sessions/internal/quotaservice.h"
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

/// The homes of services at this instance: carries out their decisions, and reports events to them.
class HomeService
{
public:
    using ReplyCallback = std::function<void(const link::v1::StatementReply &)>;

    HomeService(EventLoop &loop,
                const SessionSettings &settings,
                std::uint64_t incarnation,
                Directory &directory,
                PeerLinks &links,
                QuotaService &quotas,
                Ports &ports);
    ~HomeService();

    /// Runs a statement that came from `entry`, which identifies the entry instance's connection.
    void handleStatement(const std::string &entry, const link::v1::StatementRequest &request, ReplyCallback callback);
    void endTransaction(const std::string &entry, const link::v1::TransactionEnd &end);
    /// The connection of an entry instance ended.
    void entryLost(const std::string &entry);
    /// Tells a peer whether this instance can connect to a member.
    void probe(const link::v1::ProbeRequest &request, const std::function<void(bool isReachable)> &reply);
    /// Connects to a few members of other failure domains and reports how many could be reached and how many could not. Does
    /// not call back if there are none.
    void probeMembersInOtherDomains(const std::function<void(std::size_t reachable, std::size_t unreachable)> &callback);
    /// Gives up this instance's lease on a service's primary, as another home asked. Returns the reply, which names this process.
    link::v1::FenceReply yieldLease(const link::v1::FenceRequest &request);
    /// Replies of peers to requests of this instance's homes.
    void probeAnswered(const link::v1::ProbeReply &reply);
    void yieldAnswered(const link::v1::FenceReply &reply);

    void fleetChanged();
    /// The instances that may be home to a service, most preferred first.
    const HomeRanking &ranking(const ServiceName &service) const;
    const std::map<ServiceName, HomeRanking> &rankings() const
    {
        return m_rankings;
    }
    /// The instances that watch the store on behalf of the others.
    const std::vector<InstanceRecord> &relays() const
    {
        return m_relays;
    }
    bool isRelay() const;
    /// The service's term record as read from the store; an empty `service` stands for all services. GroupHome::termSeen() explains
    /// the other parameters.
    void termSeen(const ServiceName &service, const std::optional<TermRecord> &record, std::uint64_t revision, TimePoint startedAt);
    void tick();
    /// This process was suspended for `pause`.
    /// The store has come back from an older copy.
    void storeEpochChanged(std::uint64_t epoch, TimePoint seenAt);
    void paused(decisions::Duration pause);
    /// Whether requests are redirected to other homes, except those of open transactions. To be set while this instance is leaving or
    /// overloaded.
    void setRedirecting(bool isRedirecting);
    /// Whether no home has requests or open transactions, and none waits for its quota.
    bool isQuiet() const;
    /// Whether this instance is no service's first home, and isQuiet().
    bool isIdle() const;
    /// Number of connections to members, those being opened included.
    std::size_t connections() const;
    /// Counts of connections by service.
    std::map<ServiceName, ConnectionCounters> connectionCounters() const;
    std::size_t openTransactions() const;
    /// Maximum number of statements in flight at each member of the services whose home is here.
    std::map<ServiceName, std::map<MemberId, std::size_t>> memberLimits() const;
    /// Bytes of the statements that were accepted and are not answered yet, for all entries.
    std::size_t acceptedBytes() const
    {
        return m_acceptedBudget->total();
    }
    /// Number of statements that were refused because there was no room for them.
    std::uint64_t refusedForMemory() const
    {
        return m_refusedForMemory;
    }

private:
    class ServiceHome;
    /// Probe requests to several peers about one member, and their replies so far.
    struct Inquiry {
        ServiceName service;
        MemberId member;
        std::size_t asked = 0;
        std::size_t reachable = 0;
        std::size_t unreachable = 0;
    };
    /// A request to another home to give up its lease on generations below `generation`.
    struct YieldRequest {
        ServiceName service;
        std::string home;
        std::uint64_t generation = 0;
    };

    /// Gives an admitted statement to the home of its service.
    void runStatement(const std::string &entry, const link::v1::StatementRequest &message, TimePoint arrivedAt, ReplyCallback callback);
    /// Whether new work is to be sent to another home; calls back with such a reply if so.
    bool redirect(const link::v1::StatementRequest &message, const ReplyCallback &callback) const;
    /// Returns the service's home, creating it if there is none.
    ServiceHome *ensureServiceHome(const ServiceName &service);
    decisions::session::GroupHome &homeOf(const ServiceName &service);
    /// Passes limits, rank as a home, members and term record from the directory to the home.
    void updateServiceHome(ServiceHome &serviceHome);
    bool isFirstHome(const ServiceName &service) const;
    void planHomesAndRelays();
    /// Answers a statement for which there is no room, and ends its transaction.
    void refuseForMemory(const std::string &entry, const link::v1::StatementRequest &message, const ReplyCallback &callback);
    void probeMember(const MemberRecord &member, const std::function<void(bool isReachable)> &callback);
    /// Asks up to three instances, at most two of each failure domain, whether they reach the member. Only instances of other domains
    /// are asked, if there are any.
    void askPeers(const ServiceName &service, const MemberId &member);
    void askToYield(const ServiceName &service, const std::string &home, std::uint64_t generation);
    /// Reports the replies received so far to the home that asked.
    void endInquiry(std::uint64_t number);

    EventLoop &m_loop;
    const SessionSettings &m_settings;
    /// This instance as `name/incarnation`, as term records list it.
    std::string m_self;
    Directory &m_directory;
    PeerLinks &m_links;
    QuotaService &m_quotas;
    Ports &m_ports;
    bool m_isRedirecting = false;
    std::map<ServiceName, HomeRanking> m_rankings;
    std::vector<InstanceRecord> m_relays;
    /// Digest of the instances and version of the configuration that the plan was made from.
    std::pair<std::uint64_t, std::uint64_t> m_planBasis;
    std::map<ServiceName, std::unique_ptr<ServiceHome>> m_serviceHomes;
    std::shared_ptr<decisions::session::StatementBudget> m_acceptedBudget;
    std::uint64_t m_refusedForMemory = 0;
    std::map<RequestNumber, ReplyCallback> m_replyCallbacks;
    RequestNumber m_lastRequestNumber = 0;
    /// Numbers inquiries, yield requests and probes.
    std::uint64_t m_lastInquiryNumber = 0;
    std::map<std::uint64_t, Inquiry> m_inquiries;
    std::map<std::uint64_t, YieldRequest> m_yieldRequests;
    std::map<std::uint64_t, std::unique_ptr<MemberLink>> m_probes;
};

} // namespace rattanbeam::sessions::internal
