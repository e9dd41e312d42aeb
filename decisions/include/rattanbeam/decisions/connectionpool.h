#pragma once

#include "rattanbeam/decisions/timepoint.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace rattanbeam::decisions
{

using ConnectionId = std::uint64_t;

/// The connections that a home holds to one member. A connection serves one request at a time; one whose state is in
/// doubt is discarded and never used again.
///
///     for (ConnectionId id : pool.wantOpened(waiting, now)) { open(id); }
///     if (const auto id = pool.take()) { ... pool.giveBack(*id); }
class ConnectionPool
{
public:
    struct Limits {
        std::size_t most = 1;
        /// New connections under way at once, so that a recovering member meets no burst.
        std::size_t openingAtOnce = 4;
        Duration leastBackoff = std::chrono::milliseconds(20);
        Duration mostBackoff = std::chrono::seconds(1);

        auto operator<=>(const Limits &) const = default;
    };

    explicit ConnectionPool(const Limits &limits) : m_limits(limits)
    {}
    void setMost(std::size_t most)
    {
        m_limits.most = most;
    }

    /// Connections to open now, given that many statements wait without one.
    std::vector<ConnectionId> wantOpened(std::size_t waiting, TimePoint now);
    void opened(ConnectionId id);
    /// The member refused or could not be reached: opening backs off exponentially.
    void openFailed(ConnectionId id, TimePoint now);

    /// Takes an idle connection; 0 when there is none.
    ConnectionId take();
    /// The connection's request is answered and nothing is open on it.
    void giveBack(ConnectionId id);
    /// The connection closed, or its state is in doubt.
    void discard(ConnectionId id);

    /// Idle connections beyond `keep`, to be closed when a home moves away.
    std::vector<ConnectionId> takeIdleBeyond(std::size_t keep);

    std::size_t idle() const;
    std::size_t total() const
    {
        return m_connections.size();
    }
    /// True while the latest attempts to open have failed.
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
