#pragma once

#include "rattanbeam/decisions/timepoint.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace rattanbeam::decisions
{

using ConnectionId = std::uint64_t;

/// The connections that a home holds to one member. A connection serves one request or transaction at a time; one whose
/// state is in doubt is discarded and never used again.
///
///     for (ConnectionId id : pool.connectionsToOpen(waiting, now)) { open(id); }
///     if (const ConnectionId id = pool.take()) { ... pool.release(id); }
class ConnectionPool
{
public:
    struct Limits {
        std::size_t maxConnections = 1;
        /// Maximum number of connections being opened at once, so that a recovering member gets no burst of them.
        std::size_t maxOpening = 4;
        /// Delay before the next attempt after the first failure; it doubles with each further one.
        Duration minBackoff = std::chrono::milliseconds(20);
        Duration maxBackoff = std::chrono::seconds(1);

        auto operator<=>(const Limits &) const = default;
    };

    explicit ConnectionPool(const Limits &limits) : m_limits(limits)
    {}
    void setMaxConnections(std::size_t maxConnections)
    {
        m_limits.maxConnections = maxConnections;
    }

    /// Returns new connections to be opened now for `waiting` statements that need one, and counts them as being opened.
    std::vector<ConnectionId> connectionsToOpen(std::size_t waiting, TimePoint now);
    void opened(ConnectionId id);
    /// The member refused the connection or was unreachable. Further attempts back off exponentially.
    void openFailed(ConnectionId id, TimePoint now);

    /// Returns an idle connection for exclusive use; 0 when there is none.
    ConnectionId take();
    /// The request on the connection was answered and no transaction is open: the connection is idle again.
    void release(ConnectionId id);
    /// Removes a connection that was closed or whose state is in doubt.
    void discard(ConnectionId id);

    /// Removes idle connections until `keep` connections are left, and returns them to be closed. Used when a home moves to
    /// another instance.
    std::vector<ConnectionId> takeIdleBeyond(std::size_t keep);

    std::size_t idle() const;
    std::size_t total() const
    {
        return m_connections.size();
    }
    /// Whether the latest attempt to open a connection failed.
    bool isFailing() const
    {
        return m_backoff > Duration::zero();
    }

private:
    enum class State {
        Opening,
        Idle,
        Taken,
    };
    std::size_t countIn(State state) const;

    Limits m_limits;
    std::map<ConnectionId, State> m_connections;
    ConnectionId m_lastId = 0;
    Duration m_backoff{};
    TimePoint m_nextAttempt;
};

} // namespace rattanbeam::decisions
