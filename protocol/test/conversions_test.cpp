#include "rattanbeam/protocol/conversions.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace rattanbeam::protocol::test
{

namespace
{

using namespace std::chrono_literals;
using decisions::ErrorCode;
using decisions::Outcome;
using decisions::TimePoint;

const TimePoint now{std::chrono::hours(1)};

} // namespace

TEST_CASE("Outcomes keep verdict and code on the wire, and an unknown verdict reads as may-have-run", "[conversions]")
{
    for (const Outcome &outcome :
         {Outcome{}, Outcome::refusal(ErrorCode::QueueFull, now + 50ms), Outcome::inDoubt(ErrorCode::ConnectionLost)}) {
        CHECK(toOutcome(fromOutcome(outcome, now), now) == outcome);
    }
    const Outcome unknown = toOutcome({}, now);
    CHECK(unknown.verdict == decisions::Verdict::MayHaveRun);
    CHECK_FALSE(unknown.isSuccess());
}

TEST_CASE("An age never shrinks on its way, and never is never", "[conversions]")
{
    rc::prop("for any ages", [](std::uint16_t ageMs, std::uint16_t transferMs) {
        decisions::MemberObservation observation;
        observation.completeAsOf = now - std::chrono::milliseconds(ageMs);
        observation.observedAt = now;
        const auto report = fromMemberObservation("orders", decisions::MemberId("m"), observation, now);
        // The receiver counts from when it asked, which is no later than when the report was made.
        const auto received = toMemberObservation(report, now - std::chrono::milliseconds(transferMs));
        RC_ASSERT(received.completeAsOf <= observation.completeAsOf);
    });
    const auto never
        = toMemberObservation(fromMemberObservation("orders", decisions::MemberId("m"), decisions::MemberObservation(), now), now);
    CHECK(now - never.completeAsOf > 24h);
}

TEST_CASE("A member's status survives the wire", "[conversions]")
{
    decisions::MemberStatus status;
    status.term = 7;
    status.isPrimary = true;
    status.isLeaving = true;
    status.held = {7, 90};
    status.applied = 88;
    status.history = decisions::TermHistory({{1, 0}, {7, 60}});
    CHECK(toMemberStatus(fromMemberStatus(status)) == status);
}

} // namespace rattanbeam::protocol::test
