#include "rattanbeam/decisions/connectionpool.h"

#include <algorithm>

namespace rattanbeam::decisions
{

std::vector<ConnectionId> ConnectionPool::wantOpened(std::size_t waiting, TimePoint now)
{
    std::vector<ConnectionId> ids;
    if (now < m_nextAttempt) {
        return ids;
    }
    std::size_t opening = countIn(State::Opening);
    std::size_t coming = opening + idle();
    // After a failure a single attempt shows whether the member is back.
    const std::size_t atOnce = isFailing() ? 1 : m_limits.openingAtOnce;
    while (coming < waiting && opening < atOnce && total() < m_limits.most) {
        m_connections[++m_lastId] = State::Opening;
        ids.push_back(m_lastId);
        ++opening;
        ++coming;
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
        m_backoff = std::clamp(m_backoff * 2, m_limits.leastBackoff, m_limits.mostBackoff);
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

void ConnectionPool::giveBack(ConnectionId id)
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
