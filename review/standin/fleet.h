#pragma once

#include "store.h"

#include "rattanbeam/standins/sessions/listening.h"
#include "rattanbeam/standins/sessions/memberserver.h"
#include "rattanbeam/standins/sessions/replicagroup.h"
#include "rattanbeam/systemtests/soak/auditor.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility> // Boost.Asio 1.74 needs it first

#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

/// Stand-ins for the cases of the review: a small deployment of the real daemon on loopback addresses, between the project's own
/// stand-ins for store and members, proxies that cut, and clients that keep to the protocol.
namespace review
{

using rattanbeam::standins::sessions::Clock;
using rattanbeam::standins::sessions::MemberServer;
using rattanbeam::standins::sessions::ReplicaGroup;
using rattanbeam::standins::sessions::RunCommit;
using rattanbeam::standins::sessions::RunStatement;
using rattanbeam::systemtests::soak::Auditor;
using rattanbeam::systemtests::soak::Freshness;
using rattanbeam::systemtests::soak::SentStatement;

using namespace std::chrono_literals;

/// Writes record.txt: one line for each thing sent, answered, run or done to the deployment, with milliseconds since the start.
class Journal
{
public:
    explicit Journal(const std::string &file);
    void note(const std::string &line);
    std::int64_t now() const;

private:
    std::ofstream m_file;
    Clock::time_point m_startedAt = Clock::now();
};

/// A TCP proxy in front of one member. The first line of a connection, SETUP, names the instance that connects, so that the member
/// can be cut off from some instances only. A cut resets open connections, and new ones as soon as they have said who they are.
class CuttingProxy
{
public:
    CuttingProxy(boost::asio::io_context &context, std::string memberAddress);
    const std::string &address() const
    {
        return m_address;
    }
    void cut(const std::string &instance);
    void heal(const std::string &instance);
    /// Delays all that the member says, as when it has turned slow.
    void setDelay(std::chrono::milliseconds delay)
    {
        m_delay = delay;
    }

private:
    struct Pair;
    void accept();
    void readSetup(const std::shared_ptr<Pair> &pair);
    void connectMember(const std::shared_ptr<Pair> &pair);
    void pump(const std::shared_ptr<Pair> &pair, bool isFromClient);
    void pass(const std::shared_ptr<Pair> &pair, bool isFromClient, std::size_t bytes);
    static void reset(Pair &pair);

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::string m_address;
    std::string m_memberAddress;
    std::chrono::milliseconds m_delay{0};
    std::set<std::string> m_cut;
    std::vector<std::weak_ptr<Pair>> m_pairs;
};

/// One instance of the daemon, with a door of its own at the store.
struct Instance {
    std::string name;
    std::string zone;
    std::string ip;
    std::string settingsFile;
    std::string logFile;
    std::size_t storeDoor = 0;
    pid_t pid = 0;

    std::string front() const
    {
        return ip + ":8784";
    }
    std::string peers() const
    {
        return ip + ":8782";
    }
};

struct DeploymentOptions {
    std::vector<std::pair<std::string, std::string>> instances; ///< Name and zone.
    std::string service = "pedidos-db";
    std::string database = "pedidos";
    unsigned syncReplicas = 0;
    std::chrono::milliseconds promotionCall{200}; ///< Added to the 400 ms that the stand-in group takes to promote.
};

/// The daemon's processes, their stand-ins and their settings, filled from the deploy file's template.
class Deployment
{
public:
    Deployment(Journal &journal, const DeploymentOptions &options);
    ~Deployment();

    boost::asio::io_context &context()
    {
        return m_context;
    }
    Auditor &auditor()
    {
        return m_auditor;
    }
    ReplicaGroup &group()
    {
        return m_group;
    }
    Store &store()
    {
        return m_store;
    }
    CuttingProxy &proxy(const std::string &member)
    {
        return *m_members.at(member).proxy;
    }
    Instance &instance(const std::string &name);
    std::vector<Instance> &instances()
    {
        return m_instances;
    }
    const DeploymentOptions &options() const
    {
        return m_options;
    }
    void start(Instance &instance);
    void signal(Instance &instance, int number);
    /// Whether the process has ended; says how in the record.
    bool hasEnded(Instance &instance);
    int lastStatus() const
    {
        return m_lastStatus;
    }
    /// The process is dead for its peers; it is waited for.
    void kill(Instance &instance);
    void crashMember(const std::string &id);
    /// The member comes back with its log: as what it was, or as a replica of a later primary.
    void returnMember(const std::string &id);
    /// Runs stand-ins and clients for the time, or until the condition holds. Returns whether it held.
    bool runUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit);
    void runFor(std::chrono::milliseconds time);
    bool isListening(const Instance &instance);
    std::string log(const Instance &instance) const;
    const std::string &lastPromoted() const
    {
        return m_lastPromoted;
    }
    /// When the latest promotion took effect; the epoch before the first.
    Clock::time_point ledSince() const
    {
        return m_ledSince;
    }

private:
    struct Member {
        std::unique_ptr<MemberServer> server;
        std::unique_ptr<CuttingProxy> proxy;
        std::string zone;
        std::string written;
        bool isUp = true;
        Clock::time_point lapsesAt{};
    };
    void writeSettings(Instance &instance);
    void registerMembers();
    void promote(const HttpQuestion &question, const HttpServer::Answer &answer);
    void tick();

    Journal &m_journal;
    DeploymentOptions m_options;
    std::string m_folder;
    boost::asio::io_context m_context;
    ReplicaGroup m_group;
    Auditor m_auditor;
    Store m_store;
    HttpServer m_promotions;
    std::map<std::string, Member> m_members;
    std::vector<Instance> m_instances;
    std::string m_lastPromoted;
    rattanbeam::decisions::Term m_lastTerm = 1;
    Clock::time_point m_ledSince{};
    int m_lastStatus = 0;
};

/// Counts of a client's statements.
struct Outcomes {
    std::size_t sent = 0;
    std::size_t succeeded = 0;
    std::size_t failed = 0;
};

/// One session that alternates single writes and reads, one at a time, and connects again after a close.
class Client : public std::enable_shared_from_this<Client>
{
public:
    Client(Deployment &deployment, Journal &journal, std::string name, std::string front);
    void start();
    void stop();
    const Outcomes &outcomes() const
    {
        return m_outcomes;
    }
    void setPause(std::chrono::milliseconds pause)
    {
        m_pause = pause;
    }

private:
    void connect();
    void read();
    void handle(const std::string &line);
    void answered();
    void ask();
    void send(const std::string &line);
    void lose(const std::string &cause);
    void later(std::chrono::milliseconds delay, void (Client::*next)());

    Deployment &m_deployment;
    Journal &m_journal;
    std::string m_name;
    std::string m_front;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_patience;
    std::string m_buffer;
    std::array<char, 4096> m_bytes{};
    std::uint64_t m_connection = 0;
    std::uint64_t m_session = 0;
    std::uint64_t m_number = 0;
    std::string m_id;
    std::string m_row;
    std::string m_signature;
    std::string m_error;
    bool m_isSetUp = false;
    bool m_isStopped = false;
    bool m_isWrite = false;
    std::chrono::milliseconds m_pause{5};
    Outcomes m_outcomes;
};

/// Whether the disruption is to be made; TROUBLE=0 leaves it out.
bool hasTrouble();

} // namespace review
