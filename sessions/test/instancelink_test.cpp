// Guards against links between instances that hold any number of large frames, lose frames or change their order.

#include "fakeplatform.h"

#include "rattanbeam/sessions/internal/instancelink.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <string>
#include <thread>
#include <vector>

#include <unistd.h>

namespace rattanbeam::sessions::test
{

namespace
{

internal::Frame statementFrame(std::uint64_t number, std::size_t bytes)
{
    internal::Frame frame;
    frame.mutable_statement()->set_request(number);
    frame.mutable_statement()->set_arguments(std::string(bytes, 'x'));
    return frame;
}

/// An instance that keeps the numbers of the statements it received and answers each with as many bytes.
struct EchoServer {
    explicit EchoServer(EventLoop &loop)
        : socketFile(std::filesystem::temp_directory_path() / ("rattanbeam-echo-" + std::to_string(getpid())))
        , server(loop, "unix:" + socketFile.string(), [this](const std::shared_ptr<internal::FrameStream> &stream) {
            internal::FrameEvents events;
            events.arrived = [this, stream](const internal::Frame &frame) {
                received.push_back(frame.statement().request());
                internal::Frame answer;
                answer.mutable_reply()->set_request(frame.statement().request());
                answer.mutable_reply()->add_rows(frame.statement().arguments());
                stream->write(answer);
            };
            return events;
        })
    {}
    ~EchoServer()
    {
        std::filesystem::remove(socketFile);
    }
    EchoServer(const EchoServer &) = delete;
    EchoServer &operator=(const EchoServer &) = delete;

    std::filesystem::path socketFile;
    std::vector<std::uint64_t> received;
    internal::InstanceServer server;
};

template<typename Condition>
bool runUntil(EventLoop &loop, Condition isDone)
{
    const auto deadline = std::chrono::steady_clock::now() + 10s;
    while (!isDone() && std::chrono::steady_clock::now() < deadline) {
        loop.context().restart();
        loop.context().run_for(5ms);
    }
    return isDone();
}

} // namespace

TEST_CASE("Large and small frames arrive in order in both directions", "[instancelink]")
{
    EventLoop loop;
    EchoServer server(loop);
    std::vector<std::uint64_t> sent;
    std::vector<std::uint64_t> answered;
    internal::FrameEvents events;
    events.arrived = [&](const internal::Frame &frame) {
        answered.push_back(frame.reply().request());
    };
    const auto stream = internal::connectInstance(loop, "unix:" + server.socketFile.string(), events);
    for (std::uint64_t number = 1; number <= 60; ++number) {
        stream->write(statementFrame(number, number % 3 == 0 ? 1'000'000 : number % 3 == 1 ? 20'000 : 10));
        sent.push_back(number);
    }
    REQUIRE(runUntil(loop, [&] {
        return answered.size() == sent.size();
    }));
    CHECK(server.received == sent);
    CHECK(answered == sent);
    CHECK(stream->unwrittenBytes() == 0);
}

TEST_CASE("Large frames wait at their sender while the receiver's event loop is busy", "[instancelink]")
{
    EventLoop loop;
    EventLoop serverLoop;
    EchoServer server(serverLoop);
    const auto stream = internal::connectInstance(loop, "unix:" + server.socketFile.string(), {});
    constexpr std::size_t frames = 50;
    for (std::uint64_t number = 1; number <= frames; ++number) {
        stream->write(statementFrame(number, 1'000'000));
    }
    std::this_thread::sleep_for(500ms); // the server's loop does not run meanwhile
    CHECK(stream->unwrittenBytes() > frames / 2 * 1'000'000);
    CHECK(runUntil(serverLoop, [&] {
        return server.received.size() == frames;
    }));
}

// Guards against an abort in gRPC: the last stream of the process ended on the thread of gRPC that its channel's destruction waits for.
TEST_CASE("The process survives that its only stream ends after its owner has left it", "[instancelink]")
{
    EventLoop loop;
    constexpr int streams = 100;
    for (int i = 0; i < streams; ++i) {
        internal::connectInstance(loop, "unix:/nonexistent", {}).reset();
        loop.context().restart();
        loop.context().run_for(20ms);
    }
}

TEST_CASE("An entry that does not take its answers gets errors instead of rows", "[instancelink]")
{
    ClientLimits limits;
    limits.maxAcceptedBytes = 4 << 20;
    InstanceFixture fixture(
        true, limits, "unix:" + (std::filesystem::temp_directory_path() / ("rattanbeam-slow-" + std::to_string(getpid()))).string());
    fixture.members->rowBytes = 500'000;
    REQUIRE(fixture.runUntil([&] {
        return fixture.instance->isReady();
    }));
    EventLoop entryLoop;
    std::size_t answersWithRows = 0;
    std::size_t withheld = 0;
    std::size_t others = 0;
    internal::FrameEvents events;
    events.arrived = [&](const internal::Frame &frame) {
        if (frame.has_reply()) {
            const bool isTimeout = frame.reply().error() == static_cast<std::uint32_t>(StatementError::TimedOut);
            ++(frame.reply().rows_size() > 0 ? answersWithRows : isTimeout ? withheld : others);
        }
    };
    const auto stream = internal::connectInstance(entryLoop, fixture.settings.peerAddress, events);
    std::size_t sent = 0;
    const auto ask = [&] {
        internal::Frame frame;
        link::v1::StatementRequest &message = *frame.mutable_statement();
        message.set_request(++sent);
        message.set_service("orders");
        message.set_id("r" + std::to_string(sent));
        message.set_kind(static_cast<std::uint32_t>(StatementKind::Read));
        message.set_read_only(true);
        message.set_arguments("1");
        message.set_timeout_ms(5000);
        message.set_objective_ms(5000);
        stream->write(frame);
    };
    // The entry's loop does not run, so that it reads one large frame and no more.
    while (sent < 100) {
        ask();
        fixture.runUntil(
            [] {
                return false;
            },
            10ms);
    }
    CHECK(runUntil(entryLoop, [&] {
        fixture.runUntil(
            [] {
                return false;
            },
            5ms);
        return answersWithRows + withheld + others == sent;
    }));
    CHECK(withheld > 0);
    CHECK(answersWithRows > 0);
    CHECK(answersWithRows < 60);
}

} // namespace rattanbeam::sessions::test
