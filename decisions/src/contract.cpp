#include "rattanbeam/decisions/contract.h"

#include "rattanbeam/decisions/inireader.h"

#include <algorithm>
#include <utility>

namespace rattanbeam::decisions
{

namespace
{

constexpr std::size_t maxNameLength = 64;
constexpr std::size_t sha256HexLength = 64;
constexpr std::int64_t maxConnections = 10'000;
constexpr std::int64_t minMaxAgeMs = 500; // probes of the primary cannot prove that data is more recent
constexpr std::int64_t maxMaxAgeMs = 24LL * 60 * 60 * 1000;

bool isSha256Hex(const std::string &text)
{
    return text.size() == sha256HexLength && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

void readDatabases(IniReader &reader, Contract::Builder &builder)
{
    const auto names = reader.namedSections("database");
    if (names.empty()) {
        reader.fail("database NAME", "", "a contract needs at least one such section");
    }
    for (const std::string &name : names) {
        const std::string section = "database " + name;
        if (!isValidName(name)) {
            reader.fail(section, "", "'" + name + "' is not a name of 1 to 64 letters a-z, digits and hyphens");
        }
        DatabaseLimits limits;
        limits.connections = static_cast<std::uint32_t>(reader.requiredInteger(section, "connections", {1, maxConnections}));
        limits.maxAge = reader.duration(section, "max-age", {minMaxAgeMs, maxMaxAgeMs}, std::chrono::milliseconds(minMaxAgeMs));
        builder.database(DatabaseName(name), limits);
    }
}

void readWeights(IniReader &reader, Contract::Builder &builder)
{
    const IniReader::Range percentRange{1, 98};
    const auto urgent = static_cast<std::uint32_t>(reader.requiredInteger("ranks", "urgent", percentRange));
    const auto interactive = static_cast<std::uint32_t>(reader.requiredInteger("ranks", "interactive", percentRange));
    const auto batch = static_cast<std::uint32_t>(reader.requiredInteger("ranks", "batch", percentRange));
    constexpr std::uint32_t totalPercent = 100;
    if (urgent + interactive + batch != totalPercent) {
        reader.fail("ranks", "", "urgent, interactive and batch must add up to 100");
    }
    builder.weights(urgent, interactive, batch);
}

} // namespace

Contract::Builder::Builder(CustomerId customer)
{
    m_contract.m_customer = std::move(customer);
}

Contract::Builder &Contract::Builder::credentialHash(std::string hash)
{
    m_contract.m_credentialHash = std::move(hash);
    return *this;
}

Contract::Builder &Contract::Builder::database(const DatabaseName &name, DatabaseLimits limits)
{
    m_contract.m_databases[name] = limits;
    return *this;
}

Contract::Builder &Contract::Builder::weights(std::uint32_t urgent, std::uint32_t interactive, std::uint32_t batch)
{
    m_contract.m_weights[Rank::Urgent] = urgent;
    m_contract.m_weights[Rank::Interactive] = interactive;
    m_contract.m_weights[Rank::Batch] = batch;
    return *this;
}

Contract Contract::Builder::build() const
{
    return m_contract;
}

bool isValidName(const std::string &text)
{
    return !text.empty() && text.size() <= maxNameLength
           && text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") == std::string::npos;
}

Result<Contract> parseContract(const std::string &text)
{
    IniReader reader(text);
    const std::string customer = reader.requiredText("contract", "customer");
    if (!customer.empty() && !isValidName(customer)) {
        reader.fail("contract", "customer", "is not a name of 1 to 64 letters a-z, digits and hyphens");
    }
    const std::string hash = reader.requiredText("contract", "credential-sha256");
    if (!hash.empty() && !isSha256Hex(hash)) {
        reader.fail("contract", "credential-sha256", "must be 64 lower-case hexadecimal digits");
    }
    Contract::Builder builder{CustomerId(customer)};
    builder.credentialHash(hash);
    readDatabases(reader, builder);
    readWeights(reader, builder);
    if (const auto error = reader.finish()) {
        return *error;
    }
    return builder.build();
}

std::string formatContract(const Contract &contract)
{
    std::string text = "[contract]\ncustomer=" + contract.customer().text() + "\ncredential-sha256=" + contract.credentialHash() + "\n";
    for (const auto &[database, limits] : contract.databases()) {
        text += "\n[database " + database.text() + "]\nconnections=" + std::to_string(limits.connections) + "\n";
        text += "max-age=" + std::to_string(limits.maxAge.count()) + "ms\n";
    }
    text += "\n[ranks]\n";
    for (const Rank rank : allRanks) {
        text += std::string(rankName(rank)) + "=" + std::to_string(contract.weights()[rank]) + "\n";
    }
    return text;
}

} // namespace rattanbeam::decisions
