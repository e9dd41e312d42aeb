#pragma once

#include "rattanbeam/decisions/session/grouphome.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace rattanbeam::decisions::session::test
{

using namespace std::chrono_literals;

/// A home of one service with three members whose answers the test gives. Records all that the home does.
class FakeGroup : public HomeEffects
{
public:
    struct Sent {
        ConnectionNumber connection = 0;
        MemberCommand command;
    };
    struct Replied {
        RequestNumber request = 0;
        HomeReply reply;
    };

    FakeGroup() : home(ServiceName("orders"), "a1/1", GroupHomeLimits(), *this)
    {
        home.membersChanged({member("m1", true), member("m2", false), member("m3", false)}, now);
    }

    static MemberRecord member(const std::string &id, bool saysPrimary)
    {
        return {MemberId(id), ServiceName("orders"), id + ":1", FailureDomain("a"), 2, false, saysPrimary, 1};
    }
    void openConnection(ConnectionNumber connection, const MemberRecord &record) override
    {
        owners[connection] = record.id;
        opening.push_back(connection);
    }
    void sendCommand(ConnectionNumber connection, const MemberCommand &command) override
    {
        ++owed[connection];
        mostOwed = std::max(mostOwed, owed[connection]);
        sent.push_back({connection, command});
        history.push_back({connection, command});
    }
    void closeConnection(ConnectionNumber connection) override
    {
        closed.push_back(connection);
        sent.erase(std::remove_if(sent.begin(),
                                  sent.end(),
                                  [&](const Sent &each) {
                                      return each.connection == connection;
                                  }),
                   sent.end());
    }
    void reply(RequestNumber request, const HomeReply &reply) override
    {
        replies.push_back({request, reply});
    }
    void writeTerm(const TermRecord &record, std::uint64_t expectedRevision) override
    {
        writes.emplace_back(record, expectedRevision);
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
        orders.emplace_back(id, token);
    }
    void report(const HomeLogEvent &event) override
    {
        events.emplace_back(event.name);
    }

    void pass(Duration time)
    {
        for (Duration gone{}; gone < time; gone += 10ms) {
            now += 10ms;
            home.tick(now);
        }
    }
    /// All connections that are being opened succeed, but for those to members that are down.
    void openAll()
    {
        for (const ConnectionNumber connection : std::exchange(opening, {})) {
            if (down.contains(owners.at(connection))) {
                home.connectionFailed(connection, ConnectFailure::Refused, now);
            } else {
                home.connectionOpened(connection, now);
            }
        }
    }
    /// Answers the oldest command that is owed.
    void answerNext()
    {
        const Sent next = sent.front();
        sent.erase(sent.begin());
        --owed[next.connection];
        const MemberId id = owners.at(next.connection);
        Answer answer = Answer::success(SessionPhase::Idle);
        answer.position = logs[id];
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
        openAll();
        while (!sent.empty()) {
            answerNext();
            openAll();
        }
    }
    void applyMaintenance(const MemberId &id, const MemberCommand &command)
    {
        ReplicationStatus &status = statuses[id];
        status.term = std::max<Term>(status.term, 1);
        status.received = logs[id];
        if (command.kind == CommandKind::Suspend) {
            status.fencedAt = command.term;
        } else if (command.kind == CommandKind::Resume) {
            status.fencedAt = 0;
        } else if (command.kind == CommandKind::Demote) {
            status.isPrimary = false;
        }
    }
    /// The store carries out the last conditional write.
    void writeDone()
    {
        const auto [record, expected] = writes.back();
        stored = record;
        home.termSeen(record, ++revision, now, now);
    }
    /// A healthy group whose home is listed and has evidence.
    void settle()
    {
        statuses[MemberId("m1")].isPrimary = true;
        for (const char *id : {"m1", "m2", "m3"}) {
            logs[MemberId(id)] = {1, 10};
        }
        home.termSeen(std::nullopt, 0, now, now);
        pass(20ms);
        answerAll();
        home.request(write("first"), now);
        writeDone();
        answerAll();
        replies.clear();
        pass(500ms);
        answerAll();
        replies.clear();
        history.clear();
    }

    HomeRequest write(const std::string &id)
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
    HomeRequest read(const std::string &id, Consistency consistency)
    {
        HomeRequest request = write(id);
        request.forwarded.statement.kind = StatementKind::Read;
        request.forwarded.isReadOnly = true;
        request.consistency = consistency;
        request.maxStaleness = 1500ms;
        return request;
    }
    std::size_t timesSent(const std::string &id) const
    {
        return static_cast<std::size_t>(std::count_if(history.begin(), history.end(), [&](const Sent &each) {
            return each.command.statement.id == id;
        }));
    }
    const HomeReply *replyTo(RequestNumber request) const
    {
        const auto found = std::find_if(replies.begin(), replies.end(), [&](const Replied &each) {
            return each.request == request;
        });
        return found == replies.end() ? nullptr : &found->reply;
    }

    TimePoint now{1000s};
    std::map<ConnectionNumber, MemberId> owners;
    std::map<ConnectionNumber, int> owed;
    int mostOwed = 0;
    std::vector<ConnectionNumber> opening;
    std::vector<ConnectionNumber> closed;
    std::vector<Sent> sent;
    std::vector<Sent> history;
    std::vector<Replied> replies;
    std::vector<std::pair<TermRecord, std::uint64_t>> writes;
    std::optional<TermRecord> stored;
    std::uint64_t revision = 7;
    std::vector<std::pair<MemberId, std::uint64_t>> orders;
    std::vector<std::string> yieldRequests;
    std::vector<std::string> events;
    std::set<MemberId> down;
    std::map<MemberId, LogPosition> logs;
    std::map<MemberId, ReplicationStatus> statuses;
    int termReads = 0;
    int peerInquiries = 0;
    RequestNumber lastRequest = 0;
    GroupHome home;
};

} // namespace rattanbeam::decisions::session::test
