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

/// Work of a home: a request on its way to a member.
using WorkNumber = std::uint64_t;

/// One connection to a member: what it holds of session state, and the commands that wait for it.
struct MemberConnection {
    ConnectionNumber number = 0;
    bool isOpen = false;
    SessionValues values;
    std::set<std::string> prepared;
    std::optional<TransactionKey> pinnedBy;
    /// Commands not yet answered; the first has been sent if an answer is owed.
    std::deque<MemberCommand> commands;
    bool isAnswerOwed = false;
    std::optional<WorkNumber> work;
    TimePoint sentAt = distantPast;
    TimePoint idleSince = distantPast;
    TimePoint openedAt = distantPast;

    bool isIdle() const
    {
        return isOpen && !pinnedBy && commands.empty();
    }
};

/// Names under which a home prepares statements at members: sessions that prepare the same definition share one.
class PreparedNames
{
public:
    const std::string &nameOf(const std::string &definition);

private:
    std::map<std::string, std::string> m_names;
};

/// The connections of one member.
class MemberConnections
{
public:
    MemberConnection &add(ConnectionNumber number, TimePoint now);
    void remove(ConnectionNumber number)
    {
        m_connections.erase(number);
    }
    MemberConnection *find(ConnectionNumber number);
    /// The idle connection that needs the fewest commands to hold `values` and `preparedName`.
    MemberConnection *bestIdle(const SessionValues &values, const std::string &preparedName);
    std::size_t idle() const;
    std::size_t opening() const;
    std::size_t pinned() const;
    std::size_t total() const
    {
        return m_connections.size();
    }
    std::map<ConnectionNumber, MemberConnection> &all()
    {
        return m_connections;
    }

private:
    std::map<ConnectionNumber, MemberConnection> m_connections;
};

/// Commands that bring a connection to the session's values and prepared statement, in order.
std::vector<MemberCommand> preparationOf(const MemberConnection &connection,
                                         const SessionValues &values,
                                         const std::string &preparedName,
                                         const std::string &definition);

} // namespace rattanbeam::decisions::session
