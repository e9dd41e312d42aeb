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

/// Number that a home gives to a transaction; 0 means none.
using TransactionId = std::uint64_t;

/// One open transaction. It has exclusive use of a connection until that is lost.
struct OpenTransaction {
    CustomerId customer;
    ConnectionId connection = 0;
    /// A step is queued or running.
    bool isBusy = false;
    /// The connection was lost or its state is in doubt: the transaction can only be rolled back.
    bool isLost = false;
    /// Time at which it is rolled back if no further step has arrived.
    TimePoint idleDeadline;

    auto operator<=>(const OpenTransaction &) const = default;
};

/// The open transactions at one member; their number is bounded by the member's connections.
///
///     const TransactionId id = table.open(customer, connection, now + idleLimit);
///     if (OpenTransaction *transaction = table.find(id, customer)) { ... }
class TransactionTable
{
public:
    /// Maximum number of lost transactions that are remembered, so that their callers get a clear error.
    static constexpr std::size_t maxLost = 1024;

    /// Ids count up from `seed`, which keeps the ids of different incarnations apart.
    explicit TransactionTable(TransactionId seed) : m_lastId(seed)
    {}

    TransactionId open(const CustomerId &customer, ConnectionId connection, TimePoint idleDeadline);
    /// Null when the transaction is unknown or belongs to another customer.
    OpenTransaction *find(TransactionId id, const CustomerId &customer);
    /// Marks the transaction on a lost connection as lost. Returns its customer, or nothing when there was no transaction.
    std::optional<CustomerId> markLostOn(ConnectionId connection);
    void close(TransactionId id);
    /// Connections of idle transactions that are past their idle deadline.
    std::vector<ConnectionId> idleExpired(TimePoint now) const;
    /// Number of transactions that hold a connection, thus not the lost ones.
    std::size_t openCount() const;

private:
    void forgetOldestLostBeyondLimit();

    TransactionId m_lastId;
    std::map<TransactionId, OpenTransaction> m_transactions;
};

} // namespace rattanbeam::decisions
