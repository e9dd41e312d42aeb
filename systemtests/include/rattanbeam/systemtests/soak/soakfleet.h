#pragma once

#include "rattanbeam/standins/sessions/memberserver.h"
#include "rattanbeam/standins/sessions/objectstore.h"
#include "rattanbeam/systemtests/process.h"
#include "rattanbeam/systemtests/soak/soakclient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace rattanbeam::systemtests::soak
{

struct SoakOptions {
    std::uint32_t seed = 1;
    std::chrono::seconds faultsFor{20};
    std::string daemon;
    /// Settings and logs of the instances; kept after the run.
    std::string directory;
    int clients = 24;
    /// Workspaces that the clients' keys belong to; with 0, clients are not identified.
    int workspaces = 0;
};

struct SoakResult {
    std::vector<std::string> findings;
    SoakCounts counts;
    std::size_t acknowledged = 0;
    std::size_t lost = 0;
    std::uint64_t storeCalls = 0;
    std::vector<std::string> faults;
    /// Every instance served a statement of each route after all faults had ended.
    bool isServedAgain = false;
};

/// Real instances of the sessions interface as processes, between stand-ins of store, promotion call, members and clients
/// that live in this process. Faults come by the seed, a few at a time.
///
///     const SoakResult result = SoakFleet(options).run();
class SoakFleet
{
public:
    explicit SoakFleet(const SoakOptions &options);
    SoakFleet(const SoakFleet &) = delete;
    SoakFleet &operator=(const SoakFleet &) = delete;
    ~SoakFleet();

    SoakResult run();

private:
    struct Instance {
        std::string name;
        std::string domain;
        std::string front;
        std::string settingsFile;
        std::size_t storeDoor = 0;
        std::unique_ptr<Process> process;
        bool isStopping = false;
        bool isDisturbed = false;
        Clock::time_point restartAt = Clock::time_point::max();
    };
    struct Member {
        std::unique_ptr<standins::sessions::MemberServer> server;
        std::string domain;
        std::uint64_t born = 0;
        bool isUp = true;
        bool isLeaving = false;
        Clock::time_point lapsesAt = Clock::time_point::max();
        /// What the store shows of it.
        std::string written;
    };
    using Undo = std::function<void()>;

    static std::uint64_t unixMs();
    void writeSettings(Instance &instance);
    void startInstance(Instance &instance);
    void tick();
    void keepInstances();
    void registerMembers();
    void beginFault();
    Undo disturbInstance(int kind, int durationMs);
    Undo disturbStore(int kind);
    Undo disturbMember(int kind, int durationMs);
    Undo disturbGroup(int kind);
    Undo returnStoreFromCopy();
    void keepCopies();
    void writeConfiguration();
    void healAll();
    void putConfiguration();
    void answerPromotion(const standins::sessions::HttpQuestion &question, const standins::sessions::HttpServer::Answer &answer);
    bool isServedEverywhere();
    void runFor(std::chrono::milliseconds time);
    int pick(int least, int most);
    void note(const std::string &fault);

    SoakOptions m_options;
    boost::asio::io_context m_context;
    std::mt19937 m_choices;
    ReplicaGroup m_group;
    Auditor m_auditor;
    standins::sessions::ObjectStore m_store;
    standins::sessions::HttpServer m_promotions;
    std::map<std::string, Member> m_members;
    std::vector<Instance> m_instances;
    SoakWorld m_world;
    std::vector<std::pair<Clock::time_point, Undo>> m_undo;
    std::vector<std::string> m_faults;
    /// Promises to the platform that were broken.
    std::vector<std::string> m_findings;
    std::uint64_t m_highestToken = 0;
    /// Copies of the store, oldest first, and when they were made.
    std::deque<std::pair<Clock::time_point, standins::sessions::ObjectStore::Copy>> m_copies;
    bool m_isStoreReturning = false;
    Clock::time_point m_startedAt;
    Clock::time_point m_nextFaultAt;
    bool m_arePromotionsDown = false;
    bool m_isHealing = false;
    std::uint64_t m_version = 10;
    std::uint32_t m_timeoutMs = 900;
};

} // namespace rattanbeam::systemtests::soak
