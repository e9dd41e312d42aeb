#include "fakeplatform.h"

#include <catch2/catch.hpp>

#include <string>
#include <tuple>
#include <vector>

namespace rattanbeam::sessions::test
{

TEST_CASE("A write of a session runs at the primary and is answered", "[sessioninstance]")
{
    InstanceFixture fixture;
    REQUIRE(fixture.runUntil([&] {
        return fixture.instance->isReady();
    }));
    const auto [session, client] = fixture.openSession();
    REQUIRE(client->isAccepted);
    REQUIRE(fixture.runUntil([&, number = session, &answers = client->answers] {
        if (answers.empty() || !answers.back().isSuccess()) {
            fixture.instance->front().statementArrived(number, InstanceFixture::makeWriteStatement("w" + std::to_string(answers.size())));
        }
        return !answers.empty() && answers.back().isSuccess();
    }));
    CHECK(client->answers.back().signature == "signed");
}

TEST_CASE("A database without a route is refused", "[sessioninstance]")
{
    InstanceFixture fixture;
    REQUIRE(fixture.runUntil([&] {
        return fixture.instance->isReady();
    }));
    CHECK(fixture.openSession("nowhere").second->refusal == StatementError::UnknownDatabase);
}

TEST_CASE("A client needs a key of the configuration in force, also for the next statement of an open session", "[sessioninstance]")
{
    InstanceFixture fixture;
    const auto putConfiguration = [&](std::uint64_t version, const std::vector<std::string> &keys) {
        auto configuration = std::get<FleetConfiguration>(fixture.store->records.at({Collection::Configuration, "main"}).value);
        configuration.version = version;
        configuration.workspaces = {{WorkspaceName("mill"), keys}};
        fixture.store->put(Collection::Configuration, "main", configuration);
    };
    putConfiguration(4, {"old", "kept"});
    REQUIRE(fixture.runUntil([&] {
        return fixture.instance->isReady();
    }));
    CHECK(fixture.openSession("shop", "new").second->refusal == StatementError::Unauthenticated);
    const auto [oldSession, oldClient] = fixture.openSession("shop", "old");
    const auto [keptSession, keptClient] = fixture.openSession("shop", "kept");
    REQUIRE(oldClient->isAccepted);
    REQUIRE(keptClient->isAccepted);

    putConfiguration(5, {"kept", "new"});
    REQUIRE(fixture.runUntil([&] {
        return fixture.openSession("shop", "new").second->isAccepted;
    }));
    const std::size_t executedBefore = fixture.members->executedStatements.size();
    fixture.instance->front().statementArrived(oldSession, InstanceFixture::makeWriteStatement("w1"));
    CHECK(oldClient->refusal == StatementError::Unauthenticated);
    CHECK(fixture.members->executedStatements.size() == executedBefore);
    fixture.instance->front().statementArrived(keptSession, InstanceFixture::makeWriteStatement("w2"));
    CHECK_FALSE(keptClient->refusal);
}

// Guards against statements that members run under another caller than their session's.
TEST_CASE("Members are told the workspace of the session whose statement they run", "[sessioninstance]")
{
    InstanceFixture fixture;
    auto configuration = std::get<FleetConfiguration>(fixture.store->records.at({Collection::Configuration, "main"}).value);
    configuration.version = 4;
    configuration.workspaces = {{WorkspaceName("mill"), {"key-1", "key-2"}}, {WorkspaceName("quay"), {"key-3"}}};
    Route openRoute = configuration.routes.front();
    openRoute.database = decisions::DatabaseName("open");
    openRoute.isAuthenticationExempt = true;
    configuration.routes.push_back(openRoute);
    fixture.store->put(Collection::Configuration, "main", configuration);
    REQUIRE(fixture.runUntil([&] {
        return fixture.instance->isReady();
    }));
    const std::vector<std::tuple<std::string, std::string, std::string>> callers{{"shop", "key-1", "mill"},
                                                                                 {"shop", "key-3", "quay"},
                                                                                 {"shop", "key-2", "mill"},
                                                                                 {"open", "unknown", ""},
                                                                                 {"open", "key-3", "quay"}};
    for (int round = 0; round < 3; ++round) {
        std::size_t caller = 0;
        for (const auto &[database, key, workspace] : callers) {
            const auto [session, client] = fixture.openSession(database, key);
            REQUIRE(client->isAccepted);
            const std::string prefix = 'w' + std::to_string(round) + '-' + std::to_string(caller++) + '-';
            // The first writes may be refused while the group's term is not known.
            REQUIRE(fixture.runUntil([&, number = session, &answers = client->answers, attempts = std::size_t{0}]() mutable {
                if (attempts == answers.size() && (answers.empty() || !answers.back().isSuccess())) {
                    fixture.instance->front().statementArrived(number,
                                                               InstanceFixture::makeWriteStatement(prefix + std::to_string(attempts++)));
                }
                return !answers.empty() && answers.back().isSuccess();
            }));
            for (const auto &[statement, told] : fixture.members->statementWorkspaces) {
                if (statement.starts_with(prefix)) {
                    CHECK(told == workspace);
                }
            }
        }
    }
    CHECK(fixture.members->statementWorkspaces.size() >= 3 * callers.size());
}

TEST_CASE("An instance that reaches neither the store nor peers is not ready and refuses sessions", "[sessioninstance]")
{
    InstanceFixture fixture(false);
    fixture.runUntil(
        [] {
            return false;
        },
        300ms);
    CHECK_FALSE(fixture.instance->isReady());
    CHECK(fixture.openSession().second->refusal == StatementError::Busy);
}

TEST_CASE("A request that is redirected after its client has disconnected is neither run nor answered", "[sessioninstance]")
{
    InstanceFixture fixture;
    REQUIRE(fixture.runUntil([&] {
        return fixture.instance->isReady();
    }));
    const auto [session, client] = fixture.openSession();
    // A draining home redirects the request. The client has disconnected by the time this answer arrives, so there is no session
    // left to answer, and the request must not run.
    fixture.instance->drain([] {}, [] {});
    fixture.instance->front().statementArrived(session, InstanceFixture::makeWriteStatement("w1"));
    fixture.instance->front().sessionClosed(session);
    fixture.runUntil(
        [] {
            return false;
        },
        100ms);
    CHECK(client->answers.empty());
    CHECK(fixture.members->executedStatements.empty());
}

TEST_CASE("A draining instance closes its front listener before it checks that all sessions have ended", "[sessioninstance]")
{
    InstanceFixture fixture;
    REQUIRE(fixture.runUntil([&] {
        return fixture.instance->isReady();
    }));
    bool isFrontClosed = false;
    bool isDrained = false;
    bool wasClosedFirst = false;
    fixture.instance->drain(
        [&] {
            isFrontClosed = true;
        },
        [&] {
            wasClosedFirst = isFrontClosed;
            isDrained = true;
        });
    CHECK_FALSE(fixture.instance->isReady());
    // New sessions are accepted until the load balancer stops sending them.
    CHECK(fixture.openSession().second->isAccepted);
    REQUIRE(fixture.runUntil([&] {
        return isDrained;
    }));
    CHECK(wasClosedFirst);
}

// Guards against a graceful stop of a busy instance that closes a session although its client has sent the next statement.
TEST_CASE("A draining instance keeps a session open whose client has sent what it has not read yet", "[sessioninstance]")
{
    InstanceFixture fixture;
    REQUIRE(fixture.runUntil([&] {
        return fixture.instance->isReady();
    }));
    const auto resting = fixture.openSession().second;
    const auto sending = fixture.openSession().second;
    sending->hasUnread = true;
    fixture.instance->drain([] {}, [] {});
    REQUIRE(fixture.runUntil([&] {
        return resting->isClosed;
    }));
    CHECK_FALSE(sending->isClosed);
    sending->hasUnread = false;
    CHECK(fixture.runUntil([&] {
        return sending->isClosed;
    }));
}

TEST_CASE("Statements under way when a drain reaches its time limit are answered before the process ends", "[sessioninstance]")
{
    InstanceFixture fixture;
    REQUIRE(fixture.runUntil([&] {
        return fixture.instance->isReady();
    }));
    const auto makeStatement = [](StatementKind kind, const std::string &id) {
        Statement statement;
        statement.id = id;
        statement.kind = kind;
        return statement;
    };
    FrontHandler &front = fixture.instance->front();
    const auto [first, firstClient] = fixture.openSession();
    REQUIRE(fixture.runUntil([&, session = first, &answers = firstClient->answers] {
        if (answers.empty() || !answers.back().isSuccess()) {
            front.statementArrived(session, InstanceFixture::makeWriteStatement("w" + std::to_string(answers.size())));
        }
        return !answers.empty() && answers.back().isSuccess();
    }));
    // Two transactions, so that their sessions stay open while the instance drains.
    const auto [writer, writingClient] = fixture.openSession();
    const auto [committer, committingClient] = fixture.openSession();
    for (const SessionNumber session : {writer, committer}) {
        front.statementArrived(session, makeStatement(StatementKind::Begin, "begin"));
        front.statementArrived(session, InstanceFixture::makeWriteStatement("first"));
    }
    REQUIRE(fixture.runUntil([&, writing = writingClient, committing = committingClient] {
        return writing->answers.size() == 2 && committing->answers.size() == 2;
    }));
    REQUIRE(writingClient->answers.back().isSuccess());
    REQUIRE(committingClient->answers.back().isSuccess());
    bool isDrained = false;
    fixture.instance->drain([] {},
                            [&] {
                                isDrained = true;
                            });
    // The members do not answer any more. The statements arrive so late that their own time limits end after the drain.
    fixture.members->executionTime = 1h;
    fixture.runUntil(
        [] {
            return false;
        },
        fixture.settings.grace - 1300ms);
    REQUIRE_FALSE(isDrained);
    front.statementArrived(writer, InstanceFixture::makeWriteStatement("second"));
    front.statementArrived(committer, makeStatement(StatementKind::Commit, "commit"));
    REQUIRE(fixture.runUntil([&] {
        return isDrained;
    }));
    REQUIRE(writingClient->answers.size() == 3);
    CHECK(writingClient->answers.back().error == StatementError::Aborted);
    REQUIRE(committingClient->answers.size() == 3);
    CHECK(committingClient->answers.back().error == StatementError::InDoubt);
}

TEST_CASE("Statements for which entry or home have no room are refused as not run, small ones and later ones are served",
          "[sessioninstance]")
{
    const bool isEntryFull = GENERATE(true, false);
    ClientLimits limits;
    (isEntryFull ? limits.maxForwardedBytes : limits.maxAcceptedBytes) = 100'000;
    InstanceFixture fixture(true, limits);
    REQUIRE(fixture.runUntil([&] {
        return fixture.instance->isReady();
    }));
    FrontHandler &front = fixture.instance->front();
    const auto write = [](const std::string &id, std::size_t bytes) {
        Statement statement = InstanceFixture::makeWriteStatement(id);
        statement.arguments.resize(bytes, 'x');
        return statement;
    };
    const auto [first, firstClient] = fixture.openSession();
    REQUIRE(fixture.runUntil([&, session = first, &answers = firstClient->answers] {
        if (answers.empty() || !answers.back().isSuccess()) {
            front.statementArrived(session, write("w" + std::to_string(answers.size()), 10));
        }
        return !answers.empty() && answers.back().isSuccess();
    }));
    const auto [second, secondClient] = fixture.openSession();
    const auto [small, smallClient] = fixture.openSession();
    const auto [transaction, transactionClient] = fixture.openSession();
    Statement begin;
    begin.kind = StatementKind::Begin;
    front.statementArrived(transaction, begin);
    front.statementArrived(transaction, write("t1", 10));
    REQUIRE(fixture.runUntil([&, client = transactionClient] {
        return client->answers.size() == 2;
    }));
    const std::size_t answersBefore = firstClient->answers.size();
    fixture.members->executionTime = 100ms;
    front.statementArrived(first, write("large", 60'000));
    front.statementArrived(second, write("refused", 60'000));
    front.statementArrived(transaction, write("refused", 60'000));
    front.statementArrived(small, write("small", 100));
    REQUIRE(fixture.runUntil([&, one = firstClient, two = secondClient, three = transactionClient, four = smallClient] {
        return one->answers.size() == answersBefore + 1 && two->answers.size() == 1 && three->answers.size() == 3
               && four->answers.size() == 1;
    }));
    CHECK(firstClient->answers.back().isSuccess());
    CHECK(secondClient->answers.back().error == StatementError::Busy);
    CHECK(transactionClient->answers.back().error == StatementError::Aborted);
    CHECK(transactionClient->answers.back().phase == SessionPhase::Failed);
    CHECK(smallClient->answers.back().isSuccess());
    front.statementArrived(second, write("later", 60'000));
    REQUIRE(fixture.runUntil([&, client = secondClient] {
        return client->answers.size() == 2;
    }));
    CHECK(secondClient->answers.back().isSuccess());
    const auto &executed = fixture.members->executedStatements;
    CHECK(std::count(executed.begin(), executed.end(), "refused") == 0);
}

TEST_CASE("Store watches that have to detect changes within a time limit wait for at most 20 s", "[sessioninstance]")
{
    InstanceFixture fixture;
    REQUIRE(fixture.runUntil([&] {
        return fixture.instance->isReady() && fixture.store->watchesStarted >= 4;
    }));
    CHECK(fixture.store->longestWatchWait <= 20s);
}

TEST_CASE("All store watches restart when the store is reachable again", "[sessioninstance]")
{
    InstanceFixture fixture;
    REQUIRE(fixture.runUntil([&] {
        return fixture.instance->isReady() && fixture.store->watchesStarted >= 4;
    }));
    const int watchesBeforeOutage = fixture.store->watchesStarted;
    fixture.store->isUnavailable = true;
    fixture.store->put(Collection::Members, "m9", RecordValue()); // ends the watch on the members
    REQUIRE(fixture.runUntil([&] {
        return fixture.store->watchesStarted > watchesBeforeOutage + 1;
    }));
    fixture.store->isUnavailable = false;
    CHECK(fixture.runUntil([&] {
        return fixture.store->watchesStarted >= watchesBeforeOutage + 5;
    }));
}

// What the instance wrote since the copy is lost: its registration, without which other instances pass it over, and the term record.
TEST_CASE("An instance registers again and writes the term again after the store has come back from an older copy", "[sessioninstance]")
{
    InstanceFixture fixture;
    const auto copy = fixture.store->records;
    const std::uint64_t copiedRevision = fixture.store->revision;
    const std::pair registration(Collection::Instances, std::string("a1"));
    const std::pair term(Collection::Terms, std::string("orders"));
    REQUIRE(fixture.runUntil([&] {
        return fixture.instance->isReady() && fixture.store->records.contains(registration);
    }));
    const auto [writer, writingClient] = fixture.openSession();
    fixture.instance->front().statementArrived(writer, InstanceFixture::makeWriteStatement("first"));
    REQUIRE(fixture.runUntil([&, writing = writingClient] {
        return writing->answers.size() == 1 && fixture.store->records.contains(term);
    }));
    const std::uint64_t generation = std::get<TermRecord>(fixture.store->records.at(term).value).generation;
    fixture.store->restore(copy, copiedRevision);
    REQUIRE_FALSE(fixture.store->records.contains(registration));
    REQUIRE(fixture.runUntil(
        [&] {
            return fixture.store->records.contains(registration) && fixture.store->records.contains(term);
        },
        10s));
    const auto &written = std::get<TermRecord>(fixture.store->records.at(term).value);
    CHECK(written.generation > generation);
    CHECK(written.primary == MemberId("m1"));
    CHECK(fixture.instance->metricsText().find("rattanbeam_store_epoch 1\n") != std::string::npos);
    fixture.instance->front().statementArrived(writer, InstanceFixture::makeWriteStatement("second"));
    REQUIRE(fixture.runUntil([&, writing = writingClient] {
        return writing->answers.size() == 2;
    }));
    CHECK(writingClient->answers.back().isSuccess());
}

TEST_CASE("Valid settings of the sessions interface are accepted, invalid ones rejected", "[sessionsettings]")
{
    const std::string validSettings = "[interface]\nkind = sessions\n[instance]\nname = a1\ndomain = a\nip = 10.0.0.1\n[listen]\nfront = "
                                      "10.0.0.1:80\nreadiness = 10.0.0.1:81\npeers = 10.0.0.1:82\n[platform]\nstore = 10.0.0.9:90\n";
    REQUIRE(parseSessionSettings(validSettings));
    CHECK(selectsSessionsInterface(validSettings));
    CHECK_FALSE(selectsSessionsInterface("[instance]\nname = a1\n"));
    CHECK_FALSE(parseSessionSettings(validSettings + "[limits]\ngrace = soon\n"));
    CHECK_FALSE(parseSessionSettings(validSettings + "[limits]\ngrce = 6s\n"));
    CHECK(parseSessionSettings(validSettings + "[limits]\nprocessor-share = 0.25\nprocessor-speed = 2\n")->processorMilli == 500);
    CHECK_FALSE(parseSessionSettings(validSettings + "[limits]\nprocessor-share = 0\n"));
    CHECK(parseSessionSettings(validSettings)->isPaceEnabled);
    CHECK_FALSE(parseSessionSettings(validSettings + "[pace]\nenabled = off\n")->isPaceEnabled);
    CHECK_FALSE(parseSessionSettings(validSettings + "[pace]\nenabled = maybe\n"));
    CHECK_FALSE(parseSessionSettings(validSettings + "[limits]\nprocessor-share = 1e\n"));
    const auto quotas = parseSessionSettings(validSettings + "[quotas]\nwindow-seconds = 4\ntolerance = 0.1\nslack = 20\n");
    REQUIRE(quotas);
    CHECK(quotas->quotaBound == decisions::session::QuotaBound{4s, 0.1, 20});
    CHECK(parseSessionSettings(validSettings + "[quotas]\n")->quotaBound == decisions::session::QuotaBound{5s, 0, 0});
    CHECK_FALSE(parseSessionSettings(validSettings + "[quotas]\nwindow-seconds = 0.5\n"));
    CHECK_FALSE(parseSessionSettings(validSettings + "[quotas]\nslack = -1\n"));
    CHECK(parseSessionSettings(validSettings, {"quotas.slack=20", "quotas.tolerance="})->quotaBound
          == decisions::session::QuotaBound{5s, 0, 20});
    CHECK(parseSessionSettings(validSettings + "[quotas]\nslack = 7\n", {"quotas.slack=20"})->quotaBound.slack == 7);
    CHECK_FALSE(parseSessionSettings(validSettings, {"quotas.slck=20"}));
    CHECK_FALSE(parseSessionSettings(validSettings, {"slack"}));
    CHECK_FALSE(parseSessionSettings(validSettings + "[quotas]\ntolerance = much\n"));
    CHECK(parseSessionSettings(validSettings + "[limits]\nmemory = 160\ndescriptors = 4200\n")->clients.maxConnections == 2950);
    CHECK(parseSessionSettings(validSettings + "[limits]\nmemory = 160\n")->clientBytes == 60U << 20U);
    CHECK_FALSE(parseSessionSettings(validSettings + "[limits]\nmemory = 160\nclient-memory = 160\n"));
    CHECK_FALSE(parseSessionSettings(validSettings + "[limits]\nsetup-timeout = 0s\n"));
    CHECK_FALSE(parseSessionSettings("[interface]\nkind = sessions\n"));
    const auto error = parseSessionSettings(validSettings + "[peers]\nseeds = 10.0.0.1\n");
    REQUIRE_FALSE(error);
    CHECK(error.error().text("a1.ini").find("seeds") != std::string::npos);
}

} // namespace rattanbeam::sessions::test
