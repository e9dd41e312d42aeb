#pragma once

#include "rattanbeam/decisions/groupview.h"
#include "rattanbeam/decisions/verdict.h"
#include "rattanbeam/model/memberlog.h"
#include "rattanbeam/standins/sqlengine.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <semaphore>
#include <string>
#include <thread>
#include <vector>

namespace rattanbeam::standins
{

struct BackendOptions {
    std::string directory;
    std::uint32_t slots = 2;
    std::uint32_t connections = 16;
    std::chrono::milliseconds connectDelay{12};
    std::chrono::microseconds statementCost{500};
    std::chrono::milliseconds applyLag{0};
    std::chrono::milliseconds shipLag{1};
    bool startsAsPrimary = false;
};

/// Answer to one statement.
struct StatementAnswer {
    decisions::Outcome outcome;
    std::string error;
    SqlResult result;
    decisions::LogPosition at;
    bool repeated = false;
};

/// One member of a database group: a log, tables, and replication to followers.
///
/// A follower holds an entry once it has received it (after the ship lag) and applies it after the apply lag. Only the
/// applied part is visible to reads; only the held part counts for confirmations and promotions.
class BackendMember
{
public:
    using Log = model::MemberLog<Change>;

    explicit BackendMember(const BackendOptions &options);
    BackendMember(const BackendMember &) = delete;
    BackendMember &operator=(const BackendMember &) = delete;
    ~BackendMember();

    /// What a connection keeps between statements.
    class Session;
    std::unique_ptr<Session> openSession();

    decisions::MemberStatus status() const;
    bool fence(decisions::Term term, const decisions::AttemptId &attempt);
    bool promote(decisions::Term term, const decisions::AttemptId &attempt);
    bool follow(decisions::Term term);

    /// Waits until the member holds `position` under `term`.
    decisions::MemberStatus waitHeld(decisions::Term term, std::uint64_t position, std::chrono::milliseconds wait);
    /// For a follower: waits until there is something beyond `end`.
    Log::Batch pull(decisions::Term term, const decisions::TermHistory &history, std::uint64_t end, std::chrono::milliseconds wait);
    /// From the primary.
    void accept(const Log::Batch &batch);

    void setLeaving(bool leaving);
    void setLags(std::chrono::milliseconds apply, std::chrono::milliseconds ship);
    std::chrono::milliseconds shipLag() const;
    const BackendOptions &options() const
    {
        return m_options;
    }

private:
    friend class Session;

    struct Arrival {
        std::uint64_t position = 0;
        std::chrono::steady_clock::time_point applyAt;
    };

    void applyLoop();
    void applyUpTo(std::uint64_t position);
    void rebuildTables(std::uint64_t kept);
    std::string tablePath() const;

    BackendOptions m_options;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    Log m_log;
    std::deque<Arrival> m_arrivals;
    std::uint64_t m_applied = 0;
    std::uint64_t m_generation = 0;
    bool m_leaving = false;
    bool m_stopping = false;
    /// Held while tables change, by commits and by the apply loop; taken before m_mutex.
    std::mutex m_tableWriter;
    std::unique_ptr<SqlHandle> m_applyHandle;
    std::counting_semaphore<1024> m_slots;
    std::thread m_applier;
};

/// One connection's statements. A transaction's statements are kept until its commit and run then as one, so that an
/// idle transaction holds no lock; each step still sees the effects of those before it.
class BackendMember::Session
{
public:
    explicit Session(BackendMember &member) : m_member(member)
    {}

    StatementAnswer
    execute(const std::string &sql, bool isWrite, decisions::Term term, const std::string &requestId, const std::string &digest);
    StatementAnswer begin(decisions::Term term);
    StatementAnswer step(const std::string &sql);
    StatementAnswer commit(const std::string &requestId, const std::string &digest);
    StatementAnswer rollBack();

private:
    StatementAnswer read(const std::string &sql);
    StatementAnswer
    write(const std::vector<std::string> &statements, decisions::Term term, const std::string &requestId, const std::string &digest);
    StatementAnswer repeatOf(const StoredRequest &stored, const std::string &digest) const;
    bool commitChange(const Change &change, decisions::Term term, StatementAnswer &answer);
    SqlHandle &handle();

    BackendMember &m_member;
    std::unique_ptr<SqlHandle> m_handle;
    std::uint64_t m_generation = 0;
    bool m_inTransaction = false;
    decisions::Term m_transactionTerm = 0;
    std::vector<std::string> m_statements;
};

} // namespace rattanbeam::standins
