#pragma once

#include "rattanbeam/decisions/identifiers.h"
#include "rattanbeam/decisions/logposition.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace rattanbeam::decisions
{

/// What a session must see of one database.
struct SessionPosition {
    LogPosition at;
    /// Set after an answer that may have run: the next read goes to the primary, which alone can tell.
    bool primaryNext = false;

    auto operator<=>(const SessionPosition &) const = default;
};

/// What a session has seen, for each database that it touched. The caller carries it, so that instances share nothing.
///
///     const auto next = token.observed(database, LogPosition{3, 120});
///     reply.token = next.encode();
class SessionToken
{
public:
    /// More databases in one session are refused.
    static constexpr std::size_t maxDatabases = 32;
    static constexpr std::size_t maxBytes = 4096;

    SessionToken() = default;

    /// What the session must see of `database`, if it touched it.
    std::optional<SessionPosition> position(const DatabaseName &database) const;

    /// False when touching `database` would exceed maxDatabases.
    bool hasRoomFor(const DatabaseName &database) const;

    /// The token after an answer at `at`. Never moves back, and clears primaryNext only when `byPrimary`.
    SessionToken observed(const DatabaseName &database, const LogPosition &at, bool byPrimary) const;

    /// The token after an answer that may have run.
    SessionToken doubted(const DatabaseName &database) const;

    /// The token after the caller was told that its position is lost: forgets `database`.
    SessionToken forgotten(const DatabaseName &database) const;

    /// Text form, versioned; it is sealed before it leaves the instance.
    std::string encode() const;
    /// Nothing for text that encode() cannot have made.
    static std::optional<SessionToken> decode(const std::string &text);

    auto operator<=>(const SessionToken &) const = default;

private:
    std::map<DatabaseName, SessionPosition> m_positions;
};

} // namespace rattanbeam::decisions
