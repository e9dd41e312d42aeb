#include "rattanbeam/decisions/session/memberconnections.h"

#include <algorithm>

namespace rattanbeam::decisions::session
{

namespace
{

/// A single value cannot be unset: it can only be changed, or reset together with all others.
bool needsReset(const MemberConnection &connection, const SessionValues &values)
{
    return std::any_of(connection.values.begin(), connection.values.end(), [&](const auto &current) {
        return !values.contains(current.first);
    });
}

MemberCommand statementCommand(StatementKind kind, const std::string &name, const std::string &arguments)
{
    MemberCommand command;
    command.statement.kind = kind;
    command.statement.name = name;
    command.statement.arguments = arguments;
    return command;
}

} // namespace

std::string_view connectFailureName(ConnectFailure failure)
{
    switch (failure) {
    case ConnectFailure::Refused:
        return "refused";
    case ConnectFailure::TimedOut:
        return "timed-out";
    case ConnectFailure::WrongMember:
        return "wrong-member";
    case ConnectFailure::Overloaded:
        return "overloaded";
    case ConnectFailure::Lost:
        return "lost";
    }
    return "unknown";
}

std::string PreparedNames::nameOf(const std::string &definition)
{
    const auto found = m_names.find(definition);
    if (found != m_names.end()) {
        return found->second;
    }
    while (!m_names.empty() && (m_names.size() >= maxNames || m_bytes + definition.size() > maxBytes)) {
        m_bytes -= m_order.front()->first.size();
        m_names.erase(m_order.front());
        m_order.pop_front();
    }
    const auto added = m_names.emplace(definition, "p" + std::to_string(++m_lastName)).first;
    m_order.push_back(added);
    m_bytes += definition.size();
    return added->second;
}

MemberConnection &MemberConnections::add(ConnectionNumber number, const WorkspaceName &workspace, TimePoint now)
{
    MemberConnection &connection = m_connections[number];
    connection.number = number;
    connection.workspace = workspace;
    connection.connectStartedAt = now;
    return connection;
}

MemberConnection *MemberConnections::find(ConnectionNumber number)
{
    const auto found = m_connections.find(number);
    return found == m_connections.end() ? nullptr : &found->second;
}

MemberConnection *MemberConnections::bestIdle(const WorkspaceName &workspace, const SessionValues &values, const std::string &preparedName)
{
    MemberConnection *best = nullptr;
    std::size_t minCommandCount = 0;
    for (auto &[number, connection] : m_connections) {
        if (!connection.isIdle() || connection.workspace != workspace) {
            continue;
        }
        const std::size_t commandCount = preparationCommands(connection, values, preparedName, preparedName).size();
        if (best == nullptr || commandCount < minCommandCount) {
            best = &connection;
            minCommandCount = commandCount;
        }
    }
    return best;
}

const MemberConnection *MemberConnections::leastRecentlyUsedIdle() const
{
    const MemberConnection *oldest = nullptr;
    for (const auto &[number, connection] : m_connections) {
        if (connection.isIdle() && (oldest == nullptr || connection.usedAt < oldest->usedAt)) {
            oldest = &connection;
        }
    }
    return oldest;
}

bool MemberConnections::hasIdle(const WorkspaceName &workspace) const
{
    return std::any_of(m_connections.begin(), m_connections.end(), [&](const auto &entry) {
        return entry.second.isIdle() && entry.second.workspace == workspace;
    });
}

bool MemberConnections::hasWorkspaces() const
{
    return std::any_of(m_connections.begin(), m_connections.end(), [](const auto &entry) {
        return !entry.second.workspace.isEmpty();
    });
}

std::size_t MemberConnections::idleCount() const
{
    return static_cast<std::size_t>(std::count_if(m_connections.begin(), m_connections.end(), [](const auto &entry) {
        return entry.second.isIdle();
    }));
}

std::size_t MemberConnections::openingCount() const
{
    return static_cast<std::size_t>(std::count_if(m_connections.begin(), m_connections.end(), [](const auto &entry) {
        return !entry.second.isOpen;
    }));
}

std::size_t MemberConnections::pinnedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_connections.begin(), m_connections.end(), [](const auto &entry) {
        return entry.second.pinnedBy.has_value();
    }));
}

std::vector<MemberCommand> preparationCommands(const MemberConnection &connection,
                                               const SessionValues &values,
                                               const std::string &preparedName,
                                               const std::string &definition)
{
    std::vector<MemberCommand> commands;
    const bool isNewName = !preparedName.empty() && !connection.preparedNames.contains(preparedName);
    // A reset would end an open transaction.
    const bool isFull = isNewName && !connection.pinnedBy && connection.preparedNames.size() >= maxPreparedPerConnection;
    const bool isReset = connection.isStateUnknown || needsReset(connection, values) || isFull;
    if (isReset) {
        MemberCommand reset;
        reset.kind = CommandKind::Reset;
        commands.push_back(reset);
    }
    for (const auto &[name, value] : values) {
        const auto current = connection.values.find(name);
        if (isReset || current == connection.values.end() || current->second != value) {
            commands.push_back(statementCommand(StatementKind::SetValue, name, value));
        }
    }
    if (!preparedName.empty() && (isReset || isNewName)) {
        commands.push_back(statementCommand(StatementKind::Prepare, preparedName, definition));
    }
    return commands;
}

} // namespace rattanbeam::decisions::session
