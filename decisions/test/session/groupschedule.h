#pragma once

#include "rattanbeam/decisions/session/grouphome.h"
#include "rattanbeam/decisions/session/storeepoch.h"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace rattanbeam::decisions::session::test
{

using namespace std::chrono_literals;

/// Simulates two homes of a group of three members, with a store and a promotion call, under a random schedule of faults: members
/// crash and restart, links from homes to members and the store are cut, homes pause, and answers are delayed. Checks the replies
/// to clients against what the members did. With `hasEpochs`, the store also comes back from older copies, and homes restart. With
/// `hasDepartures`, members are also cut off from both homes, registrations end, and members restart as new runs, replicas without their
/// logs.
class GroupSchedule
{
public:
    /// With workspaces, each request is of one of them, and members that have many connections refuse to open more.
    /// `synchronousReplicas`: a write is answered only after that many replicas have it, which a promotion must not lose.
    explicit GroupSchedule(std::uint32_t seed,
                           std::uint32_t workspaceCount = 0,
                           std::uint32_t synchronousReplicas = 0,
                           bool hasEpochs = false,
                           bool hasDepartures = false)
        : m_random(seed)
        , m_workspaceCount(workspaceCount)
        , m_synchronousReplicas(synchronousReplicas)
        , m_hasEpochs(hasEpochs)
        , m_hasDepartures(hasDepartures)
    {
        for (int i = 0; i < memberCount; ++i) {
            m_members[i].isPrimary = i == 0;
        }
        for (int i = 0; i < homeCount; ++i) {
            m_homes.push_back(std::make_unique<Home>(*this, i));
            GroupHomeLimits limits;
            limits.synchronousReplicas = synchronousReplicas;
            m_homes.back()->groupHome.setLimits(limits);
            m_homes.back()->groupHome.membersChanged(records(), m_now);
        }
    }

    /// Advances the simulation by 10 ms, and in some steps begins one fault or ends one or more.
    void step()
    {
        m_now += 10ms;
        injectFault();
        if (m_hasEpochs) {
            runEpochs();
        }
        if (m_hasDepartures) {
            injectDeparture();
            updateRegistrations();
        }
        replicate();
        completePromotion();
        for (auto &home : m_homes) {
            runHome(*home);
        }
        sendRequest();
    }
    const std::string &violation() const
    {
        return m_violation;
    }
    std::size_t acknowledgedCount() const
    {
        return m_acknowledgedCount;
    }
    std::size_t promotionCount() const
    {
        return m_promotionCount;
    }
    std::size_t overloadCount() const
    {
        return m_overloadCount;
    }
    std::uint64_t closedForRoomCount() const
    {
        std::uint64_t count = 0;
        for (const auto &home : m_homes) {
            count += home->groupHome.connectionCounters().closedForRoom;
        }
        return count;
    }
    std::uint64_t storeEpoch() const
    {
        return m_epoch;
    }
    /// Ends all faults and injects no more.
    void endFaults()
    {
        for (auto &home : m_homes) {
            home->pausedUntil = {};
            home->reachesStore = true;
            home->reachesMember.fill(true);
        }
        for (Member &member : m_members) {
            member.cutOffUntil = {};
            member.deafUntil = {};
            restart(member);
        }
        m_areFaultsEnded = true;
    }

private:
    static constexpr int memberCount = 3;
    static constexpr int homeCount = 2;
    /// Within this time, every home hears of a change of registrations.
    static constexpr std::chrono::milliseconds maxRegistrationNotice{300};
    /// Of one home, at a member; a member with fewer refuses some too.
    static constexpr std::uint32_t acceptedConnections = 16;

    struct Member {
        bool isUp = true;
        bool isPrimary = false;
        Term term = 1;
        Term fenceTerm = 0;
        /// Number of the current process; a restart ends its connections and lifts its fence.
        int process = 1;
        /// With departures only: until then, no home reaches the member.
        TimePoint cutOffUntil{};
        /// With departures only: until then, the member receives nothing from the primary.
        TimePoint deafUntil{};
        TimePoint lastReachedAt{};
        bool isRegistered = true;
        std::uint64_t incarnation = 1;
        std::vector<std::pair<Term, std::string>> log;

        LogPosition position() const
        {
            return log.empty() ? LogPosition{1, 0} : LogPosition{log.back().first, log.size()};
        }
    };
    struct SentCommand {
        ConnectionNumber connection;
        MemberCommand command;
        TimePoint dueAt;
    };
    struct SentRequest {
        std::string id;
        bool isWrite = false;
        std::set<std::string> requiredWrites;
        WorkspaceName workspace;
    };
    struct StoreCopy {
        std::optional<TermRecord> term;
        std::uint64_t termRevision = 0;
        std::uint64_t storeRevision = 0;
    };
    struct ScheduledEvent {
        TimePoint dueAt;
        std::function<void()> run;
    };

    struct Home : HomeEffects {
        Home(GroupSchedule &owner, int number, int process = 1)
            : schedule(owner)
            , name("h" + std::to_string(number) + "/" + std::to_string(process))
            , groupHome(ServiceName("orders"), name, GroupHomeLimits(), *this)
        {
            reachesMember.fill(true);
        }
        void openConnection(ConnectionNumber connection, const MemberRecord &record, const WorkspaceName &workspace) override
        {
            connectionMembers[connection] = schedule.memberIndex(record.id);
            connectionWorkspaces[connection] = workspace;
            const auto count = std::count_if(connectionMembers.begin(), connectionMembers.end(), [&](const auto &entry) {
                return entry.second == schedule.memberIndex(record.id);
            });
            if (static_cast<std::size_t>(count) > GroupHomeLimits().maxConnections) {
                schedule.recordViolation("more connections than the limit");
            }
            const bool isOverloaded
                = schedule.m_workspaceCount > 0 && static_cast<std::uint32_t>(count) > schedule.m_random() % acceptedConnections;
            if (isOverloaded) {
                ++schedule.m_overloadCount;
                runAfter(20ms, [this, connection] {
                    connectionMembers.erase(connection);
                    groupHome.connectionFailed(connection, ConnectFailure::Overloaded, schedule.m_now);
                });
                return;
            }
            runAfter(20ms, [this, connection] {
                const auto connectionMember = connectionMembers.find(connection);
                if (connectionMember == connectionMembers.end()) {
                    return;
                }
                const bool isReached
                    = schedule.isMemberReached(*this, connectionMember->second) && schedule.m_members[connectionMember->second].isUp;
                if (isReached) {
                    connectionProcesses[connection] = schedule.m_members[connectionMember->second].process;
                    groupHome.connectionOpened(connection, schedule.m_now);
                } else {
                    const auto failure
                        = schedule.isMemberReached(*this, connectionMember->second) ? ConnectFailure::Refused : ConnectFailure::TimedOut;
                    connectionMembers.erase(connection);
                    groupHome.connectionFailed(connection, failure, schedule.m_now);
                }
            });
        }
        void sendCommand(ConnectionNumber connection, const MemberCommand &command) override
        {
            const auto &statementId = command.statement.id;
            const auto request = std::find_if(openRequests.begin(), openRequests.end(), [&](const auto &entry) {
                return entry.second.id == statementId;
            });
            if (request != openRequests.end() && request->second.workspace != connectionWorkspaces.at(connection)) {
                schedule.recordViolation(statementId + " was sent on a connection of another workspace");
            }
            pendingCommands.push_back({connection, command, schedule.m_now + schedule.randomDelay()});
        }
        void closeConnection(ConnectionNumber connection) override
        {
            connectionMembers.erase(connection);
            transactions.erase(connection);
        }
        void reply(RequestNumber request, const HomeReply &reply) override
        {
            schedule.checkReply(*this, request, reply);
        }
        void writeTerm(const TermRecord &record, std::uint64_t expectedRevision) override
        {
            const TimePoint startedAt = schedule.m_now;
            const bool isOutdated = expectedRevision != 0 && storeEpochOf(expectedRevision) != knownEpoch;
            runAfter(schedule.randomDelay(), [this, record, expectedRevision, startedAt, isOutdated] {
                const bool isReached = schedule.isStoreReached(*this);
                const bool isWritten = isReached && !isOutdated && schedule.m_termRevision == numberInStoreEpoch(expectedRevision);
                if (!isWritten) {
                    groupHome.termWriteFailed(isReached ? TermWriteFailure::Superseded : TermWriteFailure::StoreUnavailable,
                                              schedule.m_now);
                    return;
                }
                schedule.storeTerm(record);
                const auto answer = [this, record, startedAt, epoch = schedule.m_epoch, revision = schedule.m_termRevision] {
                    if (epoch < knownEpoch) {
                        groupHome.termWriteFailed(TermWriteFailure::StoreUnavailable, schedule.m_now); // a late answer
                        return;
                    }
                    learnEpoch(epoch);
                    groupHome.termSeen(record, firstOfStoreEpoch(epoch) + revision, startedAt, schedule.m_now);
                };
                if (schedule.m_hasEpochs) {
                    runAfter(schedule.randomDelay(), answer);
                } else {
                    answer();
                }
            });
        }
        /// The store's answer, or another instance, shows an epoch.
        void learnEpoch(std::uint64_t epoch)
        {
            knownEpoch = std::max(knownEpoch, epoch);
            groupHome.storeEpochChanged(epoch, schedule.m_now, schedule.m_now);
        }
        void readTerm() override
        {
            const TimePoint startedAt = schedule.m_now;
            runAfter(schedule.randomDelay(), [this, startedAt] {
                if (!schedule.isStoreReached(*this)) {
                    return;
                }
                const auto term = schedule.m_term;
                const auto revision = schedule.m_termRevision;
                runAfter(schedule.randomDelay(), [this, term, revision, startedAt, epoch = schedule.m_epoch] {
                    if (epoch >= knownEpoch) {
                        learnEpoch(epoch);
                        groupHome.termSeen(term, firstOfStoreEpoch(epoch) + revision, startedAt, schedule.m_now);
                    }
                });
            });
        }
        void askPeers(const MemberId &member) override
        {
            runAfter(100ms, [this, member] {
                const auto &other = *schedule.m_homes[this == schedule.m_homes[0].get() ? 1 : 0];
                const int index = schedule.memberIndex(member);
                const bool isReached = schedule.isMemberReached(other, index) && schedule.m_members[index].isUp;
                groupHome.peersAnswered(member, isReached ? 1 : 0, isReached ? 0 : 1, schedule.m_now);
            });
        }
        void askToYield(const std::string &home, std::uint64_t generation) override
        {
            runAfter(schedule.randomDelay(), [this, home, generation] {
                Home &other = *schedule.m_homes[home.starts_with("h0/") ? 0 : 1];
                if (schedule.m_now < other.pausedUntil || schedule.m_random() % 3 == 0) {
                    return; // the request is lost
                }
                if (!other.groupHome.yieldLease(generation, schedule.m_now)) {
                    return;
                }
                runAfter(schedule.randomDelay(), [this, home, generation] {
                    groupHome.leaseYielded(home, generation, schedule.m_now);
                });
            });
        }
        void orderPromotion(const MemberId &member, std::uint64_t token) override
        {
            runAfter(schedule.randomDelay(), [this, member, token] {
                schedule.promotionOrdered(member, token);
                groupHome.promotionAnswered(member, PromotionResult::Accepted, schedule.m_now);
            });
        }
        void report(const HomeLogEvent &) override
        {}
        void runAfter(Duration delay, std::function<void()> run)
        {
            scheduledEvents.push_back({schedule.m_now + delay, std::move(run)});
        }

        GroupSchedule &schedule;
        std::string name;
        std::map<ConnectionNumber, int> connectionMembers;
        std::map<ConnectionNumber, WorkspaceName> connectionWorkspaces;
        /// The member's process that each open connection leads to.
        std::map<ConnectionNumber, int> connectionProcesses;
        std::map<ConnectionNumber, std::vector<std::string>> transactions;
        std::deque<SentCommand> pendingCommands;
        std::deque<ScheduledEvent> scheduledEvents;
        std::array<bool, memberCount> reachesMember{};
        bool reachesStore = true;
        std::uint64_t knownEpoch = 0;
        TimePoint pausedUntil{};
        std::map<RequestNumber, SentRequest> openRequests;
        RequestNumber lastRequest = 0;
        GroupHome groupHome;
    };

    std::vector<MemberRecord> records() const
    {
        std::vector<MemberRecord> memberRecords;
        memberRecords.reserve(memberCount);
        for (int i = 0; i < memberCount; ++i) {
            if (m_members[i].isRegistered) {
                memberRecords.push_back(
                    {memberId(i), ServiceName("orders"), "x", FailureDomain("a"), 2, false, i == 0, m_members[i].incarnation});
            }
        }
        return memberRecords;
    }
    static MemberId memberId(int index)
    {
        return MemberId("m" + std::to_string(index));
    }
    int memberIndex(const MemberId &id) const
    {
        return id.text().back() - '0';
    }
    Duration randomDelay()
    {
        return std::chrono::milliseconds(m_random() % 30);
    }

    void injectFault()
    {
        constexpr std::uint32_t meanStepsBetweenFaults = 25;
        if (m_areFaultsEnded || m_random() % meanStepsBetweenFaults != 0) {
            return;
        }
        Home &home = *m_homes[m_random() % homeCount];
        Member &member = m_members[m_random() % memberCount];
        switch (m_random() % 6) {
        case 0:
            member.isUp ? crash(member) : restart(member);
            break;
        case 1:
        case 2:
            home.reachesMember[m_random() % memberCount] ^= true;
            break;
        case 3:
            home.reachesStore = !home.reachesStore;
            break;
        case 4:
            home.pausedUntil = m_now + std::chrono::milliseconds(m_random() % 4000);
            break;
        default:
            home.reachesMember.fill(true);
            home.reachesStore = true;
            restart(member);
            break;
        }
    }
    /// Now and then a member is cut off from the homes, but not from the other members, or receives nothing from the primary.
    void injectDeparture()
    {
        constexpr std::uint32_t meanStepsBetweenFaults = 150;
        if (m_areFaultsEnded || m_random() % meanStepsBetweenFaults != 0) {
            return;
        }
        Member &member = m_members[m_random() % memberCount];
        TimePoint &until = m_random() % 2 == 0 ? member.cutOffUntil : member.deafUntil;
        until = m_now + 2s + std::chrono::milliseconds(m_random() % 6000);
    }
    /// A member that no home reaches cannot reach the store either, and its registration ends. Homes hear of changes with a delay.
    void updateRegistrations()
    {
        constexpr Duration registrationTimeout = 3600ms;
        bool isChanged = false;
        for (int i = 0; i < memberCount; ++i) {
            Member &member = m_members[i];
            const bool isReached = member.isUp && std::any_of(m_homes.begin(), m_homes.end(), [&](const auto &home) {
                                       return isMemberReached(*home, i);
                                   });
            member.lastReachedAt = isReached || member.lastReachedAt == TimePoint{} ? m_now : member.lastReachedAt;
            const bool isRegistered = m_now - member.lastReachedAt < registrationTimeout;
            const bool isNewRun = isReached && std::exchange(m_registeredIncarnations[i], member.incarnation) != member.incarnation;
            isChanged = isChanged || isNewRun || std::exchange(member.isRegistered, isRegistered) != isRegistered;
        }
        if (!isChanged) {
            return;
        }
        for (auto &home : m_homes) {
            home->runAfter(std::chrono::milliseconds(m_random() % maxRegistrationNotice.count()), [this, home = home.get()] {
                home->groupHome.membersChanged(records(), m_now);
            });
        }
    }
    bool isMemberReached(const Home &home, int member) const
    {
        return home.reachesMember[member] && m_now >= m_members[member].cutOffUntil;
    }
    bool isStoreReached(const Home &home) const
    {
        return home.reachesStore && m_now >= m_storeAwayUntil;
    }
    void storeTerm(const TermRecord &record)
    {
        const auto [named, isNew] = m_namedPrimaries.try_emplace({m_epoch, record.generation}, record.primary);
        if (!isNew && !record.primary.isEmpty() && !named->second.isEmpty() && named->second != record.primary) {
            recordViolation("a generation names two primaries");
        }
        named->second = record.primary.isEmpty() ? named->second : record.primary;
        m_term = record;
        m_termRevision = ++m_storeRevision;
    }
    /// Now and then the store goes away for a moment and comes back from a copy that is up to some seconds old, or a home restarts.
    /// Homes tell each other of the epoch.
    void runEpochs()
    {
        constexpr std::uint32_t meanStepsBetweenReturns = 350;
        constexpr std::uint32_t meanStepsBetweenRestarts = 900;
        constexpr std::uint32_t meanStepsBetweenPongs = 60;
        constexpr std::size_t maxCopies = 600;
        m_copies.push_back({m_term, m_termRevision, m_storeRevision});
        if (m_copies.size() > maxCopies) {
            m_copies.pop_front();
        }
        if (!m_areFaultsEnded && m_random() % meanStepsBetweenReturns == 0) {
            const StoreCopy copy = m_copies[m_random() % m_copies.size()];
            m_term = copy.term;
            m_termRevision = copy.termRevision;
            m_storeRevision = copy.storeRevision;
            ++m_epoch;
            m_storeAwayUntil = m_now + std::chrono::milliseconds(m_random() % 1500);
        }
        if (!m_areFaultsEnded && m_random() % meanStepsBetweenRestarts == 0) {
            const int number = static_cast<int>(m_random() % homeCount);
            m_homes[number] = std::make_unique<Home>(*this, number, ++m_lastProcess);
            m_homes[number]->groupHome.membersChanged(records(), m_now);
        }
        if (m_random() % meanStepsBetweenPongs == 0) {
            for (auto &home : m_homes) {
                if (m_now >= home->pausedUntil) {
                    home->learnEpoch(std::max(m_homes[0]->knownEpoch, m_homes[1]->knownEpoch));
                }
            }
        }
    }
    static void crash(Member &member)
    {
        member.isUp = false;
        member.fenceTerm = 0;
        ++member.process;
    }
    void restart(Member &member)
    {
        if (m_hasDepartures && !member.isUp) {
            ++member.incarnation;
            if (!member.isPrimary) {
                member.log.clear();
                member.term = 0;
            }
        }
        member.isUp = true;
        // A replaced primary follows the new one once it has restarted. Without synchronous replicas, the schedules need no such member.
        const int primary = primaryIndex();
        if (m_synchronousReplicas > 0 && primary >= 0 && m_members[primary].term > member.term) {
            member.isPrimary = false;
        }
    }

    /// Index of the member that leads the highest term; -1 if none leads.
    int primaryIndex() const
    {
        int index = -1;
        for (int i = 0; i < memberCount; ++i) {
            if (m_members[i].isPrimary && (index < 0 || m_members[i].term > m_members[index].term)) {
                index = i;
            }
        }
        return index;
    }
    bool isReceiving(const Member &member) const
    {
        return member.isUp && !member.isPrimary && member.fenceTerm == 0 && m_now >= member.deafUntil;
    }
    /// Copies the primary's log to replicas. A replica that moves to a later term drops the entries that the new primary lacks.
    void replicate()
    {
        const int primary = primaryIndex();
        if (primary < 0 || !m_members[primary].isUp) {
            return;
        }
        for (int i = 0; i < memberCount; ++i) {
            Member &member = m_members[i];
            if (i != primary && isReceiving(member) && m_random() % 3 == 0) {
                member.log = m_members[primary].log;
                member.term = m_members[primary].term;
            }
        }
    }
    /// Copies the primary's log to as many random replicas as a commit needs. Returns whether there were enough.
    bool replicateSynchronously(const Member &primary)
    {
        std::vector<Member *> receivers;
        for (Member &member : m_members) {
            if (&member != &primary && isReceiving(member) && member.term <= primary.term) {
                receivers.push_back(&member);
            }
        }
        std::shuffle(receivers.begin(), receivers.end(), m_random);
        if (receivers.size() < m_synchronousReplicas) {
            return false;
        }
        for (std::uint32_t i = 0; i < m_synchronousReplicas; ++i) {
            receivers[i]->log = primary.log;
            receivers[i]->term = primary.term;
        }
        return true;
    }
    void promotionOrdered(const MemberId &id, std::uint64_t token)
    {
        if (token < m_highestToken) {
            recordViolation("a promotion order carries an older token than an order before it");
        }
        m_highestToken = std::max(m_highestToken, token);
        const int index = memberIndex(id);
        const bool isPrimary = primaryIndex() == index;
        if (m_members[index].isUp && !isPrimary && m_promotionTarget < 0) {
            m_promotionTarget = index;
            m_promotionProcess = m_members[index].process;
            m_promotionOrderedAt = m_now;
        }
    }
    void completePromotion()
    {
        if (m_promotionTarget < 0 || m_now - m_promotionOrderedAt < 600ms) {
            return;
        }
        Member &member = m_members[m_promotionTarget];
        m_promotionTarget = -1;
        if (!member.isUp || (m_hasDepartures && member.process != m_promotionProcess)) {
            return;
        }
        Term highestTerm = 0;
        for (const Member &each : m_members) {
            highestTerm = std::max(highestTerm, each.term);
        }
        for (Member &each : m_members) {
            // Without faults, a replaced primary learns of the new term and follows it.
            each.isPrimary = each.isPrimary && (m_synchronousReplicas == 0 || !m_areFaultsEnded);
        }
        member.isPrimary = true;
        member.term = highestTerm + 1;
        member.fenceTerm = 0;
        ++m_promotionCount;
        // A promotion loses the commits that the new primary lacks, so that later reads need not return them.
        std::set<std::string> logIds;
        for (const auto &[term, id] : member.log) {
            logIds.insert(id);
        }
        for (const std::string &acknowledged : m_acknowledgedWrites) {
            if (m_synchronousReplicas > 0 && !logIds.contains(acknowledged)) {
                recordViolation(acknowledged + " was acknowledged, and a member without it was promoted");
            }
        }
        for (auto each = m_acknowledgedWrites.begin(); each != m_acknowledgedWrites.end();) {
            each = logIds.contains(*each) ? std::next(each) : m_acknowledgedWrites.erase(each);
        }
    }

    void runHome(Home &home)
    {
        if (m_now < home.pausedUntil) {
            return;
        }
        const std::deque<ScheduledEvent> scheduledEvents = std::exchange(home.scheduledEvents, {});
        for (const ScheduledEvent &event : scheduledEvents) {
            if (event.dueAt <= m_now) {
                event.run();
            } else {
                home.scheduledEvents.push_back(event);
            }
        }
        const std::deque<SentCommand> pendingCommands = std::exchange(home.pendingCommands, {});
        for (const SentCommand &each : pendingCommands) {
            const auto connectionMember = home.connectionMembers.find(each.connection);
            if (connectionMember == home.connectionMembers.end()) {
                continue;
            }
            if (each.dueAt > m_now || !isMemberReached(home, connectionMember->second)) {
                home.pendingCommands.push_back(each);
            } else if (!m_members[connectionMember->second].isUp
                       || home.connectionProcesses[each.connection] != m_members[connectionMember->second].process) {
                const ConnectionNumber connection = each.connection;
                home.connectionMembers.erase(connectionMember);
                home.groupHome.connectionFailed(connection, ConnectFailure::Lost, m_now);
            } else {
                executeCommand(home, each, m_members[connectionMember->second]);
            }
        }
        home.groupHome.memberListConfirmed(m_now - maxRegistrationNotice);
        home.groupHome.tick(m_now);
    }
    void executeCommand(Home &home, const SentCommand &each, Member &member)
    {
        Answer answer = Answer::success(SessionPhase::Idle);
        std::optional<ReplicationStatus> status;
        if (each.command.kind == CommandKind::Statement) {
            if (!runStatement(home, each, member, answer)) {
                return;
            }
        } else {
            if (each.command.kind == CommandKind::Suspend) {
                if (member.isPrimary) {
                    answer = Answer::failure(StatementError::Malformed, "", SessionPhase::Idle);
                } else {
                    member.fenceTerm = each.command.term;
                }
            } else if (each.command.kind == CommandKind::Resume) {
                member.fenceTerm = 0;
            } else if (each.command.kind == CommandKind::Demote && member.isPrimary && member.term < each.command.term) {
                member.isPrimary = false;
            }
            if (answer.isSuccess()) {
                status = ReplicationStatus{member.isPrimary, member.term, member.position(), member.fenceTerm, 10, 0, 1};
            }
        }
        answer.position = member.position();
        home.runAfter(randomDelay(), [this, &home, connection = each.connection, answer, status] {
            const auto connectionMember = home.connectionMembers.find(connection);
            if (connectionMember != home.connectionMembers.end() && isMemberReached(home, connectionMember->second)) {
                home.groupHome.answered(connection, answer, status, m_now);
            }
        });
    }
    /// Returns whether the member answers.
    bool runStatement(Home &home, const SentCommand &each, Member &member, Answer &answer)
    {
        const Statement &statement = each.command.statement;
        const bool isWrite = statement.kind == StatementKind::Write;
        if (isWrite && !member.isPrimary) {
            answer = Answer::failure(StatementError::ReadOnly, "", SessionPhase::Idle);
            return true;
        }
        if (statement.after && member.position() < *statement.after) {
            answer = Answer::failure(StatementError::Lagging, "", SessionPhase::Idle);
            return true;
        }
        answer.signature = "run-" + std::to_string(++m_runCount);
        if (isWrite) {
            if (!m_executedWrites.insert(statement.id).second) {
                recordViolation(statement.id + " ran twice");
            }
            if (m_writesReportedNotRun.contains(statement.id)) {
                recordViolation(statement.id + " ran after it was reported as not run");
            }
            member.log.emplace_back(member.term, statement.id);
            if (&member != &m_members[primaryIndex()]) {
                m_writesAtReplacedPrimary.insert(statement.id);
            }
            return m_synchronousReplicas == 0 || replicateSynchronously(member);
        }
        std::set<std::string> logIds;
        for (const auto &[term, id] : member.log) {
            logIds.insert(id);
        }
        for (const auto &[request, sentRequest] : home.openRequests) {
            if (sentRequest.id != statement.id) {
                continue;
            }
            for (const std::string &requiredWrite : sentRequest.requiredWrites) {
                if (m_acknowledgedWrites.contains(requiredWrite) && !logIds.contains(requiredWrite)) {
                    m_staleRuns.insert(answer.signature);
                }
            }
        }
        return true;
    }

    void sendRequest()
    {
        Home &home = *m_homes[m_random() % homeCount];
        if (m_now < home.pausedUntil) {
            return;
        }
        HomeRequest request;
        request.number = ++home.lastRequest;
        SentRequest &sentRequest = home.openRequests[request.number];
        sentRequest.id = home.name + ':' + std::to_string(request.number);
        sentRequest.isWrite = m_random() % 2 == 0;
        sentRequest.requiredWrites = m_acknowledgedWrites;
        if (m_workspaceCount > 0) {
            sentRequest.workspace = WorkspaceName("w" + std::to_string(m_random() % m_workspaceCount));
        }
        request.workspace = sentRequest.workspace;
        request.forwarded.statement.id = sentRequest.id;
        request.forwarded.statement.kind = sentRequest.isWrite ? StatementKind::Write : StatementKind::Read;
        request.forwarded.statement.arguments = "1 a";
        request.forwarded.isReadOnly = !sentRequest.isWrite;
        request.rank = Rank::Urgent;
        request.arrivedAt = m_now;
        request.deadline = m_now + 800ms;
        request.objectiveAt = m_now + 100ms;
        request.values = std::make_shared<const SessionValues>();
        request.isSubstitute = true;
        home.groupHome.request(request, m_now);
    }
    void checkReply(Home &home, RequestNumber request, const HomeReply &reply)
    {
        const auto found = home.openRequests.find(request);
        if (found == home.openRequests.end()) {
            recordViolation("a second reply to one request");
            return;
        }
        const SentRequest sentRequest = found->second;
        home.openRequests.erase(found);
        if (reply.answer.isSuccess()) {
            ++m_acknowledgedCount;
            if (m_writesAtReplacedPrimary.contains(sentRequest.id)) {
                recordViolation(sentRequest.id + " was acknowledged by a replaced primary");
            }
            if (m_staleRuns.contains(reply.answer.signature)) {
                recordViolation(sentRequest.id + " was answered from a log that lacked an acknowledged commit");
            }
            if (sentRequest.isWrite) {
                m_acknowledgedWrites.insert(sentRequest.id);
            }
        } else if (sentRequest.isWrite && guaranteesNoEffect(reply.answer.error)) {
            m_writesReportedNotRun.insert(sentRequest.id);
            if (m_executedWrites.contains(sentRequest.id)) {
                recordViolation(sentRequest.id + " was reported as not run, but ran");
            }
        }
    }
    void recordViolation(const std::string &violation)
    {
        if (m_violation.empty()) {
            m_violation = violation;
        }
    }

    std::mt19937 m_random;
    std::uint32_t m_workspaceCount = 0;
    std::uint32_t m_synchronousReplicas = 0;
    bool m_hasEpochs = false;
    bool m_hasDepartures = false;
    std::array<std::uint64_t, memberCount> m_registeredIncarnations{1, 1, 1};
    std::uint64_t m_epoch = 0;
    TimePoint m_storeAwayUntil{};
    std::deque<StoreCopy> m_copies;
    /// The primary that each generation has named, by epoch of the store and generation.
    std::map<std::pair<std::uint64_t, std::uint64_t>, MemberId> m_namedPrimaries;
    int m_lastProcess = 1;
    TimePoint m_now{1000s};
    std::array<Member, memberCount> m_members;
    std::vector<std::unique_ptr<Home>> m_homes;
    std::optional<TermRecord> m_term;
    std::uint64_t m_termRevision = 0;
    std::uint64_t m_storeRevision = 0;
    std::uint64_t m_highestToken = 0;
    /// Index of the member that is being promoted; -1 if there is none.
    int m_promotionTarget = -1;
    int m_promotionProcess = 0;
    TimePoint m_promotionOrderedAt{};
    /// Ids of acknowledged writes, without those that a promotion has rolled back.
    std::set<std::string> m_acknowledgedWrites;
    std::set<std::string> m_executedWrites;
    std::set<std::string> m_writesReportedNotRun;
    std::set<std::string> m_writesAtReplacedPrimary;
    /// Signatures of reads that ran on a log which lacked a required write. A read may run again elsewhere if such an answer is withheld.
    std::set<std::string> m_staleRuns;
    std::size_t m_runCount = 0;
    std::string m_violation;
    std::size_t m_acknowledgedCount = 0;
    std::size_t m_promotionCount = 0;
    std::size_t m_overloadCount = 0;
    bool m_areFaultsEnded = false;
};

} // namespace rattanbeam::decisions::session::test
