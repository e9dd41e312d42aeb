#include "rattanbeam/decisions/session/isolation.h"

#include <catch2/catch.hpp>

namespace rattanbeam::decisions::session
{

using namespace std::chrono_literals;

TEST_CASE("An instance is isolated when neither instances nor members of other domains answer", "[isolation]")
{
    const TimePoint now{100s};
    IsolationDetector isolation;
    isolation.updatePeers({.crossDomainAnswered = 0, .crossDomainUnreachable = 2, .answered = 0}, now);
    CHECK_FALSE(isolation.isIsolated());
    REQUIRE(isolation.isProbeDue(now));
    isolation.probeStarted(now);
    CHECK_FALSE(isolation.isProbeDue(now + 100ms));
    isolation.membersProbed(0, 2, now + 300ms);
    CHECK(isolation.isIsolated());
    CHECK_FALSE(isolation.isOutOfRotation(now + 1s));
    CHECK(isolation.isOutOfRotation(now + 3s));
}

TEST_CASE("An instance is not isolated if all instances of other domains are down but members there answer", "[isolation]")
{
    const TimePoint now{100s};
    IsolationDetector isolation;
    isolation.updatePeers({.crossDomainAnswered = 0, .crossDomainUnreachable = 5, .answered = 0}, now);
    isolation.membersProbed(1, 1, now);
    CHECK_FALSE(isolation.isIsolated());
}

TEST_CASE("Unreachable members alone are no evidence of isolation", "[isolation]")
{
    const TimePoint now{100s};
    IsolationDetector isolation;
    // All instances are in one failure domain.
    isolation.updatePeers({.crossDomainAnswered = 0, .crossDomainUnreachable = 0, .answered = 0}, now);
    isolation.membersProbed(0, 3, now);
    CHECK_FALSE(isolation.isIsolated());
    isolation.updatePeers({.crossDomainAnswered = 1, .crossDomainUnreachable = 4, .answered = 1}, now);
    isolation.membersProbed(0, 3, now);
    CHECK_FALSE(isolation.isIsolated());
}

TEST_CASE("The first answer from another domain ends the isolation", "[isolation]")
{
    const TimePoint now{100s};
    for (const bool isPeer : {true, false}) {
        IsolationDetector isolation;
        isolation.updatePeers({.crossDomainAnswered = 0, .crossDomainUnreachable = 2, .answered = 0}, now);
        isolation.membersProbed(0, 2, now);
        REQUIRE(isolation.isIsolated());
        if (isPeer) {
            isolation.updatePeers({.crossDomainAnswered = 1, .crossDomainUnreachable = 1, .answered = 1}, now + 1s);
        } else {
            isolation.membersProbed(1, 0, now + 1s);
        }
        CHECK_FALSE(isolation.isIsolated());
    }
}

TEST_CASE("An instance that gets no answer from any other is isolated even if it reaches members", "[isolation]")
{
    const TimePoint now{100s};
    const PeerCounts silentPeers{.crossDomainUnreachable = 2, .silent = 4};
    IsolationDetector isolation;
    isolation.updatePeers(silentPeers, now);
    CHECK_FALSE(isolation.isIsolated());
    isolation.updatePeers(silentPeers, now + 600ms);
    REQUIRE(isolation.isIsolated());
    isolation.membersProbed(2, 0, now + 700ms);
    CHECK(isolation.isIsolated());
    isolation.updatePeers({.answered = 1, .silent = 3}, now + 800ms);
    CHECK_FALSE(isolation.isIsolated());
}

TEST_CASE("An instance is not isolated if the machines of its peers refuse connections, since it is the last one running", "[isolation]")
{
    const TimePoint now{100s};
    IsolationDetector isolation;
    for (int i = 0; i < 20; ++i) {
        isolation.updatePeers({.crossDomainUnreachable = 4, .silent = 3, .refused = 3}, now + i * 100ms);
    }
    CHECK_FALSE(isolation.isIsolated());
    IsolationDetector isolationOfTwo;
    for (int i = 0; i < 20; ++i) {
        isolationOfTwo.updatePeers({.crossDomainUnreachable = 1, .silent = 1}, now + i * 100ms);
    }
    CHECK_FALSE(isolationOfTwo.isIsolated());
}

} // namespace rattanbeam::decisions::session
