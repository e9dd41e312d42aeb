#include "rattanbeam/decisions/session/clientbudget.h"

#include <algorithm>

namespace rattanbeam::decisions::session
{

namespace
{

constexpr std::size_t smallStatementBytes = 16 << 10;
constexpr std::size_t reserveDivisor = 4; // one in this many bytes is reserved for small statements
constexpr std::size_t fileDescriptors = 200; // listeners, log, event loop, timers and the threads of gRPC
// One in this many descriptors is for members, peers and the store. An instance that is home to two services of the largest known
// deployment opens 400 connections to members and 180 to peers; it has at least 4,200 descriptors.
constexpr std::size_t peerDescriptorsDivisor = 4;
constexpr std::size_t minConnections = 16;
constexpr std::size_t maxReadAheadBytes = 2 << 20;

} // namespace

std::size_t defaultClientBytes(std::size_t memoryBytes)
{
    return memoryBytes / 8 * 3;
}

void deriveLimits(ClientLimits &limits, std::size_t clientBytes, std::size_t descriptors)
{
    // A statement under way exists several times: at the entry, in the stream's buffers, at the home and in the command to the member.
    limits.maxConnectionsBytes = clientBytes / 2;
    limits.maxForwardedBytes = clientBytes / 8;
    limits.maxAcceptedBytes = clientBytes / 8;
    limits.readAheadBytes = std::min(maxReadAheadBytes, clientBytes / 16);
    const std::size_t reserved = fileDescriptors + descriptors / peerDescriptorsDivisor;
    limits.maxConnections = std::max(minConnections, descriptors > reserved ? descriptors - reserved : 0);
}

void ClientBudget::setHeld(ConnectionNumber connection, std::size_t bytes)
{
    const auto found = m_held.find(connection);
    const std::size_t former = found == m_held.end() ? 0 : found->second;
    if (former == bytes) {
        return;
    }
    m_bySize.erase({former, connection});
    m_total += bytes;
    m_total -= former;
    if (bytes == 0) {
        m_held.erase(found);
        return;
    }
    m_held[connection] = bytes;
    m_bySize.emplace(bytes, connection);
}

std::optional<ClientBudget::ConnectionNumber> ClientBudget::connectionToClose() const
{
    if (m_total <= m_maxBytes || m_bySize.empty()) {
        return std::nullopt;
    }
    return m_bySize.rbegin()->second;
}

bool StatementBudget::tryAdd(std::size_t bytes)
{
    const std::size_t limit = bytes <= smallStatementBytes ? m_maxBytes : m_maxBytes - m_maxBytes / reserveDivisor;
    if (m_total > 0 && m_total + bytes > limit) {
        return false;
    }
    m_total += bytes;
    return true;
}

void StatementBudget::release(std::size_t bytes)
{
    m_total -= std::min(bytes, m_total);
}

} // namespace rattanbeam::decisions::session
