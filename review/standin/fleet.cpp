#include "fleet.h"

#include <boost/asio/write.hpp>

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

using boost::asio::ip::tcp;
using nlohmann::json;

namespace
{

constexpr const char *daemonFile = "target/daemon/rattanbeamd"; // as in deploy/system.toml
constexpr const char *templateFile = "deploy/settings.ini.template"; // as in deploy/system.toml
constexpr std::chrono::milliseconds registrationLapse = 3600ms; // three heartbeat intervals of 1,200 ms
constexpr std::chrono::milliseconds patience = 2000ms;

tcp::endpoint endpointOf(const std::string &address)
{
    const auto colon = address.rfind(':');
    return {boost::asio::ip::make_address(address.substr(0, colon)), static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

std::uint64_t unixMs()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}

std::string fileText(const std::string &file)
{
    std::ifstream stream(file);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

} // namespace

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

// Journal

Journal::Journal(const std::string &file) : m_file(file)
{}

std::int64_t Journal::now() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_startedAt).count();
}

void Journal::note(const std::string &line)
{
    m_file << now() << " ms  " << line << '\n';
    m_file.flush();
}

// CuttingProxy

struct CuttingProxy::Pair {
    explicit Pair(tcp::socket socket, boost::asio::io_context &context) : client(std::move(socket)), member(context)
    {}
    tcp::socket client;
    tcp::socket member;
    std::string instance;
    std::string setup;
    std::array<char, 8192> fromClient{};
    std::array<char, 8192> fromMember{};
};

CuttingProxy::CuttingProxy(boost::asio::io_context &context, std::string memberAddress)
    : m_context(context)
    , m_acceptor(rattanbeam::standins::sessions::listenOnLoopback(context))
    , m_address(rattanbeam::standins::sessions::addressOf(m_acceptor))
    , m_memberAddress(std::move(memberAddress))
{
    accept();
}

void CuttingProxy::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
        if (error) {
            return;
        }
        const auto pair = std::make_shared<Pair>(std::move(socket), m_context);
        std::erase_if(m_pairs, [](const auto &each) {
            return each.expired();
        });
        m_pairs.push_back(pair);
        readSetup(pair);
        accept();
    });
}

void CuttingProxy::readSetup(const std::shared_ptr<Pair> &pair)
{
    pair->client.async_read_some(boost::asio::buffer(pair->fromClient),
                                 [this, pair](const boost::system::error_code &error, std::size_t bytes) {
                                     if (error) {
                                         return;
                                     }
                                     pair->setup.append(pair->fromClient.data(), bytes);
                                     if (pair->setup.find("\r\n") == std::string::npos) {
                                         readSetup(pair);
                                         return;
                                     }
                                     std::istringstream words(pair->setup);
                                     std::string word;
                                     words >> word >> word >> pair->instance;
                                     if (m_cut.contains(pair->instance)) {
                                         reset(*pair);
                                     } else {
                                         connectMember(pair);
                                     }
                                 });
}

void CuttingProxy::connectMember(const std::shared_ptr<Pair> &pair)
{
    pair->member.async_connect(endpointOf(m_memberAddress), [this, pair](const boost::system::error_code &error) {
        if (error) {
            reset(*pair);
            return;
        }
        boost::system::error_code ignored;
        pair->member.set_option(tcp::no_delay(true), ignored);
        pair->client.set_option(tcp::no_delay(true), ignored);
        boost::asio::async_write(pair->member, boost::asio::buffer(pair->setup), [pair](const boost::system::error_code &, std::size_t) {});
        pump(pair, true);
        pump(pair, false);
    });
}

void CuttingProxy::pump(const std::shared_ptr<Pair> &pair, bool isFromClient)
{
    tcp::socket &from = isFromClient ? pair->client : pair->member;
    auto &buffer = isFromClient ? pair->fromClient : pair->fromMember;
    from.async_read_some(boost::asio::buffer(buffer),
                         [this, pair, isFromClient](const boost::system::error_code &error, std::size_t bytes) {
                             if (error) {
                                 reset(*pair);
                                 return;
                             }
                             if (isFromClient || m_delay == 0ms) {
                                 pass(pair, isFromClient, bytes);
                                 return;
                             }
                             const auto timer = std::make_shared<boost::asio::steady_timer>(m_context, m_delay);
                             timer->async_wait([this, timer, pair, bytes](const boost::system::error_code &) {
                                 pass(pair, false, bytes);
                             });
                         });
}

void CuttingProxy::pass(const std::shared_ptr<Pair> &pair, bool isFromClient, std::size_t bytes)
{
    tcp::socket &to = isFromClient ? pair->member : pair->client;
    auto &received = isFromClient ? pair->fromClient : pair->fromMember;
    boost::asio::async_write(
        to, boost::asio::buffer(received.data(), bytes), [this, pair, isFromClient](const boost::system::error_code &failure, std::size_t) {
            if (failure) {
                reset(*pair);
            } else {
                pump(pair, isFromClient);
            }
        });
}

void CuttingProxy::reset(Pair &pair)
{
    boost::system::error_code ignored;
    for (tcp::socket *socket : {&pair.client, &pair.member}) {
        if (socket->is_open()) {
            socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
    }
}

void CuttingProxy::cut(const std::string &instance)
{
    m_cut.insert(instance);
    for (const auto &each : m_pairs) {
        const auto pair = each.lock();
        if (pair && pair->instance == instance) {
            reset(*pair);
        }
    }
}

void CuttingProxy::heal(const std::string &instance)
{
    m_cut.erase(instance);
}

// Deployment

Deployment::Deployment(Journal &journal, const DeploymentOptions &options)
    : m_journal(journal)
    , m_options(options)
    , m_group({"m-1", "m-2", "m-3"})
    , m_auditor(m_group)
    , m_store(m_context)
    , m_promotions(m_context, [this](const HttpQuestion &question, const HttpServer::Answer &answer) {
        promote(question, answer);
    })
{
    char folder[] = "/tmp/rattanbeam-review-XXXXXX";
    if (mkdtemp(folder) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    m_folder = folder;
    const std::vector<std::string> zones{"zone-a", "zone-b", "zone-c"};
    for (int i = 1; i <= 3; ++i) {
        const std::string id = "m-" + std::to_string(i);
        Member &member = m_members[id];
        member.zone = zones[static_cast<std::size_t>(i - 1)];
        rattanbeam::standins::sessions::MemberServerEvents events;
        events.ran = [this](const RunStatement &run) {
            m_journal.note("run       " + run.id + " at " + run.member + ": " + run.text);
            m_auditor.ran(run);
        };
        events.committed = [this](const RunCommit &commit) {
            m_journal.note("commit    " + commit.writes.front() + " at " + commit.member + " in term " + std::to_string(commit.entry.term));
            m_auditor.committed(commit);
        };
        member.server = std::make_unique<MemberServer>(m_context, m_options.service, id, m_group, events);
        member.proxy = std::make_unique<CuttingProxy>(m_context, member.server->address());
    }
    m_store.put("config",
                "main",
                {{"version", 3},
                 {"routes",
                  {{{"name", m_options.database},
                    {"host", m_options.database},
                    {"service", m_options.service},
                    {"type", "primary"},
                    {"priority", 0},
                    {"timeoutMs", 800},
                    {"objectiveMs", 100}}}},
                 {"services", {{{"name", m_options.service}, {"maxConns", 16}, {"syncReplicas", m_options.syncReplicas}}}},
                 {"limits", {{"txIdleMs", 3000}}}});
    registerMembers();
    const int block = 16 + static_cast<int>(getpid() % 200);
    for (const auto &[name, zone] : m_options.instances) {
        Instance &instance = m_instances.emplace_back();
        instance.name = name;
        instance.zone = zone;
        instance.ip = "127." + std::to_string(block) + ".7." + std::to_string(m_instances.size());
        instance.logFile = m_folder + '/' + name + ".log";
        instance.storeDoor = m_store.addDoor();
    }
    for (Instance &instance : m_instances) {
        writeSettings(instance);
    }
}

Deployment::~Deployment()
{
    for (Instance &instance : m_instances) {
        kill(instance);
    }
    const char *kept = std::getenv("KEEP_LOGS");
    if (kept == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }
}

void Deployment::writeSettings(Instance &instance)
{
    std::string seeds;
    for (std::size_t i = 0; i < std::min<std::size_t>(3, m_instances.size()); ++i) {
        seeds += (seeds.empty() ? "" : ",") + m_instances[i].peers();
    }
    const std::map<std::string, std::string> values{{"nodeName", instance.name},
                                                    {"zone", instance.zone},
                                                    {"ip", instance.ip},
                                                    {"listenAddrs.front", instance.front()},
                                                    {"listenAddrs.ready", instance.ip + ":8785"},
                                                    {"listenAddrs.control", instance.peers()},
                                                    {"seeds", seeds},
                                                    {"platform.address", m_store.address(instance.storeDoor)},
                                                    {"cloudApi.address", m_promotions.address()},
                                                    {"contractParams.graceS", "6"},
                                                    {"contractParams.configApplyMs", "3000"},
                                                    {"limits.cpuShare", "0.25"},
                                                    {"limits.cores", "1"}};
    std::string text = fileText(templateFile);
    if (text.empty()) {
        throw std::runtime_error("the settings template is missing");
    }
    for (const auto &[name, value] : values) {
        const std::string placeholder = "{{" + name + "}}";
        for (auto at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder)) {
            text.replace(at, placeholder.size(), value);
        }
    }
    if (const char *lines = std::getenv("LOG_LINES")) {
        text += "\n[log]\nlines-per-second = " + std::string(lines) + "\n";
    }
    instance.settingsFile = m_folder + '/' + instance.name + ".ini";
    std::ofstream(instance.settingsFile) << text;
}

Instance &Deployment::instance(const std::string &name)
{
    for (Instance &each : m_instances) {
        if (each.name == name) {
            return each;
        }
    }
    throw std::runtime_error("no instance " + name);
}

void Deployment::start(Instance &instance)
{
    const std::string variable = "RATTANBEAM_SETTINGS=" + instance.settingsFile;
    const std::string path = std::string("PATH=") + (std::getenv("PATH") == nullptr ? "" : std::getenv("PATH"));
    const pid_t pid = fork();
    if (pid == 0) {
        const int log = open(instance.logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        closefrom(STDERR_FILENO + 1);
        char *arguments[] = {const_cast<char *>(daemonFile), nullptr};
        char *environment[] = {const_cast<char *>(variable.c_str()), const_cast<char *>(path.c_str()), nullptr};
        execve(daemonFile, arguments, environment);
        _exit(127);
    }
    instance.pid = pid;
    m_journal.note("start     " + instance.name);
}

void Deployment::signal(Instance &instance, int number)
{
    if (instance.pid > 0) {
        m_journal.note("signal    " + std::to_string(number) + " (" + strsignal(number) + ") to " + instance.name);
        ::kill(instance.pid, number);
    }
}

bool Deployment::hasEnded(Instance &instance)
{
    int status = 0;
    if (instance.pid > 0 && waitpid(instance.pid, &status, WNOHANG) == instance.pid) {
        m_lastStatus = status;
        instance.pid = 0;
        const std::string how = WIFSIGNALED(status) ? std::string("by signal ") + strsignal(WTERMSIG(status))
                                                    : "with exit code " + std::to_string(WEXITSTATUS(status));
        m_journal.note("ended     " + instance.name + ' ' + how);
    }
    return instance.pid == 0;
}

void Deployment::kill(Instance &instance)
{
    if (instance.pid > 0) {
        ::kill(instance.pid, SIGCONT);
        ::kill(instance.pid, SIGKILL);
        waitpid(instance.pid, nullptr, 0);
        instance.pid = 0;
        m_journal.note("killed    " + instance.name);
    }
}

void Deployment::crashMember(const std::string &id)
{
    m_journal.note("crash     member " + id);
    Member &member = m_members.at(id);
    member.isUp = false;
    member.lapsesAt = Clock::now() + registrationLapse;
    m_group.setUp(id, false);
    member.server->crash();
}

void Deployment::returnMember(const std::string &id)
{
    m_journal.note("return    member " + id);
    Member &member = m_members.at(id);
    member.isUp = true;
    m_group.setUp(id, true);
    member.server->start();
}

/// Members write what they are when it changes; the entry of a silent one lapses.
void Deployment::registerMembers()
{
    for (auto &[id, member] : m_members) {
        if (!member.isUp) {
            if (Clock::now() >= member.lapsesAt && !member.written.empty()) {
                m_store.remove("servers", id);
                member.written.clear();
            }
            continue;
        }
        json spec = {{"service", m_options.service},
                     {"address", member.proxy->address()},
                     {"zone", member.zone},
                     {"version", "1"},
                     {"capacity", 2},
                     {"state", "ready"},
                     {"coldLeftMs", 0},
                     {"sequence", 1},
                     {"dbRole", m_group.member(id).isPrimary ? "primary" : "replica"}};
        const std::string text = spec.dump();
        if (text != member.written) {
            static const std::uint64_t born = unixMs();
            member.written = text;
            spec["born"] = born;
            m_store.put("servers", id, spec);
        }
    }
}

void Deployment::promote(const HttpQuestion &question, const HttpServer::Answer &answer)
{
    const std::string id = question.body.is_object() ? question.body.value("id", "") : "";
    m_journal.note("promotion ordered of " + id);
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_context, m_options.promotionCall);
    timer->async_wait([this, timer, id, answer](const boost::system::error_code &) {
        const bool isDone = m_group.promote(id, Clock::now());
        m_lastPromoted = isDone ? id : m_lastPromoted;
        answer({isDone ? 200U : 409U, json::object()});
    });
}

void Deployment::tick()
{
    m_group.advance(Clock::now());
    if (m_group.highestTerm() != m_lastTerm) {
        m_lastTerm = m_group.highestTerm();
        m_ledSince = Clock::now();
        m_journal.note("promotion in effect: " + m_group.leader() + " leads term " + std::to_string(m_lastTerm));
    }
    registerMembers();
}

bool Deployment::runUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit)
{
    const auto until = Clock::now() + limit;
    while (!condition()) {
        if (Clock::now() >= until) {
            return false;
        }
        m_context.run_for(2ms);
        m_context.restart();
        tick();
    }
    return true;
}

void Deployment::runFor(std::chrono::milliseconds time)
{
    runUntil(
        [] {
            return false;
        },
        time);
}

bool Deployment::isListening(const Instance &instance)
{
    tcp::socket socket(m_context);
    boost::system::error_code error;
    socket.connect(endpointOf(instance.front()), error);
    return !error;
}

std::string Deployment::log(const Instance &instance) const
{
    return fileText(instance.logFile);
}

// Client

Client::Client(Deployment &deployment, Journal &journal, std::string name, std::string front)
    : m_deployment(deployment)
    , m_journal(journal)
    , m_name(std::move(name))
    , m_front(std::move(front))
    , m_socket(deployment.context())
    , m_timer(deployment.context())
    , m_patience(deployment.context())
{}

void Client::start()
{
    connect();
}

void Client::stop()
{
    m_isStopped = true;
    ++m_connection;
    m_timer.cancel();
    m_patience.cancel();
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

void Client::later(std::chrono::milliseconds delay, void (Client::*next)())
{
    m_timer.expires_after(delay);
    m_timer.async_wait([self = shared_from_this(), next, number = m_connection](const boost::system::error_code &error) {
        if (!error && !self->m_isStopped && number == self->m_connection) {
            (*self.*next)();
        }
    });
}

void Client::connect()
{
    static std::uint64_t lastSession = 0;
    ++m_connection;
    m_session = ++lastSession;
    m_isSetUp = false;
    m_buffer.clear();
    m_socket = tcp::socket(m_deployment.context());
    m_socket.async_connect(endpointOf(m_front), [self = shared_from_this(), number = m_connection](const boost::system::error_code &error) {
        if (number != self->m_connection) {
            return;
        }
        if (error) {
            self->later(20ms, &Client::connect);
            return;
        }
        boost::system::error_code ignored;
        self->m_socket.set_option(tcp::no_delay(true), ignored);
        self->send("SETUP " + self->m_deployment.options().database + ' ' + self->m_name);
        self->read();
    });
}

void Client::send(const std::string &line)
{
    const auto text = std::make_shared<std::string>(line + "\r\n");
    boost::asio::async_write(
        m_socket, boost::asio::buffer(*text), [self = shared_from_this(), text](const boost::system::error_code &, std::size_t) {});
    m_patience.expires_after(patience);
    m_patience.async_wait([self = shared_from_this(), number = m_connection](const boost::system::error_code &error) {
        if (!error && number == self->m_connection) {
            self->lose("no answer");
        }
    });
}

void Client::read()
{
    m_socket.async_read_some(boost::asio::buffer(m_bytes),
                             [self = shared_from_this(), number = m_connection](const boost::system::error_code &error, std::size_t bytes) {
                                 if (number != self->m_connection) {
                                     return;
                                 }
                                 if (error) {
                                     self->lose("closed");
                                     return;
                                 }
                                 self->m_buffer.append(self->m_bytes.data(), bytes);
                                 for (auto end = self->m_buffer.find("\r\n"); end != std::string::npos; end = self->m_buffer.find("\r\n")) {
                                     const std::string line = self->m_buffer.substr(0, end);
                                     self->m_buffer.erase(0, end + 2);
                                     self->handle(line);
                                     if (number != self->m_connection) {
                                         return;
                                     }
                                 }
                                 self->read();
                             });
}

void Client::lose(const std::string &cause)
{
    if (!m_id.empty()) {
        m_journal.note("lost      " + m_id + " of " + m_name + ": " + cause);
        ++m_outcomes.failed;
        m_id.clear();
    }
    ++m_connection;
    m_patience.cancel();
    boost::system::error_code ignored;
    m_socket.close(ignored);
    if (!m_isStopped) {
        later(20ms, &Client::connect);
    }
}

void Client::handle(const std::string &line)
{
    std::istringstream words(line);
    std::string word;
    words >> word;
    if (!m_isSetUp) {
        m_isSetUp = word == "READY";
        m_patience.cancel();
        if (m_isSetUp) {
            ask();
        } else {
            lose(line);
        }
    } else if (word == "ROW") {
        words >> m_row;
    } else if (word == "DONE") {
        words >> m_signature;
    } else if (word == "ERROR") {
        std::getline(words >> std::ws, m_error);
    } else if (word == "READY" && !m_id.empty()) {
        answered();
    }
}

void Client::ask()
{
    const std::string item = std::to_string(++m_number % 100);
    m_isWrite = !m_isWrite;
    const std::string text = m_isWrite ? "WRITE " + item + " data" : "READ " + item;
    m_id = m_name + '-' + std::to_string(m_number);
    m_row.clear();
    m_signature.clear();
    m_error.clear();
    SentStatement sent;
    sent.id = m_id;
    sent.text = text;
    sent.session = m_session;
    sent.freshness = Freshness::Latest;
    sent.startedAt = Clock::now();
    m_deployment.auditor().sent(sent);
    ++m_outcomes.sent;
    m_journal.note("sent      " + m_id + " to " + m_front + ": " + text);
    send("QUERY " + m_id + ' ' + text);
}

void Client::answered()
{
    static const std::set<std::string> promises{"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "OVERLOAD"};
    m_patience.cancel();
    const std::string id = std::exchange(m_id, {});
    if (m_error.empty()) {
        m_journal.note("answered  " + id + ": DONE " + m_signature + (m_row.empty() ? "" : " with row " + m_row));
        ++m_outcomes.succeeded;
        m_deployment.auditor().succeeded(id, m_signature, m_row, Clock::now());
    } else {
        m_journal.note("answered  " + id + ": ERROR " + m_error);
        ++m_outcomes.failed;
        if (promises.contains(m_error.substr(0, m_error.find(' ')))) {
            m_deployment.auditor().promisedNotRun(id);
        }
    }
    later(m_error.empty() ? m_pause : std::max(m_pause, std::chrono::milliseconds(20)), &Client::ask);
}

} // namespace review
