#pragma once

#include "rattanbeam/decisions/session/clientsession.h"
#include "rattanbeam/kernel/metrics.h"
#include "rattanbeam/sessions/eventloop.h"
#include "rattanbeam/sessions/internal/directory.h"
#include "rattanbeam/sessions/internal/homeservice.h"
#include "rattanbeam/sessions/internal/peerlinks.h"
#include "rattanbeam/sessions/ports.h"
#include "rattanbeam/sessions/sessionsettings.h"

#include "link.pb.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace rattanbeam::sessions::internal
{

/// Where clients' sessions live: answers what needs no member, and takes the rest to the home of its service.
class EntryService : public FrontHandler
{
public:
    EntryService(EventLoop &loop,
                 const SessionSettings &settings,
                 Directory &directory,
                 PeerLinks &links,
                 HomeService &homes,
                 kernel::Metrics &metrics);

    SessionNumber sessionOpened(const std::shared_ptr<ClientChannel> &channel, const decisions::DatabaseName &database) override;
    void statementArrived(SessionNumber session, const Statement &statement) override;
    void sessionClosed(SessionNumber session) override;

    /// A home answered.
    void replied(const link::v1::StatementReply &reply);
    void linkLost(const std::string &address, const std::deque<link::v1::Frame> &unsent);
    void tick();
    /// Closes sessions that rest between operations.
    void closeResting();
    bool isQuiet() const;
    std::size_t sessions() const
    {
        return m_sessions.size();
    }

private:
    struct Session {
        std::shared_ptr<ClientChannel> channel;
        decisions::DatabaseName database;
        ClientSession state;
        std::deque<Statement> waiting;
        bool isBusy = false;
        /// Home of the open transaction.
        std::string transactionHome;
        ServiceName transactionService;
        Route transactionRoute;
    };
    struct Pending {
        SessionNumber session = 0;
        ForwardedStatement forwarded;
        Route route;
        std::string home;
        std::uint32_t attempts = 0;
        TimePoint arrivedAt{};
        TimePoint deadline{};
        std::set<std::string> tried;
    };

    void advance(SessionNumber number);
    void offer(SessionNumber number, const Statement &statement);
    void answerLocally(SessionNumber number, const Statement &statement, const Answer &answer);
    void forward(std::uint64_t request);
    bool sendTo(const std::string &address, std::uint64_t request, bool isSubstitute);
    void complete(std::uint64_t request, const Answer &answer, bool isOpen);
    void endTransactionAt(const std::string &home, SessionNumber session, std::uint64_t transaction);
    void homeLost(std::uint64_t request, bool isUnsent);
    void logOutcome(const Pending &pending, const Answer &answer);

    EventLoop &m_loop;
    const SessionSettings &m_settings;
    Directory &m_directory;
    PeerLinks &m_links;
    HomeService &m_homes;
    kernel::Metrics &m_metrics;
    std::map<SessionNumber, Session> m_sessions;
    SessionNumber m_lastSession = 0;
    std::map<std::uint64_t, Pending> m_pending;
    std::uint64_t m_lastRequest = 0;
    std::map<std::pair<ServiceName, std::string>, TimePoint> m_unfitUntil;
    TimePoint m_logSecond = decisions::distantPast;
    std::uint32_t m_logLines = 0;
    std::uint64_t m_logOmitted = 0;
};

} // namespace rattanbeam::sessions::internal
