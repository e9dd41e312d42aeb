#include "rattanbeam/decisions/session/isolation.h"

#include <catch2/catch.hpp>

namespace rattanbeam::decisions::session
{

using namespace std::chrono_literals;

TEST_CASE("An instance is isolated when neither instances nor members of other domains answer", "[isolation]")
{
    const TimePoint now{100s};
    Isolation isolation;
    isolation.peersSeen({.foreignHeard = 0, .foreignUnreachable = 2, .heard = 0}, now);
    CHECK_FALSE(isolation.isIsolated());
    REQUIRE(isolation.isLookDue(now));
    isolation.lookBegan(now);
    CHECK_FALSE(isolation.isLookDue(now + 100ms));
    isolation.membersSeen(0, 2, now + 300ms);
    CHECK(isolation.isIsolated());
    CHECK_FALSE(isolation.areClientsSentElsewhere(now + 1s));
    CHECK(isolation.areClientsSentElsewhere(now + 3s));
}

TEST_CASE("An instance whose neighbours are all dead but whose members answer is not isolated", "[isolation]")
{
    const TimePoint now{100s};
    Isolation isolation;
    isolation.peersSeen({.foreignHeard = 0, .foreignUnreachable = 5, .heard = 0}, now);
    isolation.membersSeen(1, 1, now);
    CHECK_FALSE(isolation.isIsolated());
}

TEST_CASE("Silent members alone isolate nobody", "[isolation]")
{
    const TimePoint now{100s};
    Isolation isolation;
    isolation.peersSeen({.foreignHeard = 0, .foreignUnreachable = 0, .heard = 0}, now); // a fleet of one domain
    isolation.membersSeen(0, 3, now);
    CHECK_FALSE(isolation.isIsolated());
    isolation.peersSeen({.foreignHeard = 1, .foreignUnreachable = 4, .heard = 1}, now);
    isolation.membersSeen(0, 3, now);
    CHECK_FALSE(isolation.isIsolated());
}

TEST_CASE("The first answer from another domain ends the isolation", "[isolation]")
{
    const TimePoint now{100s};
    for (const bool isPeer : {true, false}) {
        Isolation isolation;
        isolation.peersSeen({.foreignHeard = 0, .foreignUnreachable = 2, .heard = 0}, now);
        isolation.membersSeen(0, 2, now);
        REQUIRE(isolation.isIsolated());
        if (isPeer) {
            isolation.peersSeen({.foreignHeard = 1, .foreignUnreachable = 1, .heard = 1}, now + 1s);
        } else {
            isolation.membersSeen(1, 0, now + 1s);
        }
        CHECK_FALSE(isolation.isIsolated());
    }
}

TEST_CASE("An instance that hears nothing from any other is isolated although it reaches members", "[isolation]")
{
    const TimePoint now{100s};
    const PeerCounts silence{.foreignUnreachable = 2, .silent = 4};
    Isolation isolation;
    isolation.peersSeen(silence, now);
    CHECK_FALSE(isolation.isIsolated());
    isolation.peersSeen(silence, now + 600ms);
    REQUIRE(isolation.isIsolated());
    isolation.membersSeen(2, 0, now + 700ms);
    CHECK(isolation.isIsolated());
    isolation.peersSeen({.heard = 1, .silent = 3}, now + 800ms);
    CHECK_FALSE(isolation.isIsolated());
}

TEST_CASE("An instance whose neighbours' machines refuse connections is the last one left, not cut off", "[isolation]")
{
    const TimePoint now{100s};
    Isolation isolation;
    for (int i = 0; i < 20; ++i) {
        isolation.peersSeen({.foreignUnreachable = 4, .silent = 3, .refused = 3}, now + i * 100ms);
    }
    CHECK_FALSE(isolation.isIsolated());
    Isolation pair;
    for (int i = 0; i < 20; ++i) {
        pair.peersSeen({.foreignUnreachable = 1, .silent = 1}, now + i * 100ms);
    }
    CHECK_FALSE(pair.isIsolated());
}

} // namespace rattanbeam::decisions::session
