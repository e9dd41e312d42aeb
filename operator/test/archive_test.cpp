#include "rattanbeam/operatorclient/archive.h"

#include "rattanbeam/decisions/contract.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace rattanbeam::operatorclient::test
{

namespace
{

using namespace std::chrono_literals;

decisions::ConfigObject contractObject(const std::string &customer)
{
    const auto contract = decisions::Contract::Builder(decisions::CustomerId(customer))
                              .credentialHash(std::string(64, 'a'))
                              .database(decisions::DatabaseName("orders"), {8, 1500ms})
                              .weights(70, 20, 10)
                              .build();
    return {"contract/" + customer, decisions::formatContract(contract), 0, false};
}

} // namespace

TEST_CASE("An exported service reads back equal", "[archive]")
{
    const std::vector<decisions::ConfigObject> objects{contractObject("rota"), contractObject("tiza")};
    const auto read = parseArchive(formatArchive(objects));
    REQUIRE(read);
    CHECK(*read == objects);
}

TEST_CASE("A damaged archive is refused with its place, and never crashes", "[archive]")
{
    const auto twice = parseArchive(formatArchive({contractObject("tiza"), contractObject("tiza")}));
    REQUIRE_FALSE(twice);
    CHECK(twice.error().text("f").find("contract/tiza") != std::string::npos);
    CHECK_FALSE(parseArchive("hello"));
    CHECK_FALSE(parseArchive("### object other/thing\n"));
    rc::prop("for any changed bytes", [](const std::vector<std::pair<std::uint16_t, std::uint8_t>> &changes) {
        std::string text = formatArchive({contractObject("tiza")});
        for (const auto &[at, byte] : changes) {
            text[at % text.size()] = static_cast<char>(byte);
        }
        const auto read = parseArchive(text);
        if (!read) {
            RC_ASSERT(!read.error().message.empty());
        }
    });
}

TEST_CASE("A diff shows what goes and what comes", "[archive]")
{
    CHECK(diffLines("a\nb\nc\n", "a\nx\nc\n") == "- b\n+ x\n");
    CHECK(diffLines("a\n", "a\n").empty());
}

} // namespace rattanbeam::operatorclient::test
