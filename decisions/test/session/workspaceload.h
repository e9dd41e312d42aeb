#pragma once

#include "rattanbeam/decisions/session/grouphome.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace rattanbeam::decisions::session::test
{

using namespace std::chrono_literals;

/// Outcomes of one workspace's requests.
struct WorkspaceResult {
    std::size_t sent = 0;
    std::size_t servedInTime = 0;
    std::size_t servedLate = 0;
    std::size_t refused = 0;

    double shareInTime() const
    {
        return static_cast<double>(servedInTime) / static_cast<double>(std::max<std::size_t>(1, sent));
    }
};

/// Plays a load of several workspaces, in steps of 1 ms, against a home with three members that neither fail nor lag. A member runs
/// statements and accepts connections in its slots, in order of arrival.
class WorkspaceLoad : public HomeEffects
{
public:
    static constexpr std::uint32_t slots = 5;
    static constexpr Duration openingTime = 12ms;

    explicit WorkspaceLoad(std::uint32_t maxConnections) : m_limits(limitsFor(maxConnections)), m_acceptedConnections(maxConnections)
    {
        m_home = std::make_unique<GroupHome>(ServiceName("orders"), "a1/1", m_limits, *this);
        std::vector<MemberRecord> records;
        for (const char *id : {"m1", "m2", "m3"}) {
            records.push_back({MemberId(id), ServiceName("orders"), "x", FailureDomain("a"), slots, false, std::string(id) == "m1", 1});
        }
        m_home->membersChanged(records, m_now);
        m_home->termSeen(std::nullopt, 0, m_now, m_now);
        run(500ms);
        send("first", true, 1ms);
        run(1s);
        results.clear();
    }

    /// The workspace sends `perSecond` requests at random times, for as long as run() lasts.
    void setLoad(const std::string &workspace, double perSecond, bool isWrite, Duration work)
    {
        m_loads[workspace] = {perSecond, isWrite, work};
    }
    /// Members accept this many connections, and count one for `lingering` after it was closed.
    void setAcceptedConnections(std::size_t count, Duration lingering)
    {
        m_acceptedConnections = count;
        m_lingering = lingering;
    }
    /// `transaction` opens one with the statement.
    void send(const std::string &workspace, bool isWrite, Duration work, std::uint64_t transaction = 0)
    {
        sendRequest(workspace, isWrite ? StatementKind::Write : StatementKind::Read, work, transaction, transaction != 0);
    }
    /// Sends the next statement of a random open transaction, or its commit.
    void continueTransaction()
    {
        if (m_openTransactions.empty()) {
            return;
        }
        const auto at = m_openTransactions.begin() + static_cast<std::ptrdiff_t>(m_random() % m_openTransactions.size());
        const auto [workspace, transaction] = *at;
        m_openTransactions.erase(at);
        sendRequest(workspace, m_random() % 2 == 0 ? StatementKind::Write : StatementKind::Commit, 5ms, transaction, false);
    }
    void loseConnection()
    {
        if (!m_connections.empty()) {
            const auto lost = std::next(m_connections.begin(), static_cast<std::ptrdiff_t>(m_random() % m_connections.size()));
            const ConnectionNumber number = lost->first;
            m_connections.erase(lost);
            m_home->connectionFailed(number, ConnectFailure::Lost, m_now);
        }
    }
    /// Nothing happens for some time, as when the process was suspended.
    void pause(Duration time)
    {
        m_now += time;
        m_home->paused(time);
    }
    void sendRequest(const std::string &workspace, StatementKind kind, Duration work, std::uint64_t transaction, bool opensTransaction)
    {
        const bool isWrite = kind != StatementKind::Read;
        HomeRequest request;
        request.number = ++m_lastRequest;
        request.workspace = WorkspaceName(workspace);
        request.forwarded.statement.id = "s" + std::to_string(request.number);
        request.forwarded.statement.kind = kind;
        request.forwarded.isReadOnly = !isWrite;
        if (transaction != 0) {
            request.transaction = {"a2", transaction, 1};
            request.forwarded.opensTransaction = opensTransaction;
        }
        request.consistency = isWrite ? Consistency::Latest : Consistency::BoundedAge;
        request.stalenessLimit = 1500ms;
        request.rank = Rank::Interactive;
        request.arrivedAt = m_now;
        request.deadline = m_now + 1200ms;
        request.objectiveAt = m_now + 400ms;
        request.values = std::make_shared<const SessionValues>();
        m_requests[request.number] = {workspace, m_now, work, transaction};
        ++results[workspace].sent;
        m_home->request(request, m_now);
    }
    void run(Duration time)
    {
        for (const TimePoint until = m_now + time; m_now < until;) {
            m_now += 1ms;
            for (auto &[id, member] : m_members) {
                runMember(member);
            }
            for (const auto &[workspace, load] : m_loads) {
                if (std::uniform_real_distribution<>(0, 1)(m_random) < load.perSecond / 1000) {
                    send(workspace, load.isWrite, load.work);
                }
            }
            if (m_now.time_since_epoch() % 5ms == Duration::zero()) {
                m_home->tick(m_now);
            }
        }
    }
    void stopLoad()
    {
        m_loads.clear();
    }
    std::size_t unanswered() const
    {
        return m_requests.size();
    }
    const ConnectionCounters &connectionCounters() const
    {
        return m_home->connectionCounters();
    }

    std::map<std::string, WorkspaceResult> results;
    std::string violation;
    std::size_t maxConnectionCount = 0;

    void openConnection(ConnectionNumber connection, const MemberRecord &record, const WorkspaceName &workspace) override
    {
        Member &member = m_members[record.id];
        m_connections[connection] = {record.id, workspace};
        maxConnectionCount = std::max(maxConnectionCount, openConnections(record.id));
        const std::size_t counted
            = openConnections(record.id)
              + static_cast<std::size_t>(std::count_if(member.closedAt.begin(), member.closedAt.end(), [&](TimePoint at) {
                    return m_now - at < m_lingering;
                }));
        member.waiting.push_back({connection, std::nullopt, openingTime, counted > m_acceptedConnections});
    }
    void sendCommand(ConnectionNumber connection, const MemberCommand &command) override
    {
        const Connection &at = m_connections.at(connection);
        Duration work{};
        if (!command.statement.id.empty()) {
            const auto request = m_requests.find(std::stoull(command.statement.id.substr(1)));
            if (request == m_requests.end() || request->second.workspace != at.workspace.text()) {
                violation = command.statement.id + " was sent on a connection of another workspace";
            } else {
                work = request->second.work;
            }
        }
        m_members[at.member].waiting.push_back({connection, command, work, false});
    }
    void closeConnection(ConnectionNumber connection) override
    {
        const auto found = m_connections.find(connection);
        if (found != m_connections.end()) {
            m_members[found->second.member].closedAt.push_back(m_now);
            m_connections.erase(found);
        }
    }
    void reply(RequestNumber number, const HomeReply &reply) override
    {
        const auto found = m_requests.find(number);
        if (found == m_requests.end()) {
            violation = "a second reply to one request";
            return;
        }
        if (reply.answer.error == StatementError::Overloaded) {
            violation = "a refusal of a connection reached the client";
        }
        WorkspaceResult &result = results[found->second.workspace];
        const bool isInTime = m_now - found->second.sentAt <= 400ms;
        ++(!reply.answer.isSuccess() ? result.refused : isInTime ? result.servedInTime : result.servedLate);
        if (reply.isTransactionOpen) {
            m_openTransactions.emplace_back(found->second.workspace, found->second.transaction);
        }
        m_requests.erase(found);
    }
    void writeTerm(const TermRecord &record, std::uint64_t) override
    {
        m_term = record;
        m_termRevision += 1;
        m_isTermWritten = true;
    }
    void readTerm() override
    {
        m_isTermWritten = true;
    }
    void askPeers(const MemberId &) override
    {}
    void askToYield(const std::string &, std::uint64_t) override
    {}
    void orderPromotion(const MemberId &, std::uint64_t) override
    {}
    void report(const HomeLogEvent &) override
    {}

private:
    struct Load {
        double perSecond = 0;
        bool isWrite = false;
        Duration work{};
    };
    struct Request {
        std::string workspace;
        TimePoint sentAt;
        Duration work{};
        std::uint64_t transaction = 0;
    };
    struct Connection {
        MemberId member;
        WorkspaceName workspace;
    };
    /// A command, or without one the opening of a connection.
    struct Job {
        ConnectionNumber connection = 0;
        std::optional<MemberCommand> command;
        Duration work{};
        bool isRefused = false;
        TimePoint endsAt{};
    };
    struct Member {
        std::deque<Job> waiting;
        std::vector<Job> running;
        std::vector<TimePoint> closedAt;
    };

    static GroupHomeLimits limitsFor(std::uint32_t maxConnections)
    {
        GroupHomeLimits limits;
        limits.maxConnections = maxConnections;
        limits.reservedConnections = std::max(3U, maxConnections / 4);
        return limits;
    }
    std::size_t openConnections(const MemberId &id) const
    {
        return static_cast<std::size_t>(std::count_if(m_connections.begin(), m_connections.end(), [&](const auto &entry) {
            return entry.second.member == id;
        }));
    }
    void runMember(Member &member)
    {
        if (std::exchange(m_isTermWritten, false)) {
            m_home->termSeen(m_term, m_termRevision, m_now, m_now);
        }
        std::vector<Job> ended;
        std::erase_if(member.running, [&](const Job &job) {
            if (job.endsAt <= m_now) {
                ended.push_back(job);
            }
            return job.endsAt <= m_now;
        });
        while (member.running.size() < slots && !member.waiting.empty()) {
            Job job = member.waiting.front();
            member.waiting.pop_front();
            if (!m_connections.contains(job.connection)) {
                continue;
            }
            job.endsAt = m_now + job.work;
            if (job.work == Duration::zero()) {
                ended.push_back(job);
            } else {
                member.running.push_back(job);
            }
        }
        for (const Job &job : ended) {
            endJob(job);
        }
    }
    void endJob(const Job &job)
    {
        const auto connection = m_connections.find(job.connection);
        if (connection == m_connections.end()) {
            return;
        }
        if (!job.command && job.isRefused) {
            m_connections.erase(connection);
            m_home->connectionFailed(job.connection, ConnectFailure::Overloaded, m_now);
            return;
        }
        if (!job.command) {
            m_home->connectionOpened(job.connection, m_now);
            return;
        }
        const StatementKind kind = job.command->statement.kind;
        const bool isStatement = job.command->kind == CommandKind::Statement;
        if (isStatement && kind == StatementKind::Begin) {
            m_inTransaction[job.connection] = true;
        } else if (isStatement && (kind == StatementKind::Commit || kind == StatementKind::Rollback)) {
            m_inTransaction.erase(job.connection);
        }
        Answer answer = Answer::success(m_inTransaction.contains(job.connection) ? SessionPhase::InTransaction : SessionPhase::Idle);
        answer.position = LogPosition{1, 10};
        answer.signature = "signed";
        std::optional<ReplicationStatus> status;
        if (!isStatement && job.command->kind != CommandKind::Reset) {
            status = ReplicationStatus{connection->second.member == MemberId("m1"), 1, {1, 10}, 0, 0, 0, 1};
        }
        m_home->answered(job.connection, answer, status, m_now);
    }

    std::mt19937 m_random{20261204};
    TimePoint m_now{1000s};
    GroupHomeLimits m_limits;
    std::size_t m_acceptedConnections = 0;
    Duration m_lingering{};
    std::map<std::string, Load> m_loads;
    std::map<MemberId, Member> m_members;
    std::map<ConnectionNumber, Connection> m_connections;
    std::map<ConnectionNumber, bool> m_inTransaction;
    std::vector<std::pair<std::string, std::uint64_t>> m_openTransactions;
    std::map<RequestNumber, Request> m_requests;
    RequestNumber m_lastRequest = 0;
    std::optional<TermRecord> m_term;
    std::uint64_t m_termRevision = 0;
    bool m_isTermWritten = false;
    std::unique_ptr<GroupHome> m_home;
};

} // namespace rattanbeam::decisions::session::test
