#include "rattanbeam/sessions/internal/peerlinks.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include <unistd.h>

namespace rattanbeam::sessions::test
{

namespace
{

using namespace std::chrono_literals;
using internal::PeerLinks;

/// A peer that answers the first ping only, and statements when the test says so.
struct SilentPeer {
    explicit SilentPeer(EventLoop &loop)
        : socketFile(std::filesystem::temp_directory_path() / ("rattanbeam-peer-" + std::to_string(getpid())))
        , server(loop, address(), [this](const std::shared_ptr<internal::FrameStream> &stream) {
            return accept(stream);
        })
    {}
    ~SilentPeer()
    {
        std::filesystem::remove(socketFile);
    }
    std::string address() const
    {
        return "unix:" + socketFile.string();
    }
    internal::FrameEvents accept(const std::shared_ptr<internal::FrameStream> &stream)
    {
        internal::FrameEvents events;
        events.arrived = [this, stream](const internal::Frame &frame) {
            if (frame.has_ping() && !std::exchange(hasAnsweredPing, true)) {
                internal::Frame pong;
                pong.mutable_pong()->set_number(frame.ping().number());
                stream->write(pong);
            }
            if (frame.has_statement()) {
                statementStream = stream;
            }
        };
        return events;
    }

    std::filesystem::path socketFile;
    bool hasAnsweredPing = false;
    std::shared_ptr<internal::FrameStream> statementStream;
    internal::InstanceServer server;
};

} // namespace

TEST_CASE("An answer of a peer that was silent for a while still arrives, and its stream is not lost before", "[peerlinks]")
{
    EventLoop loop;
    SilentPeer peer(loop);
    std::vector<std::string> events;
    std::vector<PeerLinks::StreamNumber> streams;
    const auto recordEvent = [&](const char *event, PeerLinks::StreamNumber stream) {
        events.emplace_back(event);
        streams.push_back(stream);
    };
    PeerLinks links(loop,
                    {.frameArrived =
                         [&](const std::string &, PeerLinks::StreamNumber stream, const internal::Frame &) {
                             recordEvent("frame", stream);
                         },
                     .linkLost =
                         [&](const std::string &, PeerLinks::StreamNumber stream, const std::deque<internal::Frame> &) {
                             recordEvent("lost", stream);
                         },
                     .linkSilent =
                         [&](const std::string &, PeerLinks::StreamNumber stream) {
                             recordEvent("silent", stream);
                         },
                     .pongArrived = [](const std::string &, const link::v1::Pong &, decisions::TimePoint) {}});
    loop.every(5ms, [&] {
        links.tick();
    });
    const auto runUntil = [&](const auto &isDone) {
        for (int attempts = 0; attempts < 2000 && !isDone(); ++attempts) {
            loop.context().run_for(5ms);
        }
        return isDone();
    };
    internal::Frame statement;
    statement.mutable_statement()->set_request(7);
    const auto stream = links.send(peer.address(), statement);
    REQUIRE(stream);
    REQUIRE(runUntil([&] {
        return !events.empty();
    }));
    CHECK(events == std::vector<std::string>{"silent"});
    CHECK(links.isUnreachable(peer.address()));
    REQUIRE(peer.statementStream);
    internal::Frame reply;
    reply.mutable_reply()->set_request(7);
    peer.statementStream->write(reply);
    REQUIRE(runUntil([&] {
        return std::count(streams.begin(), streams.end(), *stream) >= 3;
    }));
    std::erase_if(events, [&, index = 0UL](const std::string &) mutable {
        return streams.at(index++) != *stream; // of the streams that were opened since
    });
    CHECK(events == std::vector<std::string>{"silent", "frame", "lost"});
}

} // namespace rattanbeam::sessions::test
