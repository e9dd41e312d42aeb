#pragma once

#include "rattanbeam/decisions/connectionpool.h"
#include "rattanbeam/decisions/identifiers.h"
#include "rattanbeam/decisions/timepoint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace rattanbeam::decisions
{

/// Number that a home gives to a transaction; 0 is none.
using TransactionId = std::uint64_t;

/// One open transaction: it has a connection to itself.
struct OpenTransaction {
    CustomerId customer;
    ConnectionId connection = 0;
    /// A step is queued or running.
    bool isBusy = false;
    /// The connection was lost or its state is in doubt; only a rollback is left to the caller.
    bool isBroken = false;
    /// When it is rolled back for want of a next step.
    TimePoint idleDeadline;

    auto operator<=>(const OpenTransaction &) const = default;
};

/// The open transactions at one member, bounded by the member's connections.
///
///     const TransactionId id = table.open(customer, connection, now + idleLimit);
///     if (OpenTransaction *transaction = table.find(id, customer)) { ... }
class TransactionTable
{
public:
    /// Broken transactions are remembered up to this many, so that their callers get a clear answer.
    static constexpr std::size_t maxBroken = 1024;

    /// `seed` keeps numbers of different incarnations apart.
    explicit TransactionTable(TransactionId seed) : m_lastId(seed)
    {}

    TransactionId open(const CustomerId &customer, ConnectionId connection, TimePoint idleDeadline);
    /// Null when unknown, or another customer's.
    OpenTransaction *find(TransactionId id, const CustomerId &customer);
    /// The connection is gone: its transaction, if any, is broken. Returns whose it was.
    std::optional<CustomerId> breakOnConnection(ConnectionId connection);
    void close(TransactionId id);
    /// Connections of idle transactions whose deadline has passed.
    std::vector<ConnectionId> expired(TimePoint now) const;
    /// How many transactions hold a connection.
    std::size_t holding() const;

private:
    void forgetBrokenBeyondLimit();

    TransactionId m_lastId;
    std::map<TransactionId, OpenTransaction> m_transactions;
};

} // namespace rattanbeam::decisions
