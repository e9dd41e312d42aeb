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

/// The home of one member: all that happens between a forwarded request and the member's connections.
namespace rattanbeam::decisions
{

enum class HomeOperation {
    Execute,
    Begin,
    Step,
    Commit,
    Rollback,
};

/// A request for the member; its SQL stays with the service, under the same id.
struct HomeRequest {
    WorkId id = 0;
    HomeOperation operation = HomeOperation::Execute;
    bool isWrite = false;
    Rank rank = Rank::Batch;
    CustomerId customer;
    std::size_t connectionLimit = 1;
    TimePoint deadline;
    /// Read: entry that the answer must include.
    std::optional<LogPosition> required;
    /// Read: oldest data accepted.
    Duration maxAge{};
    /// Read: how long it may wait for a replica to catch up.
    Duration maxWait{};
    TransactionId transaction = 0;

    auto operator<=>(const HomeRequest &) const = default;
};

/// The member's answer on a connection.
struct MemberAnswer {
    Outcome outcome;
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
/// Sends the statement of `work`, which is also its correlation id.
struct SendStatement {
    ConnectionId connection = 0;
    WorkId work = 0;
    Term term = 0;
    auto operator<=>(const SendStatement &) const = default;
};
/// Asks another member to say when it holds `position` under `term`.
struct AskHeld {
    MemberId member;
    Term term = 0;
    std::uint64_t position = 0;
    auto operator<=>(const AskHeld &) const = default;
};
/// Ends a request.
struct ReplyToRequest {
    WorkId work = 0;
    Outcome outcome;
    LogPosition at;
    TransactionId transaction = 0;
    /// Time at which the data read was known to be complete.
    TimePoint dataFrom = distantPast;
    auto operator<=>(const ReplyToRequest &) const = default;
};
using HomeAction = std::variant<OpenConnection, CloseConnection, SendStatement, AskHeld, ReplyToRequest>;
using HomeActions = std::vector<HomeAction>;

struct HomeLimits {
    QueueLimits queue;
    std::size_t connections = 1;
    Duration transactionIdle = std::chrono::seconds(10);
    /// Other members not heard for this long cannot be counted on to confirm.
    Duration confirmSilence = std::chrono::milliseconds(800);
    /// Other members that must hold a write before it is acknowledged.
    std::size_t othersNeeded = 1;

    auto operator<=>(const HomeLimits &) const = default;
};

/// Decides for one member's home. Every request gets exactly one reply, and its verdict is true: a statement that was
/// never sent did not run; one that was sent and not answered may have; a write has run once it is confirmed.
///
///     perform(home.arrived(request, now));
///     perform(home.answered(connection, work, answer, now));
class MemberHome
{
public:
    /// `transactionSeed` keeps the numbers of different incarnations apart.
    MemberHome(const HomeLimits &limits, TransactionId transactionSeed);

    HomeActions arrived(const HomeRequest &request, TimePoint now);

    HomeActions connectionOpened(ConnectionId connection, TimePoint now);
    HomeActions connectionFailed(ConnectionId connection, TimePoint now);
    /// The connection closed under us.
    HomeActions connectionClosed(ConnectionId connection, TimePoint now);
    HomeActions answered(ConnectionId connection, WorkId work, const MemberAnswer &answer, TimePoint now);

    /// The member's own status; `dataFrom` bounds the age of its data.
    HomeActions memberSeen(const MemberStatus &status, TimePoint dataFrom, TimePoint now);
    /// Another member answered: it may confirm, or show that this one was replaced.
    HomeActions otherSeen(const MemberId &other, const MemberStatus &status, TimePoint now);
    /// The group has moved on to `term`: what is under way at a member of an earlier one is given up at once, so that
    /// its callers need not wait for a member that may never answer.
    HomeActions termPublished(Term term, TimePoint now);
    /// Answer to AskHeld.
    HomeActions otherHolds(const MemberId &other, Term term, std::uint64_t position, TimePoint now);

    /// Ends what is past its deadline. To be called every few milliseconds.
    HomeActions tick(TimePoint now);

    /// Holds new work while the primary's role is handed over; open transactions may finish.
    void setHandover(bool isUnderWay);
    /// Nothing runs, waits for confirmation or is open.
    bool isQuiet() const;
    void setLimits(const HomeLimits &limits);
    /// Refuses what waits, so that entries take it to the new home; what runs is finished.
    HomeActions moveAway(TimePoint now);

    std::size_t connections() const
    {
        return m_pool.total();
    }
    std::size_t waiting() const;
    std::size_t openTransactions() const
    {
        return m_transactions.holding();
    }
    const std::optional<MemberStatus> &status() const
    {
        return m_status;
    }

private:
    struct InFlight {
        HomeRequest request;
        ConnectionId connection = 0;
    };
    /// A read that waits for its replica to catch up.
    struct Parked {
        HomeRequest request;
        TimePoint until;
    };
    struct Unconfirmed {
        HomeRequest request;
        MemberAnswer answer;
    };

    std::optional<Outcome> refuse(const HomeRequest &request, TimePoint now);
    std::optional<Outcome> refuseWrite(TimePoint now) const;
    std::optional<Outcome> refuseRead(const HomeRequest &request, TimePoint now) const;
    std::optional<Outcome> refuseBegin(const HomeRequest &request, TimePoint now) const;
    std::optional<Outcome> refuseStep(const HomeRequest &request);
    bool mayParkForCoverage(const HomeRequest &request) const;
    bool canConfirm(TimePoint now) const;

    void enqueue(const HomeRequest &request, TimePoint now, HomeActions &actions);
    void pump(TimePoint now, HomeActions &actions);
    void start(WorkId work, TimePoint now, HomeActions &actions);
    void finishSuccess(const InFlight &flight, const MemberAnswer &answer, TimePoint now, HomeActions &actions);
    void replyWhenConfirmed(const InFlight &flight, const MemberAnswer &answer, HomeActions &actions);
    void finishRead(const InFlight &flight, const MemberAnswer &answer, TimePoint now, HomeActions &actions);
    void settleConnection(const InFlight &flight, const MemberAnswer &answer, TimePoint now, HomeActions &actions);
    void dropConnection(ConnectionId connection, HomeActions &actions);
    void breakTransaction(ConnectionId connection);
    void freeTransactionStep(const HomeRequest &request);
    void reply(const HomeRequest &request, const Outcome &outcome, HomeActions &actions);
    void confirm(const std::vector<WriteId> &writes, HomeActions &actions);
    void doubtWrites(const std::vector<WriteId> &writes, HomeActions &actions);
    void askOthers(HomeActions &actions);
    void releaseParked(TimePoint now, HomeActions &actions);
    void refuseWaitingWrites(TimePoint now, HomeActions &actions);
    void giveUpInFlight(TimePoint now, HomeActions &actions);
    void abandon(const InFlight &flight, ErrorCode code, TimePoint now, HomeActions &actions);
    void rollBackIdle(TimePoint now, HomeActions &actions);
    void endOverdue(TimePoint now, HomeActions &actions);

    HomeLimits m_limits;
    RankQueue m_queue;
    ConnectionPool m_pool;
    TransactionTable m_transactions;
    ConfirmationTracker m_confirmations;
    std::optional<MemberStatus> m_status;
    TimePoint m_dataFrom = distantPast;
    Term m_highestTermSeen = 0;
    std::map<MemberId, TimePoint> m_otherSeenAt;
    std::set<MemberId> m_asked;
    std::map<WorkId, HomeRequest> m_waiting;
    std::map<WorkId, Parked> m_parked;
    std::map<WorkId, InFlight> m_inFlight;
    std::map<WorkId, Unconfirmed> m_unconfirmed;
};

} // namespace rattanbeam::decisions
