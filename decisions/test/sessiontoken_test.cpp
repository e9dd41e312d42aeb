#include "rattanbeam/decisions/sessiontoken.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace rattanbeam::decisions::test
{

namespace
{
const DatabaseName orders("orders");
}

TEST_CASE("A token survives its text form", "[token]")
{
    rc::prop("for any positions", [](const std::vector<std::pair<std::uint64_t, std::uint64_t>> &positions) {
        SessionToken token;
        for (std::size_t i = 0; i < std::min(positions.size(), SessionToken::maxDatabases); ++i) {
            const DatabaseName database("db-" + std::to_string(i));
            token = token.observed(database, {positions[i].first, positions[i].second}, false);
            token = i % 2 == 0 ? token.doubted(database) : token;
        }
        RC_ASSERT(SessionToken::decode(token.encode()) == token);
    });
}

TEST_CASE("Text that is no token is refused and never crashes", "[token]")
{
    CHECK_FALSE(SessionToken::decode(""));
    CHECK_FALSE(SessionToken::decode("2"));
    CHECK_FALSE(SessionToken::decode("1|orders,1,2"));
    CHECK_FALSE(SessionToken::decode("1|orders,1,-2,r"));
    CHECK_FALSE(SessionToken::decode("1|,1,2,r"));
    CHECK_FALSE(SessionToken::decode(std::string(SessionToken::maxBytes + 1, '1')));
    rc::prop("mutated from a token", [](std::uint8_t at, char character) {
        std::string text = SessionToken().observed(orders, {3, 120}, false).encode();
        text[at % text.size()] = character;
        const auto token = SessionToken::decode(text);
        if (token) {
            RC_ASSERT(token->encode().size() <= SessionToken::maxBytes);
        }
    });
}

TEST_CASE("A session's position never moves back", "[token]")
{
    rc::prop("over any answers", [](const std::vector<std::pair<std::uint8_t, std::uint8_t>> &answers) {
        SessionToken token;
        LogPosition highest;
        for (const auto &[term, position] : answers) {
            token = token.observed(orders, {term, position}, true);
            highest = std::max(highest, LogPosition{term, position});
            RC_ASSERT(token.position(orders)->at == highest);
        }
    });
}

TEST_CASE("After an answer that may have run only the primary clears the doubt", "[token]")
{
    const SessionToken doubted = SessionToken().observed(orders, {1, 5}, true).doubted(orders);
    CHECK(doubted.position(orders)->primaryNext);
    CHECK(doubted.observed(orders, {1, 6}, false).position(orders)->primaryNext);
    CHECK_FALSE(doubted.observed(orders, {1, 6}, true).position(orders)->primaryNext);
    CHECK_FALSE(doubted.forgotten(orders).position(orders));
}

TEST_CASE("A token holds a bounded number of databases", "[token]")
{
    SessionToken token;
    for (std::size_t i = 0; i < SessionToken::maxDatabases; ++i) {
        const DatabaseName database("db-" + std::to_string(i));
        REQUIRE(token.hasRoomFor(database));
        token = token.observed(database, {1, 1}, false);
    }
    CHECK_FALSE(token.hasRoomFor(orders));
    CHECK(token.hasRoomFor(DatabaseName("db-0")));
}

} // namespace rattanbeam::decisions::test
