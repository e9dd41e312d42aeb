#pragma once

#include "rattanbeam/decisions/session/statement.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>

namespace rattanbeam::decisions::session
{

using SessionValues = std::map<std::string, std::string>;

/// A statement to be run by a member.
struct ForwardedStatement {
    Statement statement;
    /// Number of the transaction within its session; 0 for a statement outside a transaction.
    std::uint64_t transaction = 0;
    /// Whether this is the first statement of its transaction that is sent to a member.
    bool opensTransaction = false;
    bool isReadOnly = false;
    /// Definition of the prepared statement that this statement executes; empty for other statements.
    std::string definition;

    auto operator<=>(const ForwardedStatement &) const = default;
};

/// Limits on the state that one session may store.
struct SessionLimits {
    std::size_t maxValues = 64;
    std::size_t maxPreparedStatements = 256;
    /// Of all values and prepared statements. With a statement of 1 MiB they have to fit in one message between instances, because a
    /// longer message ends the stream that all sessions between two instances share.
    std::size_t maxBytes = 2 << 20;

    auto operator<=>(const SessionLimits &) const = default;
};

/// State of one client's session: values, prepared statements, the open transaction and the position of the last commit. BEGIN
/// is not forwarded; a transaction starts at a member with its first statement, so that no connection is pinned while the client
/// pauses after BEGIN.
///
///     const auto next = session.handleStatement(statement);
///     if (const auto *answer = std::get_if<Answer>(&next)) { send(*answer); }
///     else { forward(std::get<ForwardedStatement>(next)); }
///     ...
///     send(session.handleAnswer(forwarded, memberAnswer));
class ClientSession
{
public:
    explicit ClientSession(const SessionLimits &limits = {});

    /// Returns the answer if the session can give it itself, otherwise the statement to run at a member.
    std::variant<Answer, ForwardedStatement> handleStatement(const Statement &statement);
    /// Updates the session with the member's answer and returns the answer for the client.
    Answer handleAnswer(const ForwardedStatement &forwarded, const Answer &answer);
    /// The proxy ended the open transaction, and none of its changes are kept. Only a rollback or commit may follow.
    void transactionLost();

    SessionPhase phase() const
    {
        return m_phase;
    }
    /// Number of the open transaction; 0 if there is none or no statement of it has run at a member.
    std::uint64_t startedTransaction() const
    {
        return m_isTransactionStarted ? m_transactionNumber : 0;
    }
    const SessionValues &values() const
    {
        return m_values;
    }
    /// Bytes of all values and prepared statements.
    std::size_t storedBytes() const
    {
        return m_storedBytes;
    }
    /// Log position of the last commit that was acknowledged to this session, for read-your-writes consistency.
    const std::optional<LogPosition> &lastCommitPosition() const
    {
        return m_lastCommitPosition;
    }

private:
    Answer begin(bool isReadOnly);
    Answer rollBack();
    Answer setValue(const Statement &statement);
    Answer prepare(const Statement &statement);
    Answer deallocate(const Statement &statement);
    /// Stores the statement's arguments under its name unless that exceeds the limits.
    Answer store(std::map<std::string, std::string> &entries, std::size_t maxEntries, const Statement &statement, const char *tooMany);
    Answer failMalformed(const char *reason);
    Answer fail(StatementError error, std::string text);
    std::variant<Answer, ForwardedStatement> forward(const Statement &statement);

    SessionLimits m_limits;
    SessionPhase m_phase = SessionPhase::Idle;
    std::uint64_t m_transactionNumber = 0;
    bool m_isTransactionStarted = false;
    bool m_isTransactionReadOnly = false;
    SessionValues m_values;
    std::map<std::string, std::string> m_preparedStatements;
    std::size_t m_storedBytes = 0;
    std::optional<LogPosition> m_lastCommitPosition;
};

} // namespace rattanbeam::decisions::session
