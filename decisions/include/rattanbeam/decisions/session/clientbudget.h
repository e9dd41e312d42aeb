#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <utility>

/// Bounds on what an instance holds for its clients.
namespace rattanbeam::decisions::session
{

/// Limits on clients. deriveLimits() sets those on bytes and connections; without it they are absent.
struct ClientLimits {
    static constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

    /// Bytes held for all client connections: messages that are received, queued or under way, values and prepared statements, and
    /// answers that are not sent yet.
    std::size_t maxConnectionsBytes = unlimited;
    /// Bytes held for one connection beyond which nothing more is read from it.
    std::size_t readAheadBytes = unlimited;
    /// Statements read ahead of the one under way.
    std::size_t maxStatementsAhead = 32;
    /// Bytes of the statements that an entry has forwarded, and of those that a home has accepted, until they are answered.
    std::size_t maxForwardedBytes = unlimited;
    std::size_t maxAcceptedBytes = unlimited;
    std::size_t maxConnections = unlimited;
    /// From accepting a connection until its SETUP message is complete.
    std::chrono::milliseconds setupTimeout{10'000};
    /// From the first to the last byte of a message.
    std::chrono::milliseconds messageTimeout{30'000};
    /// Until the client has received an answer.
    std::chrono::milliseconds answerTimeout{60'000};

    auto operator<=>(const ClientLimits &) const = default;
};

/// Bytes of the process that are kept for clients unless the settings say otherwise: three eighths of its memory.
std::size_t defaultClientBytes(std::size_t memoryBytes);
/// Sets the byte limits from the bytes for clients, and the number of connections from the descriptors of the process.
void deriveLimits(ClientLimits &limits, std::size_t clientBytes, std::size_t descriptors);

/// Counts the bytes held for each client connection, and names the connection to close while the total exceeds its bound.
///
///     budget.setHeld(connection, bytes);
///     while (const auto largest = budget.connectionToClose()) { close(*largest); }
class ClientBudget
{
public:
    using ConnectionNumber = std::uint64_t;

    explicit ClientBudget(std::size_t maxBytes) : m_maxBytes(maxBytes)
    {}

    void setHeld(ConnectionNumber connection, std::size_t bytes);
    void remove(ConnectionNumber connection)
    {
        setHeld(connection, 0);
    }
    /// The connection with the most bytes if the total exceeds the bound. Ordinary clients hold little, so that they are not closed
    /// while others hold more.
    std::optional<ConnectionNumber> connectionToClose() const;
    /// Whether more than half of the bound is used.
    bool isUnderPressure() const
    {
        return m_total > m_maxBytes / 2;
    }
    std::size_t total() const
    {
        return m_total;
    }

private:
    std::size_t m_maxBytes;
    std::size_t m_total = 0;
    std::map<ConnectionNumber, std::size_t> m_held;
    /// The connections by their bytes.
    std::set<std::pair<std::size_t, ConnectionNumber>> m_bySize;
};

/// Admits statements while the bytes of all admitted ones are within a bound. A part of it is reserved for small statements. One
/// statement is always admitted, whatever its size.
class StatementBudget
{
public:
    explicit StatementBudget(std::size_t maxBytes) : m_maxBytes(maxBytes)
    {}

    /// Returns false if there is no room; release() must then not be called.
    bool tryAdd(std::size_t bytes);
    void release(std::size_t bytes);
    std::size_t total() const
    {
        return m_total;
    }

private:
    std::size_t m_maxBytes;
    std::size_t m_total = 0;
};

} // namespace rattanbeam::decisions::session
