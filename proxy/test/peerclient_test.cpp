#include "rattanbeam/proxy/internal/peerclient.h"

#include "peer.grpc.pb.h"

#include <catch2/catch.hpp>
#include <grpcpp/grpcpp.h>

#include <arpa/inet.h>
#include <future>
#include <mutex>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace rattanbeam::proxy::internal::test
{

namespace
{

using namespace std::chrono_literals;

/// A listening socket on loopback that accepts connections and says nothing.
class SilentListener
{
public:
    SilentListener() : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        REQUIRE(bind(m_socket, reinterpret_cast<sockaddr *>(&address), size) == 0);
        REQUIRE(listen(m_socket, 16) == 0);
        getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &size);
        m_address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    }
    SilentListener(const SilentListener &) = delete;
    SilentListener &operator=(const SilentListener &) = delete;
    ~SilentListener()
    {
        close();
    }
    void close()
    {
        if (m_socket >= 0) {
            ::close(m_socket);
            m_socket = -1;
        }
    }
    const std::string &address() const
    {
        return m_address;
    }

private:
    int m_socket;
    std::string m_address;
};

/// A peer that receives forwards and never answers them.
class HangingPeer : public peer::v1::Peer::CallbackService
{
public:
    HangingPeer()
    {
        int port = 0;
        grpc::ServerBuilder builder;
        builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &port);
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        builder.RegisterService(this);
        m_server = builder.BuildAndStart();
        m_address = "127.0.0.1:" + std::to_string(port);
    }
    ~HangingPeer() override
    {
        for (grpc::ServerUnaryReactor *reactor : m_reactors) {
            reactor->Finish(grpc::Status::CANCELLED);
        }
        m_server->Shutdown();
    }
    HangingPeer(const HangingPeer &) = delete;
    HangingPeer &operator=(const HangingPeer &) = delete;

    grpc::ServerUnaryReactor *
    Forward(grpc::CallbackServerContext *call, const peer::v1::ForwardRequest * /*request*/, peer::v1::ForwardReply * /*reply*/) override
    {
        const std::lock_guard lock(m_mutex);
        return m_reactors.emplace_back(call->DefaultReactor());
    }
    const std::string &address() const
    {
        return m_address;
    }

private:
    std::mutex m_mutex;
    std::vector<grpc::ServerUnaryReactor *> m_reactors;
    std::unique_ptr<grpc::Server> m_server;
    std::string m_address;
};

CallResult forwardTo(const std::string &address)
{
    PeerClient client;
    std::promise<CallResult> result;
    client.forward(
        address, {}, std::chrono::steady_clock::now() + 500ms, [&result](CallResult each, const peer::v1::ForwardReply & /*reply*/) {
            result.set_value(each);
        });
    return result.get_future().get();
}

} // namespace

TEST_CASE("A call that reached a peer counts as perhaps received, and one that reached nobody as never sent", "[peer]")
{
    const HangingPeer hanging;
    CHECK(forwardTo(hanging.address()) == CallResult::Lost);
    // A listener that never speaks the protocol has received no request either: the library sends none before.
    SilentListener listener;
    CHECK(forwardTo(listener.address()) == CallResult::NeverSent);
    listener.close();
    CHECK(forwardTo(listener.address()) == CallResult::NeverSent);
}

// Guards against an abort in gRPC: the last call of the process ended on the thread of gRPC that its channel's destruction waits for.
TEST_CASE("The process survives that its only call ends after its client is gone", "[peer]")
{
    constexpr int calls = 100;
    for (int i = 0; i < calls; ++i) {
        CHECK(forwardTo("unix:/nonexistent") == CallResult::NeverSent);
    }
}

} // namespace rattanbeam::proxy::internal::test
