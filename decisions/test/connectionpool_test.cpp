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

TEST_CASE("A pool opens no more than its limit, and few at once", "[pool]")
{
    ConnectionPool pool({.most = 6, .openingAtOnce = 4});
    const auto first = pool.wantOpened(10, now);
    CHECK(first.size() == 4);
    CHECK(pool.wantOpened(10, now).empty());
    for (const ConnectionId id : first) {
        pool.opened(id);
        CHECK(pool.take() != 0);
    }
    CHECK(pool.wantOpened(10, now).size() == 2);
    CHECK(pool.total() == 6);
}

TEST_CASE("After a failure a pool tries one connection at a time, ever later", "[pool]")
{
    ConnectionPool pool({.most = 6});
    TimePoint at = now;
    for (const ConnectionId id : pool.wantOpened(4, at)) {
        pool.openFailed(id, at);
    }
    CHECK(pool.isFailing());
    CHECK(pool.wantOpened(4, at).empty());
    at += 2s;
    const auto second = pool.wantOpened(4, at);
    REQUIRE(second.size() == 1);
    pool.opened(second.front());
    CHECK_FALSE(pool.isFailing());
    CHECK(pool.wantOpened(4, at).size() == 3);
}

TEST_CASE("A discarded connection is never handed out again", "[pool]")
{
    ConnectionPool pool({.most = 2});
    const auto ids = pool.wantOpened(1, now);
    pool.opened(ids.front());
    const ConnectionId taken = pool.take();
    pool.discard(taken);
    pool.giveBack(taken);
    CHECK(pool.take() == 0);
    CHECK(pool.wantOpened(1, now).front() != taken);
}

TEST_CASE("Retries stay a bounded share of the requests", "[retry]")
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

TEST_CASE("Only what cannot run twice is sent again", "[retry]")
{
    const auto decide = [](const Outcome &outcome, bool isWrite, bool inTransaction, bool hasStoredId) {
        return decideRetry({outcome, isWrite, inTransaction, hasStoredId});
    };
    const Outcome lost = Outcome::inDoubt(ErrorCode::ConnectionLost);
    CHECK(decide(lost, true, false, false) == RetryDecision::ReturnToCaller);
    CHECK(decide(lost, true, false, true) == RetryDecision::RetryLater);
    CHECK(decide(lost, false, false, false) == RetryDecision::RetryLater);
    CHECK(decide(lost, true, true, true) == RetryDecision::ReturnToCaller);
    CHECK(decide(Outcome::refusal(ErrorCode::NotHome), true, false, false) == RetryDecision::RetryImmediately);
    CHECK(decide(Outcome::refusal(ErrorCode::NotPrimary), true, false, false) == RetryDecision::RetryLater);
    CHECK(decide(Outcome::refusal(ErrorCode::QueueFull), true, false, true) == RetryDecision::ReturnToCaller);
    CHECK(decide(Outcome::refusal(ErrorCode::StatementFailed), true, false, true) == RetryDecision::ReturnToCaller);
    CHECK(decide(Outcome::refusal(ErrorCode::CannotConfirm), true, false, true) == RetryDecision::ReturnToCaller);
}

} // namespace rattanbeam::decisions::test
