#include "rattanbeam/decisions/connectionpool.h"

#include "rattanbeam/decisions/retrybudget.h"

#include <catch2/catch.hpp>

namespace rattanbeam::decisions::test
{

namespace
{
using namespace std::chrono_literals;
const TimePoint now{std::chrono::hours(1)};
} // namespace

TEST_CASE("A pool bounds its connections, and those being opened at once", "[pool]")
{
    ConnectionPool pool({.maxConnections = 6, .maxOpening = 4});
    const auto first = pool.connectionsToOpen(10, now);
    CHECK(first.size() == 4);
    CHECK(pool.connectionsToOpen(10, now).empty());
    for (const ConnectionId id : first) {
        pool.opened(id);
        CHECK(pool.take() != 0);
    }
    CHECK(pool.connectionsToOpen(10, now).size() == 2);
    CHECK(pool.total() == 6);
}

TEST_CASE("After a failure a pool backs off and then opens one connection at a time until one succeeds", "[pool]")
{
    ConnectionPool pool({.maxConnections = 6});
    TimePoint at = now;
    for (const ConnectionId id : pool.connectionsToOpen(4, at)) {
        pool.openFailed(id, at);
    }
    CHECK(pool.isFailing());
    CHECK(pool.connectionsToOpen(4, at).empty());
    at += 2s;
    const auto second = pool.connectionsToOpen(4, at);
    REQUIRE(second.size() == 1);
    pool.opened(second.front());
    CHECK_FALSE(pool.isFailing());
    CHECK(pool.connectionsToOpen(4, at).size() == 3);
}

TEST_CASE("A pool never returns a discarded connection again", "[pool]")
{
    ConnectionPool pool({.maxConnections = 2});
    const auto ids = pool.connectionsToOpen(1, now);
    pool.opened(ids.front());
    const ConnectionId taken = pool.take();
    pool.discard(taken);
    pool.release(taken);
    CHECK(pool.take() == 0);
    CHECK(pool.connectionsToOpen(1, now).front() != taken);
}

TEST_CASE("The retry budget bounds retries to a share of the requests", "[retry]")
{
    RetryBudget budget(0.1, 5);
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.deposit();
        retries += budget.tryWithdraw() ? 1 : 0;
    }
    CHECK(retries <= 105);
    CHECK(retries >= 95);
}

TEST_CASE("A failed request is retried only if it cannot run twice and a retry can help", "[retry]")
{
    const auto decide = [](const Outcome &outcome, bool isWrite, bool inTransaction, bool hasStoredId) {
        return decideRetry({outcome, isWrite, inTransaction, hasStoredId});
    };
    const Outcome connectionLost = Outcome::inDoubt(ErrorCode::ConnectionLost);
    CHECK(decide(connectionLost, true, false, false) == RetryDecision::ReturnToCaller);
    CHECK(decide(connectionLost, true, false, true) == RetryDecision::RetryLater);
    CHECK(decide(connectionLost, false, false, false) == RetryDecision::RetryLater);
    CHECK(decide(connectionLost, true, true, true) == RetryDecision::ReturnToCaller);
    CHECK(decide(Outcome::refusal(ErrorCode::NotHome), true, false, false) == RetryDecision::RetryImmediately);
    CHECK(decide(Outcome::refusal(ErrorCode::NotPrimary), true, false, false) == RetryDecision::RetryLater);
    CHECK(decide(Outcome::refusal(ErrorCode::QueueFull), true, false, true) == RetryDecision::ReturnToCaller);
    CHECK(decide(Outcome::refusal(ErrorCode::StatementFailed), true, false, true) == RetryDecision::ReturnToCaller);
    CHECK(decide(Outcome::refusal(ErrorCode::CannotConfirm), true, false, true) == RetryDecision::ReturnToCaller);
}

} // namespace rattanbeam::decisions::test
