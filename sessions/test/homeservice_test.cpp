// Tests of what a home asks of other instances.

#include "fakeplatform.h"

#include "rattanbeam/decisions/session/grouphome.h"
#include "rattanbeam/sessions/internal/instancelink.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <memory>
#include <string>
#include <utility>

#include <unistd.h>

namespace rattanbeam::sessions::test
{

namespace
{

/// Another instance. It reaches no member, and answers requests to yield a lease as `identity`, or not at all while that is empty.
class FakeInstance
{
public:
    FakeInstance(EventLoop &loop, const std::string &name)
        : m_socketFile(std::filesystem::temp_directory_path() / ("rattanbeam-" + name + '-' + std::to_string(getpid())))
        , m_server(loop, address(), [this](const std::shared_ptr<internal::FrameStream> &stream) {
            return accept(stream);
        })
    {}
    ~FakeInstance()
    {
        std::filesystem::remove(m_socketFile);
    }
    FakeInstance(const FakeInstance &) = delete;
    FakeInstance &operator=(const FakeInstance &) = delete;
    std::string address() const
    {
        return "unix:" + m_socketFile.string();
    }

    std::string identity;
    int yieldRequests = 0;

private:
    internal::FrameEvents accept(const std::shared_ptr<internal::FrameStream> &stream)
    {
        internal::FrameEvents events;
        events.arrived = [this, stream](const internal::Frame &frame) {
            internal::Frame answer;
            if (frame.has_ping()) {
                answer.mutable_pong()->set_number(frame.ping().number());
                stream->write(answer);
            } else if (frame.has_probe()) {
                answer.mutable_probe_reply()->set_number(frame.probe().number());
                stream->write(answer);
            } else if (frame.has_fence()) {
                ++yieldRequests;
                if (!identity.empty()) {
                    answer.mutable_fence_reply()->set_number(frame.fence().number());
                    answer.mutable_fence_reply()->set_instance(identity);
                    stream->write(answer);
                }
            }
        };
        return events;
    }

    std::filesystem::path m_socketFile;
    internal::InstanceServer m_server;
};

/// Instance a1 is home to a service whose primary is down. The service's term record lists process b1/2 as a lease holder, but a1 knows
/// of instance b1 only the registration of another process.
class LeaseHolderFixture
{
public:
    LeaseHolderFixture()
    {
        auto fakeStore = std::make_unique<FakeStore>(loop);
        auto fakeMembers = std::make_unique<FakeMembers>(loop);
        auto fakePromotions = std::make_unique<FakePromotions>();
        members = fakeMembers.get();
        promotions = fakePromotions.get();
        members->downMembers = {"m1"};
        FleetConfiguration configuration;
        configuration.version = 3;
        configuration.services.push_back({ServiceName("orders"), 16});
        fakeStore->put(Collection::Configuration, "main", configuration);
        for (const char *id : {"m1", "m2", "m3"}) {
            const MemberRecord record{
                MemberId(id), ServiceName("orders"), "m:1", decisions::FailureDomain("a"), 2, false, std::string(id) == "m1", 1};
            fakeStore->put(Collection::Members, id, record);
        }
        for (const auto &[name, address] : {std::pair("b1", holder.address()), std::pair("c1", peer.address())}) {
            const InstanceRecord record{
                decisions::InstanceId(name), address, decisions::FailureDomain(name), registeredIncarnation, false, /*processorMilli=*/1};
            fakeStore->put(Collection::Instances, name, record);
        }
        fakeStore->put(Collection::Terms,
                       "orders",
                       TermRecord{ServiceName("orders"), 1, MemberId("m1"), {"b1/2"}, 1, {MemberId("m2"), MemberId("m3")}});
        settings.instance = decisions::InstanceId("a1");
        settings.domain = decisions::FailureDomain("a");
        settings.peerAddress = "127.0.0.1:0";
        settings.configurationBound = 3s;
        instance = std::make_unique<SessionInstance>(
            loop, settings, Ports{std::move(fakeStore), std::move(fakeMembers), std::move(fakePromotions)});
        instance->start();
    }
    /// Runs the loop until the condition holds, for at most 10 s.
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
    bool isPromotionOrdered() const
    {
        return !promotions->orders.empty();
    }
    /// Time from the fence of the candidate, until which a lease could rest on its word, to the order.
    decisions::Duration waitBeforeOrder() const
    {
        const FakePromotions::Order &order = promotions->orders.front();
        return order.orderedAt - members->fencedSince.at(order.member.text());
    }

    static constexpr std::uint64_t registeredIncarnation = 1;

    EventLoop loop;
    FakeInstance holder{loop, "b1"};
    FakeInstance peer{loop, "c1"};
    SessionSettings settings;
    FakeMembers *members = nullptr;
    FakePromotions *promotions = nullptr;
    std::unique_ptr<SessionInstance> instance;
};

} // namespace

// Guards against stale reads: the holder had restarted and listed itself before its registration reached the home, which took the older
// registration for proof that the listed process had ended, and ordered the promotion while that process went on serving.
TEST_CASE("A lease of a process that the directory does not know yet is waited for", "[homeservice]")
{
    LeaseHolderFixture fixture;
    SECTION("the holder's instance does not answer")
    {}
    SECTION("an instance that was given the holder's address answers")
    {
        fixture.holder.identity = "d1/7";
    }
    REQUIRE(fixture.runUntil([&] {
        return fixture.isPromotionOrdered();
    }));
    CHECK(fixture.holder.yieldRequests > 0);
    CHECK(fixture.waitBeforeOrder() >= GroupHomeLimits().leaseDuration);
}

TEST_CASE("An answer of the lease holder's instance ends the wait for the lease", "[homeservice]")
{
    LeaseHolderFixture fixture;
    fixture.members->downMembers.insert("m3"); // a witness that cannot be fenced, so that the lease would be waited for much longer
    SECTION("the holder answers")
    {
        fixture.holder.identity = "b1/2";
    }
    SECTION("a later process answers, whose incarnation is lower because the clock was set back")
    {
        fixture.holder.identity = "b1/1";
    }
    CHECK(fixture.runUntil([&] {
        return fixture.isPromotionOrdered();
    }));
}

} // namespace rattanbeam::sessions::test
