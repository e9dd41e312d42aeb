#include "rattanbeam/decisions/replicachoice.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace rattanbeam::decisions::test
{

namespace
{

using namespace std::chrono_literals;

const TimePoint now{std::chrono::hours(1)};

MemberObservation replicaObservation(std::uint64_t applied, Duration dataAge)
{
    MemberObservation observation;
    observation.status.term = 2;
    observation.status.isFollowing = true;
    observation.status.applied = applied;
    observation.status.history = TermHistory({{1, 0}, {2, 50}});
    observation.observedAt = now - 10ms;
    observation.completeAsOf = now - dataAge;
    return observation;
}

ReadRequirements requirementsFor(std::optional<SessionPosition> session)
{
    return {session, 2s, 20ms};
}

} // namespace

TEST_CASE("A replica is fit if it covers the session's position and its data is recent enough", "[replica]")
{
    CHECK(evaluateReplica(requirementsFor({}), replicaObservation(100, 1s), 0, now) == ReadFitness::Fit);
    CHECK(evaluateReplica(requirementsFor({}), replicaObservation(100, 3s), 0, now) == ReadFitness::TooOld);
    CHECK(evaluateReplica(requirementsFor(SessionPosition{{2, 100}}), replicaObservation(100, 1s), 0, now) == ReadFitness::Fit);
    CHECK(evaluateReplica(requirementsFor(SessionPosition{{2, 101}}), replicaObservation(100, 1s), 0, now) == ReadFitness::Behind);
    CHECK(evaluateReplica(requirementsFor(SessionPosition{{1, 60}}), replicaObservation(100, 1s), 0, now) == ReadFitness::Lost);
    CHECK(evaluateReplica(requirementsFor(SessionPosition{{2, 60}, true}), replicaObservation(100, 1s), 0, now) == ReadFitness::Behind);
}

TEST_CASE("A read waits for a replica only if its apply rate lets it catch up within maxWait", "[replica]")
{
    const auto requirements = requirementsFor(SessionPosition{{2, 110}});
    CHECK(evaluateReplica(requirements, replicaObservation(100, 1s), 1000, now) == ReadFitness::FitAfterWait);
    CHECK(evaluateReplica(requirements, replicaObservation(100, 1s), 100, now) == ReadFitness::Behind);
    CHECK(evaluateReplica(requirements, replicaObservation(100, 1s), 0, now) == ReadFitness::Behind);
}

TEST_CASE("A replica that is leaving or follows no primary gets no new reads", "[replica]")
{
    MemberObservation leaving = replicaObservation(100, 1s);
    leaving.status.isLeaving = true;
    CHECK(evaluateReplica(requirementsFor({}), leaving, 0, now) == ReadFitness::Unknown);
    MemberObservation notFollowing = replicaObservation(100, 1s);
    notFollowing.status.isFollowing = false;
    CHECK(evaluateReplica(requirementsFor({}), notFollowing, 0, now) == ReadFitness::Unknown);
}

TEST_CASE("The age of a member's data is never understated", "[replica]")
{
    rc::prop("for any writes, lags and observations", [](const std::vector<std::uint8_t> &steps) {
        DataAge dataAge;
        std::vector<TimePoint> writtenAt{now};
        TimePoint time = now;
        std::uint64_t applied = 0;
        for (const std::uint8_t step : steps) {
            time += std::chrono::milliseconds(1 + step / 16);
            if (step % 4 == 0) {
                writtenAt.push_back(time);
            } else if (step % 4 == 1) {
                MemberStatus primary;
                primary.term = 1;
                primary.held = {1, writtenAt.size() - 1};
                dataAge.primaryObserved(primary, time);
            } else {
                applied = std::min<std::uint64_t>(applied + step % 3, writtenAt.size() - 1);
            }
            MemberStatus replica;
            replica.term = 1;
            replica.applied = applied;
            const auto completeAsOf = dataAge.completeAsOf(replica);
            if (completeAsOf && applied + 1 < writtenAt.size()) {
                // The first write that the replica lacks is later than the time up to which its data is said to be complete.
                RC_ASSERT(*completeAsOf < writtenAt[applied + 1]);
            }
        }
    });
}

TEST_CASE("An observation of the primary in another term does not bound the age of a replica's data", "[replica]")
{
    DataAge dataAge;
    MemberStatus primary;
    primary.term = 1;
    primary.held = {1, 5};
    dataAge.primaryObserved(primary, now);
    MemberStatus replica;
    replica.term = 2;
    replica.applied = 9;
    CHECK_FALSE(dataAge.completeAsOf(replica));
}

TEST_CASE("Every policy prefers an idle candidate to a busy one", "[replica]")
{
    std::minstd_rand random(1);
    const std::vector<ReadCandidate> candidates{{MemberId("busy"), 9, 5, 10ms}, {MemberId("idle"), 0, 0, 2ms}};
    CHECK(PowerOfTwoChoices{}.pick(candidates, random) == 1);
    CHECK(LeastInFlight{}.pick(candidates, random) == 1);
    CHECK(LatencyScore{}.pick(candidates, random) == 1);
}

TEST_CASE("The estimated median lies within the bucket of the true median", "[replica]")
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
