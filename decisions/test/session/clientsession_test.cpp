#include "rattanbeam/decisions/session/clientsession.h"

#include <catch2/catch.hpp>

namespace rattanbeam::decisions::session
{

namespace
{

Statement statement(StatementKind kind, const std::string &name = {}, const std::string &arguments = {})
{
    Statement made;
    made.id = "id";
    made.kind = kind;
    made.name = name;
    made.arguments = arguments;
    return made;
}

Answer answered(ClientSession &session, const Statement &statement)
{
    return std::get<Answer>(session.offered(statement));
}

ForwardedStatement forwarded(ClientSession &session, const Statement &statement)
{
    return std::get<ForwardedStatement>(session.offered(statement));
}

Answer success(SessionPhase phase, LogPosition position)
{
    Answer answer = Answer::success(phase);
    answer.signature = "signed";
    answer.position = position;
    return answer;
}

} // namespace

TEST_CASE("A transaction starts at a member with its first statement", "[clientsession]")
{
    ClientSession session;
    CHECK(answered(session, statement(StatementKind::Begin)).phase == SessionPhase::InTransaction);
    CHECK(session.startedTransaction() == 0);
    const ForwardedStatement first = forwarded(session, statement(StatementKind::Read, "", "a"));
    CHECK(first.opensTransaction);
    session.completed(first, success(SessionPhase::InTransaction, {1, 1}));
    CHECK(session.startedTransaction() == first.transaction);
    CHECK_FALSE(forwarded(session, statement(StatementKind::Write, "", "a b")).opensTransaction);
}

TEST_CASE("A failed transaction takes nothing but its end", "[clientsession]")
{
    ClientSession session;
    answered(session, statement(StatementKind::Begin));
    const ForwardedStatement first = forwarded(session, statement(StatementKind::Write, "", "a b"));
    CHECK(session.completed(first, Answer::failure(StatementError::Aborted, "", SessionPhase::Idle)).phase == SessionPhase::Failed);
    CHECK(answered(session, statement(StatementKind::Read, "", "a")).error == StatementError::Malformed);
    CHECK(answered(session, statement(StatementKind::SetValue, "x", "1")).error == StatementError::Malformed);
    const Answer commit = answered(session, statement(StatementKind::Commit));
    CHECK(commit.error == StatementError::Aborted);
    CHECK(commit.phase == SessionPhase::Idle);
}

TEST_CASE("Only an acknowledged commit moves the session's own position", "[clientsession]")
{
    ClientSession session;
    const ForwardedStatement read = forwarded(session, statement(StatementKind::Read, "", "a"));
    session.completed(read, success(SessionPhase::Idle, {1, 9}));
    CHECK_FALSE(session.ownPosition());
    const ForwardedStatement write = forwarded(session, statement(StatementKind::Write, "", "a b"));
    session.completed(write, Answer::failure(StatementError::InDoubt, "", SessionPhase::Idle));
    CHECK_FALSE(session.ownPosition());
    session.completed(forwarded(session, statement(StatementKind::Write, "", "a b")), success(SessionPhase::Idle, {1, 10}));
    CHECK(session.ownPosition() == LogPosition{1, 10});
}

TEST_CASE("A prepared statement is executed by its definition, and forgotten when it is deallocated", "[clientsession]")
{
    ClientSession session;
    CHECK(answered(session, statement(StatementKind::Execute, "s1", "a")).error == StatementError::UnknownPrepared);
    CHECK(answered(session, statement(StatementKind::Prepare, "s1", "READ q1")).isSuccess());
    const ForwardedStatement read = forwarded(session, statement(StatementKind::Execute, "s1", "a"));
    CHECK(read.isReadOnly);
    CHECK(read.definition == "READ q1");
    session.completed(read, success(SessionPhase::Idle, {1, 1}));
    CHECK(answered(session, statement(StatementKind::Deallocate, "s1")).isSuccess());
    CHECK(answered(session, statement(StatementKind::Deallocate, "s1")).error == StatementError::UnknownPrepared);
    CHECK(answered(session, statement(StatementKind::Prepare, "s1", "DROP q1")).error == StatementError::Malformed);
}

TEST_CASE("What a session may keep is bounded", "[clientsession]")
{
    ClientSession session(SessionLimits{2, 1});
    CHECK(answered(session, statement(StatementKind::SetValue, "a", "1")).isSuccess());
    CHECK(answered(session, statement(StatementKind::SetValue, "b", "1")).isSuccess());
    CHECK(answered(session, statement(StatementKind::SetValue, "a", "2")).isSuccess());
    CHECK(answered(session, statement(StatementKind::SetValue, "c", "1")).error == StatementError::Overloaded);
    CHECK(answered(session, statement(StatementKind::Prepare, "s1", "READ q")).isSuccess());
    CHECK(answered(session, statement(StatementKind::Prepare, "s2", "READ q")).error == StatementError::Overloaded);
}

} // namespace rattanbeam::decisions::session
