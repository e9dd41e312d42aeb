#pragma once

#include "rattanbeam/decisions/session/homemessages.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rattanbeam::decisions::session
{

/// Identifies a request that a home has accepted and not yet answered.
using WorkNumber = std::uint64_t;

/// One connection to a member: the session state that the member keeps for it, and its pending commands.
struct MemberConnection {
    ConnectionNumber number = 0;
    /// Only statements of this workspace run on the connection; empty for callers that are not identified.
    WorkspaceName workspace;
    bool isOpen = false;
    SessionValues values;
    /// Bytes of the values.
    std::size_t valueBytes = 0;
    std::set<std::string> preparedNames;
    /// Whether the member may have other values and prepared names than these: it failed a command that sets them, and may have run it.
    bool isStateUnknown = false;
    /// The open transaction to which the connection is reserved.
    std::optional<TransactionKey> pinnedBy;
    /// Commands not yet answered, in order. Only the first may have been sent: a connection carries one command at a time.
    std::deque<MemberCommand> commands;
    /// Whether the first command has been sent.
    bool isAwaitingAnswer = false;
    /// The request whose statement is among the commands, or will be when the connection is open.
    std::optional<WorkNumber> work;
    TimePoint sentAt = distantPast;
    TimePoint idleSince = distantPast;
    /// When the connection opened or was last given a statement; maintenance commands do not count.
    TimePoint usedAt = distantPast;
    TimePoint connectStartedAt = distantPast;
    TimePoint openedAt = distantPast;
    /// Whether the member went silent while it owed an answer on this connection; the answer may still come.
    bool isSilent = false;

    /// Whether the member owes an answer and has not gone silent yet.
    bool isAnswerOwed() const
    {
        return !commands.empty() && !isSilent;
    }
    bool isIdle() const
    {
        return isOpen && !pinnedBy && commands.empty();
    }
};

/// Names under which a home prepares statements at members. Sessions that prepare the same definition share a name. Beyond the limits the
/// definition that got its name first is forgotten; its name is not given again.
class PreparedNames
{
public:
    static constexpr std::size_t maxNames = 4096;
    static constexpr std::size_t maxBytes = 4 << 20;

    std::string nameOf(const std::string &definition);
    std::size_t count() const
    {
        return m_names.size();
    }
    /// Bytes of all definitions.
    std::size_t bytes() const
    {
        return m_bytes;
    }

private:
    std::map<std::string, std::string> m_names;
    /// The definitions in the order in which they got their names.
    std::deque<std::map<std::string, std::string>::iterator> m_order;
    std::size_t m_bytes = 0;
    std::uint64_t m_lastName = 0;
};

/// Statements that a home prepares on one connection; then the connection is reset, so that neither side keeps any number of them.
inline constexpr std::size_t maxPreparedPerConnection = 1024;
/// Bytes of values beyond which a connection at rest is reset: many connections may have served a session with large values.
inline constexpr std::size_t maxIdleValueBytes = 64 << 10;

/// A home's connections to one member.
class MemberConnections
{
public:
    MemberConnection &add(ConnectionNumber number, const WorkspaceName &workspace, TimePoint now);
    void remove(ConnectionNumber number)
    {
        m_connections.erase(number);
    }
    /// The connection, or null if it is unknown.
    MemberConnection *find(ConnectionNumber number);
    /// The idle connection of the workspace that needs the fewest commands to get `values` and `preparedName`; null if none is idle.
    MemberConnection *bestIdle(const WorkspaceName &workspace, const SessionValues &values, const std::string &preparedName);
    /// The idle connection that has been without a statement for the longest time; null if none is idle.
    const MemberConnection *leastRecentlyUsedIdle() const;
    bool hasIdle(const WorkspaceName &workspace) const;
    /// Whether a connection belongs to a workspace.
    bool hasWorkspaces() const;
    std::size_t idleCount() const;
    std::size_t openingCount() const;
    std::size_t pinnedCount() const;
    std::size_t totalCount() const
    {
        return m_connections.size();
    }
    std::map<ConnectionNumber, MemberConnection> &all()
    {
        return m_connections;
    }
    const std::map<ConnectionNumber, MemberConnection> &all() const
    {
        return m_connections;
    }

private:
    std::map<ConnectionNumber, MemberConnection> m_connections;
};

/// The commands that give a connection exactly the session's values and the prepared statement, in the order to send them. An
/// empty `preparedName` stands for none.
std::vector<MemberCommand> preparationCommands(const MemberConnection &connection,
                                               const SessionValues &values,
                                               const std::string &preparedName,
                                               const std::string &definition);

} // namespace rattanbeam::decisions::session
