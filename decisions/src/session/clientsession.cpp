#include "rattanbeam/decisions/session/clientsession.h"

#include <algorithm>
#include <utility>

namespace rattanbeam::decisions::session
{

namespace
{

/// Whether the prepared statement is read-only.
bool isReadDefinition(const std::string &definition)
{
    return definition.rfind("READ", 0) == 0;
}

} // namespace

ClientSession::ClientSession(const SessionLimits &limits) : m_limits(limits)
{}

std::variant<Answer, ForwardedStatement> ClientSession::handleStatement(const Statement &statement)
{
    const bool isTransactionEnd = statement.kind == StatementKind::Commit || statement.kind == StatementKind::Rollback;
    if (m_phase == SessionPhase::Failed && !isTransactionEnd) {
        return failMalformed("the transaction has failed");
    }
    switch (statement.kind) {
    case StatementKind::Begin:
    case StatementKind::BeginReadOnly:
        return begin(statement.kind == StatementKind::BeginReadOnly);
    case StatementKind::Rollback:
        return rollBack();
    case StatementKind::SetValue:
        return setValue(statement);
    case StatementKind::Prepare:
        return prepare(statement);
    case StatementKind::Deallocate:
        return deallocate(statement);
    case StatementKind::Commit:
    case StatementKind::Read:
    case StatementKind::Write:
    case StatementKind::Execute:
        return forward(statement);
    case StatementKind::Unknown:
        break;
    }
    return failMalformed("unknown statement");
}

std::variant<Answer, ForwardedStatement> ClientSession::forward(const Statement &statement)
{
    ForwardedStatement forwarded;
    forwarded.statement = statement;
    if (statement.kind == StatementKind::Commit) {
        if (m_phase == SessionPhase::Idle) {
            return failMalformed("no transaction is open");
        }
        if (m_phase == SessionPhase::Failed) {
            rollBack();
            return Answer::failure(StatementError::Aborted, "the transaction had failed", SessionPhase::Idle);
        }
    }
    forwarded.isReadOnly = m_isTransactionReadOnly && m_phase == SessionPhase::InTransaction;
    if (statement.kind == StatementKind::Execute) {
        const auto found = m_preparedStatements.find(statement.name);
        if (found == m_preparedStatements.end()) {
            return fail(StatementError::UnknownPrepared, statement.name);
        }
        forwarded.definition = found->second;
    }
    if (m_phase == SessionPhase::InTransaction) {
        forwarded.transaction = m_transactionNumber;
        forwarded.opensTransaction = !m_isTransactionStarted;
    } else {
        forwarded.isReadOnly
            = statement.kind == StatementKind::Read || (statement.kind == StatementKind::Execute && isReadDefinition(forwarded.definition));
    }
    return forwarded;
}

Answer ClientSession::handleAnswer(const ForwardedStatement &forwarded, const Answer &answer)
{
    Answer clientAnswer = answer;
    const bool isCommit = forwarded.statement.kind == StatementKind::Commit;
    if (forwarded.transaction == 0 || isCommit) {
        m_phase = SessionPhase::Idle;
        m_isTransactionStarted = false;
        if (answer.isSuccess() && !forwarded.isReadOnly && answer.position) {
            m_lastCommitPosition = std::max(m_lastCommitPosition.value_or(LogPosition{}), *answer.position);
        }
    } else if (answer.isSuccess()) {
        m_isTransactionStarted = true;
    } else {
        m_phase = SessionPhase::Failed;
        m_isTransactionStarted = false;
    }
    clientAnswer.phase = m_phase;
    return clientAnswer;
}

void ClientSession::transactionLost()
{
    if (m_phase == SessionPhase::InTransaction) {
        m_phase = SessionPhase::Failed;
    }
    m_isTransactionStarted = false;
}

Answer ClientSession::begin(bool isReadOnly)
{
    if (m_phase != SessionPhase::Idle) {
        return failMalformed("a transaction is open");
    }
    ++m_transactionNumber;
    m_isTransactionStarted = false;
    m_isTransactionReadOnly = isReadOnly;
    m_phase = SessionPhase::InTransaction;
    return Answer::success(m_phase);
}

Answer ClientSession::rollBack()
{
    m_phase = SessionPhase::Idle;
    m_isTransactionStarted = false;
    return Answer::success(m_phase);
}

Answer ClientSession::setValue(const Statement &statement)
{
    if (statement.name.empty()) {
        return failMalformed("a value needs a name");
    }
    return store(m_values, m_limits.maxValues, statement, "too many values");
}

Answer ClientSession::prepare(const Statement &statement)
{
    const bool isKnownKind = statement.arguments.rfind("READ ", 0) == 0 || statement.arguments.rfind("WRITE ", 0) == 0;
    if (statement.name.empty() || !isKnownKind) {
        return failMalformed("a prepared statement needs a name, READ or WRITE, and a shape");
    }
    return store(m_preparedStatements, m_limits.maxPreparedStatements, statement, "too many prepared statements");
}

Answer
ClientSession::store(std::map<std::string, std::string> &entries, std::size_t maxEntries, const Statement &statement, const char *tooMany)
{
    const auto found = entries.find(statement.name);
    if (found == entries.end() && entries.size() >= maxEntries) {
        return fail(StatementError::Overloaded, tooMany);
    }
    const std::size_t formerBytes = found == entries.end() ? 0 : statement.name.size() + found->second.size();
    const std::size_t storedBytes = m_storedBytes - formerBytes + statement.name.size() + statement.arguments.size();
    if (storedBytes > m_limits.maxBytes && storedBytes > m_storedBytes) {
        return fail(StatementError::Overloaded, "too many bytes of values and prepared statements");
    }
    entries[statement.name] = statement.arguments;
    m_storedBytes = storedBytes;
    return Answer::success(m_phase);
}

Answer ClientSession::deallocate(const Statement &statement)
{
    const auto found = m_preparedStatements.find(statement.name);
    if (found == m_preparedStatements.end()) {
        return fail(StatementError::UnknownPrepared, statement.name);
    }
    m_storedBytes -= found->first.size() + found->second.size();
    m_preparedStatements.erase(found);
    return Answer::success(m_phase);
}

Answer ClientSession::failMalformed(const char *reason)
{
    return fail(StatementError::Malformed, reason);
}

Answer ClientSession::fail(StatementError error, std::string text)
{
    if (m_phase == SessionPhase::InTransaction) {
        m_phase = SessionPhase::Failed;
    }
    return Answer::failure(error, std::move(text), m_phase);
}

} // namespace rattanbeam::decisions::session
