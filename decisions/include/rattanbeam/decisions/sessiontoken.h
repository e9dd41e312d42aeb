#pragma once

#include "rattanbeam/decisions/identifiers.h"
#include "rattanbeam/decisions/logposition.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace rattanbeam::decisions
{

/// The log position of one database that the session's reads must include.
struct SessionPosition {
    LogPosition logPosition;
    /// Set after a request that may have run: the next read goes to the primary, since only it can tell whether it ran.
    bool requiresPrimary = false;

    auto operator<=>(const SessionPosition &) const = default;
};

/// What a session has seen of each database that it used. Callers send it with each request, so that instances need no
/// shared session state.
///
///     const auto next = token.withObservedPosition(database, LogPosition{3, 120}, isFromPrimary);
///     reply.token = next.encode();
class SessionToken
{
public:
    /// Maximum number of databases in one session; a request for a further one is refused.
    static constexpr std::size_t maxDatabases = 32;
    static constexpr std::size_t maxBytes = 4096;

    SessionToken() = default;

    /// What the session must see of `database`; nothing if it has not used it.
    std::optional<SessionPosition> position(const DatabaseName &database) const;

    /// False if using `database` would exceed maxDatabases.
    bool hasRoomFor(const DatabaseName &database) const;

    /// The token after an answer at `logPosition`. The position never moves back, and only an answer of the primary clears
    /// requiresPrimary.
    SessionToken withObservedPosition(const DatabaseName &database, const LogPosition &logPosition, bool isFromPrimary) const;

    /// The token after a request that may have run.
    SessionToken withPrimaryRequired(const DatabaseName &database) const;

    /// The token without its position in `database`, for use once the caller was told that this position is lost.
    SessionToken withoutDatabase(const DatabaseName &database) const;

    /// Versioned text form; it is sealed with a MAC before it leaves the instance.
    std::string encode() const;
    /// Returns nothing for text that encode() cannot have produced.
    static std::optional<SessionToken> decode(const std::string &text);

    auto operator<=>(const SessionToken &) const = default;

private:
    std::map<DatabaseName, SessionPosition> m_positions;
};

} // namespace rattanbeam::decisions
