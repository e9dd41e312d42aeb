#pragma once

#include "rattanbeam/standins/sessions/memberserver.h"
#include "rattanbeam/standins/sessions/replicagroup.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

/// A randomized fault soak: real daemons of the sessions interface between stand-ins, with every promise checked.
namespace rattanbeam::systemtests::soak
{

using standins::sessions::Clock;
using standins::sessions::ReplicaGroup;
using standins::sessions::RunCommit;
using standins::sessions::RunStatement;

enum class Freshness {
    Latest,
    BoundedAge,
    ReadYourWrites,
};

/// A route as clients know it.
struct SoakRoute {
    std::string database;
    Freshness freshness = Freshness::Latest;
    std::chrono::milliseconds stalenessLimit{};
    std::uint32_t rank = 0;
    std::uint32_t timeoutMs = 1000;
    std::uint32_t objectiveMs = 200;
};

/// A statement that has to run at a member, as its client sent it.
struct SentStatement {
    std::string id;
    std::string text;
    std::uint64_t session = 0;
    /// 0 outside a transaction.
    std::uint64_t transaction = 0;
    bool opensTransaction = false;
    Freshness freshness = Freshness::Latest;
    std::chrono::milliseconds stalenessLimit{};
    /// When the statement, or its transaction, was begun by the client.
    Clock::time_point startedAt{};
    std::map<std::string, std::string> values;
    /// Workspace of the client's key; empty if clients have none.
    std::string workspace;
};

/// Compares what clients were told with what the members did. Each broken promise is one line of findings().
///
///     auditor.sent(statement);
///     auditor.ran(run);
///     auditor.succeeded(id, signature, row, now);
class Auditor
{
public:
    explicit Auditor(const ReplicaGroup &group) : m_group(group)
    {}

    void sent(const SentStatement &statement);
    void ran(const RunStatement &run);
    void committed(const RunCommit &commit);

    void succeeded(const std::string &id, const std::string &signature, const std::string &row, Clock::time_point now);
    /// The client was promised that nothing of it is kept. All statements of a transaction share its fate.
    void promisedNotRun(const std::string &id);
    /// A connection ended without the answer that it owed, although its instance was stopped in order.
    void cutByOrderlyStop(const std::string &id);
    /// Compares outcomes with the log that survived.
    void finish();

    const std::vector<std::string> &findings() const
    {
        return m_findings;
    }
    std::size_t acknowledgedCommits() const
    {
        return m_acknowledged.size();
    }
    /// Acknowledged commits that a promotion cut back, which asynchronous replicas allow.
    std::size_t lostCommits() const
    {
        return m_lost;
    }

private:
    /// Session and transaction of a client.
    using TransactionKey = std::pair<std::uint64_t, std::uint64_t>;
    /// Member, connection and transaction there.
    using Place = std::tuple<std::string, std::uint64_t, std::uint64_t>;

    struct Request {
        SentStatement sent;
        /// What each run of it proved, and what was wrong with that run.
        std::map<std::string, std::pair<std::string, std::string>> runs;
        bool isPromised = false;
        std::vector<std::size_t> commits;
    };
    struct Commit {
        RunCommit told;
        bool isAcknowledged = false;
    };
    struct Acknowledged {
        Clock::time_point at;
        std::size_t commit = 0;
        std::uint64_t session = 0;
    };

    void find(const std::string &rule, const std::string &id, const std::string &detail);
    std::string staleness(const Request &request, const RunStatement &run) const;
    bool holds(const std::string &member, const standins::sessions::LogEntry &entry) const;
    void checkPinning(const Request &request, const RunStatement &run);

    const ReplicaGroup &m_group;
    std::map<std::string, Request> m_requests;
    std::vector<Commit> m_commits;
    std::vector<Acknowledged> m_acknowledged;
    std::map<TransactionKey, std::vector<std::size_t>> m_transactionCommits;
    std::map<TransactionKey, Place> m_pins;
    std::map<Place, TransactionKey> m_owners;
    std::vector<std::string> m_findings;
    std::size_t m_lost = 0;
};

} // namespace rattanbeam::systemtests::soak
