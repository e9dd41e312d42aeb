#pragma once

#include "rattanbeam/decisions/identifiers.h"
#include "rattanbeam/decisions/logposition.h"

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

/// Connection-oriented sessions: the statements of clients and the answers of members, independent of any wire format.
namespace rattanbeam::decisions::session
{

enum class StatementKind {
    Begin,
    BeginReadOnly,
    Commit,
    Rollback,
    Read,
    Write,
    SetValue,
    Prepare,
    Execute,
    Deallocate,
    Unknown,
};

/// One statement of a session.
struct Statement {
    /// The client's id for this request; empty for statements that the proxy itself issues.
    std::string id;
    StatementKind kind = StatementKind::Unknown;
    /// Name of a session value or of a prepared statement.
    std::string name;
    /// The rest of the statement, forwarded unchanged.
    std::string arguments;
    /// Log position that the member must have applied before it runs this statement.
    std::optional<LogPosition> after;

    auto operator<=>(const Statement &) const = default;
};

/// Transaction state of a session between statements.
enum class SessionPhase {
    Idle,
    InTransaction,
    Failed, ///< In a transaction that can only be rolled back.
};

/// Why a statement failed. All errors except the last three guarantee that the statement had no effect.
enum class StatementError {
    None,
    Busy,
    Aborted,
    Lagging,
    ReadOnly,
    WrongMember,
    Overloaded,
    UnknownPrepared,
    Malformed,
    UnknownDatabase,
    Failed, ///< The statement ran and failed.
    TimedOut, ///< The statement may have run.
    InDoubt, ///< The statement may have run.
    Unauthenticated, ///< The client's key is unknown. Last, so that instances of earlier builds read the other numbers as before.
};

/// Whether the error guarantees that the statement had no effect.
bool guaranteesNoEffect(StatementError error);
std::string_view statementErrorName(StatementError error);
std::ostream &operator<<(std::ostream &stream, StatementError error);
std::string_view statementKindName(StatementKind kind);

/// The complete answer to one statement.
struct Answer {
    std::vector<std::string> rows;
    /// Proof by the member that ran the statement; empty for an answer that the proxy itself gives.
    std::string signature;
    StatementError error = StatementError::None;
    std::string errorText;
    SessionPhase phase = SessionPhase::Idle;
    std::optional<LogPosition> position;

    bool isSuccess() const
    {
        return error == StatementError::None;
    }
    static Answer success(SessionPhase phase)
    {
        Answer answer;
        answer.phase = phase;
        return answer;
    }
    static Answer failure(StatementError error, std::string text, SessionPhase phase)
    {
        Answer answer;
        answer.error = error;
        answer.errorText = std::move(text);
        answer.phase = phase;
        return answer;
    }
    auto operator<=>(const Answer &) const = default;
};

/// A member's report on its own replication state.
struct ReplicationStatus {
    bool isPrimary = false;
    Term term = 0;
    LogPosition received;
    /// Term of the fence that stops the member from receiving log entries; 0 if it is not fenced.
    Term fenceTerm = 0;
    std::uint32_t lagMs = 0;
    std::uint32_t busySlots = 0;
    std::uint32_t connections = 0;

    auto operator<=>(const ReplicationStatus &) const = default;
};

} // namespace rattanbeam::decisions::session
