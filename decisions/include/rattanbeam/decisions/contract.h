#pragma once

#include "rattanbeam/decisions/identifiers.h"
#include "rattanbeam/decisions/rank.h"
#include "rattanbeam/decisions/result.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace rattanbeam::decisions
{

/// Limits on a customer's use of one database.
struct DatabaseLimits {
    /// Maximum number of connections that the customer's transactions and running statements may hold at each member.
    std::uint32_t connections = 1;
    /// Maximum age of the data that its reads may return.
    std::chrono::milliseconds maxAge{};

    auto operator<=>(const DatabaseLimits &) const = default;
};

/// One customer's contract, from which all limits of the service for this customer follow.
///
///     const auto contract = parseContract(iniText);
///     if (contract && contract->databases().contains(database)) { ... }
class Contract
{
public:
    class Builder;

    const CustomerId &customer() const
    {
        return m_customer;
    }
    /// Lower-case hexadecimal SHA-256 of the customer's credential.
    const std::string &credentialHash() const
    {
        return m_credentialHash;
    }
    const std::map<DatabaseName, DatabaseLimits> &databases() const
    {
        return m_databases;
    }
    /// Percentage of a member's time that each rank is guaranteed while other ranks overload the member.
    const PerRank<std::uint32_t> &weights() const
    {
        return m_weights;
    }

    auto operator<=>(const Contract &) const = default;

private:
    CustomerId m_customer;
    std::string m_credentialHash;
    std::map<DatabaseName, DatabaseLimits> m_databases;
    PerRank<std::uint32_t> m_weights;
};

/// Builds a Contract step by step.
///
///     const Contract contract = Contract::Builder(CustomerId("tiza")).database(orders, {8, 1s}).weights(70, 20, 10).build();
class Contract::Builder
{
public:
    explicit Builder(CustomerId customer);
    Builder &credentialHash(std::string hash);
    Builder &database(const DatabaseName &name, DatabaseLimits limits);
    Builder &weights(std::uint32_t urgent, std::uint32_t interactive, std::uint32_t batch);
    Contract build() const;

private:
    Contract m_contract;
};

/// Parses and validates the INI text that operators write.
Result<Contract> parseContract(const std::string &text);
/// Writes the INI text that parseContract() turns back into an equal contract.
std::string formatContract(const Contract &contract);

/// True for names that are safe in keys, file names and logs: 1 to 64 characters of [a-z0-9-].
bool isValidName(const std::string &text);

} // namespace rattanbeam::decisions
