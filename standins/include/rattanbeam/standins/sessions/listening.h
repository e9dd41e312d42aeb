#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <utility> // Boost.Asio 1.74 needs it first

#include <string>

namespace rattanbeam::standins::sessions
{

/// Listens on a free loopback port that the system gives to no outgoing connection, so that a program which was stopped finds
/// its port free again.
boost::asio::ip::tcp::acceptor listenOnLoopback(boost::asio::io_context &context);

/// The acceptor's address and port.
std::string addressOf(const boost::asio::ip::tcp::acceptor &acceptor);

} // namespace rattanbeam::standins::sessions
