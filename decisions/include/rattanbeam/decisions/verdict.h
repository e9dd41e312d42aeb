#pragma once

#include "rattanbeam/decisions/timepoint.h"

#include <compare>
#include <ostream>
#include <string_view>
#include <system_error>

/// How a request ended, and whether it can have changed data.
namespace rattanbeam::decisions
{

/// Whether a request was executed.
enum class Verdict {
    NotRun,
    MayHaveRun,
    Ran,
};

/// Error codes. The numbers are part of the protocol with callers and never change. docs/ERRORS.md explains each code.
enum class ErrorCode {
    None = 0,
    MalformedRequest = 100,
    RequestTooLarge = 101,
    NoContract = 110,
    WrongCredential = 111,
    UnknownDatabase = 112,
    BadSessionToken = 120,
    PositionLost = 121,
    TooStale = 122,
    UnknownTransaction = 130,
    TransactionLost = 131,
    RequestIdReused = 132,
    QueueFull = 140,
    DeadlineUnreachable = 141,
    ConnectionLimit = 142,
    Draining = 143,
    NotPrimary = 150,
    NotHome = 151,
    NoPrimary = 152,
    CannotConfirm = 153,
    NotCovered = 154,
    MemberUnreachable = 155,
    MemberRefused = 156,
    PeerUnreachable = 157,
    StatementFailed = 160,
    DeadlineExceeded = 170,
    ConnectionLost = 171,
    Unconfirmed = 172,
    Internal = 190,
};

std::string_view verdictName(Verdict verdict);
std::string_view errorName(ErrorCode code);
const std::error_category &errorCategory();
std::error_code make_error_code(ErrorCode code);

std::ostream &operator<<(std::ostream &stream, Verdict verdict);
std::ostream &operator<<(std::ostream &stream, ErrorCode code);

/// How a request ended: the verdict, the error code, and when a retry can help.
///
///     return Outcome::refusal(ErrorCode::QueueFull, now + 50ms);
struct Outcome {
    Verdict verdict = Verdict::Ran;
    ErrorCode code = ErrorCode::None;
    /// Earliest time at which a retry can help; the epoch if waiting does not help.
    TimePoint retryAt{};

    /// The request did not run.
    static Outcome refusal(ErrorCode code, TimePoint retryAt = {})
    {
        return {Verdict::NotRun, code, retryAt};
    }
    /// The request may have run.
    static Outcome inDoubt(ErrorCode code)
    {
        return {Verdict::MayHaveRun, code, {}};
    }

    bool isSuccess() const
    {
        return verdict == Verdict::Ran && code == ErrorCode::None;
    }

    auto operator<=>(const Outcome &) const = default;
};

std::ostream &operator<<(std::ostream &stream, const Outcome &outcome);

} // namespace rattanbeam::decisions

template<>
struct std::is_error_code_enum<rattanbeam::decisions::ErrorCode> : std::true_type {};
