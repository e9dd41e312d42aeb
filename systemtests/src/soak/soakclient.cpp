#include "rattanbeam/systemtests/soak/soakclient.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <set>
#include <sstream>

namespace rattanbeam::systemtests::soak
{

using boost::asio::ip::tcp;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds answerPatience = 4s;
constexpr int operationsASession = 30;

const std::set<std::string> promises{"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "OVERLOAD"};

} // namespace

SoakClient::SoakClient(SoakWorld &world) : m_world(world), m_socket(world.context), m_timer(world.context), m_patience(world.context)
{}

int SoakClient::pick(int least, int most)
{
    return std::uniform_int_distribution<int>(least, most)(m_world.choices);
}

void SoakClient::after(std::chrono::milliseconds delay, void (SoakClient::*next)())
{
    m_timer.expires_after(delay);
    m_timer.async_wait([self = shared_from_this(), next](const boost::system::error_code &error) {
        if (!error && !self->m_world.isOver) {
            (*self.*next)();
        }
    });
}

void SoakClient::start()
{
    after(std::chrono::milliseconds(pick(0, 500)), &SoakClient::connect);
}

void SoakClient::connect()
{
    m_route = m_world.routes[static_cast<std::size_t>(pick(0, static_cast<int>(m_world.routes.size()) - 1))];
    m_front = m_world.fronts[static_cast<std::size_t>(pick(0, static_cast<int>(m_world.fronts.size()) - 1))];
    m_key = m_world.keys.empty() ? SoakKey{"soak", ""}
                                 : m_world.keys[static_cast<std::size_t>(pick(0, static_cast<int>(m_world.keys.size()) - 1))];
    m_session = ++m_world.lastSession;
    ++m_connection;
    m_values.clear();
    m_prepared.clear();
    m_transaction = 0;
    m_isSetUp = false;
    m_operation = {};
    m_step = 0;
    m_socket = tcp::socket(m_world.context);
    m_buffer.consume(m_buffer.size());
    const auto colon = m_front.rfind(':');
    const tcp::endpoint endpoint(boost::asio::ip::make_address(m_front.substr(0, colon)),
                                 static_cast<std::uint16_t>(std::stoi(m_front.substr(colon + 1))));
    m_socket.async_connect(endpoint, [self = shared_from_this(), number = m_connection](const boost::system::error_code &error) {
        if (self->m_connection != number) {
            return;
        }
        if (error) {
            self->after(100ms, &SoakClient::connect);
            return;
        }
        boost::system::error_code ignored;
        self->m_socket.set_option(tcp::no_delay(true), ignored);
        self->send("SETUP " + self->m_route.database + ' ' + self->m_key.key);
        self->read();
    });
}

void SoakClient::read()
{
    boost::asio::async_read_until(
        m_socket,
        m_buffer,
        "\r\n",
        [self = shared_from_this(), number = m_connection](const boost::system::error_code &error, std::size_t bytes) {
            if (self->m_connection != number) {
                return;
            }
            if (error) {
                self->lose();
                return;
            }
            const auto begin = boost::asio::buffers_begin(self->m_buffer.data());
            const std::string line(begin, begin + static_cast<std::ptrdiff_t>(bytes) - 2);
            self->m_buffer.consume(bytes);
            self->handle(line);
            if (self->m_connection == number && self->m_socket.is_open()) {
                self->read();
            }
        });
}

/// The session is gone; what it was owed has no outcome.
void SoakClient::lose()
{
    ++m_connection;
    m_patience.cancel();
    boost::system::error_code ignored;
    m_socket.close(ignored);
    if (!m_id.empty()) {
        ++m_world.counts.unanswered;
        if (m_world.isStoppingInOrder(m_front)) {
            m_world.auditor.cutByOrderlyStop(m_id);
        }
        m_id.clear();
    }
    after(std::chrono::milliseconds(pick(10, 200)), &SoakClient::connect);
}

void SoakClient::send(const std::string &line)
{
    const auto text = std::make_shared<std::string>(line + "\r\n");
    boost::asio::async_write(
        m_socket, boost::asio::buffer(*text), [self = shared_from_this(), text](const boost::system::error_code &, std::size_t) {});
    m_patience.expires_after(answerPatience);
    m_patience.async_wait([self = shared_from_this(), number = m_connection](const boost::system::error_code &error) {
        if (!error && self->m_connection == number) {
            self->lose();
        }
    });
}

void SoakClient::handle(const std::string &line)
{
    std::istringstream words(line);
    std::string word;
    words >> word;
    if (!m_isSetUp) {
        m_isSetUp = word == "READY";
        m_patience.cancel();
        if (m_isSetUp) {
            after(0ms, &SoakClient::planOperation);
        } else {
            lose();
        }
    } else if (word == "ROW") {
        words >> m_row;
    } else if (word == "DONE") {
        words >> m_signature;
    } else if (word == "ERROR") {
        words >> m_error;
    } else if (word == "READY" && !m_id.empty()) {
        answered();
    }
}

void SoakClient::answered()
{
    m_patience.cancel();
    const std::string id = std::exchange(m_id, {});
    const std::string error = std::exchange(m_error, {});
    const std::string row = std::exchange(m_row, {});
    const std::string signature = std::exchange(m_signature, {});
    if (error.empty()) {
        ++m_world.counts.succeeded;
        if (m_isMemberWork) {
            m_world.auditor.succeeded(id, signature, row, Clock::now());
        }
        ++m_step;
        after(m_operation.isTransaction ? std::chrono::milliseconds(pick(0, 30)) : 0ms, &SoakClient::ask);
        return;
    }
    const bool isPromise = promises.contains(error);
    ++(isPromise ? m_world.counts.refused : m_world.counts.inDoubt);
    if (isPromise) {
        m_world.auditor.promisedNotRun(id);
    }
    // As a client does that gives up an operation outside an idle session.
    if (m_operation.isTransaction || !m_isMemberWork) {
        lose();
    } else {
        m_operation = {};
        m_step = 0;
        after(std::chrono::milliseconds(pick(20, 150)), &SoakClient::planOperation);
    }
}

void SoakClient::planOperation()
{
    m_operation = {};
    m_step = 0;
    const int kind = pick(0, 99);
    const std::string item = std::to_string(pick(1, 500));
    if (kind < 4) {
        m_operation.statements = {"SET zone z" + item};
    } else if (kind < 10) {
        const std::string name = "s" + std::to_string(pick(1, 3));
        const bool isWrite = pick(0, 1) == 1;
        m_operation.statements = {"PREPARE " + name + (isWrite ? " WRITE q" : " READ q") + item,
                                  "EXECUTE " + name + ' ' + item + (isWrite ? " data" : ""),
                                  "DEALLOC " + name};
    } else if (kind < 30) {
        m_operation.isTransaction = true;
        const bool isReadOnly = pick(0, 3) == 0;
        m_operation.statements = {isReadOnly ? "BEGIN READ" : "BEGIN"};
        for (int i = pick(1, 4); i > 0; --i) {
            m_operation.statements.push_back(isReadOnly || pick(0, 1) == 0 ? "READ " + item : "WRITE " + item + " data");
        }
        m_operation.statements.push_back(pick(0, 9) == 0 ? "ROLLBACK" : "COMMIT");
    } else if (kind < 60) {
        m_operation.statements = {"WRITE " + item + " data"};
    } else {
        m_operation.statements = {"READ " + item};
    }
    ask();
}

void SoakClient::ask()
{
    if (m_step >= m_operation.statements.size()) {
        if (pick(1, operationsASession) == 1) {
            lose();
        } else {
            after(std::chrono::milliseconds(pick(0, 60)), &SoakClient::planOperation);
        }
        return;
    }
    const std::string text = m_operation.statements[m_step];
    std::istringstream words(text);
    std::string verb;
    std::string name;
    words >> verb >> name;
    m_id = "r" + std::to_string(++m_world.lastRequest);
    if (verb == "BEGIN") {
        ++m_transaction;
        m_isOpened = false;
    }
    SentStatement sent{m_id, text, m_session, m_operation.isTransaction ? m_transaction : 0};
    m_isMemberWork = verb == "READ" || verb == "WRITE" || verb == "EXECUTE" || (verb == "COMMIT" && m_isOpened);
    if (verb == "SET") {
        m_values[name] = text.substr(text.find(name) + name.size() + 1);
    } else if (verb == "PREPARE") {
        m_prepared[name] = text.substr(text.find(name) + name.size() + 1);
    } else if (verb == "EXECUTE") {
        sent.text = m_prepared[name] + " | " + text.substr(text.find(name) + name.size() + 1);
    }
    sent.opensTransaction = m_operation.isTransaction && m_isMemberWork && !m_isOpened;
    if (sent.opensTransaction) {
        m_isOpened = true;
        m_transactionAt = Clock::now();
    }
    sent.startedAt = sent.transaction != 0 ? m_transactionAt : Clock::now();
    sent.freshness = m_route.freshness;
    sent.stalenessLimit = m_route.stalenessLimit;
    sent.values = m_values;
    sent.workspace = m_key.workspace;
    m_world.auditor.sent(sent);
    send("QUERY " + m_id + ' ' + text);
}

} // namespace rattanbeam::systemtests::soak
