// Crowds of uncontrolled clients must not run an instance out of memory or descriptors, nor stop it from serving an ordinary client.
// Each case runs two real instances, so that half of the crowd meets the home of the service and half an entry that forwards to it.
// The crowds and bounds are fixed: they were chosen so that the code without limits on clients exceeds them where it can.

#include "rattanbeam/standins/sessions/listening.h"
#include "rattanbeam/standins/sessions/memberserver.h"
#include "rattanbeam/standins/sessions/objectstore.h"
#include "rattanbeam/systemtests/process.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>

namespace rattanbeam::systemtests
{

namespace
{

using boost::asio::ip::tcp;
using standins::sessions::Clock;
using namespace std::chrono_literals;

/// The smallest machine of the platform has 160 MB.
constexpr std::size_t maxResidentKiB = 160UL * 1024;
constexpr std::size_t maxDescriptors = 260;
/// A message of legal size, with room for its words.
constexpr std::size_t largeBytes = 1'000'000;
constexpr std::size_t largeRowBytes = 500'000;
/// Limits of the instances under test, lower than the defaults.
const std::string limitSettings = "memory = 160\ndescriptors = 512\n";

tcp::endpoint endpointOf(const std::string &address)
{
    const auto colon = address.rfind(':');
    return {boost::asio::ip::make_address(address.substr(0, colon)), static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

std::size_t peakResidentKiB(pid_t pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.rfind("VmHWM:", 0) == 0) {
            return std::stoul(line.substr(6));
        }
    }
    return 0;
}

std::size_t openDescriptors(pid_t pid)
{
    std::error_code error;
    const std::filesystem::directory_iterator files("/proc/" + std::to_string(pid) + "/fd", error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

/// What one client of a crowd does after it has connected.
struct Behaviour {
    std::shared_ptr<const std::string> text;
    /// Bytes written at a time; 0 stands for all.
    std::size_t pieceBytes = 0;
    std::chrono::milliseconds pieceDelay{0};
    /// Bytes read at a time; 0 stands for none.
    std::size_t readBytes = 65536;
    std::chrono::milliseconds readDelay{0};
};

/// Writes its text and reads answers as its behaviour says, until the instance closes the connection; then it stays away.
class CrowdClient : public std::enable_shared_from_this<CrowdClient>
{
public:
    CrowdClient(boost::asio::io_context &context, const std::string &front, Behaviour behaviour)
        : m_behaviour(std::move(behaviour)), m_socket(context), m_writeTimer(context), m_readTimer(context), m_front(endpointOf(front))
    {}
    void start()
    {
        m_socket.async_connect(m_front, [self = shared_from_this()](const boost::system::error_code &error) {
            if (!error) {
                self->writeNext();
                self->readNext();
            }
        });
    }
    void close()
    {
        boost::system::error_code ignored;
        m_socket.close(ignored);
        m_writeTimer.cancel();
        m_readTimer.cancel();
    }

private:
    static void wait(boost::asio::steady_timer &timer, std::chrono::milliseconds delay, std::function<void()> next)
    {
        timer.expires_after(delay);
        timer.async_wait([next = std::move(next)](const boost::system::error_code &error) {
            if (!error) {
                next();
            }
        });
    }
    void writeNext()
    {
        const std::string &text = *m_behaviour.text;
        if (m_offset == text.size()) {
            return;
        }
        const std::size_t rest = text.size() - m_offset;
        const std::size_t count = m_behaviour.pieceBytes == 0 ? rest : std::min(rest, m_behaviour.pieceBytes);
        const auto written = [self = shared_from_this()](const boost::system::error_code &error, std::size_t bytes) {
            self->m_offset += bytes;
            if (!error) {
                wait(self->m_writeTimer, self->m_behaviour.pieceDelay, [self] {
                    self->writeNext();
                });
            }
        };
        boost::asio::async_write(m_socket, boost::asio::buffer(text.data() + m_offset, count), written);
    }
    void readNext()
    {
        if (m_behaviour.readBytes == 0) {
            return;
        }
        const std::size_t count = std::min(m_behaviour.readBytes, m_buffer.size());
        const auto received = [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
            if (!error) {
                wait(self->m_readTimer, self->m_behaviour.readDelay, [self] {
                    self->readNext();
                });
            }
        };
        m_socket.async_read_some(boost::asio::buffer(m_buffer.data(), count), received);
    }

    Behaviour m_behaviour;
    tcp::socket m_socket;
    boost::asio::steady_timer m_writeTimer;
    boost::asio::steady_timer m_readTimer;
    tcp::endpoint m_front;
    std::size_t m_offset = 0;
    std::array<char, 65536> m_buffer{};
};

/// An ordinary client: asks again with a new session until one read is answered.
class OrdinaryClient : public std::enable_shared_from_this<OrdinaryClient>
{
public:
    OrdinaryClient(boost::asio::io_context &context, const std::string &front, const std::string &statement)
        : m_context(context)
        , m_socket(context)
        , m_timer(context)
        , m_front(endpointOf(front))
        , m_text("SETUP orders key\r\nQUERY ordinary " + statement + "\r\n")
    {}
    void start()
    {
        m_socket = tcp::socket(m_context);
        m_input.consume(m_input.size());
        m_timer.expires_after(3s);
        m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
            if (!error) {
                boost::system::error_code ignored;
                self->m_socket.close(ignored);
                self->start();
            }
        });
        m_socket.async_connect(m_front, [self = shared_from_this()](const boost::system::error_code &error) {
            if (error) {
                self->startLater();
                return;
            }
            boost::asio::write(self->m_socket, boost::asio::buffer(self->m_text));
            self->read();
        });
    }
    bool isAnswered() const
    {
        return m_isAnswered;
    }

private:
    void startLater()
    {
        m_timer.expires_after(100ms);
        m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
            if (!error) {
                self->start();
            }
        });
    }
    void read()
    {
        const auto received = [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
            std::string line;
            std::istream stream(&self->m_input);
            if (error || !std::getline(stream, line) || line.rfind("ERROR", 0) == 0) {
                self->startLater();
                return;
            }
            self->m_isAnswered = line.rfind("DONE", 0) == 0;
            if (self->m_isAnswered) {
                self->m_timer.cancel();
            } else {
                self->read();
            }
        };
        boost::asio::async_read_until(m_socket, m_input, "\r\n", received);
    }

    boost::asio::io_context &m_context;
    tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    tcp::endpoint m_front;
    std::string m_text;
    boost::asio::streambuf m_input;
    bool m_isAnswered = false;
};

/// Two instances of one service with one member, and a crowd of clients.
class CrowdFleet
{
public:
    explicit CrowdFleet(const std::string &name)
        : m_directory("clients-" + name)
        , m_member(m_context, "orders-db", "m-1", m_group, {[](const auto &) {}, [](const auto &) {}})
        , m_store(m_context)
        , m_promotions(m_context, [](const auto &, const auto &answer) {
            answer({409U, nullptr});
        })
    {
        std::filesystem::remove_all(m_directory);
        std::filesystem::create_directories(m_directory);
        m_store.put("config",
                    "main",
                    {{"version", 1},
                     {"routes", {{{"host", "orders"}, {"service", "orders-db"}, {"type", "primary"}, {"priority", 0}, {"timeoutMs", 900}}}},
                     {"services", {{{"name", "orders-db"}, {"maxConns", 8}}}}});
        m_store.put("servers",
                    "m-1",
                    {{"service", "orders-db"},
                     {"address", m_member.address()},
                     {"zone", "a"},
                     {"version", "1"},
                     {"capacity", 2},
                     {"state", "ready"},
                     {"coldLeftMs", 0},
                     {"sequence", 1},
                     {"born", 1},
                     {"dbRole", "primary"}});
        // The home is placed by processor share, so that the first instance is the home.
        startInstance("home", "1");
        startInstance("entry", "0.05");
        for (const Instance &instance : m_instances) {
            REQUIRE(isServed(instance));
        }
        // An instance that does not know the other one yet is home to the service itself.
        const auto isForwarded = [this] {
            return m_instances[1].process->log().find(" home=127.0.0.1:") != std::string::npos;
        };
        for (const auto end = Clock::now() + 20s; !isForwarded() && Clock::now() < end;) {
            runFor(200ms);
            REQUIRE(isServed(m_instances[1]));
        }
        REQUIRE(isForwarded());
    }
    CrowdFleet(const CrowdFleet &) = delete;
    CrowdFleet &operator=(const CrowdFleet &) = delete;
    ~CrowdFleet()
    {
        for (const auto &client : m_crowd) {
            client->close();
        }
    }

    standins::sessions::MemberServer &member()
    {
        return m_member;
    }
    /// Connects half of the clients to each instance.
    void addClients(std::size_t count, const Behaviour &behaviour)
    {
        for (std::size_t i = 0; i < count; ++i) {
            m_crowd.push_back(std::make_shared<CrowdClient>(m_context, m_instances[i % 2].front, behaviour));
            m_crowd.back()->start();
        }
    }
    void runFor(std::chrono::milliseconds time)
    {
        const auto end = Clock::now() + time;
        while (Clock::now() < end) {
            step();
        }
    }
    /// Whether both instances answer the statement.
    bool isServedEverywhere(const std::string &statement)
    {
        return std::all_of(m_instances.begin(), m_instances.end(), [&](const Instance &instance) {
            return isServed(instance, statement);
        });
    }
    /// Checks the processes while the crowd's connections are still open, and that both serve an ordinary client.
    void check()
    {
        for (Instance &instance : m_instances) {
            const bool isAnswered = isServed(instance);
            const std::size_t residentKiB = peakResidentKiB(instance.pid);
            WARN(m_directory << ' ' << instance.name << ": peak resident KiB " << residentKiB << ", peak descriptors "
                             << instance.peakDescriptors << ", answered " << isAnswered);
            CHECK(isAnswered);
            CHECK(instance.process->isRunning());
            CHECK(instance.process->pid() == instance.pid);
            CHECK(residentKiB > 0);
            CHECK(residentKiB <= maxResidentKiB);
            CHECK(instance.peakDescriptors <= maxDescriptors);
        }
    }

private:
    struct Instance {
        std::string name;
        std::string front;
        std::unique_ptr<Process> process;
        pid_t pid = -1;
        std::size_t peakDescriptors = 0;
    };

    void startInstance(const std::string &name, const std::string &processorShare)
    {
        const auto freeAddress = [this] {
            return standins::sessions::addressOf(standins::sessions::listenOnLoopback(m_context));
        };
        Instance &instance = m_instances.emplace_back();
        instance.name = name;
        instance.front = freeAddress();
        const std::string file = m_directory + '/' + name + ".ini";
        std::ofstream(file) << "[interface]\nkind = sessions\n[instance]\nname = " << name << "\ndomain = " << name
                            << "\nip = 127.0.0.1\n[listen]\nfront = " << instance.front << "\nreadiness = " << freeAddress()
                            << "\npeers = " << freeAddress() << "\n[platform]\nstore = " << m_store.address(m_store.addDoor())
                            << "\npromotions = " << m_promotions.address() << "\n[limits]\nprocessor-share = " << processorShare << '\n'
                            << limitSettings << "[log]\nlines-per-second = 5000\n";
        instance.process = std::make_unique<Process>(
            RATTANBEAM_DAEMON, std::vector<std::string>{"--config", file}, m_directory + '/' + name + ".log", Process::Start::AtOnce);
        instance.pid = instance.process->pid();
    }
    void step()
    {
        m_context.run_for(20ms);
        m_context.restart();
        m_group.advance(Clock::now());
        for (Instance &instance : m_instances) {
            instance.peakDescriptors = std::max(instance.peakDescriptors, openDescriptors(instance.pid));
        }
    }
    /// Whether an ordinary client is answered; a process that hangs does not answer within the limit.
    bool isServed(const Instance &instance, const std::string &statement = "READ 1")
    {
        const auto client = std::make_shared<OrdinaryClient>(m_context, instance.front, statement);
        client->start();
        const auto end = Clock::now() + 20s;
        while (!client->isAnswered() && Clock::now() < end) {
            step();
        }
        return client->isAnswered();
    }

    std::string m_directory;
    boost::asio::io_context m_context;
    standins::sessions::ReplicaGroup m_group{{"m-1"}};
    standins::sessions::MemberServer m_member;
    standins::sessions::ObjectStore m_store;
    standins::sessions::HttpServer m_promotions;
    std::vector<Instance> m_instances;
    std::vector<std::shared_ptr<CrowdClient>> m_crowd;
};

const std::string setup = "SETUP orders key\r\n";

std::shared_ptr<const std::string> repeated(const std::string &message, std::size_t count, const std::string &start = setup)
{
    auto text = std::make_shared<std::string>(start);
    for (std::size_t i = 0; i < count; ++i) {
        *text += message;
    }
    return text;
}

std::string largeWrite()
{
    return "QUERY w WRITE 1 " + std::string(largeBytes, 'x') + "\r\n";
}

} // namespace

TEST_CASE("Many large messages at once, in one piece, stay within the memory of a small machine", "[clients]")
{
    CrowdFleet fleet("one-piece");
    fleet.addClients(80, {.text = repeated(largeWrite(), 6)});
    fleet.runFor(3s);
    fleet.check();
}

TEST_CASE("Many large messages at once, in small pieces, stay within the memory of a small machine", "[clients]")
{
    CrowdFleet fleet("small-pieces");
    fleet.addClients(80, {.text = repeated(largeWrite(), 4), .pieceBytes = 4096});
    fleet.runFor(4s);
    fleet.check();
}

TEST_CASE("Messages far over the limit are not kept", "[clients]")
{
    CrowdFleet fleet("over-the-limit");
    fleet.addClients(300, {.text = repeated(std::string(8 * largeBytes, 'x'), 1), .pieceBytes = 65536});
    fleet.runFor(3s);
    fleet.check();
}

TEST_CASE("Clients that send many small statements ahead and read no answers are bounded", "[clients]")
{
    CrowdFleet fleet("sent-ahead");
    fleet.addClients(100, {.text = repeated("QUERY r READ 1\r\n", 20'000), .readBytes = 0});
    fleet.addClients(160, {.text = repeated("QUERY e EXECUTE " + std::string(100'000, 'n') + " 1\r\n", 200), .readBytes = 0});
    fleet.runFor(3s);
    fleet.check();
}

TEST_CASE("Clients that send statements ahead and do not read large answers are bounded", "[clients]")
{
    CrowdFleet fleet("large-answers");
    fleet.member().faults().rowBytes = largeRowBytes;
    fleet.addClients(80, {.text = repeated("QUERY r READ 1\r\n", 24), .readBytes = 0});
    fleet.runFor(4s);
    fleet.check();
}

TEST_CASE("Clients that read large answers very slowly are bounded", "[clients]")
{
    CrowdFleet fleet("slow-readers");
    fleet.member().faults().rowBytes = largeRowBytes;
    fleet.addClients(160, {.text = repeated("QUERY r READ 1\r\n", 24), .readBytes = 4096, .readDelay = 20ms});
    fleet.runFor(3s);
    fleet.check();
}

TEST_CASE("Clients that stop within a message, or send its rest very slowly, are bounded", "[clients]")
{
    CrowdFleet fleet("half-way");
    const auto half = std::make_shared<std::string>(setup + largeWrite().substr(0, largeBytes - 100'000));
    fleet.addClients(260, {.text = half});
    fleet.addClients(120, {.text = half, .pieceBytes = 60'000, .pieceDelay = 200ms});
    fleet.runFor(3s);
    fleet.check();
}

TEST_CASE("Connections without a session leave descriptors for others", "[clients]")
{
    CrowdFleet fleet("no-session");
    fleet.addClients(300, {.text = std::make_shared<std::string>("SET")});
    fleet.addClients(300, {.text = std::make_shared<std::string>()});
    fleet.runFor(1s);
    fleet.check();
}

TEST_CASE("Sessions with many large values and prepared statements are bounded, and others keep their link", "[clients]")
{
    CrowdFleet fleet("values");
    auto text = std::make_shared<std::string>(setup);
    for (int i = 0; i < 20; ++i) {
        *text += "QUERY s SET name" + std::to_string(i) + ' ' + std::string(largeBytes, 'v') + "\r\n";
        *text += "QUERY p PREPARE name" + std::to_string(i) + " READ " + std::string(largeBytes, 'd') + "\r\n";
    }
    *text += "QUERY r READ 1\r\nQUERY e EXECUTE name1 1\r\n";
    fleet.addClients(20, {.text = text});
    fleet.runFor(3s);
    fleet.check();
}

// Without a crowd, the limits of the smallest machine must not refuse a single message of legal size.

TEST_CASE("Single statements and answers of legal size are served", "[clients]")
{
    CrowdFleet fleet("single");
    CHECK(fleet.isServedEverywhere("WRITE 1 " + std::string(largeBytes, 'x')));
    fleet.member().faults().rowBytes = largeBytes;
    CHECK(fleet.isServedEverywhere("READ 1"));
    fleet.check();
}

} // namespace rattanbeam::systemtests
