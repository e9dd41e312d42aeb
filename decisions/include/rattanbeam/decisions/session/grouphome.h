#pragma once

#include "rattanbeam/decisions/rankqueue.h"
#include "rattanbeam/decisions/session/departedruns.h"
#include "rattanbeam/decisions/session/homemessages.h"
#include "rattanbeam/decisions/session/memberconnections.h"
#include "rattanbeam/decisions/session/memberpace.h"
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

/// Timeouts, intervals and limits of one service's home.
struct GroupHomeLimits {
    /// Interval between status requests to each reachable member.
    Duration statusInterval = std::chrono::milliseconds(400);
    /// A member that owes an answer and sends nothing for this long is contacted on a new connection.
    Duration silenceTimeout = std::chrono::milliseconds(500);
    Duration connectTimeout = std::chrono::milliseconds(400);
    Duration leaseDuration = std::chrono::milliseconds(1500);
    /// Allowance for clocks that drift apart: a holder ends its lease earlier by this much, and a change of primary waits longer.
    Duration leaseMargin = std::chrono::milliseconds(150);
    /// How long other instances have to report whether they reach a silent primary.
    Duration peerAnswerTimeout = std::chrono::milliseconds(400);
    /// How long the platform has to accept an order, and then the candidate to lead.
    Duration promotionTimeout = std::chrono::seconds(3);
    /// Maximum time that a planned change of primary waits for the primary's open transactions and running statements.
    Duration quiesceTimeout = std::chrono::milliseconds(1200);
    /// A member whose registration has disappeared counts as removed after this time.
    Duration registrationGrace = std::chrono::milliseconds(2500);
    /// A transaction without a statement for this long is rolled back.
    Duration transactionIdleTimeout = std::chrono::seconds(3);
    /// How long the first home keeps an unused connection; a substitute keeps it for substituteConnectionIdleTimeout.
    Duration connectionIdleTimeout = std::chrono::seconds(20);
    /// Connections that one member accepts from all homes together.
    std::uint32_t maxConnections = 16;
    /// Connections out of `maxConnections` that are left to other homes and to maintenance commands.
    std::uint32_t reservedConnections = 4;
    /// Attempts for one request, the first included.
    std::uint32_t maxAttempts = 4;
    /// Number of replicas that have received a commit before it is acknowledged. Above 0, a change of primary waits until the candidate
    /// certainly holds each acknowledged commit; see DepartedRuns for the limit of that wait.
    std::uint32_t synchronousReplicas = 0;
    /// Whether members that have started, recovered or failed are given their slots step by step; see MemberPace.
    bool isPaceEnabled = true;

    auto operator<=>(const GroupHomeLimits &) const = default;
};

/// Counts of a home's connections to members since its start.
struct ConnectionCounters {
    std::uint64_t opened = 0;
    /// Closed while idle to make room for another workspace.
    std::uint64_t closedForRoom = 0;
    /// Refused because the member accepted no more.
    std::uint64_t refusedAsOverloaded = 0;
};

/// The home of one service: its members' queues and connections, the watermark of its commits, the lease on its primary
/// and the change of primary. Every request gets exactly one reply, and an error in it states correctly whether the
/// statement may have run.
///
/// Does no I/O and reads no clock: callers pass in events with the current time, and the home acts through HomeEffects.
///
///     GroupHome home(service, "a1/1700", limits, effects);
///     home.membersChanged(records, now);
///     home.request(request, now);
class GroupHome
{
public:
    /// `self` is this instance as `name/incarnation`, as term records list it.
    GroupHome(ServiceName service, std::string self, const GroupHomeLimits &limits, HomeEffects &effects);

    /// The registered members; records of other services are ignored.
    void membersChanged(const std::vector<MemberRecord> &members, TimePoint now);
    /// The members of the last membersChanged() are all that were registered by `asOf`.
    void memberListConfirmed(TimePoint asOf)
    {
        m_lease.memberListConfirmed(asOf);
    }
    void setLimits(const GroupHomeLimits &limits);
    /// Whether this instance ranks first among the service's possible homes and does not redirect its requests. Otherwise it is a
    /// substitute, which keeps few connections until requests have come for some time.
    void setFirstHome(bool isFirst)
    {
        m_isFirstHome = isFirst;
    }

    void request(const HomeRequest &request, TimePoint now);
    /// Rolls the transaction back, if it is open.
    void endTransaction(const TransactionKey &key, TimePoint now);
    /// The entry instance is lost: rolls its transactions back, except those with a statement under way.
    void entryLost(const std::string &entry, TimePoint now);

    /// Outcomes of HomeEffects::openConnection(); connectionFailed() also reports the end of an open connection.
    void connectionOpened(ConnectionNumber connection, TimePoint now);
    void connectionFailed(ConnectionNumber connection, ConnectFailure failure, TimePoint now);
    /// The answer to the oldest unanswered command of the connection; `status` if it was a maintenance command.
    void answered(ConnectionNumber connection, const Answer &answer, const std::optional<ReplicationStatus> &status, TimePoint now);

    /// The term record as a read of the store that began at `startedAt` returned it; none when there is no record. An event
    /// of a watch has `startedAt` distantPast: it may be older than a promotion and is no evidence for the lease. `revision` carries
    /// the store's epoch (storeepoch.h), also if there is no record.
    void termSeen(const std::optional<TermRecord> &record, std::uint64_t revision, TimePoint startedAt, TimePoint now);
    /// The store has come back from an older copy, and begun `epoch`. What is known of the term stays in use; no change of primary
    /// continues or begins before the term record has been read and written in the new epoch. `seenAt`: a time at which some instance
    /// knew the epoch already; may be told again when an earlier one is known.
    void storeEpochChanged(std::uint64_t epoch, TimePoint seenAt, TimePoint now);
    /// HomeEffects::writeTerm() did not write the record, or its outcome is unknown.
    void termWriteFailed(TermWriteFailure failure, TimePoint now);
    /// How many of the peers asked by HomeEffects::askPeers() reach the member, and how many do not.
    void peersAnswered(const MemberId &member, std::size_t reachable, std::size_t unreachable, TimePoint now);
    /// `home` has given up its lease on generations below `generation`.
    void leaseYielded(const std::string &home, std::uint64_t generation, TimePoint now);
    void promotionAnswered(const MemberId &member, PromotionResult result, TimePoint now);
    /// Gives up the lease on generations below `generation`, as another home asked. Returns false, and does nothing, if the other home
    /// has missed a change of the store's epoch, after which this home may hold a lease on the same primary.
    bool yieldLease(std::uint64_t generation, TimePoint now);

    /// This process was suspended for `pause`, which does not count as silence of the members.
    void paused(Duration pause);
    /// Handles timeouts and periodic work. To be called every few milliseconds.
    void tick(TimePoint now);

    bool isReachable(const MemberId &member) const;
    std::size_t openTransactions() const
    {
        return m_transactions.size();
    }
    /// Whether there are no requests and no open transactions.
    bool isQuiet() const
    {
        return m_work.empty() && m_held.empty() && m_transactions.empty();
    }
    const MemberId &primary() const
    {
        return m_primary;
    }
    /// Number of connections to members, those being opened included.
    std::size_t connections() const;
    const ConnectionCounters &connectionCounters() const
    {
        return m_connectionCounters;
    }
    /// Maximum number of statements in flight at each registered member.
    std::map<MemberId, std::size_t> memberLimits() const;

private:
    /// Whether a member can be reached, as the latest attempts have shown.
    enum class Health {
        Unknown,
        Up,
        Down,
    };
    /// A member of the group as this home knows it.
    struct Member {
        explicit Member(const QueueLimits &limits) : queue(limits)
        {}
        MemberRecord record;
        bool isRegistered = true;
        TimePoint unregisteredAt = distantPast;
        RankQueue queue;
        MemberConnections connections;
        Health health = Health::Unknown;
        /// Whether it was reached before, so that reaching it again is a recovery.
        bool wasReached = false;
        /// Whether its address has refused a connection, or belongs to another member, since it was last reached: its process has ended.
        bool hasEnded = false;
        MemberPace pace;
        TimePoint paceStartedAt = distantPast;
        TimePoint lastHeardAt = distantPast;
        /// When a command that is answered with a status was last sent; distantPast makes the home ask at once.
        TimePoint statusAskedAt = distantPast;
        /// When the command that `status` answers was sent.
        TimePoint statusSentAt = distantPast;
        bool isStatusPending = false;
        TimePoint nextConnectAt = distantPast;
        Duration backoff{};
        std::optional<ReplicationStatus> status;
        /// Lower bound of the position that the member has applied: the highest that its answers have shown.
        LogPosition applied;
        /// Until then the reported lag is ignored, since the member was further behind than it said; only `applied` counts.
        TimePoint lagDistrustedUntil = distantPast;
        /// Number of failed statements as of `lastFailedAt`, with a half-life of one second.
        double recentFailures = 0;
        TimePoint lastFailedAt = distantPast;
        TimePoint peersAskedAt = distantPast;
        /// What peers have answered since the member went silent: how many reach it, and how many do not.
        std::optional<std::pair<std::size_t, std::size_t>> peerAnswers;
        /// Number of this home's connections when the member refused another one; limits them until `cappedUntil`.
        std::size_t connectionCap = 0;
        TimePoint cappedUntil = distantPast;
        /// Connections that the member refused in a row as overloaded, without those opened at the same time; 0 while clients are not
        /// identified.
        std::uint32_t overloads = 0;
        TimePoint lastOverloadAt = distantPast;

        double recentFailuresAt(TimePoint now) const
        {
            return recentFailures == 0 ? 0 : recentFailures * std::exp2(-std::chrono::duration<double>(now - lastFailedAt).count());
        }
    };
    /// How many connections to a member each workspace may hold for transactions, and how many it holds.
    struct ConnectionShares {
        std::size_t share = 0;
        std::map<WorkspaceName, std::size_t> held;

        bool mayHoldAnother(const WorkspaceName &workspace) const
        {
            const auto found = held.find(workspace);
            return found == held.end() || found->second < share;
        }
    };
    /// A request on its way to a member.
    struct Work {
        HomeRequest request;
        MemberId member;
        std::optional<ConnectionNumber> connection;
        std::uint32_t attempts = 0;
        /// Whether the statement itself was sent; the commands that prepare the connection do not count.
        bool isSent = false;
        std::string preparedName;
        /// Position that a replica must have applied before it runs the read.
        std::optional<LogPosition> after;
        /// Member at which the statement failed or stalled; chosen again only if there is no other.
        MemberId avoidedMember;
        /// Generation of the primary that it was sent to; 0 at a replica.
        std::uint64_t generation = 0;
    };
    /// An open transaction, and the connection that it is pinned to.
    struct Transaction {
        MemberId member;
        ConnectionNumber connection = 0;
        std::uint64_t generation = 0;
        WorkspaceName workspace;
        /// Whether a statement of it is under way.
        bool isBusy = false;
        TimePoint lastUsed{};
    };
    /// An answer of the primary that is withheld until there is evidence that the member was still the primary.
    struct UnconfirmedAnswer {
        WorkNumber work = 0;
        HomeReply reply;
        bool mayHaveWritten = false;
        TimePoint answeredAt{};
        TimePoint sentAt{};
        std::uint64_t generation = 0;
    };
    enum class ChangeStage {
        None,
        AskingPeers, ///< Other instances tell whether they reach the primary.
        Quiescing, ///< Planned change only: waits, up to quiesceTimeout, for the primary's open transactions and running statements.
        WritingTerm, ///< A record of the next generation, without a primary, is being written to the store.
        Fencing, ///< Replicas stop receiving from the old primary, and report their positions.
        AwaitingLeases, ///< Leases of other homes on the old primary are yielded or expire.
        Ordering, ///< The platform is asked to promote the candidate.
        AwaitingLead, ///< The order was accepted; the candidate is polled until it leads.
    };
    /// A change of primary; the default value means that none is under way.
    struct PrimaryChange {
        ChangeStage stage = ChangeStage::None;
        bool isPlanned = false;
        /// Used only without an old primary: whether promotions ordered by an earlier change can no longer take effect.
        bool haveEarlierOrdersExpired = false;
        /// The primary to replace; empty when the term record names none.
        MemberId oldPrimary;
        /// Latest term known to have been led before the change; 0 when it is not known.
        Term oldPrimaryTerm = 0;
        MemberId candidate;
        /// The generation that this change began; 0 before its term record is written.
        std::uint64_t generation = 0;
        /// Revision of the term record that began this change; sent with orders of promotion.
        std::uint64_t fencingToken = 0;
        /// Start of the change. With none under way: when the last one was abandoned, another term was adopted or fences were
        /// lifted.
        TimePoint startedAt = distantPast;
        TimePoint stageDeadline = distantPast;
        TimePoint leasesExpireAt = distantPast;
        /// Other homes that hold leases on the old primary and have not yielded them.
        std::set<std::string> leaseHolders;
        /// The old record's witnesses, and since when each is known to be fenced or to lead.
        std::vector<MemberId> witnesses;
        std::map<MemberId, TimePoint> fencedSince;
        TimePoint yieldAskedAt = distantPast;
        /// When the leases were found to have ended; distantPast before that.
        TimePoint leasesEndedAt = distantPast;
        /// Members that have not confirmed their fence or, in a planned change, have not received all up to `finalPosition`.
        std::set<MemberId> pendingFences;
        /// Last position that each member has received, as reported while fencing; the highest of its term for a member that
        /// already leads.
        std::map<MemberId, LogPosition> reportedPositions;
        /// With synchronous replicas only: the positions that members have reported in answer to commands of the current round of fencing.
        std::map<MemberId, LogPosition> heardPositions;
        /// Whether the members that are awaited have been reported in the current round of fencing.
        bool areHoldersReported = false;
        /// When the current round of fencing began.
        TimePoint fencingSince = distantPast;
        /// Whether no other home could still acknowledge commits when the current round of fencing began.
        bool isFencedAfterLeases = false;
        /// Planned change only: where the demoted primary's log ends.
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
    bool hasApplied(const Member &member, const LogPosition &required, TimePoint now) const;
    void hold(WorkNumber number, TimePoint now);
    void releaseHeld(TimePoint now);
    void enqueue(WorkNumber number, const MemberId &member, bool isPinned, TimePoint now);
    void enqueueAtPrimary(WorkNumber number, TimePoint now);
    void startQueuedWork(Member &member, TimePoint now);
    bool advanceQueue(Member &member, std::size_t freeConnections, const ConnectionTest &isConnectionFree, TimePoint now);
    void startWorkspaceWork(Member &member, TimePoint now);
    void startWork(Member &member, WorkNumber number, TimePoint now);
    void sendWork(Member &member, MemberConnection &connection, WorkNumber number, TimePoint now);
    void retry(WorkNumber number, StatementError error, const std::string &reason, TimePoint now);
    void finish(WorkNumber number, const HomeReply &reply, TimePoint now);
    /// `retryAt`: when the client may expect to be served; in the past if that is not known.
    void refuse(WorkNumber number, StatementError error, const std::string &reason, TimePoint now, TimePoint retryAt = distantPast);
    void redirect(WorkNumber number, TimePoint now);
    std::string retryAfterText(TimePoint at, TimePoint now) const;

    // Members and their connections
    Member *memberOf(ConnectionNumber connection);
    MemberConnection *connectionOf(ConnectionNumber connection, Member **member);
    MemberConnection &openConnection(Member &member, const WorkspaceName &workspace, TimePoint now);
    MemberConnection *openForWork(Member &member, const WorkspaceName &workspace, TimePoint now);
    bool servesWorkspaces(const Member &member, TimePoint now) const;
    bool mayOpenForWork(const Member &member, TimePoint now) const;
    double openingCost(const Member &member, const WorkspaceName &workspace, TimePoint now) const;
    ConnectionShares connectionShares(const Member &member, TimePoint now) const;
    void reportClosedForRoom(const Member &member, TimePoint now);
    std::size_t connectionLimit(const Member &member, TimePoint now) const;
    void sendNext(Member &member, MemberConnection &connection, TimePoint now);
    void recordPreparation(MemberConnection &connection, const MemberCommand &command);
    void maintenanceAnswered(Member &member,
                             MemberConnection &connection,
                             const MemberCommand &command,
                             const std::optional<ReplicationStatus> &status,
                             TimePoint now);
    static bool isOlderLogOfNewerTerm(const Work &work, const Answer &answer);
    void statementAnswered(Member &member, MemberConnection &connection, WorkNumber number, const Answer &answer, TimePoint now);
    void preparationFailed(Member &member, MemberConnection &connection, WorkNumber number, const Answer &answer, TimePoint now);
    void statementFailed(Member &member, MemberConnection &connection, WorkNumber number, const Answer &answer, TimePoint now);
    void pinOrReleaseConnection(Member &member, MemberConnection &connection, const Work &work, const Answer &answer, TimePoint now);
    void statusAnswered(Member &member, const ReplicationStatus &status, const PrimaryLease::Confirmation &confirmation, TimePoint now);
    void
    replicaAnswered(const MemberId &id, const ReplicationStatus &status, const PrimaryLease::Confirmation &confirmation, TimePoint now);
    void memberReached(Member &member, TimePoint now);
    void startPace(Member &member, std::string_view cause, TimePoint now);
    void paceAnswered(Member &member, Rank rank, Duration time, TimePoint now);
    void paceFailed(Member &member, TimePoint now);
    void applyPace(Member &member, MemberPace::Change change, std::string_view cause, TimePoint now);
    static bool hasRoom(const Member &member);
    void setMemberSilent(Member &member, TimePoint now);
    void dispatchQueuedWorkAgain(Member &member, TimePoint now);
    void dropConnection(Member &member, ConnectionNumber number, bool isClosed, StatementError reason, TimePoint now);
    void workConnectionLost(WorkNumber number, StatementError reason, TimePoint now);
    void disconnectMember(Member &member, TimePoint now);
    void askStatus(Member &member, TimePoint now);
    /// Resets connections at rest whose values are large.
    void resetLargeIdleConnections(Member &member, TimePoint now);
    void maintainConnections(Member &member, TimePoint now);
    void removeMember(const MemberId &id, TimePoint now);
    bool hasLapsed(const Member &member, TimePoint now) const;
    static bool isRetryable(const Work &work, StatementError error);
    void recordFailure(Member &member, TimePoint now);
    void rollBack(Member &member, ConnectionNumber number, TimePoint now);
    void endOverdueWork(TimePoint now);
    void retryStalledReads(TimePoint now);
    void refuseOverdueHeld(TimePoint now);
    void endIdleTransactions(TimePoint now);

    // The lease and the change of primary
    bool isPrimaryUsable() const;
    void deliverPrimaryAnswer(WorkNumber number, const HomeReply &reply, bool mayHaveWritten, TimePoint sentAt, TimePoint now);
    std::string replicaEvidenceText(TimePoint now) const;
    void reportRelianceOnReplicas(WorkNumber number, TimePoint now);
    void releaseConfirmedAnswers(TimePoint now);
    void refuseUnconfirmableAnswers(TimePoint now);
    void ensureTermExists(TimePoint now);
    std::map<MemberId, Member>::const_iterator registeredPrimary() const;
    bool hasLostUnrecordedPrimary(TimePoint now) const;
    void ensureListedInTerm(TimePoint now);
    void adoptTerm(const TermRecord &record, TimePoint now);
    void primaryNamed();
    void dropSupersededWork(TimePoint now);
    void renewEvidence(TimePoint now);
    void redirectWhileStoreFails(TimePoint now);
    void updateEvidenceState(TimePoint now);
    bool isEvidenceMissing(TimePoint now) const;
    bool isInUse(TimePoint now) const;
    void superviseGroup(TimePoint now);
    void advanceFencing(TimePoint now);
    void askHoldersToYield(TimePoint now);
    void advanceLeaseWait(TimePoint now);
    void orderIfCandidateUnchanged(TimePoint now);
    bool isCandidateUnchanged(const ReplicationStatus &status) const;
    void updateFencedWitnesses(const MemberId &id, const ReplicationStatus &status, TimePoint now);
    void fenceWitnesses(TimePoint now);
    bool haveLeasesEnded(TimePoint now) const;
    TimePoint knownToAllHomesAt(const Member &member) const;
    TimePoint listedSince(const Member &member, TimePoint now) const;
    std::map<MemberId, TimePoint> otherReplicas(TimePoint now) const;
    bool isGuardNeeded(TimePoint now) const;
    std::optional<MemberId> guardingReplica(TimePoint now) const;
    bool isGuarded(TimePoint now) const;
    bool isFenceHeld(const MemberId &id, TimePoint now) const;
    std::vector<MemberId> reachableReplicas() const;
    std::vector<MemberId> updatedWitnesses(const TermRecord &record) const;
    bool mayForgetWitness(const MemberId &witness) const;
    void setLeaseWitnesses();
    void sampleWatermark(const LogPosition &position, TimePoint sentAt, TimePoint now);
    std::set<MemberId> replicaIds() const;
    void forgetUnregisteredReplicas(TimePoint now);

    // Changes of the store's epoch
    void ownGenerationWritten(const TermRecord &record, std::uint64_t revision, TimePoint now);
    bool isTermSettled() const;
    bool recordStoredTerm(const TermRecord &record, std::uint64_t revision, TimePoint now);
    bool isSettledFirstHome(TimePoint now) const;
    void settleTerm(TimePoint now);
    std::optional<TermRecord> confirmedTerm(TimePoint now) const;
    MemberId confirmedLeader(TimePoint now) const;
    std::uint64_t nextGeneration() const;
    void addRestoredHolders(TermRecord &record) const;
    bool mayHaveUnlistedHolders(TimePoint now) const;
    void addPossibleWitnesses(TimePoint now);
    bool isSameReign(const TermRecord &record) const;
    void continueReign(const TermRecord &record);

    void suspectPrimary(std::string_view cause, TimePoint now);
    void askPeersEarly(Member &member, TimePoint now);
    void evaluatePeerAnswers(std::size_t reachable, std::size_t unreachable, TimePoint now);
    void considerPlannedChange(TimePoint now);
    void advanceChange(TimePoint now);
    void beginTermWrite(TimePoint now);
    void beginFencing(TimePoint now);
    void addPendingFences();
    void addUnheardFences();
    void awaitAcknowledgedCommits(bool hasCandidate, TimePoint now);
    void statusAnsweredWhileFencing(const Member &member, const ReplicationStatus &status, TimePoint sentAt, TimePoint now);
    void oldPrimaryAnswered(const Member &member, const ReplicationStatus &status, TimePoint now);
    bool isLatestPrimary(const MemberId &member) const;
    void memberDeparted(const Member &member, TimePoint now);
    void runEnded(const Member &member, TimePoint now);
    void restartedDuringChange(const MemberId &id, TimePoint now);
    bool hasLostLog(const Member &member, const ReplicationStatus &status) const;
    void reportDeparted(const MemberRun &run, bool hasEnded);
    void addUnknownWitnesses(TimePoint now);
    void updateDepartedRuns(TimePoint now);
    void giveUpDepartedRuns(TimePoint now);
    void reportForgotten(const std::vector<DepartedRuns::Forgotten> &runs);
    std::set<MemberId> possibleHolders() const;
    std::set<MemberId> unheardHolders() const;
    void reportUnheardHolders(TimePoint now);
    bool coversAcknowledgedCommits(const LogPosition &position) const;
    Duration silenceTimeout(const Member &member) const;
    void chooseCandidate(TimePoint now);
    void orderPromotionIfNewest(TimePoint now);
    void completeChange(TimePoint now);
    void abandonChange(std::string_view cause, TimePoint now);
    void setStage(ChangeStage stage, TimePoint deadline);
    bool sendMaintenance(Member &member, CommandKind kind, Term term, TimePoint now);
    void resumeFencedMembers(TimePoint now);
    std::optional<MemberId> mostAdvancedCandidate(TimePoint now) const;
    bool hasWholeGroupReported() const;
    bool isNewLeader(const ReplicationStatus &status) const;
    Term latestKnownTerm(const MemberId &member) const;
    Term termLedByPrimary() const;
    static std::string_view changeStageName(ChangeStage stage);

    ServiceName m_service;
    std::string m_self;
    GroupHomeLimits m_limits;
    HomeEffects &m_effects;
    std::map<MemberId, Member> m_members;
    std::map<ConnectionNumber, MemberId> m_connectionOwners;
    ConnectionNumber m_lastConnectionNumber = 0;
    WorkNumber m_lastWorkNumber = 0;
    /// The latest deadline of requests of workspaces.
    TimePoint m_workspacesUntil = distantPast;
    ConnectionCounters m_connectionCounters;
    TimePoint m_closedForRoomReportedAt = distantPast;
    std::uint64_t m_closedForRoomReported = 0;
    std::map<WorkNumber, Work> m_work;
    /// Work that waits for a usable primary, or for a replica that is fresh enough.
    std::deque<WorkNumber> m_held;
    std::map<TransactionKey, Transaction> m_transactions;
    PreparedNames m_preparedNames;
    UsualAnswerTimes m_usualAnswerTimes;
    Watermark m_watermark;
    /// Highest term in any member's status, fences included.
    Term m_highestTerm = 0;

    /// The latest term record; none until the store has shown one.
    std::optional<TermRecord> m_term;
    std::uint64_t m_termRevision = 0;
    /// The store's latest known epoch, and the earliest time known at which an instance knew of it.
    std::uint64_t m_storeEpoch = 0;
    TimePoint m_storeEpochSeenAt = distantPast;
    /// The record of an earlier epoch that the store shows in this one.
    std::optional<TermRecord> m_restoredTerm;
    /// When the present revision of that record was first seen.
    TimePoint m_restoredSeenAt = distantPast;
    /// The primary that the latest record with a primary named.
    MemberId m_lastNamedPrimary;
    TimePoint m_lastTermWriteAt = distantPast;
    TimePoint m_lastTermReadAt = distantPast;
    TimePoint m_witnessesCheckedAt = distantPast;
    MemberId m_primary;
    /// The highest position that answers of the latest primary have shown.
    LogPosition m_primaryPosition;
    PrimaryLease m_lease;
    std::deque<UnconfirmedAnswer> m_unconfirmedAnswers;
    PrimaryChange m_change;
    TimePoint m_lastRequestAt = distantPast;
    /// Start of the current period in which requests have come without a long gap.
    TimePoint m_activeSince = distantPast;
    /// When the lease last had recent evidence, or none was needed.
    TimePoint m_lastEvidenceAt = distantPast;
    TimePoint m_relianceReportedAt = distantPast;
    /// Until then, requests for the primary, and reads that no member can serve now, are redirected to another home, and a primary
    /// that is down is not suspected again.
    TimePoint m_redirectUntil = distantPast;
    /// Consecutive changes that ended because the store did not accept the term record, and failed attempts to write the first one.
    std::uint32_t m_failedTermWrites = 0;
    /// Since when this instance has been the first home; the current time while it is a substitute.
    TimePoint m_firstHomeSince = distantPast;
    /// Witnesses that this home has taken out of the term record, or tried to, with the record's revision before that. They are no evidence
    /// unless a later revision names them.
    std::map<MemberId, std::uint64_t> m_droppedWitnesses;
    /// Members whose registrations have disappeared, with the time of that. They may have been promoted before.
    std::map<MemberId, TimePoint> m_unregisteredReplicas;
    /// A replica that stays fenced after the promotion of a member that some homes may not know.
    struct HeldFence {
        MemberId member;
        TimePoint until = distantPast;
    };
    HeldFence m_heldFence;
    /// With synchronous replicas only: members that have left the group.
    DepartedRuns m_departedRuns;
    /// Since when the service has had neither a term record nor a member registered as primary.
    TimePoint m_withoutPrimarySince = distantPast;
    /// Since when the term record has named no primary; distantPast if it names one.
    TimePoint m_leaderlessSince = distantPast;
    /// Last time that no reachable replica was fenced.
    TimePoint m_fencedSince = distantPast;
    /// Time since which changes have found no candidate among the members of the latest term; distantPast after a completed change.
    TimePoint m_noCandidateSince = distantPast;
    /// Highest term in any member's status, fences excluded: the latest that is known to have been led.
    Term m_highestLedTerm = 0;
    bool m_isFirstHome = true;
    /// Whether members have been known before: those that appear later have started.
    bool m_hasKnownMembers = false;
    /// Whether the store has been read, with or without a record.
    bool m_isTermKnown = false;
    /// Whether the store has been read in this epoch, with or without a record.
    bool m_isTermReadInEpoch = false;
    /// Whether the record's generation was begun in this epoch. Until then the record may be missing or older than a later promotion.
    bool m_isTermOfEpoch = false;
    bool m_isWritingTerm = false;
};

} // namespace rattanbeam::decisions::session
