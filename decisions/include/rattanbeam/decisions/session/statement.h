#pragma once

#include "rattanbeam/decisions/identifiers.h"
#include "rattanbeam/decisions/logposition.h"

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

/// Sessions that are connections: what clients ask and members answer, in terms that no wire format is part of.
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
    /// The client's id for this request; statements of the proxy's own have none.
    std::string id;
    StatementKind kind = StatementKind::Unknown;
    /// Name of a value or of a prepared statement.
    std::string name;
    /// The rest of the statement, passed on unchanged.
    std::string arguments;
    /// Entry that the member must have applied before it runs this.
    std::optional<LogPosition> after;

    auto operator<=>(const Statement &) const = default;
};

/// Where a session stands between statements.
enum class SessionPhase {
    Idle,
    InTransaction,
    Failed, ///< Inside a transaction that can only be rolled back.
};

/// Why a statement failed. The first group promises that nothing was kept.
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
    Failed, ///< It ran and failed.
    TimedOut, ///< It may have run.
    InDoubt, ///< It may have run.
};

/// Whether the error says that nothing of the statement was kept.
bool isNotRun(StatementError error);
std::string_view statementErrorName(StatementError error);
std::ostream &operator<<(std::ostream &stream, StatementError error);
std::string_view statementKindName(StatementKind kind);

/// The whole answer to one statement.
struct Answer {
    std::vector<std::string> rows;
    /// Proof of the member that ran it; empty for an answer of the proxy's own.
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

/// A member's status of itself.
struct ReplicationStatus {
    bool isPrimary = false;
    Term term = 0;
    LogPosition received;
    /// Term of the fence that keeps the member from receiving; 0 when there is none.
    Term fencedAt = 0;
    std::uint32_t lagMs = 0;
    std::uint32_t busySlots = 0;
    std::uint32_t connections = 0;

    auto operator<=>(const ReplicationStatus &) const = default;
};

} // namespace rattanbeam::decisions::session
