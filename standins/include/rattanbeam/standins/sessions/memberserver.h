#pragma once

#include "rattanbeam/standins/sessions/replicagroup.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <utility> // Boost.Asio 1.74 needs it first

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace rattanbeam::standins::sessions
{

/// One client's statement as a member ran it.
struct RunStatement {
    std::string id;
    /// The statement's text; for an executed one, its prepared shape and arguments.
    std::string text;
    std::string member;
    std::uint64_t connection = 0;
    /// Number of the transaction on that connection; 0 outside one.
    std::uint64_t transaction = 0;
    std::map<std::string, std::string> values;
    std::string signature;
    std::string row;
    bool isWrite = false;
    /// The caller that the member was told when the connection was set up.
    std::string caller{};
};

/// Commits of client writes, told when the log took them.
struct RunCommit {
    std::vector<std::string> writes;
    LogEntry entry;
    std::string member;
    /// Another member led a later term by then.
    bool isSuperseded = false;
};

struct MemberFaults {
    bool isSilent = false;
    /// Connections made until this moment answer nothing more; new ones work.
    std::uint64_t silentUpTo = 0;
    double lostAnswers = 0;
    double failures = 0;
    int slowness = 1;
    /// Rows of reads are padded to this length.
    std::size_t rowBytes = 0;
};

struct MemberServerEvents {
    std::function<void(const RunStatement &)> ran;
    std::function<void(const RunCommit &)> committed;
};

/// One member of a service behind a port of its own: connections, slots, transactions, prepared statements, status and fences.
class MemberServer
{
public:
    MemberServer(boost::asio::io_context &context, std::string service, std::string id, ReplicaGroup &group, MemberServerEvents events);
    ~MemberServer();

    const std::string &address() const
    {
        return m_address;
    }
    const std::string &id() const
    {
        return m_id;
    }
    MemberFaults &faults()
    {
        return m_faults;
    }
    /// A crash ends all connections and refuses new ones until the member is started again.
    void crash();
    void start();
    void resetConnections();
    void silenceOldConnections()
    {
        m_faults.silentUpTo = m_lastConnection;
    }

private:
    class Connection;

    void accept();
    void runNext();

    boost::asio::io_context &m_context;
    std::string m_service;
    std::string m_id;
    ReplicaGroup &m_group;
    MemberServerEvents m_events;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::string m_address;
    MemberFaults m_faults;
    std::map<std::uint64_t, std::weak_ptr<Connection>> m_connections;
    std::uint64_t m_lastConnection = 0;
    std::uint64_t m_lastTransaction = 0;
    std::uint64_t m_lastSignature = 0;
    std::vector<std::weak_ptr<Connection>> m_waiting;
    unsigned m_busySlots = 0;
    std::mt19937 m_choices{1};
};

} // namespace rattanbeam::standins::sessions
