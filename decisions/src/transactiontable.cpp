#include "rattanbeam/decisions/transactiontable.h"

#include <algorithm>

namespace rattanbeam::decisions
{

TransactionId TransactionTable::open(const CustomerId &customer, ConnectionId connection, TimePoint idleDeadline)
{
    const TransactionId id = ++m_lastId;
    m_transactions[id] = {customer, connection, false, false, idleDeadline};
    return id;
}

OpenTransaction *TransactionTable::find(TransactionId id, const CustomerId &customer)
{
    const auto found = m_transactions.find(id);
    if (found == m_transactions.end() || found->second.customer != customer) {
        return nullptr;
    }
    return &found->second;
}

std::optional<CustomerId> TransactionTable::markLostOn(ConnectionId connection)
{
    const auto found = std::find_if(m_transactions.begin(), m_transactions.end(), [connection](const auto &each) {
        return each.second.connection == connection && !each.second.isLost;
    });
    if (found == m_transactions.end()) {
        return std::nullopt;
    }
    found->second.isLost = true;
    found->second.connection = 0;
    const CustomerId customer = found->second.customer;
    forgetOldestLostBeyondLimit();
    return customer;
}

void TransactionTable::close(TransactionId id)
{
    m_transactions.erase(id);
}

std::vector<ConnectionId> TransactionTable::idleExpired(TimePoint now) const
{
    std::vector<ConnectionId> connections;
    for (const auto &[id, transaction] : m_transactions) {
        if (!transaction.isBusy && !transaction.isLost && transaction.idleDeadline <= now) {
            connections.push_back(transaction.connection);
        }
    }
    return connections;
}

std::size_t TransactionTable::openCount() const
{
    return static_cast<std::size_t>(std::count_if(m_transactions.begin(), m_transactions.end(), [](const auto &each) {
        return !each.second.isLost;
    }));
}

void TransactionTable::forgetOldestLostBeyondLimit()
{
    if (m_transactions.size() - openCount() <= maxLost) {
        return;
    }
    const auto oldest = std::find_if(m_transactions.begin(), m_transactions.end(), [](const auto &each) {
        return each.second.isLost && !each.second.isBusy;
    });
    if (oldest != m_transactions.end()) {
        m_transactions.erase(oldest);
    }
}

} // namespace rattanbeam::decisions
