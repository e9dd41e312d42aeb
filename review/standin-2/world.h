#pragma once

// Stand-ins for the cases of the second review: a store, a promotion call and members of one service in this process, and instances of the
// daemon as separate processes, started as the deploy file says. Clients are blocking sockets of the case itself.

#include "rattanbeam/standins/sessions/listening.h"
#include "rattanbeam/standins/sessions/objectstore.h"
#include "rattanbeam/standins/sessions/replicagroup.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review
{

using boost::asio::ip::tcp;
using rattanbeam::standins::sessions::HttpAnswer;
using rattanbeam::standins::sessions::HttpQuestion;
using rattanbeam::standins::sessions::HttpServer;
using rattanbeam::standins::sessions::LogEntry;
using rattanbeam::standins::sessions::ObjectStore;
using rattanbeam::standins::sessions::ReplicaGroup;
using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

/// Writes lines with the time since the start to record.txt.
class Record
{
public:
    explicit Record(const std::string &file) : m_stream(file)
    {}
    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_startedAt).count();
        m_stream << ms << " ms  " << text << '\n' << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_stream;
    Clock::time_point m_startedAt = Clock::now();
};

/// A member of the service. Speaks the wire of the pages: SETUP, statements, STATUS, fences. Runs one statement at a time on a connection.
class Member
{
public:
    struct Hooks {
        /// Rows of a read, without the word ROW.
        std::function<std::vector<std::string>(const std::string &item)> rows;
        std::chrono::milliseconds work = 4ms;
        /// A client's statement has reached the member.
        std::function<void(const std::string &member, const std::string &id)> reached;
        /// A client's write is in the primary's log.
        std::function<void(const std::string &member, const std::string &id, const LogEntry &entry)> committed;
        /// Replicas that have to have received a commit before it is acknowledged.
        int syncReplicas = 0;
    };

    Member(boost::asio::io_context &context, Record &record, std::string service, std::string id, ReplicaGroup &group, Hooks hooks)
        : m_context(context)
        , m_record(record)
        , m_service(std::move(service))
        , m_id(std::move(id))
        , m_group(group)
        , m_hooks(std::move(hooks))
        , m_acceptor(rattanbeam::standins::sessions::listenOnLoopback(context))
        , m_address(rattanbeam::standins::sessions::addressOf(m_acceptor))
    {
        accept();
    }
    const std::string &address() const
    {
        return m_address;
    }
    /// A silent partition from all instances: nothing that they send arrives, and nothing is answered. The other members are reached.
    void cutOff(bool isCut)
    {
        m_isCut = isCut;
    }
    /// Accepts connections again after a crash, at the same address.
    void restart()
    {
        const tcp::endpoint endpoint(boost::asio::ip::address_v4::loopback(),
                                     static_cast<unsigned short>(std::stoi(m_address.substr(m_address.rfind(':') + 1))));
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_acceptor.bind(endpoint);
        m_acceptor.listen();
        accept();
    }
    /// Ends all connections and refuses new ones.
    void crash()
    {
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
        for (const auto &weak : std::exchange(m_connections, {})) {
            if (const auto connection = weak.lock()) {
                connection->timer.cancel();
                connection->socket.close(ignored);
            }
        }
    }

private:
    struct Connection : std::enable_shared_from_this<Connection> {
        Connection(Member &owner, tcp::socket taken) : member(owner), socket(std::move(taken)), timer(owner.m_context)
        {}
        void read()
        {
            boost::asio::async_read_until(
                socket, buffer, "\r\n", [self = shared_from_this()](const boost::system::error_code &error, std::size_t bytes) {
                    if (error) {
                        return;
                    }
                    const auto data = self->buffer.data();
                    const auto begin = boost::asio::buffers_begin(data);
                    const std::string line(begin, begin + static_cast<std::ptrdiff_t>(bytes) - 2);
                    self->buffer.consume(bytes);
                    if (self->member.m_isCut) {
                        self->read(); // and stays silent
                    } else {
                        self->handle(line);
                    }
                });
        }
        void answer(const std::string &text)
        {
            if (member.m_isCut) {
                return;
            }
            const auto kept = std::make_shared<std::string>(text);
            boost::asio::async_write(
                socket, boost::asio::buffer(*kept), [self = shared_from_this(), kept](const boost::system::error_code &error, std::size_t) {
                    if (!error) {
                        self->read();
                    }
                });
        }
        std::string ready() const
        {
            const auto position = member.m_group.member(member.m_id).position();
            return std::string("READY ") + (inTransaction ? 'T' : 'I') + ' ' + std::to_string(position.term) + '.'
                   + std::to_string(position.position) + "\r\n";
        }
        void done(const std::string &signature = "-", const std::vector<std::string> &rows = {})
        {
            std::string text;
            for (const std::string &row : rows) {
                text += "ROW " + row + "\r\n";
            }
            answer(text + "DONE " + signature + "\r\n" + ready());
        }
        void handle(const std::string &line)
        {
            std::istringstream words(line);
            std::string word;
            words >> word;
            if (word == "SETUP") {
                std::string service;
                std::string caller;
                std::string expected;
                words >> service >> caller >> expected;
                const bool isWrong = service != member.m_service || (!expected.empty() && expected != member.m_id);
                answer(isWrong ? "ERROR WRONGNODE -\r\n" : ready());
                return;
            }
            std::string id;
            std::string verb;
            words >> id >> verb;
            if (id != "-" && member.m_hooks.reached) {
                member.m_hooks.reached(member.m_id, id);
            }
            if (verb == "AFTER") {
                std::string position;
                words >> position >> verb;
                const auto dot = position.find('.');
                const rattanbeam::decisions::LogPosition wanted{std::stoull(position.substr(0, dot)),
                                                                std::stoull(position.substr(dot + 1))};
                if (member.m_group.member(member.m_id).position() < wanted) {
                    answer("ERROR LAGGING -\r\n" + ready());
                    return;
                }
            }
            auto &state = member.m_group.member(member.m_id);
            std::uint64_t term = 0;
            if (verb == "STATUS" || verb == "SUSPEND" || verb == "DEMOTE" || verb == "RESUME") {
                if (verb == "SUSPEND" && words >> term) {
                    member.m_group.suspend(member.m_id, term);
                } else if (verb == "DEMOTE" && words >> term) {
                    member.m_group.demote(member.m_id, term);
                } else if (verb == "RESUME") {
                    state.fencedAt = 0;
                }
                const auto received = state.received();
                done("-",
                     {std::string(state.isPrimary ? "primary " : "replica ") + std::to_string(state.term) + ' '
                      + std::to_string(received.term) + '.' + std::to_string(received.position) + ' ' + std::to_string(state.fencedAt) + ' '
                      + std::to_string(state.lag.count()) + " 0 1"});
            } else if (verb == "RESET" || verb == "SET" || verb == "PREPARE" || verb == "DEALLOC") {
                done();
            } else if (verb == "BEGIN" || verb == "ROLLBACK") {
                inTransaction = verb == "BEGIN";
                done();
            } else {
                timer.expires_after(member.m_hooks.work);
                std::string item;
                words >> item;
                timer.async_wait([self = shared_from_this(), id, verb, item](const boost::system::error_code &error) {
                    if (!error) {
                        self->run(id, verb, item);
                    }
                });
            }
        }
        void run(const std::string &id, const std::string &verb, const std::string &item)
        {
            if (verb == "COMMIT") {
                inTransaction = false;
            }
            std::optional<LogEntry> entry;
            if (verb == "WRITE") {
                entry = member.m_group.append(member.m_id, Clock::now());
                if (!entry) {
                    answer("ERROR READONLY " + member.m_id + "\r\n" + ready());
                    return;
                }
                if (member.m_hooks.committed) {
                    member.m_hooks.committed(member.m_id, id, *entry);
                }
            }
            const std::string signature = member.m_id + '.' + std::to_string(++member.m_signatures);
            member.m_record.line("member " + member.m_id + " ran id=" + id + ' ' + verb + ' ' + item + " signature=" + signature);
            if (entry && member.m_hooks.syncReplicas > 0) {
                acknowledge(signature, *entry);
                return;
            }
            done(signature, verb == "READ" && member.m_hooks.rows ? member.m_hooks.rows(item) : std::vector<std::string>());
        }
        /// Answers once enough replicas have received the commit.
        void acknowledge(const std::string &signature, const LogEntry &entry)
        {
            int holders = 0;
            for (const auto &[id, state] : member.m_group.members()) {
                const bool isHolder
                    = id != member.m_id && state.isUp && std::any_of(state.log.rbegin(), state.log.rend(), [&](const LogEntry &each) {
                          return each.isSameAs(entry);
                      });
                holders += isHolder ? 1 : 0;
            }
            if (holders >= member.m_hooks.syncReplicas) {
                done(signature);
                return;
            }
            timer.expires_after(1ms);
            timer.async_wait([self = shared_from_this(), signature, entry](const boost::system::error_code &error) {
                if (!error && self->socket.is_open()) {
                    self->acknowledge(signature, entry);
                }
            });
        }

        Member &member;
        tcp::socket socket;
        boost::asio::steady_timer timer;
        boost::asio::streambuf buffer{2 << 20};
        bool inTransaction = false;
    };
    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
            if (error) {
                return;
            }
            const auto connection = std::make_shared<Connection>(*this, std::move(socket));
            m_connections.push_back(connection);
            connection->read();
            accept();
        });
    }

    boost::asio::io_context &m_context;
    Record &m_record;
    std::string m_service;
    std::string m_id;
    ReplicaGroup &m_group;
    Hooks m_hooks;
    tcp::acceptor m_acceptor;
    std::string m_address;
    bool m_isCut = false;
    std::vector<std::weak_ptr<Connection>> m_connections;
    std::uint64_t m_signatures = 0;
};

/// A connection to a front, used from one thread.
class Client
{
public:
    Client(const std::string &address, int receiveBufferBytes = 0) : m_socket(m_context)
    {
        const auto colon = address.rfind(':');
        const tcp::endpoint endpoint(boost::asio::ip::make_address(address.substr(0, colon)),
                                     static_cast<unsigned short>(std::stoi(address.substr(colon + 1))));
        m_socket.open(tcp::v4());
        if (receiveBufferBytes > 0) {
            m_socket.set_option(boost::asio::socket_base::receive_buffer_size(receiveBufferBytes));
        }
        const timeval timeout{15, 0};
        setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
        m_socket.connect(endpoint);
    }
    void send(const std::string &line)
    {
        const std::string text = line + "\r\n";
        std::size_t sent = 0;
        while (sent < text.size()) {
            const auto count = ::send(m_socket.native_handle(), text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return;
            }
            sent += static_cast<std::size_t>(count);
        }
    }
    /// At most `most` bytes; empty at the end of the connection or after 15 s of silence.
    std::string receive(std::size_t most)
    {
        std::string bytes(most, '\0');
        const auto count = ::recv(m_socket.native_handle(), bytes.data(), most, 0);
        bytes.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
        return bytes;
    }
    /// The lines up to and with READY (or an ERROR to SETUP); empty if the connection ended before.
    std::string ask(const std::string &line)
    {
        send(line);
        std::string text;
        while (!isComplete(text)) {
            const std::string bytes = receive(64 << 10);
            if (bytes.empty()) {
                return {};
            }
            text += bytes;
        }
        return text;
    }
    static bool isComplete(const std::string &text)
    {
        if (text.size() < 2 || text.compare(text.size() - 2, 2, "\r\n") != 0) {
            return false;
        }
        const auto previous = text.rfind("\r\n", text.size() - 3);
        const std::string last = text.substr(previous == std::string::npos ? 0 : previous + 2);
        return last.rfind("READY ", 0) == 0;
    }
    int handle()
    {
        return m_socket.native_handle();
    }

private:
    boost::asio::io_context m_context;
    tcp::socket m_socket;
};

struct InstanceOptions {
    std::string name;
    std::string domain;
};

/// Instances, store, promotion call and members. Everything ends with the object.
class World
{
public:
    World(Record &record, const std::string &service, const std::vector<std::string> &memberIds, Member::Hooks hooks)
        : m_record(record)
        , m_service(service)
        , m_folder(std::filesystem::temp_directory_path() / ("review-2-" + std::to_string(getpid())))
        , m_memberIds(memberIds)
        , m_group(memberIds)
        , m_store(m_context)
        , m_promotions(m_context, [this](const HttpQuestion &question, const HttpServer::Answer &answer) {
            const std::string id = question.body.is_object() ? question.body.value("id", "") : "";
            const auto token = question.headers.find("fence-token");
            m_record.line("promotion id=" + id + " token=" + (token == question.headers.end() ? "-" : token->second));
            answer({m_group.promote(id, Clock::now()) ? 200U : 409U, nullptr});
        })
    {
        std::filesystem::create_directories(m_folder);
        for (std::size_t i = 0; i < memberIds.size(); ++i) {
            m_members.push_back(std::make_unique<Member>(m_context, record, service, memberIds[i], m_group, hooks));
            m_entries[memberIds[i]] = {{"service", service},
                                       {"address", m_members.back()->address()},
                                       {"zone", std::string(1, static_cast<char>('a' + i % 3))},
                                       {"version", "1"},
                                       {"capacity", 2},
                                       {"state", "ready"},
                                       {"coldLeftMs", 0},
                                       {"sequence", 1},
                                       {"born", unixMs()},
                                       {"dbRole", ""}};
        }
        reportRoles();
        advance();
    }
    ~World()
    {
        for (const auto &[name, pid] : m_processes) {
            ::kill(pid, SIGCONT);
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
        }
        if (m_thread.joinable()) {
            m_context.stop();
            m_thread.join();
        }
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }
    /// Runs the stand-ins on a thread of their own. Before that, the store may be filled.
    void run()
    {
        m_thread = std::thread([this] {
            m_context.run();
        });
    }
    ObjectStore &store()
    {
        return m_store;
    }
    ReplicaGroup &group()
    {
        return m_group;
    }
    /// Runs `function` on the stand-ins' thread and waits for its end.
    void onThread(const std::function<void()> &function)
    {
        std::promise<void> done;
        boost::asio::post(m_context, [&] {
            function();
            done.set_value();
        });
        done.get_future().wait();
    }
    /// The member crashes; its entry is removed after three heartbeat intervals of silence.
    void crashMember(const std::string &id)
    {
        m_record.line("member " + id + " crashes");
        onThread([&] {
            for (std::size_t i = 0; i < m_memberIds.size(); ++i) {
                if (m_memberIds[i] == id) {
                    m_members[i]->crash();
                }
            }
            m_group.setUp(id, false);
            m_removals.emplace_back(Clock::now() + 3600ms, id);
        });
    }
    /// The crashed member starts again under its id and at its address, and holds nothing of before.
    void restartMemberEmpty(const std::string &id)
    {
        m_record.line("member " + id + " starts again and holds nothing of before");
        onThread([&] {
            for (std::size_t i = 0; i < m_memberIds.size(); ++i) {
                if (m_memberIds[i] == id) {
                    m_members[i]->restart();
                }
            }
            auto &state = m_group.member(id);
            state = {};
            state.term = 0;
            std::erase_if(m_removals, [&](const auto &removal) {
                return removal.second == id;
            });
            m_entries.at(id)["born"] = unixMs();
            m_store.put("servers", id, m_entries.at(id));
        });
    }
    /// A silent partition of the member from all instances and from the store. Its entry is removed after three heartbeat intervals.
    void cutMemberOff(const std::string &id)
    {
        m_record.line("member " + id + " is cut off from all instances and from the store");
        onThread([&] {
            for (std::size_t i = 0; i < m_memberIds.size(); ++i) {
                if (m_memberIds[i] == id) {
                    m_members[i]->cutOff(true);
                }
            }
            m_removals.emplace_back(Clock::now() + 3600ms, id);
        });
    }
    /// The member receives nothing from its primary.
    void setDeaf(const std::string &id)
    {
        m_record.line("member " + id + " receives nothing from the primary");
        onThread([&] {
            m_group.member(id).isDeaf = true;
        });
    }
    /// The member reports the state, and the store accepts it.
    void reportState(const std::string &id, const std::string &state)
    {
        onThread([&] {
            m_entries.at(id)["state"] = state;
            m_store.put("servers", id, m_entries.at(id));
        });
        m_record.line("the store acknowledges that member " + id + " is " + state);
    }
    void addInstance(const InstanceOptions &options)
    {
        const std::string file = m_folder / (options.name + ".ini");
        // An address of its own, since the metrics have a fixed port.
        const std::string ip = "127.0." + std::to_string(2 + getpid() % 250) + '.' + std::to_string(m_fronts.size() + 1);
        const auto freePort = [&] {
            const std::string loopback
                = rattanbeam::standins::sessions::addressOf(rattanbeam::standins::sessions::listenOnLoopback(m_context));
            return loopback.substr(loopback.rfind(':'));
        };
        m_fronts[options.name] = ip + freePort();
        m_ready[options.name] = ip + freePort();
        const std::size_t door = m_store.addDoor();
        std::ofstream(file) << "[interface]\nkind = sessions\n\n[instance]\nname = " << options.name << "\ndomain = " << options.domain
                            << "\nip = " << ip << "\n\n[listen]\nfront = " << m_fronts[options.name]
                            << "\nreadiness = " << m_ready[options.name] << "\npeers = " << ip << freePort()
                            << "\nmetrics-port = 7441\n\n[peers]\nseeds = \n\n[platform]\nstore = " << m_store.address(door)
                            << "\npromotions = " << m_promotions.address()
                            << "\n\n[limits]\ngrace = 6s\nconfiguration-bound = 3000ms\nprocessor-share = 0.25\nprocessor-speed = 1\n";
        m_files[options.name] = file;
    }
    void startInstance(const std::string &name)
    {
        const std::string program = std::filesystem::absolute("target/daemon/rattanbeamd");
        const std::string setting = "RATTANBEAM_SETTINGS=" + m_files.at(name);
        const std::string log
            = std::getenv("KEEP_LOGS") == nullptr ? "/dev/null" : std::string(std::getenv("KEEP_LOGS")) + '/' + name + ".log";
        std::vector<std::string> words{program};
        for (const char *value :
             {"limits.memory=260", "limits.descriptors=4200", "quotas.window-seconds=", "quotas.tolerance=", "quotas.slack="}) {
            words.emplace_back("--default");
            words.emplace_back(value);
        }
        std::vector<char *> arguments;
        for (std::string &word : words) {
            arguments.push_back(word.data());
        }
        arguments.push_back(nullptr);
        std::string path = std::string("PATH=") + (std::getenv("PATH") == nullptr ? "/usr/bin:/bin" : std::getenv("PATH"));
        std::vector<char *> environment{const_cast<char *>(setting.c_str()), path.data(), nullptr};
        const pid_t pid = fork();
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the case, however that ends
            const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(output, STDOUT_FILENO);
            dup2(output, STDERR_FILENO);
            closefrom(STDERR_FILENO + 1);
            execve(program.c_str(), arguments.data(), environment.data());
            _exit(127);
        }
        m_processes[name] = pid;
    }
    const std::string &front(const std::string &name) const
    {
        return m_fronts.at(name);
    }
    pid_t pid(const std::string &name) const
    {
        return m_processes.at(name);
    }
    void signal(const std::string &name, int number)
    {
        m_record.line("signal " + std::to_string(number) + " to instance " + name);
        ::kill(m_processes.at(name), number);
    }
    /// Whether the instance's process has ended.
    bool hasEnded(const std::string &name)
    {
        const auto found = m_processes.find(name);
        if (found != m_processes.end() && ::waitpid(found->second, nullptr, WNOHANG) == found->second) {
            m_processes.erase(found);
            return true;
        }
        return found == m_processes.end();
    }
    /// Waits until a statement of `database` is served at the front.
    bool awaitService(const std::string &name, const std::string &database, const std::string &statement)
    {
        for (int tries = 0; tries < 150; ++tries) {
            try {
                Client client(front(name));
                if (client.ask("SETUP " + database + " probe").rfind("READY", 0) == 0
                    && client.ask("QUERY probe" + std::to_string(++m_probes) + ' ' + statement).find("DONE ") != std::string::npos) {
                    return true;
                }
            } catch (const std::exception &) {
                // not listening yet
            }
            std::this_thread::sleep_for(100ms);
        }
        return false;
    }

private:
    static std::int64_t unixMs()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }
    /// Members report a changed role at once. Entries of crashed members are removed when they are due.
    void reportRoles()
    {
        for (const std::string &id : m_memberIds) {
            const char *role = m_group.member(id).isPrimary ? "primary" : "replica";
            const auto found = m_entries.find(id);
            if (found != m_entries.end() && m_group.member(id).isUp && found->second["dbRole"] != role) {
                found->second["dbRole"] = role;
                m_store.put("servers", id, found->second);
            }
        }
        std::erase_if(m_removals, [&](const auto &removal) {
            if (Clock::now() < removal.first) {
                return false;
            }
            m_record.line("the store removes the entry of member " + removal.second);
            m_store.remove("servers", removal.second);
            m_entries.erase(removal.second);
            return true;
        });
    }
    void advance()
    {
        m_timer.expires_after(2ms);
        m_timer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                m_group.advance(Clock::now());
                reportRoles();
                advance();
            }
        });
    }

    Record &m_record;
    std::string m_service;
    std::filesystem::path m_folder;
    boost::asio::io_context m_context;
    boost::asio::steady_timer m_timer{m_context};
    std::vector<std::string> m_memberIds;
    std::map<std::string, nlohmann::json> m_entries;
    std::vector<std::pair<Clock::time_point, std::string>> m_removals;
    ReplicaGroup m_group;
    ObjectStore m_store;
    HttpServer m_promotions;
    std::vector<std::unique_ptr<Member>> m_members;
    std::map<std::string, std::string> m_fronts;
    std::map<std::string, std::string> m_ready;
    std::map<std::string, std::string> m_files;
    std::map<std::string, pid_t> m_processes;
    std::thread m_thread;
    std::uint64_t m_probes = 0;
};

inline bool isTroubled()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace review
