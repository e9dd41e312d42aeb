#include "rattanbeam/decisions/session/isolation.h"

#include <catch2/catch.hpp>

namespace rattanbeam::decisions::session
{

using namespace std::chrono_literals;

TEST_CASE("An instance is isolated when neither instances nor members of other domains answer", "[isolation]")
{
    const TimePoint now{100s};
    Isolation isolation;
    isolation.peersSeen(0, 2, now);
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
    isolation.peersSeen(0, 5, now);
    isolation.membersSeen(1, 1, now);
    CHECK_FALSE(isolation.isIsolated());
}

TEST_CASE("Silent members alone isolate nobody", "[isolation]")
{
    const TimePoint now{100s};
    Isolation isolation;
    isolation.peersSeen(0, 0, now); // a fleet of one domain
    isolation.membersSeen(0, 3, now);
    CHECK_FALSE(isolation.isIsolated());
    isolation.peersSeen(1, 4, now);
    isolation.membersSeen(0, 3, now);
    CHECK_FALSE(isolation.isIsolated());
}

TEST_CASE("The first answer from another domain ends the isolation", "[isolation]")
{
    const TimePoint now{100s};
    for (const bool isPeer : {true, false}) {
        Isolation isolation;
        isolation.peersSeen(0, 2, now);
        isolation.membersSeen(0, 2, now);
        REQUIRE(isolation.isIsolated());
        if (isPeer) {
            isolation.peersSeen(1, 1, now + 1s);
        } else {
            isolation.membersSeen(1, 0, now + 1s);
        }
        CHECK_FALSE(isolation.isIsolated());
    }
}

} // namespace rattanbeam::decisions::session
