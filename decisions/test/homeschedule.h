#pragma once

#include "rattanbeam/decisions/memberhome.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Simulation of a home's member, for tests of the properties of a home.
namespace rattanbeam::decisions::test
{

inline const MemberId otherMember("other");
inline constexpr std::size_t connectionLimit = 5;

/// The mechanisms of a home, all enabled. Each derived type disables one, to show that the schedules find the failure that the
/// mechanism prevents.
struct AllHomeMechanisms {
    static constexpr bool confirmsWrites = true;
    static constexpr bool checksCorrelation = true;
    static constexpr bool dropsDoubtfulConnections = true;
};
struct WithoutWriteConfirmation : AllHomeMechanisms {
    static constexpr bool confirmsWrites = false;
};
struct WithoutCorrelationCheck : AllHomeMechanisms {
    static constexpr bool checksCorrelation = false;
};
struct WithoutConnectionDropping : AllHomeMechanisms {
    static constexpr bool dropsDoubtfulConnections = false;
};

/// Runs a MemberHome with a fake member. The member runs the statements that it is sent; the schedule decides when requests
/// arrive, which answers and connections are lost, and when terms change. Records the first violated guarantee.
template<typename Mechanisms>
class HomeSchedule
{
public:
    HomeSchedule() : m_home(makeLimits(), 1000)
    {
        reportStatus(1, true);
    }

    /// Takes the step that `choice` encodes: its kind in the lowest five bits, its details in the others.
    void step(std::uint32_t choice)
    {
        const std::uint32_t detail = choice / 32;
        switch (choice % 32) {
        case 0:
        case 1:
        case 2:
        case 3:
            sendRequest(HomeOperation::Execute, detail);
            break;
        case 4:
        case 5:
            sendRequest(HomeOperation::Begin, detail);
            break;
        case 6:
        case 7:
        case 8:
            continueTransaction(detail);
            break;
        case 9:
        case 10:
        case 11:
            finishOpening(detail);
            break;
        case 12:
            loseConnection(detail);
            break;
        case 13:
            answerOnWrongConnection(detail);
            break;
        case 14:
            reportStatus(m_term + 1, detail % 2 == 0);
            break;
        case 15:
            m_now += std::chrono::milliseconds(detail % 400);
            perform(m_home.tick(m_now));
            break;
        case 16:
        case 17:
        case 18:
        case 19:
            reportHeld(detail);
            break;
        case 20:
            perform(m_home.drainToNewHome(m_now));
            break;
        case 23:
            perform(m_home.termPublished(m_term + detail % 2, m_now));
            break;
        case 21:
            m_home.setHandover(detail % 2 == 0);
            break;
        default:
            answerStatement(detail);
            break;
        }
    }

    /// Advances time past all deadlines and checks that each request got a reply.
    void finish()
    {
        m_home.setHandover(false);
        for (int i = 0; i < 100; ++i) {
            m_now += std::chrono::milliseconds(100);
            perform(m_home.tick(m_now));
        }
        for (const auto &[id, request] : m_requests) {
            expect(m_replies.contains(id), "request " + std::to_string(id) + " was never answered");
        }
    }

    const std::string &violation() const
    {
        return m_violation;
    }
    std::size_t succeeded() const
    {
        return m_succeeded;
    }

private:
    struct Connection {
        bool isOpen = false;
        WorkId running = 0;
        TransactionId transaction = 0;
    };

    static HomeLimits makeLimits()
    {
        HomeLimits limits;
        limits.connections = connectionLimit;
        limits.queue.slots = 2;
        limits.queue.capacity = 8;
        limits.queue.weights[Rank::Urgent] = 70;
        limits.queue.weights[Rank::Interactive] = 20;
        limits.queue.weights[Rank::Batch] = 10;
        limits.transactionIdle = std::chrono::seconds(1);
        limits.confirmationsNeeded = Mechanisms::confirmsWrites ? 1 : 0;
        return limits;
    }

    void expect(bool condition, const std::string &message)
    {
        if (!condition && m_violation.empty()) {
            m_violation = message;
        }
    }

    MemberStatus statusNow() const
    {
        MemberStatus status;
        status.term = m_term;
        status.isPrimary = m_isPrimary;
        status.isFollowing = !m_isPrimary;
        status.history = m_history;
        status.applied = m_position;
        status.held = {m_history.termAt(m_position), m_position};
        return status;
    }

    void reportStatus(Term term, bool isPrimary)
    {
        m_term = term;
        m_isPrimary = isPrimary;
        if (isPrimary) {
            m_history.append({term, m_position});
            ++m_position;
        }
        m_otherHeldPosition = 0;
        perform(m_home.memberStatusReceived(statusNow(), m_now, m_now));
        perform(m_home.otherStatusReceived(otherMember, statusNow(), m_now));
    }

    void sendRequest(HomeOperation operation, std::uint32_t detail)
    {
        HomeRequest request;
        request.id = ++m_lastId;
        request.operation = operation;
        request.isWrite = operation == HomeOperation::Begin || detail % 2 == 0;
        request.rank = allRanks[detail / 2 % rankCount];
        request.customer = CustomerId(detail / 6 % 2 == 0 ? "tiza" : "rota");
        request.connectionLimit = 3;
        request.deadline = m_now + std::chrono::milliseconds(detail % 700);
        request.maxAge = std::chrono::seconds(10);
        m_requests[request.id] = request;
        perform(m_home.requestArrived(request, m_now));
    }

    void continueTransaction(std::uint32_t detail)
    {
        if (m_transactions.empty()) {
            return;
        }
        const auto transaction = std::next(m_transactions.begin(), static_cast<std::ptrdiff_t>(detail % m_transactions.size()));
        HomeRequest request;
        request.id = ++m_lastId;
        const std::uint32_t kind = detail / 8 % 4;
        request.operation = kind == 0 ? HomeOperation::Commit : kind == 1 ? HomeOperation::Rollback : HomeOperation::Step;
        request.isWrite = true;
        request.customer = transaction->second;
        request.transaction = transaction->first;
        request.deadline = m_now + std::chrono::milliseconds(500);
        m_requests[request.id] = request;
        perform(m_home.requestArrived(request, m_now));
    }

    void finishOpening(std::uint32_t detail)
    {
        for (auto &[id, connection] : m_connections) {
            if (!connection.isOpen) {
                const ConnectionId openingId = id;
                if (detail % 4 == 0) {
                    m_connections.erase(openingId);
                    perform(m_home.connectionFailed(openingId, m_now));
                } else {
                    connection.isOpen = true;
                    perform(m_home.connectionOpened(openingId, m_now));
                }
                return;
            }
        }
    }

    std::optional<ConnectionId> chooseBusyConnection(std::uint32_t detail) const
    {
        std::vector<ConnectionId> busy;
        for (const auto &[id, connection] : m_connections) {
            if (connection.running != 0) {
                busy.push_back(id);
            }
        }
        return busy.empty() ? std::nullopt : std::optional(busy[detail % busy.size()]);
    }

    void loseConnection(std::uint32_t detail)
    {
        const auto id = chooseBusyConnection(detail);
        if (id) {
            m_connections.erase(*id);
            perform(m_home.connectionClosed(*id, m_now));
        }
    }

    /// The member ends a statement and answers on its connection. One answer in six is an error.
    void answerStatement(std::uint32_t detail)
    {
        const auto id = chooseBusyConnection(detail);
        if (!id) {
            return;
        }
        Connection &connection = m_connections.at(*id);
        const WorkId work = connection.running;
        connection.running = 0;
        const HomeRequest &request = m_requests.at(work);
        if (request.transaction != 0 && request.operation != HomeOperation::Step) {
            // A commit or rollback ends the member's transaction, whatever its outcome.
            m_transactions.erase(request.transaction);
            connection.transaction = 0;
        }
        MemberAnswer answer;
        if (detail / 16 % 6 == 0) {
            answer.outcome = Outcome::refusal(ErrorCode::StatementFailed);
        } else if (commitsWrite(work)) {
            m_ran.insert(work);
            answer.at = {m_term, ++m_position};
            m_writtenAt[work] = answer.at;
        }
        perform(m_home.answered(*id, work, answer, m_now));
    }

    /// An answer arrives on a connection that did not carry its request. Without the correlation check it is delivered as though
    /// it came on the request's own connection.
    void answerOnWrongConnection(std::uint32_t detail)
    {
        const auto id = chooseBusyConnection(detail);
        if (!id || m_lastId == 0) {
            return;
        }
        const WorkId otherWork = 1 + detail % m_lastId;
        if (otherWork != m_connections.at(*id).running) {
            const auto ownConnection = m_connectionOf.find(otherWork);
            const bool skipsCheck = !Mechanisms::checksCorrelation && ownConnection != m_connectionOf.end();
            perform(m_home.answered(skipsCheck ? ownConnection->second : *id, otherWork, {{}, {m_term, 1}}, m_now));
        }
    }

    void reportHeld(std::uint32_t detail)
    {
        m_otherHeldPosition = std::max(m_otherHeldPosition, m_position - std::min<std::uint64_t>(m_position, detail % 4));
        perform(m_home.heldPositionReported(otherMember, m_term, m_otherHeldPosition, m_now));
    }

    bool commitsWrite(WorkId work) const
    {
        const HomeRequest &request = m_requests.at(work);
        return request.operation == HomeOperation::Commit || (request.operation == HomeOperation::Execute && request.isWrite);
    }

    void perform(const HomeActions &actions)
    {
        for (const HomeAction &action : actions) {
            std::visit(
                [this](const auto &each) {
                    carryOut(each);
                },
                action);
        }
    }

    void carryOut(const OpenConnection &open)
    {
        expect(!m_connections.contains(open.connection) && !m_closed.contains(open.connection), "a connection id was used twice");
        m_connections[open.connection] = {};
        expect(m_connections.size() <= connectionLimit, "more connections than the limit");
    }
    void carryOut(const CloseConnection &close)
    {
        if (!Mechanisms::dropsDoubtfulConnections) {
            return;
        }
        m_connections.erase(close.connection);
        m_closed.insert(close.connection);
    }
    void carryOut(const SendStatement &send)
    {
        const auto found = m_connections.find(send.connection);
        expect(found != m_connections.end() && found->second.isOpen, "sent on a connection that is not open");
        expect(m_sent.insert(send.work).second, "a statement was sent twice");
        expect(!m_replies.contains(send.work), "a statement was sent after the reply to its request");
        if (found == m_connections.end()) {
            return;
        }
        Connection &connection = found->second;
        expect(connection.running == 0, "a connection carried two requests at once");
        connection.running = send.work;
        const TransactionId transaction = m_requests.at(send.work).transaction;
        expect(connection.transaction == transaction, "a statement ran on the connection of another transaction");
        m_connectionOf[send.work] = send.connection;
    }
    void carryOut(const RequestConfirmation & /*ask*/)
    {}
    void carryOut(const ReplyToRequest &reply)
    {
        expect(m_replies.insert(reply.work).second, "a request was answered twice");
        const HomeRequest &request = m_requests.at(reply.work);
        if (reply.outcome.verdict == Verdict::NotRun) {
            expect(!m_ran.contains(reply.work), "the verdict was NotRun, but the statement ran");
        }
        if (reply.outcome.isSuccess()) {
            ++m_succeeded;
            checkSuccess(request, reply);
        }
    }

    void checkSuccess(const HomeRequest &request, const ReplyToRequest &reply)
    {
        if (commitsWrite(request.id)) {
            const auto written = m_writtenAt.find(request.id);
            expect(written != m_writtenAt.end() && written->second == reply.at, "a request got the answer of another one");
            expect(m_otherHeldPosition >= reply.at.position && reply.at.term == m_term,
                   "a write was acknowledged without confirmation in its term");
        }
        const auto connection = m_connections.find(m_connectionOf.at(request.id));
        if (request.operation == HomeOperation::Begin && connection != m_connections.end()) {
            m_transactions[reply.transaction] = request.customer;
            connection->second.transaction = reply.transaction;
        }
    }

    MemberHome m_home;
    TimePoint m_now{std::chrono::hours(1)};
    Term m_term = 0;
    bool m_isPrimary = true;
    TermHistory m_history;
    std::uint64_t m_position = 0;
    std::uint64_t m_otherHeldPosition = 0;
    WorkId m_lastId = 0;
    std::size_t m_succeeded = 0;
    std::map<ConnectionId, Connection> m_connections;
    std::set<ConnectionId> m_closed;
    std::map<WorkId, HomeRequest> m_requests;
    std::map<WorkId, ConnectionId> m_connectionOf;
    std::set<WorkId> m_sent;
    std::set<WorkId> m_ran;
    std::map<WorkId, LogPosition> m_writtenAt;
    std::set<WorkId> m_replies;
    std::map<TransactionId, CustomerId> m_transactions;
    std::string m_violation;
};

} // namespace rattanbeam::decisions::test
