#include "rattanbeam/systemtests/relay.h"

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace rattanbeam::systemtests
{

namespace
{

constexpr int pollMs = 10;

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int newSocket()
{
    const int made = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(made, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return made;
}

} // namespace

Relay::Relay(std::string target) : m_target(std::move(target)), m_listener(newSocket())
{
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    if (bind(m_listener, reinterpret_cast<sockaddr *>(&address), size) != 0 || listen(m_listener, 128) != 0) {
        throw std::runtime_error("the relay cannot listen");
    }
    getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
    m_address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    m_thread = std::thread([this] {
        loop();
    });
}

Relay::~Relay()
{
    m_stopping = true;
    m_thread.join();
    closeAll();
    close(m_listener);
}

void Relay::loop()
{
    Mode before = Mode::Pass;
    while (!m_stopping) {
        const Mode mode = m_mode;
        if (mode != before && (mode == Mode::SilentOld || mode == Mode::Silent)) {
            silenceAll();
        } else if (mode != before) {
            // Refused, or passing again: what had gone silent stays lost, as behind a middlebox that forgot it.
            closeAll();
        }
        before = mode;
        std::vector<pollfd> polled{{m_listener, POLLIN, 0}};
        for (const auto &[descriptor, peer] : m_peers) {
            if (!peer.isSilent) {
                polled.push_back({descriptor, POLLIN, 0});
            }
        }
        poll(polled.data(), polled.size(), pollMs);
        for (const pollfd &each : polled) {
            if (each.revents == 0) {
                continue;
            }
            if (each.fd == m_listener) {
                acceptOne();
            } else if (m_peers.contains(each.fd)) {
                pump(each.fd);
            }
        }
    }
}

void Relay::acceptOne()
{
    const int accepted = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) {
        return;
    }
    if (m_mode == Mode::Refuse) {
        close(accepted);
        return;
    }
    const int on = 1;
    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const int out = newSocket();
    const sockaddr_in address = loopback(std::stoi(m_target.substr(m_target.rfind(':') + 1)));
    if (connect(out, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        close(out);
        close(accepted);
        return;
    }
    const bool isSilent = m_mode == Mode::Silent;
    m_peers[accepted] = {out, isSilent};
    m_peers[out] = {accepted, isSilent};
}

void Relay::pump(int from)
{
    std::array<char, 65536> buffer{};
    const ssize_t count = recv(from, buffer.data(), buffer.size(), 0);
    if (count <= 0) {
        closePair(from);
        return;
    }
    const int to = m_peers.at(from).other;
    for (ssize_t sent = 0; sent < count;) {
        const ssize_t part = send(to, buffer.data() + sent, static_cast<std::size_t>(count - sent), MSG_NOSIGNAL);
        if (part <= 0) {
            closePair(from);
            return;
        }
        sent += part;
    }
}

void Relay::closePair(int one)
{
    const int other = m_peers.at(one).other;
    m_peers.erase(one);
    m_peers.erase(other);
    close(one);
    close(other);
}

void Relay::closeAll()
{
    while (!m_peers.empty()) {
        closePair(m_peers.begin()->first);
    }
}

void Relay::silenceAll()
{
    for (auto &[descriptor, peer] : m_peers) {
        peer.isSilent = true;
    }
}

} // namespace rattanbeam::systemtests
