#pragma once

#include "rattanbeam/decisions/session/callerindex.h"
#include "rattanbeam/decisions/session/clientbudget.h"
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
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace rattanbeam::sessions::internal
{

/// A home as an entry reaches it: its address, and the stream that connects them. The default value stands for this instance.
struct HomeStream {
    std::string address;
    PeerLinks::StreamNumber stream = 0;

    auto operator<=>(const HomeStream &) const = default;
};

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

    SessionNumber
    sessionOpened(const std::shared_ptr<ClientChannel> &channel, const decisions::DatabaseName &database, const std::string &key) override;
    void statementArrived(SessionNumber session, const Statement &statement) override;
    void sessionClosed(SessionNumber session) override;

    /// A home replied to a forwarded statement.
    void replyArrived(const HomeStream &home, const link::v1::StatementReply &reply);
    /// The stream to another instance is lost; `unsent` holds the frames that were never handed over, so none of them was handled.
    void linkLost(const HomeStream &home, const std::deque<link::v1::Frame> &unsent);
    /// Another instance is silent, and may only be slow. Sends what may be repeated to other homes; the rest waits for its answers.
    void linkSilent(const HomeStream &home);
    /// Answers statements whose home did not reply in time. To be called every few milliseconds.
    void tick();
    /// Closes the sessions that have no transaction open and no statement under way or queued.
    void closeIdleSessions();
    /// Answers all statements under way, since this process is about to end: those that may have written as in doubt, the others as
    /// without effect. Statements that arrive later are refused.
    void endPendingRequests();
    /// Whether there are no sessions and no pending requests.
    bool isQuiet() const;
    /// Number of open sessions.
    std::size_t sessions() const
    {
        return m_sessions.size();
    }
    /// Bytes of the statements that were forwarded and are not answered yet.
    std::size_t forwardedBytes() const
    {
        return m_forwardedBudget.total();
    }

private:
    struct Session {
        std::shared_ptr<ClientChannel> channel;
        decisions::DatabaseName database;
        std::string key;
        /// Workspace on whose behalf the latest statement was accepted.
        WorkspaceName workspace;
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
        /// The home that it was last sent to.
        HomeStream home;
        /// Number of times that a home was chosen for it.
        std::uint32_t attempts = 0;
        TimePoint arrivedAt{};
        TimePoint deadline{};
        /// Addresses of the homes that redirected it, or whose link was lost; it is not sent there again.
        std::set<std::string> triedHomes;
        /// Gives its bytes back to the budget.
        std::shared_ptr<const void> heldBytes;
    };

    /// The workspace index of the configuration in force.
    const CallerIndex &callers();
    /// Whether the session's client may still use its database, on behalf of the workspace of its open transaction if there is one.
    bool authenticate(Session &session, const Route &route);
    void refuseSession(SessionNumber number, StatementError error, const std::string &text);
    void processQueuedStatements(SessionNumber number);
    void processStatement(SessionNumber number, const Statement &statement);
    /// Counts the bytes of the statement and its session's values until the result is destroyed. Null if there is no room.
    std::shared_ptr<const void> holdBytes(const Session &session, const ForwardedStatement &forwarded);
    /// Refuses a statement for which there is no room; its transaction is ended.
    void refuseForMemory(SessionNumber number, const Statement &statement, const ForwardedStatement &forwarded);
    void answerLocally(SessionNumber number, const Statement &statement, const Answer &answer);
    /// Sends the request to the home of its transaction, otherwise to the first usable one in the ranking of its service.
    void forward(std::uint64_t request);
    /// False if the instance was found unreachable a moment ago; nothing was sent then.
    bool sendTo(const std::string &address, std::uint64_t request, bool isSubstitute);
    void complete(std::uint64_t request, const Answer &answer, bool isTransactionOpen);
    void endTransactionAt(const std::string &home, SessionNumber session, std::uint64_t transaction);
    /// Whether the request, once sent, may be sent to another home: without a commit, it has no lasting effect.
    static bool isRepeatable(const PendingRequest &pending);
    /// The stream to the request's home was lost. Sends the request to another home if repeating it is safe, and fails it otherwise.
    void retryOrFail(std::uint64_t request, bool wasUnsent);
    /// Whether the request, once sent, may have a lasting effect: a single write, or the commit of a transaction.
    static bool mayHaveWritten(const PendingRequest &pending);
    void logOutcome(const PendingRequest &pending, const Answer &answer);

    EventLoop &m_loop;
    const SessionSettings &m_settings;
    Directory &m_directory;
    PeerLinks &m_links;
    HomeService &m_homes;
    kernel::Metrics &m_metrics;
    std::optional<CallerIndex> m_callers;
    /// Version of the configuration that `m_callers` was made from.
    std::uint64_t m_callersVersion = 0;
    std::map<SessionNumber, Session> m_sessions;
    SessionNumber m_lastSessionNumber = 0;
    decisions::session::StatementBudget m_forwardedBudget;
    std::map<std::uint64_t, PendingRequest> m_pendingRequests;
    std::uint64_t m_lastRequestNumber = 0;
    /// Whether endPendingRequests() was called.
    bool m_isEnding = false;
    /// By service and address of a home that redirected a request: when the service's requests are sent there again.
    std::map<std::pair<ServiceName, std::string>, TimePoint> m_homeAvoidedUntil;
    /// Start of the second in which the successes below were counted.
    TimePoint m_logWindowStart = decisions::distantPast;
    std::uint32_t m_loggedSuccesses = 0;
    std::uint64_t m_omittedSuccesses = 0;
};

} // namespace rattanbeam::sessions::internal
