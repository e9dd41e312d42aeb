#pragma once

#include "rattanbeam/decisions/rankqueue.h"
#include "rattanbeam/decisions/session/homemessages.h"
#include "rattanbeam/decisions/session/memberconnections.h"
#include "rattanbeam/decisions/session/primarylease.h"
#include "rattanbeam/decisions/session/watermark.h"

#include <chrono>
#include <cmath>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rattanbeam::decisions::session
{

/// Times and bounds of one service's home.
struct GroupHomeLimits {
    Duration statusInterval = std::chrono::milliseconds(400);
    /// A member that owes an answer and says nothing for this long is asked on a new connection.
    Duration silence = std::chrono::milliseconds(500);
    Duration connectTimeout = std::chrono::milliseconds(400);
    Duration leaseLength = std::chrono::milliseconds(1500);
    /// Clocks may run this much apart within one lease.
    Duration leaseMargin = std::chrono::milliseconds(150);
    Duration peersTimeout = std::chrono::milliseconds(400);
    Duration promotionTimeout = std::chrono::seconds(3);
    /// Longest wait for open transactions and for a replica before a planned change of primary.
    Duration quiesceLimit = std::chrono::milliseconds(1200);
    /// A registration that vanished is believed gone after this.
    Duration lapseGrace = std::chrono::milliseconds(2500);
    Duration transactionIdle = std::chrono::seconds(3);
    Duration idleConnection = std::chrono::seconds(20);
    std::uint32_t maxConnections = 16;
    /// Connections of the member's cap that are left to other homes and to maintenance.
    std::uint32_t reservedConnections = 4;
    std::uint32_t mostAttempts = 4;

    auto operator<=>(const GroupHomeLimits &) const = default;
};

/// The home of one service: its members' queues and connections, the watermark of its commits, the lease on its primary
/// and the change of primary. Every request gets exactly one reply, and the error in it is true.
///
///     GroupHome home(service, "a1/1700", limits, effects);
///     home.membersChanged(records, now);
///     home.request(request, now);
class GroupHome
{
public:
    GroupHome(ServiceName service, std::string self, const GroupHomeLimits &limits, HomeEffects &effects);

    void membersChanged(const std::vector<MemberRecord> &members, TimePoint now);
    void setLimits(const GroupHomeLimits &limits);
    /// Whether this instance is the service's first home; others keep few connections until they are needed for long.
    void setFirst(bool isFirst)
    {
        m_isFirst = isFirst;
    }

    void request(const HomeRequest &request, TimePoint now);
    void endTransaction(const TransactionKey &key, TimePoint now);
    /// All transactions of an entry instance that was lost.
    void entryLost(const std::string &entry, TimePoint now);

    void connectionOpened(ConnectionNumber connection, TimePoint now);
    void connectionFailed(ConnectionNumber connection, ConnectFailure failure, TimePoint now);
    void answered(ConnectionNumber connection, const Answer &answer, const std::optional<ReplicationStatus> &status, TimePoint now);

    /// The term record as the store showed it to a read or watch that began at `startedAt`; none when there is no record.
    void termSeen(const std::optional<TermRecord> &record, std::uint64_t revision, TimePoint startedAt, TimePoint now);
    /// Outcome of writeTerm() when the record was not written.
    void termWriteFailed(TermWriteFailure failure, TimePoint now);
    void peersAnswered(const MemberId &member, std::size_t reachable, std::size_t unreachable, TimePoint now);
    void homeYielded(const std::string &home, std::uint64_t generation, TimePoint now);
    void promotionAnswered(const MemberId &member, PromotionResult result, TimePoint now);
    /// Another home asks for this one's lease below `generation`.
    void yield(std::uint64_t generation, TimePoint now);

    /// This process stood still for `pause`: silence in that time says nothing about others.
    void paused(Duration pause);
    /// Ends what is overdue. To be called every few milliseconds.
    void tick(TimePoint now);

    bool isReachable(const MemberId &member) const;
    std::size_t openTransactions() const
    {
        return m_transactions.size();
    }
    bool isQuiet() const
    {
        return m_work.empty() && m_held.empty() && m_transactions.empty();
    }
    const MemberId &primary() const
    {
        return m_primary;
    }
    std::size_t connections() const;

private:
    enum class Health {
        Unknown,
        Up,
        Down,
    };
    struct Member {
        explicit Member(const QueueLimits &limits) : queue(limits)
        {}
        MemberRecord record;
        bool isRegistered = true;
        TimePoint unregisteredAt = distantPast;
        RankQueue queue;
        MemberConnections connections;
        Health health = Health::Unknown;
        TimePoint heardAt = distantPast;
        TimePoint statusSentAt = distantPast;
        bool isStatusAsked = false;
        TimePoint nextConnectAt = distantPast;
        Duration backoff{};
        std::optional<ReplicationStatus> status;
        LogPosition applied;
        /// It was further behind than its lag had told: only what it showed counts until then.
        TimePoint distrustedUntil = distantPast;
        /// Statements that failed of late; halves every second.
        double failures = 0;
        TimePoint failedAt = distantPast;
        TimePoint peersAskedAt = distantPast;
        /// What peers said since the member went silent: how many reach it, how many do not.
        std::optional<std::pair<std::size_t, std::size_t>> peerVerdict;
        /// Connections that this home had when the member accepted no more, until it is tried again.
        std::size_t connectionCap = 0;
        TimePoint cappedUntil = distantPast;

        double failuresAt(TimePoint now) const
        {
            return failures == 0 ? 0 : failures * std::exp2(-std::chrono::duration<double>(now - failedAt).count());
        }
    };
    struct Work {
        HomeRequest request;
        MemberId member;
        std::optional<ConnectionNumber> connection;
        std::uint32_t attempts = 0;
        bool isSent = false;
        bool isOffered = false;
        std::string preparedName;
        std::optional<LogPosition> after;
        /// A member that owed the answer for too long.
        MemberId avoided;
        /// Generation whose primary it was given to; 0 for work at a replica.
        std::uint64_t generation = 0;
    };
    struct Transaction {
        MemberId member;
        ConnectionNumber connection = 0;
        std::uint64_t generation = 0;
        bool isBusy = false;
        TimePoint lastUsed{};
    };
    struct AwaitingEvidence {
        WorkNumber work = 0;
        HomeReply reply;
        bool mayHaveWritten = false;
        TimePoint answeredAt{};
        TimePoint sentAt{};
        std::uint64_t generation = 0;
    };
    enum class Change {
        None,
        AskingPeers,
        Quiescing,
        WritingTerm,
        Fencing,
        AwaitingLeases,
        Ordering,
        AwaitingLead,
    };
    struct PrimaryChange {
        Change stage = Change::None;
        bool isPlanned = false;
        /// Without a primary to replace: orders of an earlier change have had their time.
        bool isSettled = false;
        MemberId from;
        Term fromTerm = 0;
        MemberId candidate;
        std::uint64_t token = 0;
        TimePoint startedAt = distantPast;
        TimePoint stageUntil = distantPast;
        TimePoint leasesUntil = distantPast;
        std::set<std::string> awaitedHomes;
        std::set<MemberId> awaitedFences;
        std::map<MemberId, LogPosition> fenced;
        /// Where the demoted primary's log ends, in a planned change.
        std::optional<LogPosition> finalPosition;
        TimePoint lastOrderAt = distantPast;
    };

    // Requests
    bool needsPrimary(const HomeRequest &request) const;
    void dispatch(WorkNumber number, TimePoint now);
    void dispatchToPrimary(WorkNumber number, TimePoint now);
    void dispatchRead(WorkNumber number, TimePoint now);
    void dispatchPinned(WorkNumber number, TimePoint now);
    std::optional<LogPosition> requiredPosition(const HomeRequest &request) const;
    bool isCoveredBy(const Member &member, const LogPosition &required, TimePoint now) const;
    void hold(WorkNumber number, TimePoint now);
    void releaseHeld(TimePoint now);
    void enqueue(WorkNumber number, const MemberId &member, bool isPinned, TimePoint now);
    void enqueueAtPrimary(WorkNumber number, TimePoint now);
    void pump(Member &member, TimePoint now);
    void start(Member &member, WorkNumber number, TimePoint now);
    void retry(WorkNumber number, StatementError error, const std::string &reason, TimePoint now);
    void finish(WorkNumber number, const HomeReply &reply, TimePoint now);
    void refuse(WorkNumber number, StatementError error, const std::string &reason, TimePoint now);
    void moveElsewhere(WorkNumber number, TimePoint now);
    std::string retryHint(TimePoint at, TimePoint now) const;

    // Members and their connections
    Member *memberOf(ConnectionNumber connection);
    MemberConnection *connectionOf(ConnectionNumber connection, Member **member);
    void openConnection(Member &member, TimePoint now);
    std::size_t connectionLimit(const Member &member, TimePoint now) const;
    void sendNext(Member &member, MemberConnection &connection, TimePoint now);
    void applyPreparation(MemberConnection &connection, const MemberCommand &command);
    void maintenanceAnswered(Member &member,
                             MemberConnection &connection,
                             const MemberCommand &command,
                             const std::optional<ReplicationStatus> &status,
                             TimePoint now);
    void statementAnswered(Member &member, MemberConnection &connection, WorkNumber number, const Answer &answer, TimePoint now);
    void statementFailed(Member &member, MemberConnection &connection, WorkNumber number, const Answer &answer, TimePoint now);
    void settle(Member &member, MemberConnection &connection, const Work &work, const Answer &answer, TimePoint now);
    void statusAnswered(Member &member, const ReplicationStatus &status, TimePoint sentAt, TimePoint now);
    void dropConnection(Member &member, ConnectionNumber number, bool isClosed, StatementError reason, TimePoint now);
    void workLost(WorkNumber number, StatementError reason, TimePoint now);
    void memberSilent(Member &member, TimePoint now);
    void askStatus(Member &member, TimePoint now);
    void keepConnections(Member &member, TimePoint now);
    void removeMember(const MemberId &id, TimePoint now);
    static bool isRepeatable(const Work &work, StatementError error);
    static void noteFailure(Member &member, TimePoint now);
    void rollBack(Member &member, ConnectionNumber number, TimePoint now);
    void endOverdue(TimePoint now);
    void moveStalledReads(TimePoint now);
    void refuseHeld(TimePoint now);
    void endIdleTransactions(TimePoint now);

    // The lease and the change of primary
    bool isPrimaryUsable() const;
    void deliverFromPrimary(WorkNumber number, const HomeReply &reply, bool mayHaveWritten, TimePoint sentAt, TimePoint now);
    void releaseEvidenced(TimePoint now);
    void failAwaiting(TimePoint now);
    void ensureListed(TimePoint now);
    void adoptTerm(const TermRecord &record, TimePoint now);
    void dropSupersededWork(TimePoint now);
    void renewEvidence(TimePoint now);
    void leaveToOthers(TimePoint now);
    void keepSight(TimePoint now);
    bool isBlind(TimePoint now) const;
    void superviseIdle(TimePoint now);
    void advanceFencing(TimePoint now);
    void samplePrimary(const LogPosition &position, TimePoint sentAt, TimePoint now);
    std::set<MemberId> replicaIds() const;
    void suspectPrimary(std::string_view cause, TimePoint now);
    void askPeersAhead(Member &member, TimePoint now);
    void judgePeers(std::size_t reachable, std::size_t unreachable, TimePoint now);
    void considerPlanned(TimePoint now);
    void advanceChange(TimePoint now);
    void beginTermWrite(TimePoint now);
    void fenceReplicas(TimePoint now);
    void awaitFences();
    void memberSeenWhileFencing(const Member &member, const ReplicationStatus &status, TimePoint now);
    void chooseCandidate(TimePoint now);
    void orderIfNewest(TimePoint now);
    void primaryLeads(TimePoint now);
    void abandonChange(std::string_view cause, TimePoint now);
    void setStage(Change stage, TimePoint until);
    bool sendMaintenance(Member &member, CommandKind kind, Term term, TimePoint now);
    void resumeFenced(TimePoint now);
    std::optional<MemberId> mostAdvanced(TimePoint now) const;
    bool isWholeGroupSeen() const;
    bool leadsAfterChange(const ReplicationStatus &status) const;
    Term knownTerm(const MemberId &member) const;
    static std::string_view changeName(Change stage);

    ServiceName m_service;
    std::string m_self;
    GroupHomeLimits m_limits;
    HomeEffects &m_effects;
    bool m_isFirst = true;
    std::map<MemberId, Member> m_members;
    std::map<ConnectionNumber, MemberId> m_connectionOwners;
    ConnectionNumber m_lastConnection = 0;
    WorkNumber m_lastWork = 0;
    std::map<WorkNumber, Work> m_work;
    std::deque<WorkNumber> m_held;
    std::map<TransactionKey, Transaction> m_transactions;
    PreparedNames m_preparedNames;
    Watermark m_watermark;
    Term m_highestTerm = 0;

    std::optional<TermRecord> m_term;
    std::uint64_t m_termRevision = 0;
    bool m_isTermKnown = false;
    bool m_isWritingTerm = false;
    TimePoint m_termWriteAt = distantPast;
    TimePoint m_termReadAt = distantPast;
    MemberId m_primary;
    PrimaryLease m_lease;
    std::deque<AwaitingEvidence> m_awaiting;
    PrimaryChange m_change;
    TimePoint m_lastRequestAt = distantPast;
    /// Since when requests have come without a rest.
    TimePoint m_substituteSince = distantPast;
    /// When there was evidence of the term, or no need of it.
    TimePoint m_sightedAt = distantPast;
    TimePoint m_unfitUntil = distantPast;
    /// Changes in a row that ended because the store did not take the term.
    std::uint32_t m_failedTermWrites = 0;
    TimePoint m_fencedSince = distantPast;
    /// Since when no member of the latest term could be found to lead.
    TimePoint m_noCandidateSince = distantPast;
    Term m_highestLedTerm = 0;
};

} // namespace rattanbeam::decisions::session
