#pragma once

#include "rattanbeam/decisions/confirmation.h"
#include "rattanbeam/decisions/connectionpool.h"
#include "rattanbeam/decisions/databasegroup.h"
#include "rattanbeam/decisions/groupview.h"
#include "rattanbeam/decisions/rankqueue.h"
#include "rattanbeam/decisions/transactiontable.h"

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

/// The home of one member: queues the requests forwarded for it, runs them on the member's connections and replies.
namespace rattanbeam::decisions
{

enum class HomeOperation {
    Execute, ///< A statement outside a transaction.
    Begin,
    Step, ///< A statement in an open transaction.
    Commit,
    Rollback,
};

/// A request for the member. Holds no SQL: the service keeps that under the same id.
struct HomeRequest {
    WorkId id = 0;
    HomeOperation operation = HomeOperation::Execute;
    bool isWrite = false;
    Rank rank = Rank::Batch;
    CustomerId customer;
    std::size_t connectionLimit = 1;
    TimePoint deadline;
    /// Reads only: log entry that the answer must include.
    std::optional<LogPosition> required;
    /// Reads only: maximum age of the data.
    Duration maxAge{};
    /// Reads only: maximum time to wait for a replica to apply `required`.
    Duration maxWait{};
    TransactionId transaction = 0;

    auto operator<=>(const HomeRequest &) const = default;
};

/// The member's answer to a statement.
struct MemberAnswer {
    Outcome outcome;
    /// Log entry of a write, or log position at which a read ran.
    LogPosition at;

    auto operator<=>(const MemberAnswer &) const = default;
};

struct OpenConnection {
    ConnectionId connection = 0;
    auto operator<=>(const OpenConnection &) const = default;
};
struct CloseConnection {
    ConnectionId connection = 0;
    auto operator<=>(const CloseConnection &) const = default;
};
/// Sends the statement of request `work`; the id is also the correlation id on the connection.
struct SendStatement {
    ConnectionId connection = 0;
    WorkId work = 0;
    Term term = 0;
    auto operator<=>(const SendStatement &) const = default;
};
/// Asks another member to answer once it holds the log up to `position` under `term`.
struct RequestConfirmation {
    MemberId member;
    Term term = 0;
    std::uint64_t position = 0;
    auto operator<=>(const RequestConfirmation &) const = default;
};
/// Answers a request, which ends it.
struct ReplyToRequest {
    WorkId work = 0;
    Outcome outcome;
    LogPosition at;
    TransactionId transaction = 0;
    /// Time as of which the data that was read is known to be complete.
    TimePoint completeAsOf = distantPast;
    auto operator<=>(const ReplyToRequest &) const = default;
};
using HomeAction = std::variant<OpenConnection, CloseConnection, SendStatement, RequestConfirmation, ReplyToRequest>;
using HomeActions = std::vector<HomeAction>;

struct HomeLimits {
    QueueLimits queue;
    std::size_t connections = 1;
    /// Idle time after which an open transaction is rolled back.
    Duration transactionIdle = std::chrono::seconds(10);
    /// Another member counts as able to confirm writes for this long after it was last heard.
    Duration maxMemberSilence = std::chrono::milliseconds(800);
    /// Number of other members that must hold a write before it is acknowledged.
    std::size_t confirmationsNeeded = 1;

    auto operator<=>(const HomeLimits &) const = default;
};

/// Makes the decisions of one member's home; the caller performs the returned actions. Every request gets exactly one
/// reply with a true verdict: a statement that was never sent did not run, one that was sent but not answered may have
/// run, and a write has run once it is confirmed.
///
///     perform(home.requestArrived(request, now));
///     perform(home.answered(connection, work, answer, now));
class MemberHome
{
public:
    /// Transaction ids count up from `transactionSeed`, which keeps the ids of different incarnations apart.
    MemberHome(const HomeLimits &limits, TransactionId transactionSeed);

    HomeActions requestArrived(const HomeRequest &request, TimePoint now);

    HomeActions connectionOpened(ConnectionId connection, TimePoint now);
    HomeActions connectionFailed(ConnectionId connection, TimePoint now);
    /// An open connection was closed by the member or lost.
    HomeActions connectionClosed(ConnectionId connection, TimePoint now);
    HomeActions answered(ConnectionId connection, WorkId work, const MemberAnswer &answer, TimePoint now);

    /// Status of this home's member. Its data is known to be complete as of `completeAsOf`, which bounds the data's age.
    HomeActions memberStatusReceived(const MemberStatus &status, TimePoint completeAsOf, TimePoint now);
    /// Status of another member of the group: it may confirm writes, or its term shows that this member was replaced.
    HomeActions otherStatusReceived(const MemberId &other, const MemberStatus &status, TimePoint now);
    /// The group's term is now `term`. Requests in flight at a primary of an earlier term are abandoned at once, so that
    /// their callers do not wait for a member that may never answer.
    HomeActions termPublished(Term term, TimePoint now);
    /// Answer to RequestConfirmation.
    HomeActions heldPositionReported(const MemberId &other, Term term, std::uint64_t position, TimePoint now);

    /// Ends overdue requests and idle transactions. To be called every few milliseconds.
    HomeActions tick(TimePoint now);

    /// Keeps new requests queued while the primary's role is handed over; open transactions may finish.
    void setHandover(bool isUnderWay);
    /// No statement is in flight, no answer waits for confirmation and no transaction is open.
    bool isQuiet() const;
    void setLimits(const HomeLimits &limits);
    /// Refuses waiting requests, so that entry instances forward them to the new home, and closes idle connections.
    /// Requests in flight and open transactions finish here.
    HomeActions drainToNewHome(TimePoint now);

    std::size_t connections() const
    {
        return m_pool.total();
    }
    std::size_t waiting() const;
    std::size_t openTransactions() const
    {
        return m_transactions.openCount();
    }
    const std::optional<MemberStatus> &status() const
    {
        return m_status;
    }

private:
    struct InFlightRequest {
        HomeRequest request;
        ConnectionId connection = 0;
    };
    /// A read that waits for the replica to apply the required entry.
    struct DelayedRead {
        HomeRequest request;
        TimePoint waitUntil;
    };
    struct UnconfirmedAnswer {
        HomeRequest request;
        MemberAnswer answer;
    };

    /// The reason to refuse the request; none if it is accepted. Closes the request's transaction if that was lost.
    std::optional<Outcome> refusalFor(const HomeRequest &request, TimePoint now);
    std::optional<Outcome> writeRefusal(TimePoint now) const;
    std::optional<Outcome> readRefusal(const HomeRequest &request, TimePoint now) const;
    std::optional<Outcome> beginRefusal(const HomeRequest &request, TimePoint now) const;
    /// Refusal of a statement in an open transaction. Closes the transaction if it was lost.
    std::optional<Outcome> stepRefusal(const HomeRequest &request);
    bool mayWaitForReplica(const HomeRequest &request) const;
    bool canConfirm(TimePoint now) const;

    void enqueue(const HomeRequest &request, TimePoint now, HomeActions &actions);
    void dispatch(TimePoint now, HomeActions &actions);
    void startStatement(WorkId work, TimePoint now, HomeActions &actions);
    void finishSuccess(const InFlightRequest &inFlightRequest, const MemberAnswer &answer, TimePoint now, HomeActions &actions);
    void replyWhenConfirmed(const InFlightRequest &inFlightRequest, const MemberAnswer &answer, HomeActions &actions);
    void finishRead(const InFlightRequest &inFlightRequest, const MemberAnswer &answer, TimePoint now, HomeActions &actions);
    void updateConnectionState(const InFlightRequest &inFlightRequest, const MemberAnswer &answer, TimePoint now, HomeActions &actions);
    void dropConnection(ConnectionId connection, HomeActions &actions);
    void markTransactionLost(ConnectionId connection);
    void endTransactionStep(const HomeRequest &request);
    void reply(const HomeRequest &request, const Outcome &outcome, HomeActions &actions);
    void replyConfirmed(const std::vector<WriteId> &writes, HomeActions &actions);
    void replyUnconfirmed(const std::vector<WriteId> &writes, HomeActions &actions);
    void requestConfirmations(HomeActions &actions);
    void retryDelayedReads(TimePoint now, HomeActions &actions);
    void refuseWaitingWrites(TimePoint now, HomeActions &actions);
    void abandonInFlight(TimePoint now, HomeActions &actions);
    void abandon(const InFlightRequest &inFlightRequest, ErrorCode code, TimePoint now, HomeActions &actions);
    void rollBackIdleTransactions(TimePoint now, HomeActions &actions);
    void endOverdue(TimePoint now, HomeActions &actions);

    HomeLimits m_limits;
    RankQueue m_queue;
    ConnectionPool m_pool;
    TransactionTable m_transactions;
    ConfirmationTracker m_confirmations;
    std::optional<MemberStatus> m_status;
    TimePoint m_completeAsOf = distantPast;
    Term m_highestTermSeen = 0;
    /// When each other member last reported this member's term.
    std::map<MemberId, TimePoint> m_otherHeardAt;
    /// Members that have not yet answered a RequestConfirmation.
    std::set<MemberId> m_pendingConfirmations;
    std::map<WorkId, HomeRequest> m_waiting;
    std::map<WorkId, DelayedRead> m_delayedReads;
    std::map<WorkId, InFlightRequest> m_inFlight;
    std::map<WorkId, UnconfirmedAnswer> m_unconfirmed;
};

} // namespace rattanbeam::decisions
