#include "rattanbeam/decisions/session/statement.h"

namespace rattanbeam::decisions::session
{

bool guaranteesNoEffect(StatementError error)
{
    switch (error) {
    case StatementError::None:
    case StatementError::Failed:
    case StatementError::TimedOut:
    case StatementError::InDoubt:
        return false;
    default:
        return true;
    }
}

std::string_view statementErrorName(StatementError error)
{
    switch (error) {
    case StatementError::None:
        return "none";
    case StatementError::Busy:
        return "busy";
    case StatementError::Aborted:
        return "aborted";
    case StatementError::Lagging:
        return "lagging";
    case StatementError::ReadOnly:
        return "read-only";
    case StatementError::WrongMember:
        return "wrong-member";
    case StatementError::Overloaded:
        return "overloaded";
    case StatementError::UnknownPrepared:
        return "unknown-prepared";
    case StatementError::Malformed:
        return "malformed";
    case StatementError::UnknownDatabase:
        return "unknown-database";
    case StatementError::Failed:
        return "failed";
    case StatementError::TimedOut:
        return "timed-out";
    case StatementError::InDoubt:
        return "in-doubt";
    case StatementError::Unauthenticated:
        return "unauthenticated";
    }
    return "unknown";
}

std::ostream &operator<<(std::ostream &stream, StatementError error)
{
    return stream << statementErrorName(error);
}

std::string_view statementKindName(StatementKind kind)
{
    switch (kind) {
    case StatementKind::Begin:
        return "begin";
    case StatementKind::BeginReadOnly:
        return "begin-read-only";
    case StatementKind::Commit:
        return "commit";
    case StatementKind::Rollback:
        return "rollback";
    case StatementKind::Read:
        return "read";
    case StatementKind::Write:
        return "write";
    case StatementKind::SetValue:
        return "set";
    case StatementKind::Prepare:
        return "prepare";
    case StatementKind::Execute:
        return "execute";
    case StatementKind::Deallocate:
        return "deallocate";
    case StatementKind::Unknown:
        break;
    }
    return "unknown";
}

} // namespace rattanbeam::decisions::session
