// Tests of the evidence on which a home relies: the watermark of the primary's commits, the lease on its term, and the lag of this
// process.

#include "rattanbeam/decisions/session/lagmeter.h"
#include "rattanbeam/decisions/session/primarylease.h"
#include "rattanbeam/decisions/session/watermark.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <vector>

namespace rattanbeam::decisions::session
{

using namespace std::chrono_literals;

namespace
{
constexpr TimePoint start{100s};
/// Answered at once, on a connection that has been open for long.
PrimaryLease::Confirmation promptAnswer(TimePoint sentAt)
{
    return {sentAt, distantPast, sentAt};
}

} // namespace

TEST_CASE("The watermark covers every commit acknowledged before the requested time", "[watermark]")
{
    rc::prop("at any rate of commits", [](const std::vector<std::uint8_t> &steps) {
        Watermark watermark;
        TimePoint now = start;
        std::uint64_t logIndex = 0;
        std::vector<std::pair<TimePoint, std::uint64_t>> acknowledged;
        for (const std::uint8_t step : steps) {
            now += std::chrono::milliseconds(1 + step % 50);
            const TimePoint sentAt = now;
            logIndex += step % 3;
            acknowledged.emplace_back(now, logIndex);
            now += 1ms;
            watermark.sample({1, logIndex}, sentAt);
        }
        for (const auto &[at, position] : acknowledged) {
            if (const auto covering = watermark.covering(at + 1ns)) {
                RC_ASSERT(covering->position >= position);
            }
        }
    });
}

TEST_CASE("A new term replaces all samples of the previous term", "[watermark]")
{
    Watermark watermark;
    watermark.sample({1, 50}, start);
    watermark.sample({2, 40}, start + 10ms);
    CHECK(watermark.covering(start) == LogPosition{2, 40});
    watermark.sample({1, 60}, start + 20ms); // a late answer of the previous primary
    CHECK(watermark.latest() == LogPosition{2, 40});
}

TEST_CASE("There is no covering position when the samples are too old", "[watermark]")
{
    Watermark watermark;
    CHECK_FALSE(watermark.covering(start));
    watermark.sample({1, 1}, start);
    CHECK(watermark.covering(start));
    CHECK_FALSE(watermark.covering(start + 1ms));
}

TEST_CASE("A listed home's lease counts from the oldest evidence among its replicas", "[primarylease]")
{
    PrimaryLease lease(1s);
    lease.restart(3, true, {MemberId("r1"), MemberId("r2")});
    lease.memberListConfirmed(start);
    lease.replicaConfirmed(MemberId("r1"), promptAnswer(start));
    CHECK_FALSE(lease.covers(start, start));
    lease.replicaConfirmed(MemberId("r2"), promptAnswer(start + 100ms));
    CHECK(lease.covers(start + 900ms, start + 999ms));
    CHECK_FALSE(lease.covers(start + 900ms, start + 1s));
}

TEST_CASE("An unlisted home needs evidence that is no older than the answer", "[primarylease]")
{
    PrimaryLease lease(1s);
    lease.restart(3, false, {MemberId("r1")});
    lease.memberListConfirmed(start);
    lease.replicaConfirmed(MemberId("r1"), promptAnswer(start));
    CHECK_FALSE(lease.covers(start + 1ms, start + 2ms));
    lease.replicaConfirmed(MemberId("r1"), promptAnswer(start + 1ms));
    CHECK(lease.covers(start + 1ms, start + 2ms));
}

// Guards against evidence that leaves out a member that has joined since the list of members was complete.
TEST_CASE("The word of every replica is no evidence from longer after the members were known", "[primarylease]")
{
    PrimaryLease lease(1s);
    const bool isListed = GENERATE(false, true);
    lease.restart(3, isListed, {MemberId("r1")});
    lease.replicaConfirmed(MemberId("r1"), promptAnswer(start));
    CHECK(lease.evidence() == PrimaryLease::Evidence::None);
    lease.memberListConfirmed(start);
    CHECK(lease.evidence() == PrimaryLease::Evidence::EveryReplica);
    const TimePoint end = start + PrimaryLease::memberListTerm;
    lease.replicaConfirmed(MemberId("r1"), promptAnswer(end + 500ms));
    CHECK(lease.evidenceTime() == end);
    CHECK(lease.covers(end, end));
    CHECK(lease.covers(end + 500ms, end + 500ms) == isListed); // the lease's duration begins at the end
    CHECK_FALSE(lease.covers(end + 1s, end + 1s));
    lease.memberListConfirmed(start + 1s);
    CHECK(lease.covers(end + 500ms, end + 500ms));
}

TEST_CASE("Evidence of another generation, or a fenced replica, ends the lease", "[primarylease]")
{
    PrimaryLease lease(1s);
    lease.restart(3, true, {MemberId("r1")});
    lease.termRecordRead(2, true, start);
    CHECK_FALSE(lease.covers(start, start));
    lease.termRecordRead(3, true, start);
    CHECK(lease.covers(start, start));
    lease.replicaRevoked(MemberId("r1"));
    CHECK_FALSE(lease.covers(start, start));
}

TEST_CASE("For a listed home, the word of one witness is evidence for a limited time after a read of the term record", "[primarylease]")
{
    const MemberId witness("r1");
    PrimaryLease lease(1s);
    lease.restart(3, true, {witness, MemberId("r2")});
    lease.setWitnesses({witness, MemberId("r2")});
    lease.replicaConfirmed(witness, promptAnswer(start - 100ms));
    CHECK(lease.evidenceTime() == distantPast);
    lease.termRecordRead(3, true, start);
    TimePoint now = start;
    for (; now < start + PrimaryLease::witnessTerm + 500ms; now += 400ms) {
        lease.replicaConfirmed(witness, promptAnswer(now));
        CHECK(lease.covers(now, now + 399ms));
    }
    CHECK(lease.evidenceTime() == start + PrimaryLease::witnessTerm);
    // Another read begins another term.
    lease.termRecordRead(3, true, now);
    lease.replicaConfirmed(witness, promptAnswer(now + 900ms));
    CHECK(lease.evidenceTime() == now + 900ms);
    // An unlisted home is not waited for.
    lease.termRecordRead(3, false, now);
    CHECK(lease.evidenceTime() == now);
}

TEST_CASE("A witness that may have been fenced in between is no evidence until the term record was read again", "[primarylease]")
{
    const MemberId witness("r1");
    PrimaryLease lease(1s);
    lease.restart(3, true, {witness, MemberId("r2")});
    lease.setWitnesses({witness});
    lease.termRecordRead(3, true, start);
    SECTION("its answers have a gap of the lease's duration")
    {
        lease.replicaConfirmed(witness, promptAnswer(start + 1s));
        lease.replicaConfirmed(witness, promptAnswer(start + 1200ms));
    }
    SECTION("an answer came so late that it may describe a later state")
    {
        lease.replicaConfirmed(witness, {start + 500ms, start - 1s, start + 1s});
    }
    SECTION("it may have lost a fence by a restart, since the connection is newer than the read")
    {
        lease.replicaConfirmed(witness, {start + 500ms, start + 1ms, start + 510ms});
    }
    SECTION("it was fenced")
    {
        lease.replicaRevoked(witness);
        lease.replicaConfirmed(witness, promptAnswer(start + 500ms));
        CHECK(lease.evidenceTime() == distantPast);
        lease.termRecordRead(3, true, start);
    }
    CHECK(lease.evidenceTime() == start);
    lease.termRecordRead(3, true, start + 2s);
    lease.replicaConfirmed(witness, promptAnswer(start + 2500ms));
    CHECK(lease.evidenceTime() == start + 2500ms);
}

TEST_CASE("A pause of the process is not taken for overload, but steady lag is", "[lagmeter]")
{
    LagMeter meter(10ms);
    TimePoint now = start;
    meter.recordTick(now);
    for (int i = 0; i < 50; ++i) {
        now += 10ms;
        CHECK(meter.recordTick(now) == Duration::zero());
    }
    now += 3s;
    CHECK(meter.recordTick(now) >= 2900ms);
    CHECK_FALSE(meter.isOverloaded());
    for (int i = 0; i < 50; ++i) {
        now += 60ms;
        meter.recordTick(now);
    }
    CHECK(meter.isOverloaded());
    for (int i = 0; i < 400; ++i) {
        now += 10ms;
        meter.recordTick(now);
    }
    CHECK_FALSE(meter.isOverloaded());
}

} // namespace rattanbeam::decisions::session
