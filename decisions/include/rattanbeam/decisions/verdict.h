#pragma once

#include "rattanbeam/decisions/timepoint.h"

#include <compare>
#include <ostream>
#include <string_view>
#include <system_error>

/// How a request ended, and whether it can have had an effect.
namespace rattanbeam::decisions
{

/// Whether a request may have run.
enum class Verdict {
    NotRun,
    MayHaveRun,
    Ran,
};

/// Stable error codes; the numbers are part of the callers' protocol. docs/ERRORS.md explains each.
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

/// How a request ended: the verdict, the reason, and when a repeat can help.
///
///     return Outcome::refusal(ErrorCode::QueueFull, now + 50ms);
struct Outcome {
    Verdict verdict = Verdict::Ran;
    ErrorCode code = ErrorCode::None;
    /// Earliest time at which a repeat can help; the epoch where waiting does not help.
    TimePoint retryAt{};

    /// Nothing ran.
    static Outcome refusal(ErrorCode code, TimePoint retryAt = {})
    {
        return {Verdict::NotRun, code, retryAt};
    }
    /// The statement may have had an effect.
    static Outcome doubt(ErrorCode code)
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
