#include "rattanbeam/decisions/session/clientsession.h"

#include <catch2/catch.hpp>

namespace rattanbeam::decisions::session
{

namespace
{

Statement makeStatement(StatementKind kind, const std::string &name = {}, const std::string &arguments = {})
{
    Statement statement;
    statement.id = "id";
    statement.kind = kind;
    statement.name = name;
    statement.arguments = arguments;
    return statement;
}

Answer immediateAnswer(ClientSession &session, const Statement &statement)
{
    return std::get<Answer>(session.handleStatement(statement));
}

ForwardedStatement forwardedStatement(ClientSession &session, const Statement &statement)
{
    return std::get<ForwardedStatement>(session.handleStatement(statement));
}

Answer successAt(SessionPhase phase, LogPosition position)
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
    CHECK(immediateAnswer(session, makeStatement(StatementKind::Begin)).phase == SessionPhase::InTransaction);
    CHECK(session.startedTransaction() == 0);
    const ForwardedStatement first = forwardedStatement(session, makeStatement(StatementKind::Read, "", "a"));
    CHECK(first.opensTransaction);
    session.handleAnswer(first, successAt(SessionPhase::InTransaction, {1, 1}));
    CHECK(session.startedTransaction() == first.transaction);
    CHECK_FALSE(forwardedStatement(session, makeStatement(StatementKind::Write, "", "a b")).opensTransaction);
}

TEST_CASE("A failed transaction accepts only its commit or rollback", "[clientsession]")
{
    ClientSession session;
    immediateAnswer(session, makeStatement(StatementKind::Begin));
    const ForwardedStatement first = forwardedStatement(session, makeStatement(StatementKind::Write, "", "a b"));
    CHECK(session.handleAnswer(first, Answer::failure(StatementError::Aborted, "", SessionPhase::Idle)).phase == SessionPhase::Failed);
    CHECK(immediateAnswer(session, makeStatement(StatementKind::Read, "", "a")).error == StatementError::Malformed);
    CHECK(immediateAnswer(session, makeStatement(StatementKind::SetValue, "x", "1")).error == StatementError::Malformed);
    const Answer commit = immediateAnswer(session, makeStatement(StatementKind::Commit));
    CHECK(commit.error == StatementError::Aborted);
    CHECK(commit.phase == SessionPhase::Idle);
}

TEST_CASE("Only an acknowledged commit advances the session's last commit position", "[clientsession]")
{
    ClientSession session;
    const ForwardedStatement read = forwardedStatement(session, makeStatement(StatementKind::Read, "", "a"));
    session.handleAnswer(read, successAt(SessionPhase::Idle, {1, 9}));
    CHECK_FALSE(session.lastCommitPosition());
    const ForwardedStatement write = forwardedStatement(session, makeStatement(StatementKind::Write, "", "a b"));
    session.handleAnswer(write, Answer::failure(StatementError::InDoubt, "", SessionPhase::Idle));
    CHECK_FALSE(session.lastCommitPosition());
    session.handleAnswer(forwardedStatement(session, makeStatement(StatementKind::Write, "", "a b")),
                         successAt(SessionPhase::Idle, {1, 10}));
    CHECK(session.lastCommitPosition() == LogPosition{1, 10});
}

TEST_CASE("A prepared statement is executed with its definition, and is removed when it is deallocated", "[clientsession]")
{
    ClientSession session;
    CHECK(immediateAnswer(session, makeStatement(StatementKind::Execute, "s1", "a")).error == StatementError::UnknownPrepared);
    CHECK(immediateAnswer(session, makeStatement(StatementKind::Prepare, "s1", "READ q1")).isSuccess());
    const ForwardedStatement read = forwardedStatement(session, makeStatement(StatementKind::Execute, "s1", "a"));
    CHECK(read.isReadOnly);
    CHECK(read.definition == "READ q1");
    session.handleAnswer(read, successAt(SessionPhase::Idle, {1, 1}));
    CHECK(immediateAnswer(session, makeStatement(StatementKind::Deallocate, "s1")).isSuccess());
    CHECK(immediateAnswer(session, makeStatement(StatementKind::Deallocate, "s1")).error == StatementError::UnknownPrepared);
    CHECK(immediateAnswer(session, makeStatement(StatementKind::Prepare, "s1", "DROP q1")).error == StatementError::Malformed);
}

TEST_CASE("The numbers of values and prepared statements in a session are limited", "[clientsession]")
{
    ClientSession session(SessionLimits{2, 1});
    CHECK(immediateAnswer(session, makeStatement(StatementKind::SetValue, "a", "1")).isSuccess());
    CHECK(immediateAnswer(session, makeStatement(StatementKind::SetValue, "b", "1")).isSuccess());
    CHECK(immediateAnswer(session, makeStatement(StatementKind::SetValue, "a", "2")).isSuccess());
    CHECK(immediateAnswer(session, makeStatement(StatementKind::SetValue, "c", "1")).error == StatementError::Overloaded);
    CHECK(immediateAnswer(session, makeStatement(StatementKind::Prepare, "s1", "READ q")).isSuccess());
    CHECK(immediateAnswer(session, makeStatement(StatementKind::Prepare, "s2", "READ q")).error == StatementError::Overloaded);
}

TEST_CASE("The bytes of values and prepared statements in a session are limited together", "[clientsession]")
{
    ClientSession session(SessionLimits{64, 64, 100});
    CHECK(immediateAnswer(session, makeStatement(StatementKind::SetValue, "a", std::string(49, 'x'))).isSuccess());
    CHECK(immediateAnswer(session, makeStatement(StatementKind::Prepare, "s", "READ " + std::string(44, 'x'))).isSuccess());
    CHECK(session.storedBytes() == 100);
    CHECK(immediateAnswer(session, makeStatement(StatementKind::SetValue, "b", "")).error == StatementError::Overloaded);
    CHECK(immediateAnswer(session, makeStatement(StatementKind::SetValue, "a", "1")).isSuccess());
    CHECK(immediateAnswer(session, makeStatement(StatementKind::SetValue, "b", std::string(40, 'x'))).isSuccess());
    CHECK(immediateAnswer(session, makeStatement(StatementKind::Deallocate, "s")).isSuccess());
    CHECK(session.storedBytes() == 43);
}

} // namespace rattanbeam::decisions::session
