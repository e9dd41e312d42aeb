#include "rattanbeam/proxy/internal/tokensealer.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace rattanbeam::proxy::internal::test
{

namespace
{

const std::string oldKey(64, '1');
const std::string newKey(64, '2');
const decisions::SessionToken token = decisions::SessionToken().withObservedPosition(decisions::DatabaseName("orders"), {3, 120}, true);

} // namespace

TEST_CASE("A sealed token opens with its key, during a rotation with either, and with no other", "[token]")
{
    const TokenSealer before(oldKey, "");
    const TokenSealer during(newKey, oldKey);
    const TokenSealer after(newKey, "");
    CHECK(before.open(before.seal(token)) == token);
    CHECK(during.open(before.seal(token)) == token);
    CHECK(after.open(during.seal(token)) == token);
    CHECK_FALSE(after.open(before.seal(token)));
    CHECK(after.open("") == decisions::SessionToken());
}

TEST_CASE("A token with any byte changed is refused", "[token]")
{
    rc::prop("wherever the change is", [](std::uint16_t at, std::uint8_t change) {
        const TokenSealer sealer(newKey, oldKey);
        std::string sealed = sealer.seal(token);
        char &byte = sealed[at % sealed.size()];
        const char before = byte;
        byte = static_cast<char>(byte ^ static_cast<char>(change));
        RC_ASSERT(sealer.open(sealed).has_value() == (byte == before));
    });
}

TEST_CASE("A credential's hash is the usual SHA-256", "[token]")
{
    CHECK(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    CHECK(randomId() != randomId());
}

} // namespace rattanbeam::proxy::internal::test
