#include "rattanbeam/decisions/contract.h"

#include "rattanbeam/decisions/databasegroup.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace rattanbeam::decisions::test
{

namespace
{

using namespace std::chrono_literals;

const std::string hash(64, 'a');

Contract makeContract()
{
    return Contract::Builder(CustomerId("tiza"))
        .credentialHash(hash)
        .database(DatabaseName("orders"), {8, 1500ms})
        .database(DatabaseName("stock"), {4, 10s})
        .weights(70, 20, 10)
        .build();
}

std::string errorOf(const std::string &text)
{
    const auto contract = parseContract(text);
    return contract ? "none" : contract.error().text("tiza.ini");
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_CASE("A contract formatted as INI text parses to an equal contract", "[contract]")
{
    const Contract contract = makeContract();
    const auto parsed = parseContract(formatContract(contract));
    REQUIRE(parsed);
    CHECK(*parsed == contract);
}

TEST_CASE("An error in a contract names the file, section and key", "[contract]")
{
    const std::string text = formatContract(makeContract());
    CHECK(errorOf(replaced(text, "urgent=70", "urgent=71")) == "tiza.ini: [ranks] urgent, interactive and batch must add up to 100");
    CHECK(errorOf(replaced(text, "urgent=70", "urgent=x")) == "tiza.ini: [ranks] urgent: 'x' is not a whole number");
    CHECK(errorOf(replaced(text, "1500ms", "1500"))
          == "tiza.ini: [database orders] max-age: '1500' is not a time: write a whole number and ms, s or min");
    CHECK(errorOf(replaced(text, "1500ms", "3ms")) == "tiza.ini: [database orders] max-age: must be 500ms to 86400000ms");
    CHECK(errorOf(replaced(text, "connections=8", "conections=8")) == "tiza.ini: [database orders] connections: is missing");
    CHECK(errorOf(replaced(text, "customer=tiza", "customer=Tiza Alegre")).find("[contract] customer: is not a name") != std::string::npos);
    CHECK(errorOf("[contract\n").find("line 1") != std::string::npos);
    CHECK(errorOf(text + "\n[extra]\nkey=1\n") == "tiza.ini: [extra] key: is not a known key");
}

TEST_CASE("A contract with corrupted bytes is parsed or refused with a message, and never crashes the parser", "[contract]")
{
    rc::prop("for any changed bytes", [](const std::vector<std::pair<std::uint16_t, std::uint8_t>> &changes) {
        std::string text = formatContract(makeContract());
        for (const auto &[offset, byte] : changes) {
            text[offset % text.size()] = static_cast<char>(byte);
        }
        const auto contract = parseContract(text);
        if (contract) {
            RC_ASSERT(parseContract(formatContract(*contract)));
        } else {
            RC_ASSERT(!contract.error().message.empty());
        }
    });
}

TEST_CASE("A database group formatted as INI text parses to an equal group, and errors name the section and key", "[group]")
{
    DatabaseGroup group;
    group.database = DatabaseName("orders");
    group.term = 4;
    group.slots = 2;
    group.connections = 16;
    group.primary = MemberId("orders-b");
    group.attempt = AttemptId("entry-a1-17-2");
    for (const char *domain : {"a", "b", "c"}) {
        group.members[MemberId(std::string("orders-") + domain)] = {FailureDomain(domain), "127.0.0.1:4000"};
    }
    const std::string text = formatDatabaseGroup(group);
    REQUIRE(parseDatabaseGroup(text));
    CHECK(*parseDatabaseGroup(text) == group);
    CHECK(group.majority() == 2);
    const auto invalid = parseDatabaseGroup(replaced(text, "primary=orders-b", "primary=orders-x"));
    REQUIRE_FALSE(invalid);
    CHECK(invalid.error().text("g") == "g: [group] primary: 'orders-x' is not a member");
}

} // namespace rattanbeam::decisions::test
