// A small world for the scripts of review 3: the platform's store and its promotion call, one database service with its members, relays
// between instances, and clients. One process; one thread for each connection, and one lock for the whole state. Everything that is sent,
// answered and run is written to a record.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace world
{

using json = nlohmann::json;
using Lock = std::unique_lock<std::recursive_mutex>;
using Clock = std::chrono::steady_clock;

inline std::recursive_mutex g_mutex;
inline const Clock::time_point g_start = Clock::now();
inline std::ofstream g_record;
inline std::atomic<bool> g_isOver{false};

inline std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - g_start).count();
}
inline void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}
inline void sleepUntilMs(std::int64_t ms)
{
    if (ms > nowMs()) {
        sleepMs(ms - nowMs());
    }
}
inline void note(const std::string &text)
{
    const Lock lock(g_mutex);
    g_record << nowMs() << ' ' << text << '\n';
}

// ---------------------------------------------------------------- sockets

inline int tryToListen(std::uint16_t &port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 || listen(fd, 256) != 0) {
        close(fd);
        return -1;
    }
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    port = ntohs(address.sin_port);
    return fd;
}
/// Listens on a free port.
inline int listenOn(std::uint16_t &port)
{
    port = 0;
    const int fd = tryToListen(port);
    if (fd < 0) {
        std::perror("listen");
        std::exit(2);
    }
    return fd;
}
/// A port that is free now, for a program that binds it itself; below the ports that the kernel gives to others.
inline std::uint16_t freePort()
{
    static std::mt19937 choices{static_cast<std::uint32_t>(getpid())};
    static std::set<std::uint16_t> given;
    for (;;) {
        auto port = static_cast<std::uint16_t>(std::uniform_int_distribution<int>(20000, 32000)(choices));
        const int fd = given.insert(port).second ? tryToListen(port) : -1;
        if (fd >= 0) {
            close(fd);
            return port;
        }
    }
}
inline std::string addressOf(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}
inline void setNoDelay(int fd)
{
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}
inline int connectTo(std::uint16_t port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    if (connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        close(fd);
        return -1;
    }
    setNoDelay(fd);
    return fd;
}
inline bool sendAll(int fd, const std::string &text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t count = send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}
/// Reads lines that end with CR LF.
class LineReader
{
public:
    explicit LineReader(int fd) : m_fd(fd)
    {}
    /// Nothing at the end of the connection, or after `timeoutMs` without a complete line.
    std::optional<std::string> next(int timeoutMs = -1)
    {
        const std::int64_t until = nowMs() + timeoutMs;
        for (;;) {
            const auto end = m_buffer.find("\r\n");
            if (end != std::string::npos) {
                std::string line = m_buffer.substr(0, end);
                m_buffer.erase(0, end + 2);
                return line;
            }
            pollfd ready{m_fd, POLLIN, 0};
            const int wait = timeoutMs < 0 ? 200 : static_cast<int>(std::clamp<std::int64_t>(until - nowMs(), 0, 200));
            const int result = poll(&ready, 1, wait);
            if (g_isOver || (result == 0 && timeoutMs >= 0 && nowMs() >= until)) {
                return std::nullopt;
            }
            if (result <= 0) {
                continue;
            }
            char part[65536];
            const ssize_t count = recv(m_fd, part, sizeof part, 0);
            if (count <= 0) {
                m_isClosed = true;
                return std::nullopt;
            }
            m_buffer.append(part, static_cast<std::size_t>(count));
        }
    }
    std::string take(std::size_t size)
    {
        while (m_buffer.size() < size) {
            char part[65536];
            const ssize_t count = recv(m_fd, part, sizeof part, 0);
            if (count <= 0) {
                m_isClosed = true;
                return {};
            }
            m_buffer.append(part, static_cast<std::size_t>(count));
        }
        std::string text = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return text;
    }
    bool isClosed() const
    {
        return m_isClosed;
    }

private:
    int m_fd;
    std::string m_buffer;
    bool m_isClosed = false;
};
/// Calls `handle` in a thread of its own for each connection; closes it afterwards.
inline void serve(int listener, std::function<void(int)> handle)
{
    std::thread([listener, handle = std::move(handle)] {
        for (;;) {
            const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                return;
            }
            setNoDelay(fd);
            std::thread([fd, handle] {
                handle(fd);
                close(fd);
            }).detach();
        }
    }).detach();
}
inline void resetConnection(int fd)
{
    const linger hard{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
}

// ---------------------------------------------------------------- the platform's store

struct HttpQuestion {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    json body;
};
struct HttpAnswer {
    int status = 0;
    json body;
};

inline std::string decoded(const std::string &text)
{
    std::string plain;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            plain += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
            at += 2;
        } else {
            plain += text[at];
        }
    }
    return plain;
}
inline std::optional<HttpQuestion> readQuestion(LineReader &lines)
{
    const auto first = lines.next();
    if (!first) {
        return std::nullopt;
    }
    HttpQuestion question;
    std::istringstream words(*first);
    std::string target;
    words >> question.method >> target;
    const auto mark = target.find('?');
    question.path = decoded(target.substr(0, mark));
    if (mark != std::string::npos) {
        std::istringstream pairs(target.substr(mark + 1));
        for (std::string pair; std::getline(pairs, pair, '&');) {
            const auto equals = pair.find('=');
            question.query[pair.substr(0, equals)] = equals == std::string::npos ? "" : decoded(pair.substr(equals + 1));
        }
    }
    std::size_t length = 0;
    for (;;) {
        const auto line = lines.next();
        if (!line) {
            return std::nullopt;
        }
        if (line->empty()) {
            break;
        }
        const auto colon = line->find(':');
        std::string name = line->substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), ::tolower);
        const auto begin = line->find_first_not_of(' ', colon + 1);
        question.headers[name] = begin == std::string::npos ? "" : line->substr(begin);
        if (name == "content-length") {
            length = std::stoul(question.headers[name]);
        }
    }
    if (length > 0) {
        question.body = json::parse(lines.take(length), nullptr, false);
    }
    return question;
}
inline bool sendAnswer(int fd, const HttpAnswer &answer)
{
    const std::string body = answer.body.is_null() ? "" : answer.body.dump();
    return sendAll(fd,
                   "HTTP/1.1 " + std::to_string(answer.status)
                       + " -\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

/// The store of PROTOCOL.md, with a door of its own for each instance, so that the path between the two can be cut.
class Store
{
public:
    struct Door {
        std::uint16_t port = 0;
        std::string instance;
        bool isCut = false;
        /// Addresses under which this instance reaches the others; see Relay.
        std::map<std::string, std::string> relays;
    };
    Door &addDoor(const std::string &instance)
    {
        Door &door = m_doors.emplace_back();
        door.instance = instance;
        const int listener = listenOn(door.port);
        serve(listener, [this, &door](int fd) {
            LineReader lines(fd);
            while (auto question = readQuestion(lines)) {
                if (isCut(door)) {
                    waitWhileCut(door);
                    resetConnection(fd);
                    return;
                }
                const HttpAnswer answer = handle(door, *question);
                sleepMs(4);
                if (isCut(door)) {
                    waitWhileCut(door);
                    resetConnection(fd);
                    return;
                }
                if (!sendAnswer(fd, answer)) {
                    return;
                }
            }
        });
        return door;
    }
    void put(const std::string &kind, const std::string &name, const json &spec)
    {
        const Lock lock(g_mutex);
        const auto found = m_objects.find({kind, name});
        if (found != m_objects.end() && found->second.at("spec") == spec) {
            return;
        }
        json object = {
            {"meta", {{"name", name}, {"revision", m_revision + 1}, {"finalizers", json::array()}}}, {"spec", spec}, {"status", nullptr}};
        m_objects[{kind, name}] = object;
        event(kind, object, false);
    }
    void remove(const std::string &kind, const std::string &name)
    {
        const Lock lock(g_mutex);
        const auto found = m_objects.find({kind, name});
        if (found == m_objects.end()) {
            return;
        }
        json object = found->second;
        object["meta"]["revision"] = m_revision + 1;
        m_objects.erase(found);
        event(kind, object, true);
    }
    json find(const std::string &kind, const std::string &name)
    {
        const Lock lock(g_mutex);
        const auto found = m_objects.find({kind, name});
        return found == m_objects.end() ? json() : found->second;
    }

private:
    struct Event {
        std::uint64_t revision;
        std::string kind;
        json object;
        bool isRemoved;
    };
    static bool isCut(const Door &door)
    {
        const Lock lock(g_mutex);
        return door.isCut;
    }
    static void waitWhileCut(const Door &door)
    {
        while (isCut(door) && !g_isOver) {
            sleepMs(20);
        }
    }
    void event(const std::string &kind, const json &object, bool isRemoved)
    {
        m_events.push_back({++m_revision, kind, object, isRemoved});
        m_changed.notify_all();
    }
    /// The object as the instance behind the door sees it: the addresses of other instances are those of its relays.
    static json seen(const Door &door, const json &object, const std::string &kind)
    {
        json copy = object;
        const std::string name = object.at("meta").at("name");
        if (kind == "rattanbeam-instances" && name != door.instance && door.relays.contains(name)) {
            copy["spec"]["address"] = door.relays.at(name);
        }
        return copy;
    }
    HttpAnswer handle(const Door &door, const HttpQuestion &question)
    {
        Lock lock(g_mutex);
        const std::string root = "/objects/";
        if (question.path.rfind(root, 0) != 0) {
            return {404, nullptr};
        }
        const std::string rest = question.path.substr(root.size());
        const auto slash = rest.find('/');
        const std::string kind = rest.substr(0, slash);
        std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
        if (question.method == "GET" && question.query.contains("watch")) {
            return watch(door, kind, question, lock);
        }
        if (question.method == "GET" && name.empty()) {
            json items = json::array();
            const std::string after = question.query.contains("after") ? question.query.at("after") : "";
            for (const auto &[key, object] : m_objects) {
                if (key.first == kind && (after.empty() || key.second > after)) {
                    items.push_back(seen(door, object, kind));
                }
            }
            return {200, {{"items", items}, {"hasMore", false}, {"currentRev", m_revision}}};
        }
        const bool isNew = question.method == "POST";
        if (isNew) {
            name = question.body.at("meta").at("name");
        }
        const auto found = m_objects.find({kind, name});
        if (question.method == "GET") {
            return found == m_objects.end() ? HttpAnswer{404, nullptr} : HttpAnswer{200, seen(door, found->second, kind)};
        }
        if (found == m_objects.end() && !isNew) {
            return {404, nullptr};
        }
        const json expected = question.method == "DELETE"
                                  ? (question.query.contains("revision") ? json(std::stoull(question.query.at("revision"))) : json())
                                  : question.body.at("meta").value("revision", json());
        if (found != m_objects.end() && (isNew || (!expected.is_null() && expected != found->second.at("meta").at("revision")))) {
            return {409, seen(door, found->second, kind)};
        }
        if (question.method == "DELETE") {
            remove(kind, name);
            return {200, nullptr};
        }
        put(kind, name, question.body.at("spec"));
        note("store " + door.instance + " writes " + kind + '/' + name + ' ' + question.body.at("spec").dump());
        return {isNew ? 201 : 200, seen(door, m_objects.at({kind, name}), kind)};
    }
    HttpAnswer watch(const Door &door, const std::string &kind, const HttpQuestion &question, Lock &lock)
    {
        const std::uint64_t from = std::stoull(question.query.at("watch"));
        const std::int64_t until = nowMs() + std::stoll(question.query.at("waitMs"));
        for (;;) {
            json events = json::array();
            for (const Event &each : m_events) {
                if (each.revision > from && each.kind == kind) {
                    events.push_back({{"object", seen(door, each.object, kind)}, {"removed", each.isRemoved}});
                }
            }
            if (!events.empty() || nowMs() >= until || door.isCut || g_isOver) {
                return {200, {{"events", events}, {"currentRev", m_revision}}};
            }
            m_changed.wait_for(lock, std::chrono::milliseconds(50));
        }
    }

    std::deque<Door> m_doors;
    std::map<std::pair<std::string, std::string>, json> m_objects;
    std::vector<Event> m_events;
    std::uint64_t m_revision = 1;
    std::condition_variable_any m_changed;
};

// ---------------------------------------------------------------- relays between instances

/// The path from one instance to another; a cut holds all that is under way, as a partition does, and resets it when it ends.
class Relay
{
public:
    explicit Relay(std::uint16_t target) : m_target(target)
    {
        const int listener = listenOn(m_port);
        serve(listener, [this](int fd) {
            carry(fd);
        });
    }
    std::uint16_t port() const
    {
        return m_port;
    }
    std::atomic<bool> isCut{false};

private:
    void carry(int fd)
    {
        if (isCut) {
            waitAndReset(fd);
            return;
        }
        const int other = connectTo(m_target);
        if (other < 0) {
            resetConnection(fd);
            return;
        }
        for (;;) {
            pollfd ready[2] = {{fd, POLLIN, 0}, {other, POLLIN, 0}};
            const int count = poll(ready, 2, 20);
            if (g_isOver) {
                break;
            }
            if (isCut) {
                waitAndReset(fd);
                resetConnection(other);
                break;
            }
            if (count > 0 && ready[0].revents != 0 && !pass(fd, other)) {
                break;
            }
            if (count > 0 && ready[1].revents != 0 && !pass(other, fd)) {
                break;
            }
        }
        close(other);
    }
    void waitAndReset(int fd)
    {
        while (isCut && !g_isOver) {
            sleepMs(20);
        }
        resetConnection(fd);
    }
    static bool pass(int from, int to)
    {
        char part[65536];
        const ssize_t count = recv(from, part, sizeof part, 0);
        return count > 0 && sendAll(to, std::string(part, static_cast<std::size_t>(count)));
    }

    std::uint16_t m_target;
    std::uint16_t m_port = 0;
};

// ---------------------------------------------------------------- one service and its members

struct Entry {
    std::uint64_t term = 0;
    std::vector<std::string> writes;
    std::int64_t at = 0;
};
/// One statement of a client that a member has run.
struct Run {
    std::string id;
    std::string text;
    std::string member;
    std::uint64_t connection = 0;
    std::uint64_t transaction = 0;
    std::map<std::string, std::string> values;
    /// Ids of all writes in the log that it ran on.
    std::set<std::string> log;
    std::int64_t at = 0;
};

class Group;

class Member
{
public:
    Member(Group &group, std::string id, std::string zone);
    void startServing();

    Group &group;
    const std::string id;
    const std::string zone;
    std::uint16_t port = 0;
    std::uint64_t born = 0;
    std::uint64_t sequence = 0;
    bool isPrimary = false;
    bool isDraining = false;
    bool isBeating = true;
    std::uint64_t term = 3;
    std::uint64_t fence = 0;
    std::vector<Entry> log;
    std::size_t applied = 0;
    std::int64_t seesNewLeaderSince = -1;
    int busySlots = 0;
    int connections = 0;
    /// Instances between which and this member nothing passes.
    std::set<std::string> cutCallers;
    bool isCutFromGroup = false;
    /// Share of the requests that are run and answered with FAILED.
    double greyShare = 0;

private:
    void handle(int fd);
};

class Group
{
public:
    static constexpr int slots = 2;
    static constexpr int maxConnections = 16;

    Group(Store &store, std::string service) : store(store), service(std::move(service))
    {}
    Member &add(const std::string &id, const std::string &zone)
    {
        const Lock lock(g_mutex);
        members.push_back(std::make_unique<Member>(*this, id, zone));
        return *members.back();
    }
    Member *find(const std::string &id)
    {
        for (const auto &member : members) {
            if (member->id == id) {
                return member.get();
            }
        }
        return nullptr;
    }
    /// The member that leads the latest term.
    Member *leader()
    {
        Member *latest = nullptr;
        for (const auto &member : members) {
            if (member->isPrimary && (latest == nullptr || member->term > latest->term)) {
                latest = member.get();
            }
        }
        return latest;
    }
    void registerMember(const Member &member) const
    {
        store.put("servers",
                  member.id,
                  {{"service", service},
                   {"address", addressOf(member.port)},
                   {"zone", member.zone},
                   {"version", "v1"},
                   {"capacity", slots},
                   {"state", member.isDraining ? "draining" : "ready"},
                   {"coldLeftMs", 0},
                   {"dbRole", member.isPrimary ? "primary" : "replica"},
                   {"born", member.born},
                   {"sequence", member.sequence}});
    }
    /// Replication, promotions that take effect, and the members' registrations.
    void start()
    {
        std::thread([this] {
            std::int64_t beatAt = 0;
            while (!g_isOver) {
                {
                    const Lock lock(g_mutex);
                    advance();
                    const bool isBeat = nowMs() >= beatAt;
                    for (const auto &member : members) {
                        const auto known = m_registeredRoles.find(member->id);
                        const bool isChanged = known == m_registeredRoles.end() || known->second != member->isPrimary;
                        if (member->isBeating && (isBeat || isChanged)) {
                            member->sequence += isBeat ? 1 : 0;
                            m_registeredRoles[member->id] = member->isPrimary;
                            registerMember(*member);
                        }
                    }
                    beatAt = isBeat ? nowMs() + 1200 : beatAt;
                }
                sleepMs(2);
            }
        }).detach();
    }
    HttpAnswer promote(const HttpQuestion &question)
    {
        const Lock lock(g_mutex);
        const std::string id = question.body.value("id", "");
        note("promotion ordered of " + id + " by " + question.headers.at("duty-holder") + " token " + question.headers.at("fence-token"));
        if (find(id) == nullptr) {
            return {409, nullptr};
        }
        if (leader() == nullptr || leader()->id != id) {
            m_promoted = id;
            m_promotedAt = nowMs() + 600;
        }
        return {200, nullptr};
    }
    std::uint64_t highestTerm() const
    {
        std::uint64_t highest = 0;
        for (const auto &member : members) {
            highest = std::max(highest, member->term);
        }
        return highest;
    }

    Store &store;
    const std::string service;
    std::vector<std::unique_ptr<Member>> members;
    std::function<void(const Run &)> ran;
    std::uint64_t lastConnection = 0;
    std::uint64_t lastTransaction = 0;
    std::uint64_t lastSignature = 0;
    std::mt19937 choices{7};

private:
    void advance()
    {
        if (!m_promoted.empty() && nowMs() >= m_promotedAt) {
            Member *member = find(std::exchange(m_promoted, {}));
            member->term = highestTerm() + 1;
            member->isPrimary = true;
            member->fence = 0;
            member->applied = member->log.size();
            note("promoted " + member->id + " leads term " + std::to_string(member->term));
        }
        Member *latest = leader();
        if (latest == nullptr) {
            return;
        }
        for (const auto &member : members) {
            if (member.get() == latest || member->isCutFromGroup || latest->isCutFromGroup) {
                continue;
            }
            if (member->isPrimary) {
                member->seesNewLeaderSince = member->seesNewLeaderSince < 0 ? nowMs() : member->seesNewLeaderSince;
                if (nowMs() - member->seesNewLeaderSince >= 1000) {
                    member->isPrimary = false;
                    note("member " + member->id + " sees the new primary and follows it");
                }
                continue;
            }
            if (member->fence == 0) {
                follow(*member, *latest);
            }
        }
    }
    static void follow(Member &replica, const Member &primary)
    {
        std::size_t common = std::min(replica.log.size(), primary.log.size());
        while (common > 0 && replica.log[common - 1].writes != primary.log[common - 1].writes) {
            --common;
        }
        replica.term = primary.term;
        replica.log.resize(common);
        replica.applied = std::min(replica.applied, common);
        while (replica.log.size() < primary.log.size() && primary.log[replica.log.size()].at + 2 <= nowMs()) {
            replica.log.push_back(primary.log[replica.log.size()]);
        }
        while (replica.applied < replica.log.size() && replica.log[replica.applied].at + 20 <= nowMs()) {
            ++replica.applied;
        }
    }

    std::map<std::string, bool> m_registeredRoles;
    std::string m_promoted;
    std::int64_t m_promotedAt = 0;
};

inline Member::Member(Group &group, std::string id, std::string zone) : group(group), id(std::move(id)), zone(std::move(zone))
{
    born = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    startServing();
}

inline void Member::startServing()
{
    const int listener = listenOn(port);
    serve(listener, [this](int fd) {
        handle(fd);
    });
}

/// One connection, from SETUP to its end, as PROTOCOL.md describes it under "Members".
inline void Member::handle(int fd)
{
    LineReader lines(fd);
    std::string caller;
    std::map<std::string, std::string> values;
    std::map<std::string, std::string> prepared;
    std::vector<std::string> writes;
    std::uint64_t transaction = 0;
    std::uint64_t number = 0;
    std::uint64_t transactionTerm = 0;
    bool isPlain = false;
    bool isFailed = false;
    const auto ready = [&] {
        return "READY "
               + std::string(transaction == 0 ? "I"
                             : isFailed       ? "E"
                                              : "T")
               + ' ' + std::to_string(term) + '.' + std::to_string(applied) + "\r\n";
    };
    const auto failure = [&](const std::string &code) {
        isFailed = transaction != 0;
        return "ERROR " + code + ' ' + id + "\r\n" + ready();
    };
    const auto done = [&](const std::string &signature, const std::string &row) {
        return (row.empty() ? "" : "ROW " + row + "\r\n") + "DONE " + signature + "\r\n" + ready();
    };
    // Holds the message while the caller is cut off; the connection is dropped after 3 s, or when the cut ends.
    const auto isLostInCut = [&] {
        const std::int64_t since = nowMs();
        bool wasCut = false;
        for (;;) {
            {
                const Lock lock(g_mutex);
                if (!cutCallers.contains(caller)) {
                    return wasCut;
                }
            }
            wasCut = true;
            if (g_isOver || nowMs() - since > 3000) {
                return true;
            }
            sleepMs(10);
        }
    };
    bool isCounted = false;
    while (const auto line = lines.next()) {
        std::istringstream words(*line);
        std::string word;
        words >> word;
        if (word == "SETUP") {
            std::string wanted;
            std::string expected;
            words >> wanted >> caller >> expected;
            if (isLostInCut()) {
                break;
            }
            const Lock lock(g_mutex);
            if (wanted != group.service || (!expected.empty() && expected != id) || connections >= Group::maxConnections) {
                sendAll(fd, std::string("ERROR ") + (connections >= Group::maxConnections ? "OVERLOAD" : "WRONGNODE") + " -\r\n");
                break;
            }
            ++connections;
            isCounted = true;
            number = ++group.lastConnection;
            sendAll(fd, ready());
            continue;
        }
        if (word != "QUERY" || isLostInCut()) {
            break;
        }
        std::string query;
        words >> query;
        std::string text = line->substr(std::min(line->size(), 7 + query.size()));
        std::string verb = text.substr(0, text.find(' '));
        std::string answer;
        {
            const Lock lock(g_mutex);
            if (verb == "AFTER") {
                const std::string rest = text.substr(6);
                const std::string position = rest.substr(0, rest.find(' '));
                text = rest.substr(position.size() + 1);
                verb = text.substr(0, text.find(' '));
                const std::uint64_t wantedTerm = std::stoull(position);
                const std::uint64_t wantedNumber = std::stoull(position.substr(position.find('.') + 1));
                if (wantedTerm > term || wantedNumber > applied) {
                    answer = failure("LAGGING");
                }
            }
        }
        const bool takesSlot = verb == "READ" || verb == "WRITE" || verb == "COMMIT" || verb == "EXECUTE";
        if (answer.empty() && takesSlot) {
            for (;;) {
                {
                    const Lock lock(g_mutex);
                    if (busySlots < Group::slots) {
                        ++busySlots;
                        break;
                    }
                }
                sleepMs(1);
            }
            sleepMs(4);
            const Lock lock(g_mutex);
            --busySlots;
        }
        {
            const Lock lock(g_mutex);
            std::istringstream arguments(text);
            std::string name;
            arguments >> word >> name;
            const auto restAfter = [&](std::size_t count) {
                std::string rest = text;
                while (count-- > 0) {
                    const auto blank = rest.find(' ');
                    rest = blank == std::string::npos ? "" : rest.substr(blank + 1);
                }
                return rest;
            };
            const bool isMaintenance = verb == "STATUS" || verb == "SUSPEND" || verb == "RESUME" || verb == "DEMOTE";
            if (!answer.empty()) {
            } else if (isMaintenance) {
                const std::uint64_t wanted = name.empty() ? 0 : std::stoull(name);
                if (verb == "SUSPEND" && !isPrimary && wanted > group.highestTerm()) {
                    fence = std::max(fence, wanted);
                } else if (verb == "RESUME") {
                    fence = 0;
                } else if (verb == "DEMOTE" && wanted > term) {
                    isPrimary = false;
                }
                if (verb != "STATUS") {
                    note("member " + id + " gets " + text + " from " + caller);
                }
                answer = done("-",
                              std::string(isPrimary ? "primary " : "replica ") + std::to_string(term) + ' ' + std::to_string(term) + '.'
                                  + std::to_string(log.size()) + ' ' + std::to_string(fence) + " 20 " + std::to_string(busySlots) + ' '
                                  + std::to_string(connections));
            } else if (verb == "RESET") {
                values.clear();
                prepared.clear();
                answer = done("-", "");
            } else if (verb == "SET") {
                values[name] = restAfter(2);
                answer = done("-", "");
            } else if (verb == "PREPARE") {
                prepared[name] = restAfter(2);
                answer = done("-", "");
            } else if (verb == "DEALLOC") {
                prepared.erase(name);
                answer = done("-", "");
            } else if (verb == "ROLLBACK") {
                transaction = 0;
                isFailed = false;
                writes.clear();
                answer = done("-", "");
            } else if (verb == "BEGIN") {
                isPlain = name.empty();
                if (isPlain && !isPrimary) {
                    answer = failure("READONLY");
                } else {
                    transaction = ++group.lastTransaction;
                    transactionTerm = term;
                    answer = done("-", "");
                }
            } else if (takesSlot) {
                bool isWrite = verb == "WRITE";
                if (verb == "EXECUTE") {
                    isWrite = prepared.contains(name) && prepared.at(name).rfind("WRITE", 0) == 0;
                }
                const bool isEmptyCommit = verb == "COMMIT" && writes.empty();
                const bool needsLead = isWrite || (transaction != 0 && isPlain);
                if (isFailed) {
                    answer = failure("MALFORMED");
                } else if (verb == "EXECUTE" && !prepared.contains(name)) {
                    answer = failure("NOSTMT");
                } else if (needsLead && !isEmptyCommit && (!isPrimary || (transaction != 0 && term != transactionTerm))) {
                    answer = failure("READONLY");
                } else {
                    Run run{query, text, id, number, transaction, values, {}, nowMs()};
                    for (std::size_t at = 0; at < applied; ++at) {
                        run.log.insert(log[at].writes.begin(), log[at].writes.end());
                    }
                    std::string shown;
                    for (const auto &[key, value] : values) {
                        shown += (shown.empty() ? "" : ",") + key + '=' + value;
                    }
                    note("run " + query + ' ' + text + " at " + id + " connection " + std::to_string(number) + " values {" + shown
                         + "} position " + std::to_string(term) + '.' + std::to_string(applied));
                    if (group.ran) {
                        group.ran(run);
                    }
                    if (isWrite && transaction != 0) {
                        writes.push_back(query);
                    } else if (isWrite || (verb == "COMMIT" && !writes.empty())) {
                        log.push_back({term, isWrite ? std::vector<std::string>{query} : writes, nowMs()});
                        applied = log.size();
                    }
                    if (verb == "COMMIT") {
                        writes.clear();
                        transaction = 0;
                    }
                    answer
                        = done("s." + id + '.' + std::to_string(++group.lastSignature), isWrite || verb == "COMMIT" ? "" : "row-" + query);
                }
            } else {
                answer = failure("MALFORMED");
            }
            // The request was run; only its answer says that it failed.
            const bool isGrey = !isMaintenance && answer.rfind("ERROR", 0) != 0 && std::bernoulli_distribution(greyShare)(group.choices);
            if (isGrey) {
                answer = failure("FAILED");
                note("member " + id + " connection " + std::to_string(number) + " has run and answers FAILED: " + text);
            }
        }
        if (isLostInCut() || !sendAll(fd, answer)) {
            break;
        }
    }
    const Lock lock(g_mutex);
    connections -= isCounted ? 1 : 0;
}

// ---------------------------------------------------------------- the project's instances

struct Instance {
    std::string name;
    std::string zone;
    std::uint16_t front = 0;
    std::uint16_t readiness = 0;
    std::uint16_t peers = 0;
    Store::Door *door = nullptr;
    std::map<std::string, std::unique_ptr<Relay>> relays;
    pid_t process = -1;
};

class Fleet
{
public:
    Fleet(Store &store, std::uint16_t promotions, std::string folder)
        : m_store(store), m_promotions(promotions), m_folder(std::move(folder))
    {}
    ~Fleet()
    {
        stop();
    }
    void add(const std::string &name, const std::string &zone)
    {
        Instance &instance = instances.emplace_back();
        instance.name = name;
        instance.zone = zone;
        instance.front = freePort();
        instance.readiness = freePort();
        instance.peers = freePort();
        instance.door = &m_store.addDoor(name);
    }
    Instance &find(const std::string &name)
    {
        return *std::find_if(instances.begin(), instances.end(), [&](const Instance &instance) {
            return instance.name == name;
        });
    }
    /// Starts all instances with the command of deploy/system.toml and a settings file like that of deploy/settings.ini.template.
    void start()
    {
        for (Instance &from : instances) {
            for (const Instance &to : instances) {
                if (from.name != to.name) {
                    from.relays[to.name] = std::make_unique<Relay>(to.peers);
                    from.door->relays[to.name] = addressOf(from.relays[to.name]->port());
                }
            }
        }
        for (Instance &instance : instances) {
            const std::string file = m_folder + '/' + instance.name + ".ini";
            std::ofstream(file) << "[interface]\nkind = sessions\n[instance]\nname = " << instance.name << "\ndomain = " << instance.zone
                                << "\nip = 127.0.0.1\n[listen]\nfront = " << addressOf(instance.front)
                                << "\nreadiness = " << addressOf(instance.readiness) << "\npeers = " << addressOf(instance.peers)
                                << "\nmetrics-port = 0\n[peers]\nseeds = \n[platform]\nstore = " << addressOf(instance.door->port)
                                << "\npromotions = " << addressOf(m_promotions)
                                << "\n[limits]\ngrace = 6s\nconfiguration-bound = 3000ms\nprocessor-share = 0.25\nprocessor-speed = 1\n";
            instance.process = fork();
            if (instance.process == 0) {
                prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with this program, however that ends
                setenv("RATTANBEAM_SETTINGS", file.c_str(), 1);
                const int log = open((m_folder + '/' + instance.name + ".log").c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0644);
                dup2(log, STDOUT_FILENO);
                dup2(log, STDERR_FILENO);
                execl("target/daemon/rattanbeamd",
                      "target/daemon/rattanbeamd",
                      "--default",
                      "limits.memory=260",
                      "--default",
                      "limits.descriptors=4200",
                      "--default",
                      "quotas.window-seconds=",
                      "--default",
                      "quotas.tolerance=",
                      "--default",
                      "quotas.slack=",
                      nullptr);
                std::_Exit(2);
            }
        }
    }
    /// Whether all instances answer the balancer's question with 200.
    bool awaitReady(std::int64_t limitMs)
    {
        for (const Instance &instance : instances) {
            while (!isReady(instance)) {
                if (nowMs() > limitMs) {
                    return false;
                }
                sleepMs(50);
            }
        }
        return true;
    }
    static bool isReady(const Instance &instance)
    {
        const int fd = connectTo(instance.readiness);
        if (fd < 0) {
            return false;
        }
        sendAll(fd, "GET /readiness HTTP/1.1\r\nHost: readiness\r\n\r\n");
        LineReader lines(fd);
        const auto line = lines.next(1000);
        close(fd);
        return line && line->find(" 200") != std::string::npos;
    }
    /// Cuts or restores all paths between the instance and the store, and between it and the other instances.
    void setCutOff(const std::string &name, bool isCut)
    {
        const Lock lock(g_mutex);
        Instance &instance = find(name);
        instance.door->isCut = isCut;
        for (auto &[to, relay] : instance.relays) {
            relay->isCut = isCut;
        }
        for (Instance &other : instances) {
            if (other.name != name) {
                other.relays.at(name)->isCut = isCut;
            }
        }
    }
    void stop()
    {
        for (Instance &instance : instances) {
            if (instance.process > 0) {
                kill(instance.process, SIGKILL);
                waitpid(instance.process, nullptr, 0);
                instance.process = -1;
            }
        }
    }

    std::deque<Instance> instances;

private:
    Store &m_store;
    std::uint16_t m_promotions;
    std::string m_folder;
};

// ---------------------------------------------------------------- clients

struct Answer {
    /// Empty if it was a success; "closed" or "silence" without a complete answer.
    std::string error;
    std::string signature;
    std::string state;
    std::int64_t sentAt = 0;
    std::int64_t answeredAt = 0;

    bool isSuccess() const
    {
        return error.empty();
    }
};

/// One session of a client.
class Session
{
public:
    Session(std::string client, std::uint16_t front, std::string database)
        : m_client(std::move(client)), m_front(front), m_database(std::move(database))
    {}
    ~Session()
    {
        disconnect();
    }
    bool connect()
    {
        disconnect();
        m_fd = connectTo(m_front);
        if (m_fd < 0) {
            return false;
        }
        m_lines = std::make_unique<LineReader>(m_fd);
        sendAll(m_fd, "SETUP " + m_database + ' ' + m_client + "\r\n");
        const auto line = m_lines->next(2000);
        const bool isOpen = line && line->rfind("READY ", 0) == 0;
        note("client " + m_client + " SETUP " + m_database + " -> " + line.value_or("nothing"));
        if (!isOpen) {
            disconnect();
        }
        return isOpen;
    }
    bool isConnected() const
    {
        return m_fd >= 0;
    }
    Answer ask(const std::string &id, const std::string &text, int timeoutMs = 3000)
    {
        Answer answer;
        answer.sentAt = nowMs();
        note("client " + m_client + " sends " + id + ' ' + text);
        bool isOver = false;
        bool isSent = m_fd >= 0 && sendAll(m_fd, "QUERY " + id + ' ' + text + "\r\n");
        while (isSent && !isOver) {
            const auto line = m_lines->next(timeoutMs);
            if (!line) {
                break;
            }
            if (line->rfind("DONE ", 0) == 0) {
                answer.signature = line->substr(5);
            } else if (line->rfind("ERROR ", 0) == 0) {
                answer.error = line->substr(6);
            } else if (line->rfind("READY ", 0) == 0) {
                answer.state = line->substr(6, 1);
                isOver = true;
            }
        }
        if (!isOver) {
            answer.error = "closed";
            disconnect();
        }
        answer.answeredAt = nowMs();
        note("client " + m_client + " gets " + id + ' ' + (answer.isSuccess() ? "DONE " + answer.signature : "ERROR " + answer.error) + ' '
             + answer.state);
        return answer;
    }
    void disconnect()
    {
        if (m_fd >= 0) {
            close(m_fd);
            m_fd = -1;
        }
    }

private:
    std::string m_client;
    std::uint16_t m_front;
    std::string m_database;
    int m_fd = -1;
    std::unique_ptr<LineReader> m_lines;
};

inline std::string newId()
{
    static std::mutex mutex;
    static std::mt19937_64 choices{static_cast<std::uint64_t>(getpid())};
    const std::lock_guard lock(mutex);
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(choices()));
    return text;
}

} // namespace world
