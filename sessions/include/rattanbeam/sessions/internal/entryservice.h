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

/// Holds the sessions of this instance's clients. Answers statements that need no member itself, and forwards the others to the
/// home of their service.
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

    /// A home replied to a forwarded statement.
    void replyArrived(const link::v1::StatementReply &reply);
    /// The link to another instance is lost; `unsent` holds the frames that were never handed over, so none of them was handled.
    void linkLost(const std::string &address, const std::deque<link::v1::Frame> &unsent);
    /// Answers statements whose home did not reply in time. To be called every few milliseconds.
    void tick();
    /// Closes the sessions that have no transaction open and no statement under way or queued.
    void closeIdleSessions();
    /// Whether there are no sessions and no pending requests.
    bool isQuiet() const;
    /// Number of open sessions.
    std::size_t sessions() const
    {
        return m_sessions.size();
    }

private:
    struct Session {
        std::shared_ptr<ClientChannel> channel;
        decisions::DatabaseName database;
        ClientSession state;
        /// Statements that arrived while an earlier one was under way.
        std::deque<Statement> queuedStatements;
        /// Whether a forwarded statement of it is under way.
        bool isBusy = false;
        /// Address of the home where the transaction is open; empty if that is this instance.
        std::string transactionHome;
        ServiceName transactionService;
        /// Route of the current transaction, or of the latest statement outside a transaction.
        Route transactionRoute;
    };
    /// A statement that was forwarded to a home, or is about to be.
    struct PendingRequest {
        SessionNumber session = 0;
        ForwardedStatement forwarded;
        Route route;
        /// Address of the home that it was last sent to; empty if that is this instance.
        std::string home;
        /// Number of times that a home was chosen for it.
        std::uint32_t attempts = 0;
        TimePoint arrivedAt{};
        TimePoint deadline{};
        /// Addresses of the homes that redirected it, or whose link was lost; it is not sent there again.
        std::set<std::string> triedHomes;
    };

    void processQueuedStatements(SessionNumber number);
    void processStatement(SessionNumber number, const Statement &statement);
    void answerLocally(SessionNumber number, const Statement &statement, const Answer &answer);
    /// Sends the request to the home of its transaction, otherwise to the first usable one in the ranking of its service.
    void forward(std::uint64_t request);
    /// False if the instance was found unreachable a moment ago; nothing was sent then.
    bool sendTo(const std::string &address, std::uint64_t request, bool isSubstitute);
    void complete(std::uint64_t request, const Answer &answer, bool isTransactionOpen);
    void endTransactionAt(const std::string &home, SessionNumber session, std::uint64_t transaction);
    /// The link to the request's home was lost. Sends the request to another home if repeating it is safe, and fails it otherwise.
    void retryOrFail(std::uint64_t request, bool wasUnsent);
    void logOutcome(const PendingRequest &pending, const Answer &answer);

    EventLoop &m_loop;
    const SessionSettings &m_settings;
    Directory &m_directory;
    PeerLinks &m_links;
    HomeService &m_homes;
    kernel::Metrics &m_metrics;
    std::map<SessionNumber, Session> m_sessions;
    SessionNumber m_lastSessionNumber = 0;
    std::map<std::uint64_t, PendingRequest> m_pendingRequests;
    std::uint64_t m_lastRequestNumber = 0;
    /// By service and address of a home that redirected a request: when the service's requests are sent there again.
    std::map<std::pair<ServiceName, std::string>, TimePoint> m_homeAvoidedUntil;
    /// Start of the second in which the successes below were counted.
    TimePoint m_logWindowStart = decisions::distantPast;
    std::uint32_t m_loggedSuccesses = 0;
    std::uint64_t m_omittedSuccesses = 0;
};

} // namespace rattanbeam::sessions::internal
