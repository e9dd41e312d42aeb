#include "rattanbeam/decisions/session/clientsession.h"

#include <algorithm>
#include <utility>

namespace rattanbeam::decisions::session
{

namespace
{

/// Whether a prepared statement only reads.
bool isReadDefinition(const std::string &definition)
{
    return definition.rfind("READ", 0) == 0;
}

} // namespace

ClientSession::ClientSession(const SessionLimits &limits) : m_limits(limits)
{}

std::variant<Answer, ForwardedStatement> ClientSession::offered(const Statement &statement)
{
    const bool ends = statement.kind == StatementKind::Commit || statement.kind == StatementKind::Rollback;
    if (m_phase == SessionPhase::Failed && !ends) {
        return malformed("the transaction has failed");
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
    return malformed("unknown statement");
}

std::variant<Answer, ForwardedStatement> ClientSession::forward(const Statement &statement)
{
    ForwardedStatement forwarded;
    forwarded.statement = statement;
    if (statement.kind == StatementKind::Commit) {
        if (m_phase == SessionPhase::Idle) {
            return malformed("no transaction is open");
        }
        if (m_phase == SessionPhase::Failed) {
            rollBack();
            return Answer::failure(StatementError::Aborted, "the transaction had failed", SessionPhase::Idle);
        }
    }
    forwarded.isReadOnly = m_isReadOnly && m_phase == SessionPhase::InTransaction;
    if (statement.kind == StatementKind::Execute) {
        const auto found = m_prepared.find(statement.name);
        if (found == m_prepared.end()) {
            return fail(StatementError::UnknownPrepared, statement.name);
        }
        forwarded.definition = found->second;
    }
    if (m_phase == SessionPhase::InTransaction) {
        forwarded.transaction = m_transaction;
        forwarded.opensTransaction = !m_isStarted;
    } else {
        forwarded.isReadOnly
            = statement.kind == StatementKind::Read || (statement.kind == StatementKind::Execute && isReadDefinition(forwarded.definition));
    }
    return forwarded;
}

Answer ClientSession::completed(const ForwardedStatement &forwarded, const Answer &answer)
{
    Answer told = answer;
    const bool isCommit = forwarded.statement.kind == StatementKind::Commit;
    if (forwarded.transaction == 0 || isCommit) {
        m_phase = SessionPhase::Idle;
        m_isStarted = false;
        if (answer.isSuccess() && !forwarded.isReadOnly && answer.position) {
            m_own = std::max(m_own.value_or(LogPosition{}), *answer.position);
        }
    } else if (answer.isSuccess()) {
        m_isStarted = true;
    } else {
        m_phase = SessionPhase::Failed;
        m_isStarted = false;
    }
    told.phase = m_phase;
    return told;
}

void ClientSession::transactionLost()
{
    if (m_phase == SessionPhase::InTransaction) {
        m_phase = SessionPhase::Failed;
    }
    m_isStarted = false;
}

Answer ClientSession::begin(bool isReadOnly)
{
    if (m_phase != SessionPhase::Idle) {
        return malformed("a transaction is open");
    }
    ++m_transaction;
    m_isStarted = false;
    m_isReadOnly = isReadOnly;
    m_phase = SessionPhase::InTransaction;
    return Answer::success(m_phase);
}

Answer ClientSession::rollBack()
{
    m_phase = SessionPhase::Idle;
    m_isStarted = false;
    return Answer::success(m_phase);
}

Answer ClientSession::setValue(const Statement &statement)
{
    if (statement.name.empty()) {
        return malformed("a value needs a name");
    }
    if (!m_values.contains(statement.name) && m_values.size() >= m_limits.values) {
        return fail(StatementError::Overloaded, "too many values");
    }
    m_values[statement.name] = statement.arguments;
    return Answer::success(m_phase);
}

Answer ClientSession::prepare(const Statement &statement)
{
    const bool isKnownKind = statement.arguments.rfind("READ ", 0) == 0 || statement.arguments.rfind("WRITE ", 0) == 0;
    if (statement.name.empty() || !isKnownKind) {
        return malformed("a prepared statement needs a name, READ or WRITE, and a shape");
    }
    if (!m_prepared.contains(statement.name) && m_prepared.size() >= m_limits.preparedStatements) {
        return fail(StatementError::Overloaded, "too many prepared statements");
    }
    m_prepared[statement.name] = statement.arguments;
    return Answer::success(m_phase);
}

Answer ClientSession::deallocate(const Statement &statement)
{
    if (m_prepared.erase(statement.name) == 0) {
        return fail(StatementError::UnknownPrepared, statement.name);
    }
    return Answer::success(m_phase);
}

Answer ClientSession::malformed(const char *reason)
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
