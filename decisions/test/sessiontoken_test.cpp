#include "rattanbeam/decisions/sessiontoken.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace rattanbeam::decisions::test
{

namespace
{
const DatabaseName orders("orders");
}

TEST_CASE("An encoded token decodes to an equal token", "[token]")
{
    rc::prop("for any positions", [](const std::vector<std::pair<std::uint64_t, std::uint64_t>> &positions) {
        SessionToken token;
        for (std::size_t i = 0; i < std::min(positions.size(), SessionToken::maxDatabases); ++i) {
            const DatabaseName database("db-" + std::to_string(i));
            token = token.withObservedPosition(database, {positions[i].first, positions[i].second}, false);
            token = i % 2 == 0 ? token.withPrimaryRequired(database) : token;
        }
        RC_ASSERT(SessionToken::decode(token.encode()) == token);
    });
}

TEST_CASE("Text that is not a valid token is refused and never crashes the decoder", "[token]")
{
    CHECK_FALSE(SessionToken::decode(""));
    CHECK_FALSE(SessionToken::decode("2"));
    CHECK_FALSE(SessionToken::decode("1|orders,1,2"));
    CHECK_FALSE(SessionToken::decode("1|orders,1,-2,r"));
    CHECK_FALSE(SessionToken::decode("1|,1,2,r"));
    CHECK_FALSE(SessionToken::decode(std::string(SessionToken::maxBytes + 1, '1')));
    rc::prop("for a token with one changed character", [](std::uint8_t offset, char character) {
        std::string text = SessionToken().withObservedPosition(orders, {3, 120}, false).encode();
        text[offset % text.size()] = character;
        const auto token = SessionToken::decode(text);
        if (token) {
            RC_ASSERT(token->encode().size() <= SessionToken::maxBytes);
        }
    });
}

TEST_CASE("A session's position never moves back", "[token]")
{
    rc::prop("for answers in any order", [](const std::vector<std::pair<std::uint8_t, std::uint8_t>> &answers) {
        SessionToken token;
        LogPosition highest;
        for (const auto &[term, position] : answers) {
            token = token.withObservedPosition(orders, {term, position}, true);
            highest = std::max(highest, LogPosition{term, position});
            RC_ASSERT(token.position(orders)->logPosition == highest);
        }
    });
}

TEST_CASE("After a request that may have run, reads require the primary until it has answered", "[token]")
{
    const SessionToken afterUncertainAnswer = SessionToken().withObservedPosition(orders, {1, 5}, true).withPrimaryRequired(orders);
    CHECK(afterUncertainAnswer.position(orders)->requiresPrimary);
    CHECK(afterUncertainAnswer.withObservedPosition(orders, {1, 6}, false).position(orders)->requiresPrimary);
    CHECK_FALSE(afterUncertainAnswer.withObservedPosition(orders, {1, 6}, true).position(orders)->requiresPrimary);
    CHECK_FALSE(afterUncertainAnswer.withoutDatabase(orders).position(orders));
}

TEST_CASE("A token holds at most maxDatabases databases", "[token]")
{
    SessionToken token;
    for (std::size_t i = 0; i < SessionToken::maxDatabases; ++i) {
        const DatabaseName database("db-" + std::to_string(i));
        REQUIRE(token.hasRoomFor(database));
        token = token.withObservedPosition(database, {1, 1}, false);
    }
    CHECK_FALSE(token.hasRoomFor(orders));
    CHECK(token.hasRoomFor(DatabaseName("db-0")));
}

} // namespace rattanbeam::decisions::test
