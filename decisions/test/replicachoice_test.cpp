#include "rattanbeam/decisions/replicachoice.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace rattanbeam::decisions::test
{

namespace
{

using namespace std::chrono_literals;

const TimePoint now{std::chrono::hours(1)};

MemberObservation replicaAt(std::uint64_t applied, Duration dataAge)
{
    MemberObservation sighting;
    sighting.status.term = 2;
    sighting.status.isFollowing = true;
    sighting.status.applied = applied;
    sighting.status.history = TermHistory({{1, 0}, {2, 50}});
    sighting.observedAt = now - 10ms;
    sighting.completeAsOf = now - dataAge;
    return sighting;
}

ReadNeeds needs(std::optional<SessionPosition> session)
{
    return {session, 2s, 20ms};
}

} // namespace

TEST_CASE("A replica is fit when it covers the session and is young enough", "[replica]")
{
    CHECK(judgeReplica(needs({}), replicaAt(100, 1s), 0, now) == ReadFitness::Fit);
    CHECK(judgeReplica(needs({}), replicaAt(100, 3s), 0, now) == ReadFitness::TooOld);
    CHECK(judgeReplica(needs(SessionPosition{{2, 100}}), replicaAt(100, 1s), 0, now) == ReadFitness::Fit);
    CHECK(judgeReplica(needs(SessionPosition{{2, 101}}), replicaAt(100, 1s), 0, now) == ReadFitness::Behind);
    CHECK(judgeReplica(needs(SessionPosition{{1, 60}}), replicaAt(100, 1s), 0, now) == ReadFitness::Lost);
    CHECK(judgeReplica(needs(SessionPosition{{2, 60}, true}), replicaAt(100, 1s), 0, now) == ReadFitness::Behind);
}

TEST_CASE("A read waits for a replica only when its lag says that it will be in time", "[replica]")
{
    const auto needed = needs(SessionPosition{{2, 110}});
    CHECK(judgeReplica(needed, replicaAt(100, 1s), 1000, now) == ReadFitness::FitAfterWait);
    CHECK(judgeReplica(needed, replicaAt(100, 1s), 100, now) == ReadFitness::Behind);
    CHECK(judgeReplica(needed, replicaAt(100, 1s), 0, now) == ReadFitness::Behind);
}

TEST_CASE("A replica that leaves or follows nobody gets no new reads", "[replica]")
{
    MemberObservation leaving = replicaAt(100, 1s);
    leaving.status.isLeaving = true;
    CHECK(judgeReplica(needs({}), leaving, 0, now) == ReadFitness::Unknown);
    MemberObservation stray = replicaAt(100, 1s);
    stray.status.isFollowing = false;
    CHECK(judgeReplica(needs({}), stray, 0, now) == ReadFitness::Unknown);
}

TEST_CASE("The age of a member's data is never understated", "[replica]")
{
    rc::prop("for any writes, lags and observations", [](const std::vector<std::uint8_t> &steps) {
        DataAge ages;
        std::vector<TimePoint> writtenAt{now};
        TimePoint at = now;
        std::uint64_t applied = 0;
        for (const std::uint8_t step : steps) {
            at += std::chrono::milliseconds(1 + step / 16);
            if (step % 4 == 0) {
                writtenAt.push_back(at);
            } else if (step % 4 == 1) {
                MemberStatus primary;
                primary.term = 1;
                primary.held = {1, writtenAt.size() - 1};
                ages.primaryObserved(primary, at);
            } else {
                applied = std::min<std::uint64_t>(applied + step % 3, writtenAt.size() - 1);
            }
            MemberStatus replica;
            replica.term = 1;
            replica.applied = applied;
            const auto complete = ages.completeAsOf(replica);
            if (complete && applied + 1 < writtenAt.size()) {
                // The first write that the replica lacks came after the time for which it is called complete.
                RC_ASSERT(*complete < writtenAt[applied + 1]);
            }
        }
    });
}

TEST_CASE("An observation of another term says nothing of the age", "[replica]")
{
    DataAge ages;
    MemberStatus primary;
    primary.term = 1;
    primary.held = {1, 5};
    ages.primaryObserved(primary, now);
    MemberStatus replica;
    replica.term = 2;
    replica.applied = 9;
    CHECK_FALSE(ages.completeAsOf(replica));
}

TEST_CASE("Every policy picks one of its candidates and prefers the idle one", "[replica]")
{
    std::minstd_rand random(1);
    const std::vector<ReadCandidate> candidates{{MemberId("busy"), 9, 5, 10ms}, {MemberId("idle"), 0, 0, 2ms}};
    CHECK(PowerOfTwoChoices{}.pick(candidates, random) == 1);
    CHECK(LeastInFlight{}.pick(candidates, random) == 1);
    CHECK(LatencyScore{}.pick(candidates, random) == 1);
}

TEST_CASE("The bucket median lies within its bucket", "[replica]")
{
    BucketMedian median;
    for (int i = 0; i < 99; ++i) {
        median.record(1ms);
    }
    median.record(1s);
    CHECK(median.value() <= 1ms);
    CHECK(median.value() > 400us);
}

} // namespace rattanbeam::decisions::test
