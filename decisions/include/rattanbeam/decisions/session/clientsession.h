#pragma once

#include "rattanbeam/decisions/session/statement.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>

namespace rattanbeam::decisions::session
{

using SessionValues = std::map<std::string, std::string>;

/// A statement that has to run at a member.
struct ForwardedStatement {
    Statement statement;
    /// Number of the transaction in its session; 0 outside a transaction.
    std::uint64_t transaction = 0;
    /// The transaction starts with this statement.
    bool opensTransaction = false;
    bool isReadOnly = false;
    /// Definition of the prepared statement that is executed.
    std::string definition;

    auto operator<=>(const ForwardedStatement &) const = default;
};

/// Bounds of what one session may keep.
struct SessionLimits {
    std::size_t values = 64;
    std::size_t preparedStatements = 256;

    auto operator<=>(const SessionLimits &) const = default;
};

/// One client's session: its values, prepared statements, transaction and last position. A transaction starts at a member
/// with its first statement, so that a connection is not held while the client pauses after BEGIN.
///
///     const auto next = session.offered(statement);
///     if (const auto *answer = std::get_if<Answer>(&next)) { send(*answer); }
///     else { forward(std::get<ForwardedStatement>(next)); }
///     ...
///     send(session.completed(forwarded, answerOfTheMember));
class ClientSession
{
public:
    explicit ClientSession(const SessionLimits &limits = {});

    /// The answer at once, or what has to run.
    std::variant<Answer, ForwardedStatement> offered(const Statement &statement);
    /// Takes the member's answer in; returns what the client is told.
    Answer completed(const ForwardedStatement &forwarded, const Answer &answer);
    /// The transaction was ended by the proxy; nothing of it is kept.
    void transactionLost();

    SessionPhase phase() const
    {
        return m_phase;
    }
    /// The open transaction's number, if any of its statements ran at a member.
    std::uint64_t startedTransaction() const
    {
        return m_isStarted ? m_transaction : 0;
    }
    const SessionValues &values() const
    {
        return m_values;
    }
    /// Last commit that was acknowledged to this session.
    const std::optional<LogPosition> &ownPosition() const
    {
        return m_own;
    }

private:
    Answer begin(bool isReadOnly);
    Answer rollBack();
    Answer setValue(const Statement &statement);
    Answer prepare(const Statement &statement);
    Answer deallocate(const Statement &statement);
    Answer malformed(const char *reason);
    Answer fail(StatementError error, std::string text);
    std::variant<Answer, ForwardedStatement> forward(const Statement &statement);

    SessionLimits m_limits;
    SessionPhase m_phase = SessionPhase::Idle;
    std::uint64_t m_transaction = 0;
    bool m_isStarted = false;
    bool m_isReadOnly = false;
    SessionValues m_values;
    std::map<std::string, std::string> m_prepared;
    std::optional<LogPosition> m_own;
};

} // namespace rattanbeam::decisions::session
