#include "rattanbeam/proxy/internal/peerclient.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <future>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

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
        bind(m_socket, reinterpret_cast<sockaddr *>(&address), size);
        listen(m_socket, 16);
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

TEST_CASE("Only a call that found no listener counts as never sent", "[peer]")
{
    SilentListener listener;
    // Somebody listens, so it may have been received.
    CHECK(forwardTo(listener.address()) == CallResult::Lost);
    listener.close();
    CHECK(forwardTo(listener.address()) == CallResult::NeverSent);
}

} // namespace rattanbeam::proxy::internal::test
