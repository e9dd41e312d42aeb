#include "rattanbeam/standins/backendmember.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <unistd.h>

namespace rattanbeam::standins::test
{

namespace
{

using namespace std::chrono_literals;
using decisions::AttemptId;
using decisions::ErrorCode;
using decisions::Verdict;

/// A member in a folder of its own, which goes with it.
class TestMember
{
public:
    explicit TestMember(const std::string &name, bool isPrimary)
        : m_directory(std::filesystem::temp_directory_path() / ("rattanbeam-test-" + std::to_string(getpid()) + "-" + name))
    {
        std::filesystem::create_directories(m_directory);
        BackendOptions options;
        options.directory = m_directory;
        options.statementCost = 0us;
        options.shipLag = 0ms;
        options.startsAsPrimary = isPrimary;
        m_member = std::make_unique<BackendMember>(options);
    }
    TestMember(const TestMember &) = delete;
    TestMember &operator=(const TestMember &) = delete;
    ~TestMember()
    {
        m_member.reset();
        std::filesystem::remove_all(m_directory);
    }
    BackendMember *operator->() const
    {
        return m_member.get();
    }

private:
    std::filesystem::path m_directory;
    std::unique_ptr<BackendMember> m_member;
};

void replicate(TestMember &primary, TestMember &follower)
{
    const auto status = follower->status();
    follower->accept(primary->pull(status.term, status.history, status.held.position, 0ms));
}

std::string readOne(TestMember &member, const std::string &sql)
{
    const auto session = member->openSession();
    for (int tries = 0; tries < 200; ++tries) {
        const StatementAnswer answer = session->execute(sql, false, 0, "", "");
        if (answer.outcome.isSuccess()) {
            return answer.result.rows.at(0).at(0);
        }
        std::this_thread::sleep_for(10ms);
    }
    return "no answer";
}

} // namespace

TEST_CASE("A repeated request id runs once and gets the first outcome, also from the next primary", "[backend]")
{
    TestMember first("first", true);
    TestMember second("second", false);
    REQUIRE(second->follow(1));
    const auto session = first->openSession();
    session->execute("CREATE TABLE t(n)", true, 1, "create", "c");
    const auto once = session->execute("INSERT INTO t VALUES(1)", true, 1, "id", "digest");
    REQUIRE(once.outcome.isSuccess());
    const auto again = session->execute("INSERT INTO t VALUES(1)", true, 1, "id", "digest");
    CHECK(again.repeated);
    CHECK(again.at == once.at);
    CHECK(again.result.rowsChanged == 1);
    const auto other = session->execute("INSERT INTO t VALUES(2)", true, 1, "id", "another");
    CHECK(other.outcome.code == ErrorCode::RequestIdReused);
    CHECK(other.outcome.verdict == Verdict::NotRun);

    // Taken out: the same statement without an id runs each time.
    session->execute("CREATE TABLE u(n)", true, 1, "", "");
    session->execute("INSERT INTO u VALUES(1)", true, 1, "", "");
    session->execute("INSERT INTO u VALUES(1)", true, 1, "", "");
    CHECK(readOne(first, "SELECT count(*) FROM u") == "2");

    replicate(first, second);
    REQUIRE(second->fence(2, AttemptId("a")));
    REQUIRE(second->promote(2, AttemptId("a")));
    const auto later = second->openSession()->execute("INSERT INTO t VALUES(1)", true, 2, "id", "digest");
    CHECK(later.repeated);
    CHECK(later.at == once.at);
    CHECK(readOne(second, "SELECT count(*) FROM t") == "1");
}

TEST_CASE("A fenced primary commits nothing more, and says that it did not run", "[backend]")
{
    TestMember member("fenced", true);
    const auto session = member->openSession();
    session->execute("CREATE TABLE t(n)", true, 1, "", "");
    REQUIRE(session->begin(1).outcome.isSuccess());
    REQUIRE(session->step("INSERT INTO t VALUES(1)").outcome.isSuccess());
    REQUIRE(member->fence(2, AttemptId("a")));
    const auto commit = session->commit("id", "digest");
    CHECK(commit.outcome.code == ErrorCode::NotPrimary);
    CHECK(commit.outcome.verdict == Verdict::NotRun);
    CHECK(readOne(member, "SELECT count(*) FROM t") == "0");
}

TEST_CASE("Transactions do not mix, and a step sees those before it", "[backend]")
{
    TestMember member("transactions", true);
    const auto left = member->openSession();
    const auto right = member->openSession();
    left->execute("CREATE TABLE t(n)", true, 1, "", "");
    left->begin(1);
    right->begin(1);
    left->step("INSERT INTO t VALUES(1)");
    right->step("INSERT INTO t VALUES(2)");
    CHECK(left->step("SELECT count(*) FROM t").result.rows.at(0).at(0) == "1");
    left->commit("left", "");
    right->rollBack();
    CHECK(readOne(member, "SELECT group_concat(n) FROM t") == "1");
}

TEST_CASE("A former primary drops its unconfirmed writes when it follows", "[backend]")
{
    TestMember old("old", true);
    TestMember next("next", false);
    REQUIRE(next->follow(1));
    const auto session = old->openSession();
    session->execute("CREATE TABLE t(n)", true, 1, "", "");
    replicate(old, next);
    session->execute("INSERT INTO t VALUES(1)", true, 1, "lost", "");
    REQUIRE(next->fence(2, AttemptId("a")));
    REQUIRE(next->promote(2, AttemptId("a")));
    next->openSession()->execute("INSERT INTO t VALUES(2)", true, 2, "kept", "");
    REQUIRE(old->follow(2));
    replicate(next, old);
    for (int tries = 0; tries < 200 && old->status().applied < next->status().held.position; ++tries) {
        std::this_thread::sleep_for(10ms);
    }
    CHECK(readOne(old, "SELECT group_concat(n) FROM t") == "2");
    CHECK(old->status().held == next->status().held);
}

TEST_CASE("A read that writes is refused, and so is transaction control", "[backend]")
{
    TestMember member("reads", true);
    const auto session = member->openSession();
    CHECK(session->execute("CREATE TABLE t(n)", false, 1, "", "").outcome.code == ErrorCode::StatementFailed);
    CHECK(session->execute("COMMIT", true, 1, "", "").outcome.code == ErrorCode::StatementFailed);
    CHECK(session->execute("SELECT 1; SELECT 2", false, 1, "", "").outcome.code == ErrorCode::StatementFailed);
    CHECK(session->execute("", true, 1, "", "").outcome.code == ErrorCode::StatementFailed);
}

} // namespace rattanbeam::standins::test
