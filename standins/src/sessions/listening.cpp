#include "rattanbeam/standins/sessions/listening.h"

#include <random>
#include <stdexcept>

namespace rattanbeam::standins::sessions
{

using boost::asio::ip::tcp;

tcp::acceptor listenOnLoopback(boost::asio::io_context &context)
{
    constexpr int leastPort = 12'000;
    constexpr int mostPort = 32'000; // outgoing connections are given higher ones
    constexpr int tries = 200;
    std::random_device device;
    std::uniform_int_distribution<int> ports(leastPort, mostPort);
    for (int i = 0; i < tries; ++i) {
        const tcp::endpoint endpoint(boost::asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(ports(device)));
        tcp::acceptor acceptor(context, endpoint.protocol());
        boost::system::error_code error;
        acceptor.set_option(tcp::acceptor::reuse_address(true)); // accepted connections inherit it
        acceptor.bind(endpoint, error);
        if (!error && !acceptor.listen(boost::asio::socket_base::max_listen_connections, error)) {
            return acceptor;
        }
    }
    throw std::runtime_error("no free port");
}

std::string addressOf(const tcp::acceptor &acceptor)
{
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

} // namespace rattanbeam::standins::sessions
