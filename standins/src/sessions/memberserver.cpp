#include "rattanbeam/standins/sessions/memberserver.h"

#include "rattanbeam/standins/sessions/listening.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <deque>
#include <sstream>

namespace rattanbeam::standins::sessions
{

using boost::asio::ip::tcp;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t mostConnections = 16;
constexpr unsigned slots = 2;
constexpr std::size_t mostWaiting = 16;
constexpr int leastWorkMs = 1;
constexpr int mostWorkMs = 6;

std::string textOf(const LogPosition &position)
{
    return std::to_string(position.term) + '.' + std::to_string(position.position);
}

std::string restOf(std::istringstream &words)
{
    std::string rest;
    std::getline(words >> std::ws, rest);
    return rest;
}

LogPosition positionOf(const std::string &text)
{
    const auto dot = text.find('.');
    return {std::strtoull(text.c_str(), nullptr, 10), std::strtoull(text.c_str() + dot + 1, nullptr, 10)};
}

} // namespace

class MemberServer::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(MemberServer &server, tcp::socket socket, std::uint64_t number)
        : m_server(server), m_socket(std::move(socket)), m_number(number), m_timer(server.m_context)
    {}
    void read()
    {
        boost::asio::async_read_until(
            m_socket, m_buffer, "\r\n", [self = shared_from_this()](const boost::system::error_code &error, std::size_t bytes) {
                if (error) {
                    self->end();
                    return;
                }
                std::string line(boost::asio::buffers_begin(self->m_buffer.data()),
                                 boost::asio::buffers_begin(self->m_buffer.data()) + static_cast<std::ptrdiff_t>(bytes) - 2);
                self->m_buffer.consume(bytes);
                self->handle(line);
                if (self->m_socket.is_open()) {
                    self->read();
                }
            });
    }
    void end()
    {
        boost::system::error_code ignored;
        m_socket.close(ignored);
        if (m_isWorking) {
            m_timer.cancel();
        }
        m_server.m_connections.erase(m_number);
    }
    /// Takes a slot for the statement that waits.
    void work()
    {
        ++m_server.m_busySlots;
        m_isWorking = true;
        std::uniform_int_distribution<int> time(leastWorkMs, mostWorkMs);
        m_timer.expires_after(std::chrono::milliseconds(time(m_server.m_choices) * m_server.m_faults.slowness));
        m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
            --self->m_server.m_busySlots;
            self->m_isWorking = false;
            if (!error && self->m_socket.is_open()) {
                self->finishWork();
            }
            self->m_server.runNext();
        });
    }

private:
    GroupMember &member()
    {
        return m_server.m_group.member(m_server.m_id);
    }
    bool isSilent() const
    {
        return m_server.m_faults.isSilent || m_number <= m_server.m_faults.silentUpTo;
    }
    void write(std::string text)
    {
        if (!m_socket.is_open() || isSilent()) {
            return;
        }
        const auto kept = std::make_shared<std::string>(std::move(text));
        boost::asio::async_write(
            m_socket, boost::asio::buffer(*kept), [self = shared_from_this(), kept](const boost::system::error_code &, std::size_t) {});
    }
    std::string ready()
    {
        return "READY " + std::string(m_transaction == 0 ? "I" : m_isFailed ? "E" : "T") + ' ' + textOf(member().position()) + "\r\n";
    }
    void done(const std::string &signature = "-", const std::string &row = {})
    {
        write((row.empty() ? "" : "ROW " + row + "\r\n") + "DONE " + signature + "\r\n" + ready());
    }
    void fail(const std::string &code)
    {
        m_isFailed = m_transaction != 0;
        write("ERROR " + code + ' ' + m_server.m_id + "\r\n" + ready());
    }
    void handle(const std::string &line)
    {
        if (isSilent()) {
            return;
        }
        if (m_isWorking) {
            end(); // a statement before the answer to the one before it
            return;
        }
        std::istringstream words(line);
        std::string kind;
        words >> kind;
        if (kind == "SETUP") {
            setUp(words);
        } else if (kind == "QUERY") {
            words >> m_id;
            m_text = restOf(words);
            handleStatement();
        } else {
            end();
        }
    }
    void setUp(std::istringstream &words)
    {
        std::string service;
        std::string expected;
        words >> service >> m_caller >> expected;
        const bool isWrong = service != m_server.m_service || (!expected.empty() && expected != m_server.m_id);
        if (isWrong || m_server.m_connections.size() > mostConnections) {
            m_isFailed = false;
            write(std::string("ERROR ") + (isWrong ? "WRONGNODE" : "OVERLOAD") + " -\r\n");
            return;
        }
        write(ready());
    }
    void handleStatement()
    {
        std::istringstream words(m_text);
        std::string verb;
        words >> verb;
        if (verb == "AFTER") {
            std::string position;
            words >> position;
            if (member().position() < positionOf(position)) {
                fail("LAGGING");
                return;
            }
            m_text = restOf(words);
            words = std::istringstream(m_text);
            words >> verb;
        }
        if (maintain(verb, words) || keepState(verb, words)) {
            return;
        }
        if (m_server.m_waiting.size() >= mostWaiting) {
            fail("BUSY");
            return;
        }
        m_server.m_waiting.push_back(weak_from_this());
        m_server.runNext();
    }
    bool maintain(const std::string &verb, std::istringstream &words)
    {
        Term term = 0;
        if (verb == "SUSPEND" && words >> term) {
            m_server.m_group.suspend(m_server.m_id, term);
        } else if (verb == "DEMOTE" && words >> term) {
            m_server.m_group.demote(m_server.m_id, term);
        } else if (verb == "RESUME") {
            member().fencedAt = 0;
        } else if (verb != "STATUS") {
            return false;
        }
        const GroupMember &state = member();
        done("-",
             (state.isPrimary ? "primary " : "replica ") + std::to_string(state.term) + ' ' + textOf(state.received()) + ' '
                 + std::to_string(state.fencedAt) + ' ' + std::to_string(state.lag.count()) + ' ' + std::to_string(m_server.m_busySlots)
                 + ' ' + std::to_string(m_server.m_connections.size()));
        return true;
    }
    bool keepState(const std::string &verb, std::istringstream &words)
    {
        if (verb == "RESET") {
            m_values.clear();
            m_prepared.clear();
        } else if (verb == "SET") {
            std::string name;
            words >> name;
            m_values[name] = restOf(words);
        } else if (verb == "PREPARE") {
            std::string name;
            words >> name;
            m_prepared[name] = restOf(words);
        } else if (verb == "DEALLOC") {
            std::string name;
            words >> name;
            m_prepared.erase(name);
        } else if (verb == "ROLLBACK") {
            m_transaction = 0;
            m_isFailed = false;
            m_writes.clear();
        } else if (verb == "BEGIN") {
            std::string mode;
            words >> mode;
            if (mode.empty() && !member().isPrimary) {
                fail("READONLY");
                return true;
            }
            m_isPlain = mode.empty();
            m_term = member().term;
            m_transaction = ++m_server.m_lastTransaction;
        } else {
            return false;
        }
        done();
        return true;
    }
    /// Whether the member has lost the lead that this statement needs.
    bool lacksLead(bool isWrite)
    {
        const bool isInPlain = m_transaction != 0 && m_isPlain;
        return (isWrite || isInPlain) && (!member().isPrimary || (isInPlain && member().term != m_term));
    }
    void finishWork()
    {
        std::istringstream words(m_text);
        std::string verb;
        words >> verb;
        const std::uint64_t transaction = m_transaction;
        std::string text = m_text;
        bool isWrite = verb == "WRITE";
        if (verb == "EXECUTE") {
            std::string name;
            words >> name;
            const auto found = m_prepared.find(name);
            if (found == m_prepared.end()) {
                fail("NOSTMT");
                return;
            }
            isWrite = found->second.rfind("WRITE", 0) == 0;
            text = found->second + " | " + restOf(words);
        }
        const bool isEmptyCommit = verb == "COMMIT" && m_writes.empty();
        if (m_isFailed || (!isEmptyCommit && lacksLead(isWrite || verb == "COMMIT"))) {
            fail(m_isFailed ? "MALFORMED" : "READONLY");
            return;
        }
        if (std::bernoulli_distribution(m_server.m_faults.failures)(m_server.m_choices)) {
            fail("FAILED");
            return;
        }
        RunStatement run{m_id, text, m_server.m_id, m_number, transaction, m_values, "", "", isWrite, m_caller};
        run.signature = m_server.m_id + '.' + std::to_string(++m_server.m_lastSignature);
        run.row = verb == "COMMIT" || isWrite ? "" : "row" + std::to_string(m_server.m_lastSignature);
        if (!run.row.empty() && run.row.size() < m_server.m_faults.rowBytes) {
            run.row.resize(m_server.m_faults.rowBytes, '.');
        }
        m_server.m_events.ran(run);
        if (isWrite && transaction != 0) {
            m_writes.push_back(m_id);
        } else if (isWrite) {
            commit({m_id});
        } else if (verb == "COMMIT") {
            commit(std::exchange(m_writes, {}));
            m_transaction = 0;
        }
        if (std::bernoulli_distribution(m_server.m_faults.lostAnswers)(m_server.m_choices)) {
            return; // the answer is lost, and the connection stays as it is
        }
        done(run.signature, run.row);
    }
    void commit(const std::vector<std::string> &writes)
    {
        if (writes.empty()) {
            return;
        }
        const Term highest = m_server.m_group.highestTerm();
        const auto entry = m_server.m_group.append(m_server.m_id, Clock::now());
        if (entry) {
            m_server.m_events.committed({writes, *entry, m_server.m_id, entry->term < highest});
        }
    }

    MemberServer &m_server;
    tcp::socket m_socket;
    std::uint64_t m_number;
    boost::asio::steady_timer m_timer;
    boost::asio::streambuf m_buffer{1 << 20};
    std::map<std::string, std::string> m_values;
    std::map<std::string, std::string> m_prepared;
    std::vector<std::string> m_writes;
    std::string m_caller;
    std::string m_id;
    std::string m_text;
    std::uint64_t m_transaction = 0;
    Term m_term = 0;
    bool m_isPlain = true;
    bool m_isFailed = false;
    bool m_isWorking = false;
};

MemberServer::MemberServer(
    boost::asio::io_context &context, std::string service, std::string id, ReplicaGroup &group, MemberServerEvents events)
    : m_context(context)
    , m_service(std::move(service))
    , m_id(std::move(id))
    , m_group(group)
    , m_events(std::move(events))
    , m_acceptor(listenOnLoopback(context))
    , m_address(addressOf(m_acceptor))
{
    accept();
}

MemberServer::~MemberServer() = default;

void MemberServer::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
        if (error) {
            return;
        }
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        const auto connection = std::make_shared<Connection>(*this, std::move(socket), ++m_lastConnection);
        m_connections[m_lastConnection] = connection;
        connection->read();
        accept();
    });
}

void MemberServer::runNext()
{
    while (m_busySlots < slots && !m_waiting.empty()) {
        const auto next = m_waiting.front().lock();
        m_waiting.erase(m_waiting.begin());
        if (next) {
            next->work();
        }
    }
}

void MemberServer::resetConnections()
{
    const auto connections = m_connections;
    for (const auto &[number, connection] : connections) {
        if (const auto open = connection.lock()) {
            open->end();
        }
    }
}

void MemberServer::crash()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    m_waiting.clear();
    resetConnections();
}

void MemberServer::start()
{
    const auto colon = m_address.rfind(':');
    const tcp::endpoint endpoint(boost::asio::ip::address_v4::loopback(),
                                 static_cast<std::uint16_t>(std::stoi(m_address.substr(colon + 1))));
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
    accept();
}

} // namespace rattanbeam::standins::sessions
