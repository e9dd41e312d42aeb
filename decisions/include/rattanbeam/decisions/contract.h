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

/// What a customer may do with one database.
struct DatabaseTerms {
    /// Connections that the customer may hold at each member, in transactions and running statements.
    std::uint32_t connections = 1;
    /// Oldest data that its reads may return.
    std::chrono::milliseconds maxAge{};

    auto operator<=>(const DatabaseTerms &) const = default;
};

/// One customer's contract: every limit of the service follows from it.
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
    const std::map<DatabaseName, DatabaseTerms> &databases() const
    {
        return m_databases;
    }
    /// Percent of a member's time that each rank keeps when others flood it.
    const PerRank<std::uint32_t> &weights() const
    {
        return m_weights;
    }

    auto operator<=>(const Contract &) const = default;

private:
    CustomerId m_customer;
    std::string m_credentialHash;
    std::map<DatabaseName, DatabaseTerms> m_databases;
    PerRank<std::uint32_t> m_weights;
};

/// Makes a Contract step by step.
///
///     const Contract contract = Contract::Builder(CustomerId("tiza")).database(orders, {8, 1s}).weights(70, 20, 10).build();
class Contract::Builder
{
public:
    explicit Builder(CustomerId customer);
    Builder &credentialHash(std::string hash);
    Builder &database(const DatabaseName &name, DatabaseTerms terms);
    Builder &weights(std::uint32_t urgent, std::uint32_t interactive, std::uint32_t batch);
    Contract build() const;

private:
    Contract m_contract;
};

/// Reads and checks the INI form that operators write.
Result<Contract> parseContract(const std::string &text);
/// The INI form; parseContract() of it gives an equal contract.
std::string formatContract(const Contract &contract);

/// True for names that may stand in keys, files and logs: 1 to 64 of [a-z0-9-].
bool isValidName(const std::string &text);

} // namespace rattanbeam::decisions
