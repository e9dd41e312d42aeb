#include "rattanbeam/decisions/verdict.h"

#include <string>

namespace rattanbeam::decisions
{

namespace
{

class ErrorCategory : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "rattanbeam";
    }
    std::string message(int condition) const override
    {
        return std::string(errorName(static_cast<ErrorCode>(condition)));
    }
};

} // namespace

std::string_view verdictName(Verdict verdict)
{
    switch (verdict) {
    case Verdict::NotRun:
        return "not-run";
    case Verdict::MayHaveRun:
        return "may-have-run";
    case Verdict::Ran:
        return "ran";
    }
    return "unknown";
}

std::string_view errorName(ErrorCode code)
{
    switch (code) {
    case ErrorCode::None:
        return "none";
    case ErrorCode::MalformedRequest:
        return "malformed-request";
    case ErrorCode::RequestTooLarge:
        return "request-too-large";
    case ErrorCode::NoContract:
        return "no-contract";
    case ErrorCode::WrongCredential:
        return "wrong-credential";
    case ErrorCode::UnknownDatabase:
        return "unknown-database";
    case ErrorCode::BadSessionToken:
        return "bad-session-token";
    case ErrorCode::PositionLost:
        return "position-lost";
    case ErrorCode::TooStale:
        return "too-stale";
    case ErrorCode::UnknownTransaction:
        return "unknown-transaction";
    case ErrorCode::TransactionLost:
        return "transaction-lost";
    case ErrorCode::RequestIdReused:
        return "request-id-reused";
    case ErrorCode::QueueFull:
        return "queue-full";
    case ErrorCode::DeadlineUnreachable:
        return "deadline-unreachable";
    case ErrorCode::ConnectionLimit:
        return "connection-limit";
    case ErrorCode::Draining:
        return "draining";
    case ErrorCode::NotPrimary:
        return "not-primary";
    case ErrorCode::NotHome:
        return "not-home";
    case ErrorCode::NoPrimary:
        return "no-primary";
    case ErrorCode::CannotConfirm:
        return "cannot-confirm";
    case ErrorCode::NotCovered:
        return "not-covered";
    case ErrorCode::MemberUnreachable:
        return "member-unreachable";
    case ErrorCode::MemberRefused:
        return "member-refused";
    case ErrorCode::PeerUnreachable:
        return "peer-unreachable";
    case ErrorCode::StatementFailed:
        return "statement-failed";
    case ErrorCode::DeadlineExceeded:
        return "deadline-exceeded";
    case ErrorCode::ConnectionLost:
        return "connection-lost";
    case ErrorCode::Unconfirmed:
        return "unconfirmed";
    case ErrorCode::Internal:
        return "internal";
    }
    return "unknown";
}

const std::error_category &errorCategory()
{
    static const ErrorCategory category;
    return category;
}

std::error_code make_error_code(ErrorCode code)
{
    return {static_cast<int>(code), errorCategory()};
}

std::ostream &operator<<(std::ostream &stream, Verdict verdict)
{
    return stream << verdictName(verdict);
}

std::ostream &operator<<(std::ostream &stream, ErrorCode code)
{
    return stream << errorName(code);
}

std::ostream &operator<<(std::ostream &stream, const Outcome &outcome)
{
    return stream << outcome.verdict << '/' << outcome.code;
}

} // namespace rattanbeam::decisions
