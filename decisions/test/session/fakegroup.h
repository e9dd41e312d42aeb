#pragma once

#include "rattanbeam/decisions/session/grouphome.h"
#include "rattanbeam/decisions/session/storeepoch.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace rattanbeam::decisions::session::test
{

using namespace std::chrono_literals;

/// The home of a service with three members. The test decides when and how the members answer; all effects of the home are
/// recorded.
class FakeGroup : public HomeEffects
{
public:
    struct SentCommand {
        ConnectionNumber connection = 0;
        MemberCommand command;
    };
    struct SentReply {
        RequestNumber request = 0;
        HomeReply reply;
    };

    explicit FakeGroup(const std::vector<MemberRecord> &members = {member("m1", true), member("m2", false), member("m3", false)})
        : home(ServiceName("orders"), "a1/1", GroupHomeLimits(), *this)
    {
        home.membersChanged(members, now);
        home.memberListConfirmed(now);
    }

    static MemberRecord member(const std::string &id, bool isRegisteredAsPrimary)
    {
        return {MemberId(id), ServiceName("orders"), id + ":1", FailureDomain("a"), 2, false, isRegisteredAsPrimary, 1};
    }
    void openConnection(ConnectionNumber connection, const MemberRecord &record, const WorkspaceName &workspace) override
    {
        connectionWorkspaces[connection] = workspace;
        connectionMembers[connection] = record.id;
        openingConnections.push_back(connection);
    }
    void sendCommand(ConnectionNumber connection, const MemberCommand &command) override
    {
        ++pendingCounts[connection];
        maxPendingCount = std::max(maxPendingCount, pendingCounts[connection]);
        pendingCommands.push_back({connection, command});
        sentCommands.push_back({connection, command});
    }
    void closeConnection(ConnectionNumber connection) override
    {
        closedConnections.push_back(connection);
        pendingCommands.erase(std::remove_if(pendingCommands.begin(),
                                             pendingCommands.end(),
                                             [&](const SentCommand &each) {
                                                 return each.connection == connection;
                                             }),
                              pendingCommands.end());
    }
    void reply(RequestNumber request, const HomeReply &reply) override
    {
        replies.push_back({request, reply});
    }
    void writeTerm(const TermRecord &record, std::uint64_t expectedRevision) override
    {
        termWrites.emplace_back(record, expectedRevision);
    }
    void readTerm() override
    {
        ++termReads;
    }
    void askPeers(const MemberId &) override
    {
        ++peerInquiries;
    }
    void askToYield(const std::string &other, std::uint64_t) override
    {
        yieldRequests.push_back(other);
    }
    void orderPromotion(const MemberId &id, std::uint64_t token) override
    {
        promotionOrders.emplace_back(id, token);
    }
    void report(const HomeLogEvent &event) override
    {
        events.emplace_back(event.name);
    }

    void advanceTime(Duration time)
    {
        for (Duration elapsed{}; elapsed < time; elapsed += 10ms) {
            now += 10ms;
            if (isMemberListFollowed) {
                home.memberListConfirmed(now);
            }
            home.tick(now);
        }
    }
    /// Opens all connections that are being established, except those to members that are down or unreachable, which fail.
    void finishConnecting()
    {
        for (const ConnectionNumber connection : std::exchange(openingConnections, {})) {
            if (downMembers.contains(connectionMembers.at(connection))) {
                home.connectionFailed(connection, ConnectFailure::Refused, now);
            } else if (unreachableMembers.contains(connectionMembers.at(connection))) {
                home.connectionFailed(connection, ConnectFailure::TimedOut, now);
            } else {
                home.connectionOpened(connection, now);
            }
        }
    }
    /// Answers the oldest pending command.
    void answerNext()
    {
        const SentCommand next = pendingCommands.front();
        pendingCommands.erase(pendingCommands.begin());
        --pendingCounts[next.connection];
        const MemberId id = connectionMembers.at(next.connection);
        Answer answer = Answer::success(SessionPhase::Idle);
        answer.position = logPositions[id];
        std::optional<ReplicationStatus> status;
        switch (next.command.kind) {
        case CommandKind::Status:
        case CommandKind::Suspend:
        case CommandKind::Resume:
        case CommandKind::Demote:
            applyMaintenance(id, next.command);
            status = statuses[id];
            break;
        case CommandKind::Statement:
            answer.signature = next.command.statement.id.empty() ? "" : "signed-by-" + id.text();
            answer.phase = next.command.statement.kind == StatementKind::Begin ? SessionPhase::InTransaction : SessionPhase::Idle;
            break;
        case CommandKind::Reset:
            break;
        }
        home.answered(next.connection, answer, status, now);
    }
    void answerAll()
    {
        finishConnecting();
        while (!pendingCommands.empty()) {
            answerNext();
            finishConnecting();
        }
    }
    void applyMaintenance(const MemberId &id, const MemberCommand &command)
    {
        ReplicationStatus &status = statuses[id];
        status.term = std::max<Term>(status.term, 1);
        status.received = logPositions[id];
        if (command.kind == CommandKind::Suspend) {
            status.fenceTerm = command.term;
        } else if (command.kind == CommandKind::Resume) {
            status.fenceTerm = 0;
        } else if (command.kind == CommandKind::Demote) {
            status.isPrimary = false;
        }
    }
    /// Executes the last conditional write of the term record at the store.
    void completeTermWrite()
    {
        const auto [record, expectedRevision] = termWrites.back();
        storedTerm = record;
        completedTermWrites = termWrites.size();
        ++termRevision;
        home.termSeen(record, storeRevision(), now, now);
    }
    /// The revision of the term record, as the home is told it.
    std::uint64_t storeRevision() const
    {
        return firstOfStoreEpoch(epoch) + termRevision;
    }
    /// The store comes back from a copy with this record, or with none. The home learns of it and reads the record.
    void restoreStore(const std::optional<TermRecord> &copy, std::uint64_t copiedRevision)
    {
        ++epoch;
        storedTerm = copy;
        termRevision = copiedRevision;
        home.storeEpochChanged(epoch, now, now);
        home.termSeen(copy, storeRevision(), now, now);
    }
    /// Brings the group to a healthy state, in which its home is listed in the term record and has evidence of the term.
    void makeHealthy()
    {
        statuses[MemberId("m1")].isPrimary = true;
        for (const char *id : {"m1", "m2", "m3"}) {
            logPositions[MemberId(id)] = {1, 10};
        }
        home.termSeen(std::nullopt, 0, now, now);
        advanceTime(20ms);
        answerAll();
        home.request(writeRequest("first"), now);
        completeTermWrite();
        answerAll();
        replies.clear();
        advanceTime(500ms);
        answerAll();
        replies.clear();
        sentCommands.clear();
    }

    HomeRequest writeRequest(const std::string &id)
    {
        HomeRequest request;
        request.number = ++lastRequest;
        request.forwarded.statement.id = id;
        request.forwarded.statement.kind = StatementKind::Write;
        request.forwarded.statement.arguments = "1 a";
        request.consistency = Consistency::Latest;
        request.rank = Rank::Urgent;
        request.arrivedAt = now;
        request.deadline = now + 800ms;
        request.objectiveAt = now + 100ms;
        request.values = std::make_shared<const SessionValues>();
        return request;
    }
    HomeRequest readRequest(const std::string &id, Consistency consistency)
    {
        HomeRequest request = writeRequest(id);
        request.forwarded.statement.kind = StatementKind::Read;
        request.forwarded.isReadOnly = true;
        request.consistency = consistency;
        request.stalenessLimit = 1500ms;
        return request;
    }
    std::size_t timesSent(const std::string &id) const
    {
        return static_cast<std::size_t>(std::count_if(sentCommands.begin(), sentCommands.end(), [&](const SentCommand &each) {
            return each.command.statement.id == id;
        }));
    }
    const HomeReply *replyTo(RequestNumber request) const
    {
        const auto found = std::find_if(replies.begin(), replies.end(), [&](const SentReply &each) {
            return each.request == request;
        });
        return found == replies.end() ? nullptr : &found->reply;
    }

    TimePoint now{1000s};
    std::map<ConnectionNumber, MemberId> connectionMembers;
    std::map<ConnectionNumber, WorkspaceName> connectionWorkspaces;
    std::map<ConnectionNumber, int> pendingCounts;
    int maxPendingCount = 0;
    std::vector<ConnectionNumber> openingConnections;
    std::vector<ConnectionNumber> closedConnections;
    std::vector<SentCommand> pendingCommands;
    std::vector<SentCommand> sentCommands;
    std::vector<SentReply> replies;
    std::vector<std::pair<TermRecord, std::uint64_t>> termWrites;
    std::size_t completedTermWrites = 0;
    std::optional<TermRecord> storedTerm;
    std::uint64_t termRevision = 7;
    std::uint64_t epoch = 0;
    std::vector<std::pair<MemberId, std::uint64_t>> promotionOrders;
    std::vector<std::string> yieldRequests;
    std::vector<std::string> events;
    std::set<MemberId> downMembers;
    std::set<MemberId> unreachableMembers;
    std::map<MemberId, LogPosition> logPositions;
    std::map<MemberId, ReplicationStatus> statuses;
    /// Whether the home goes on hearing which members are registered.
    bool isMemberListFollowed = true;
    int termReads = 0;
    int peerInquiries = 0;
    RequestNumber lastRequest = 0;
    GroupHome home;
};

} // namespace rattanbeam::decisions::session::test
