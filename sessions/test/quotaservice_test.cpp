// Tests of workspace quotas at whole instances, and of requests that wait for a grant.

#include "fakeplatform.h"

#include "rattanbeam/sessions/internal/quotaservice.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <memory>
#include <string>

#include <unistd.h>

namespace rattanbeam::sessions::test
{

namespace
{

constexpr const char *key = "acme-key";

FleetConfiguration limitedConfiguration(double ratePerSecond, double burst)
{
    FleetConfiguration configuration;
    configuration.version = 4;
    configuration.routes.push_back(
        {decisions::DatabaseName("shop"), ServiceName("orders"), Consistency::Latest, decisions::Rank::Urgent, 800, 100, 0});
    configuration.services.push_back({ServiceName("orders"), 16});
    configuration.workspaces = {{WorkspaceName("acme"), {key}, ratePerSecond, burst}};
    return configuration;
}

/// Two instances that know each other, each with a store of its own that holds the same records.
class PairFixture
{
public:
    PairFixture()
    {
        for (std::size_t i = 0; i < names.size(); ++i) {
            addresses.push_back(
                "unix:" + (std::filesystem::temp_directory_path() / ("rattanbeam-" + names[i] + '-' + std::to_string(getpid()))).string());
        }
        for (std::size_t i = 0; i < names.size(); ++i) {
            auto store = std::make_unique<FakeStore>(loop);
            store->put(Collection::Configuration, "main", limitedConfiguration(20, 10));
            store->put(Collection::Members,
                       "m1",
                       MemberRecord{MemberId("m1"), ServiceName("orders"), "m1:1", decisions::FailureDomain("a"), 2, false, true, 1});
            const std::size_t other = 1 - i;
            store->put(
                Collection::Instances,
                names[other],
                InstanceRecord{decisions::InstanceId(names[other]), addresses[other], decisions::FailureDomain("a"), 1, false, 1000});
            SessionSettings settings;
            settings.instance = decisions::InstanceId(names[i]);
            settings.domain = decisions::FailureDomain("a");
            settings.peerAddress = addresses[i];
            settings.configurationBound = 3s;
            instances.push_back(std::make_unique<SessionInstance>(
                loop, settings, Ports{std::move(store), std::make_unique<FakeMembers>(loop), std::make_unique<FakePromotions>()}));
            instances.back()->start();
        }
    }
    ~PairFixture()
    {
        for (const std::string &address : addresses) {
            std::filesystem::remove(address.substr(address.find(':') + 1));
        }
    }
    PairFixture(const PairFixture &) = delete;
    PairFixture &operator=(const PairFixture &) = delete;
    template<typename Condition>
    bool runUntil(Condition isDone)
    {
        const auto deadline = std::chrono::steady_clock::now() + 10s;
        while (!isDone() && std::chrono::steady_clock::now() < deadline) {
            loop.context().restart();
            loop.context().run_for(5ms);
        }
        return isDone();
    }
    bool showsMetric(const std::string &line) const
    {
        return std::any_of(instances.begin(), instances.end(), [&](const auto &instance) {
            return instance->metricsText().find(line) != std::string::npos;
        });
    }

    EventLoop loop;
    std::vector<std::string> names{"qa", "qb"};
    std::vector<std::string> addresses;
    std::vector<std::unique_ptr<SessionInstance>> instances;
};

} // namespace

// Guards against operations that pass without a token, against refusals in another form than clients understand, and against limits on
// statements that are no operations of their own.
TEST_CASE("A workspace over its quota is refused with the time to wait, inside a transaction it is not", "[quota]")
{
    InstanceFixture fixture;
    fixture.store->put(Collection::Configuration, "main", limitedConfiguration(1, 3));
    REQUIRE(fixture.runUntil([&] {
        return fixture.instance->metricsText().find("quota_waiting 0") != std::string::npos && fixture.instance->isReady();
    }));
    const auto [session, client] = fixture.openSession("shop", key);
    std::size_t sent = 0;
    const auto send = [&, number = session, channel = client](StatementKind kind) {
        Statement statement = InstanceFixture::makeWriteStatement("s" + std::to_string(++sent));
        statement.kind = kind;
        fixture.instance->front().statementArrived(number, statement);
        REQUIRE(fixture.runUntil([&] {
            return channel->answers.size() == sent;
        }));
        return channel->answers.back();
    };
    const auto deadline = std::chrono::steady_clock::now() + 8s;
    Answer answer = send(StatementKind::Write);
    while (!answer.isSuccess() && std::chrono::steady_clock::now() < deadline) {
        answer = send(StatementKind::Write);
    }
    REQUIRE(answer.isSuccess());
    // The first statement of a transaction is the operation, and BEGIN is answered by the entry.
    CHECK(send(StatementKind::Begin).isSuccess());
    answer = send(StatementKind::Write);
    while (!answer.isSuccess() && std::chrono::steady_clock::now() < deadline) {
        CHECK(send(StatementKind::Rollback).isSuccess());
        CHECK(send(StatementKind::Begin).isSuccess());
        answer = send(StatementKind::Write);
    }
    REQUIRE(answer.isSuccess());
    for (int i = 0; i < 10; ++i) {
        CHECK(send(StatementKind::Write).isSuccess());
    }
    CHECK(send(StatementKind::Commit).isSuccess());
    for (int i = 0; i < 10 && answer.isSuccess(); ++i) {
        answer = send(StatementKind::Write);
    }
    CHECK(answer.error == StatementError::Busy);
    CHECK(answer.errorText.find("quota-exceeded retry-after-ms=") == 0);
    CHECK(fixture.instance->metricsText().find("rattanbeam_quota_refused_total") != std::string::npos);
}

// Guards against quota messages that are not sent, not answered or not understood between instances.
TEST_CASE("An instance delegates its share to another, and operations are admitted by its tokens", "[quota]")
{
    PairFixture fixture;
    REQUIRE(fixture.runUntil([&] {
        return fixture.showsMetric("rattanbeam_quota_delegations 1");
    }));
    auto client = std::make_shared<FakeClient>();
    FrontHandler &front = fixture.instances[0]->front();
    const SessionNumber session = front.sessionOpened(client, decisions::DatabaseName("shop"), key);
    std::size_t admitted = 0;
    for (std::size_t i = 1; i <= 40 && admitted < 8; ++i) {
        front.statementArrived(session, InstanceFixture::makeWriteStatement("w" + std::to_string(i)));
        REQUIRE(fixture.runUntil([&] {
            return client->answers.size() == i;
        }));
        admitted += client->answers.back().isSuccess() ? 1 : 0;
        const auto next = std::chrono::steady_clock::now() + 70ms; // below the limit of 20 a second
        fixture.runUntil([&] {
            return std::chrono::steady_clock::now() >= next;
        });
    }
    CHECK(admitted == 8);
    CHECK(fixture.showsMetric("rattanbeam_quota_tokens_granted_total"));
}

// Guards against callbacks of waiting requests that are kept, or called, after the connection of their entry has ended.
TEST_CASE("Operations that wait for a grant end with their entry's connection", "[quota]")
{
    EventLoop loop;
    FakeStore store(loop);
    store.put(Collection::Configuration, "main", limitedConfiguration(1, 3));
    store.put(Collection::Instances,
              "qb",
              InstanceRecord{decisions::InstanceId("qb"), "127.0.0.1:1", decisions::FailureDomain("a"), 1, false, 1000});
    kernel::Metrics metrics;
    SessionSettings settings;
    settings.instance = decisions::InstanceId("qa");
    internal::Directory directory(loop, store, 3s);
    internal::PeerLinks links(loop,
                              {.frameArrived = [](const auto &...) {},
                               .linkLost = [](const auto &...) {},
                               .linkSilent = [](const auto &...) {},
                               .pongArrived = [](const auto &...) {}});
    internal::QuotaService quotas(settings, directory, links, metrics);
    directory.onChange([&] {
        quotas.fleetChanged({});
    });
    directory.start();
    const auto deadline = std::chrono::steady_clock::now() + 5s;
    while (!quotas.isLimited(WorkspaceName("acme")) && std::chrono::steady_clock::now() < deadline) {
        loop.context().restart();
        loop.context().run_for(5ms);
    }
    int calls = 0;
    for (int i = 0; i < 300; ++i) {
        const auto decision = quotas.request(WorkspaceName("acme"), EventLoop::now() + 1s);
        if (decision.verdict == decisions::session::QuotaVerdict::Waiting) {
            quotas.whenDecided(decision.operation, i % 2 == 0 ? "peer-1" : "peer-2", [&](bool, decisions::Duration) {
                ++calls;
            });
        }
    }
    CHECK(quotas.waiting() == 256);
    quotas.entryLost("peer-1");
    CHECK(quotas.waiting() == 128);
    CHECK(calls == 0);
    while (quotas.waiting() > 0 && std::chrono::steady_clock::now() < deadline) {
        loop.context().restart();
        loop.context().run_for(5ms);
        quotas.tick();
    }
    CHECK(calls == 128);
}

} // namespace rattanbeam::sessions::test
