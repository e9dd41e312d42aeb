#include "rattanbeam/decisions/connectionpool.h"

#include <algorithm>

namespace rattanbeam::decisions
{

std::vector<ConnectionId> ConnectionPool::connectionsToOpen(std::size_t waiting, TimePoint now)
{
    std::vector<ConnectionId> ids;
    if (now < m_nextAttempt) {
        return ids;
    }
    std::size_t opening = countIn(State::Opening);
    std::size_t availableSoon = opening + idle();
    // After a failure one attempt at a time is enough to see whether the member accepts connections again.
    const std::size_t openingLimit = isFailing() ? 1 : m_limits.maxOpening;
    while (availableSoon < waiting && opening < openingLimit && total() < m_limits.maxConnections) {
        m_connections[++m_lastId] = State::Opening;
        ids.push_back(m_lastId);
        ++opening;
        ++availableSoon;
    }
    return ids;
}

void ConnectionPool::opened(ConnectionId id)
{
    const auto found = m_connections.find(id);
    if (found != m_connections.end()) {
        found->second = State::Idle;
        m_backoff = Duration::zero();
    }
}

void ConnectionPool::openFailed(ConnectionId id, TimePoint now)
{
    if (m_connections.erase(id) > 0) {
        m_backoff = std::clamp(m_backoff * 2, m_limits.minBackoff, m_limits.maxBackoff);
        m_nextAttempt = now + m_backoff;
    }
}

ConnectionId ConnectionPool::take()
{
    for (auto &[id, state] : m_connections) {
        if (state == State::Idle) {
            state = State::Taken;
            return id;
        }
    }
    return 0;
}

void ConnectionPool::release(ConnectionId id)
{
    const auto found = m_connections.find(id);
    if (found != m_connections.end() && found->second == State::Taken) {
        found->second = State::Idle;
    }
}

void ConnectionPool::discard(ConnectionId id)
{
    m_connections.erase(id);
}

std::vector<ConnectionId> ConnectionPool::takeIdleBeyond(std::size_t keep)
{
    std::vector<ConnectionId> ids;
    for (const auto &[id, state] : m_connections) {
        if (state == State::Idle && total() - ids.size() > keep) {
            ids.push_back(id);
        }
    }
    for (const ConnectionId id : ids) {
        m_connections.erase(id);
    }
    return ids;
}

std::size_t ConnectionPool::idle() const
{
    return countIn(State::Idle);
}

std::size_t ConnectionPool::countIn(State state) const
{
    return static_cast<std::size_t>(std::count_if(m_connections.begin(), m_connections.end(), [state](const auto &each) {
        return each.second == state;
    }));
}

} // namespace rattanbeam::decisions
