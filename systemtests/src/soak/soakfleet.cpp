#include "rattanbeam/systemtests/soak/soakfleet.h"

#include "rattanbeam/standins/sessions/listening.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>

namespace rattanbeam::systemtests::soak
{

using standins::sessions::MemberServer;
using standins::sessions::RunCommit;
using standins::sessions::RunStatement;
using namespace std::chrono_literals;

namespace
{

const std::string service = "orders-db";
constexpr std::chrono::milliseconds tickInterval = 5ms;
constexpr std::chrono::milliseconds startTime = 4s; // until clients begin
constexpr std::chrono::seconds settleLimit = 60s;

std::string freeAddress(boost::asio::io_context &context)
{
    return standins::sessions::addressOf(standins::sessions::listenOnLoopback(context));
}

std::vector<SoakRoute> routes()
{
    return {{"orders", Freshness::Latest, 0ms, 0, 900, 150},
            {"stock", Freshness::ReadYourWrites, 2500ms, 1, 900, 250},
            {"lists", Freshness::BoundedAge, 1500ms, 2, 1500, 800}};
}

const char *typeName(Freshness freshness)
{
    return freshness == Freshness::Latest ? "primary" : freshness == Freshness::BoundedAge ? "bounded_stale" : "read_your_writes";
}

} // namespace

SoakFleet::SoakFleet(const SoakOptions &options)
    : m_options(options)
    , m_choices(options.seed)
    , m_group({"m-1", "m-2", "m-3"})
    , m_auditor(m_group)
    , m_store(m_context)
    , m_promotions(m_context,
                   [this](const auto &question, const auto &answer) {
                       answerPromotion(question, answer);
                   })
    , m_world{m_context, m_auditor, m_choices, routes(), {}, {}, {}}
    , m_startedAt(Clock::now())
    , m_nextFaultAt(m_startedAt + startTime + 1s)
{
    std::filesystem::create_directories(m_options.directory);
    for (int i = 0; i < m_options.workspaces; ++i) {
        for (const char *key : {"a", "b"}) {
            m_world.keys.push_back({"key-" + std::to_string(i) + key, "w" + std::to_string(i)});
        }
    }
    for (int i = 1; i <= 3; ++i) {
        const std::string id = "m-" + std::to_string(i);
        Member &member = m_members[id];
        member.domain = std::string(1, static_cast<char>('a' + i - 1));
        member.born = unixMs();
        member.server = std::make_unique<MemberServer>(m_context,
                                                       service,
                                                       id,
                                                       m_group,
                                                       standins::sessions::MemberServerEvents{[this](const RunStatement &run) {
                                                                                                  m_auditor.ran(run);
                                                                                              },
                                                                                              [this](const RunCommit &commit) {
                                                                                                  m_auditor.committed(commit);
                                                                                              }});
    }
    m_store.setEra(1);
    putConfiguration();
    registerMembers();
    for (const char *name : {"a-1", "a-2", "b-1", "b-2", "c-1", "c-2"}) {
        Instance &instance = m_instances.emplace_back();
        instance.name = name;
        instance.domain = std::string(1, name[0]);
        instance.front = freeAddress(m_context);
        instance.storeDoor = m_store.addDoor();
        m_world.fronts.push_back(instance.front);
        writeSettings(instance);
    }
    m_world.isStoppingInOrder = [this](const std::string &front) {
        return std::any_of(m_instances.begin(), m_instances.end(), [&](const Instance &instance) {
            return instance.front == front && instance.isStopping && !instance.isDisturbed && m_undo.empty();
        });
    };
}

SoakFleet::~SoakFleet() = default;

std::uint64_t SoakFleet::unixMs()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}

void SoakFleet::writeSettings(Instance &instance)
{
    instance.settingsFile = m_options.directory + '/' + instance.name + ".ini";
    std::ofstream(instance.settingsFile) << "[interface]\nkind = sessions\n[instance]\nname = " << instance.name
                                         << "\ndomain = " << instance.domain << "\nip = 127.0.0.1\n[listen]\nfront = " << instance.front
                                         << "\nreadiness = " << freeAddress(m_context) << "\npeers = " << freeAddress(m_context)
                                         << "\n[platform]\nstore = " << m_store.address(instance.storeDoor)
                                         << "\npromotions = " << m_promotions.address()
                                         << "\n[limits]\ngrace = 6s\nconfiguration-bound = 3s\n[log]\nlines-per-second = 5000\n";
}

void SoakFleet::startInstance(Instance &instance)
{
    instance.process = std::make_unique<Process>(m_options.daemon,
                                                 std::vector<std::string>{"--config", instance.settingsFile},
                                                 m_options.directory + '/' + instance.name + ".log",
                                                 Process::Start::AtOnce);
    instance.isStopping = false;
    instance.restartAt = Clock::time_point::max();
}

int SoakFleet::pick(int least, int most)
{
    return std::uniform_int_distribution<int>(least, most)(m_choices);
}

void SoakFleet::note(const std::string &fault)
{
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_startedAt).count();
    m_faults.push_back("at_ms=" + std::to_string(ms) + " unix_ms=" + std::to_string(unixMs()) + ' ' + fault);
}

void SoakFleet::putConfiguration()
{
    m_version += static_cast<std::uint64_t>(pick(1, 5));
    writeConfiguration();
}

void SoakFleet::writeConfiguration()
{
    nlohmann::json list = nlohmann::json::array();
    for (const SoakRoute &route : m_world.routes) {
        list.push_back({{"host", route.database},
                        {"service", service},
                        {"type", typeName(route.freshness)},
                        {"priority", route.rank},
                        {"timeoutMs", route.rank == 0 ? m_timeoutMs : route.timeoutMs},
                        {"objectiveMs", route.objectiveMs},
                        {"maxStalenessMs", route.stalenessLimit.count()}});
    }
    m_version += static_cast<std::uint64_t>(pick(1, 5));
    nlohmann::json configuration = {
        {"version", m_version}, {"routes", list}, {"services", {{{"name", service}, {"maxConns", 16}}}}, {"limits", {{"txIdleMs", 3000}}}};
    for (const SoakKey &key : m_world.keys) {
        nlohmann::json &workspaces = configuration["tenants"];
        if (workspaces.empty() || workspaces.back()["name"] != key.workspace) {
            workspaces.push_back({{"name", key.workspace}, {"apiKeys", nlohmann::json::array()}});
        }
        workspaces.back()["apiKeys"].push_back(key.key);
    }
    m_store.put("config", "main", configuration);
}

/// Members write what they are when it changes; the entry of a silent one lapses.
void SoakFleet::registerMembers()
{
    for (auto &[id, member] : m_members) {
        if (!member.isUp) {
            if (Clock::now() >= member.lapsesAt && !member.written.empty()) {
                m_store.remove("servers", id);
                member.written.clear();
            }
            continue;
        }
        const nlohmann::json spec = {{"service", service},
                                     {"address", member.server->address()},
                                     {"zone", member.domain},
                                     {"version", "1"},
                                     {"capacity", 2},
                                     {"state", member.isLeaving ? "draining" : "ready"},
                                     {"coldLeftMs", 0},
                                     {"sequence", 1},
                                     {"born", member.born},
                                     {"dbRole", m_group.member(id).isPrimary ? "primary" : "replica"}};
        if (spec.dump() != member.written) {
            member.written = spec.dump();
            m_store.put("servers", id, spec);
        }
    }
}

void SoakFleet::answerPromotion(const standins::sessions::HttpQuestion &question, const standins::sessions::HttpServer::Answer &answer)
{
    if (m_arePromotionsDown) {
        answer({503, nullptr});
        return;
    }
    const auto token = question.headers.find("fence-token");
    const std::uint64_t number = token == question.headers.end() ? 0 : std::strtoull(token->second.c_str(), nullptr, 10);
    if (number < m_highestToken) {
        m_findings.push_back("rule=TOKEN order=" + std::to_string(number) + " follows=" + std::to_string(m_highestToken));
    }
    m_highestToken = std::max(m_highestToken, number);
    const bool isDone = question.body.is_object() && m_group.promote(question.body.value("id", ""), Clock::now());
    note("promotion id=" + question.body.value("id", "") + " accepted=" + (isDone ? "true" : "false"));
    answer({isDone ? 200U : 409U, nullptr});
}

void SoakFleet::tick()
{
    m_group.advance(Clock::now());
    keepCopies();
    registerMembers();
    keepInstances();
    const auto due = std::partition(m_undo.begin(), m_undo.end(), [](const auto &entry) {
        return entry.first > Clock::now();
    });
    std::vector<std::pair<Clock::time_point, Undo>> over(std::make_move_iterator(due), std::make_move_iterator(m_undo.end()));
    m_undo.erase(due, m_undo.end());
    for (const auto &[at, undo] : over) {
        undo();
    }
    constexpr std::size_t mostAtOnce = 3;
    if (!m_isHealing && Clock::now() >= m_nextFaultAt && m_undo.size() < mostAtOnce) {
        m_nextFaultAt = Clock::now() + std::chrono::milliseconds(pick(300, 2500));
        beginFault();
    }
}

void SoakFleet::keepInstances()
{
    for (Instance &instance : m_instances) {
        if (instance.process && !instance.process->isRunning()) {
            if (!instance.isStopping && instance.restartAt == Clock::time_point::max()) {
                m_faults.push_back("exit-of-its-own instance=" + instance.name);
            }
            instance.process.reset();
            if (instance.restartAt == Clock::time_point::max()) {
                instance.restartAt = Clock::now() + 300ms;
            }
        }
        if (!instance.process && Clock::now() >= instance.restartAt) {
            startInstance(instance);
            instance.isDisturbed = false;
        }
    }
}

void SoakFleet::healAll()
{
    m_isHealing = true;
    for (const auto &[at, undo] : std::exchange(m_undo, {})) {
        undo();
    }
    note("healed");
}

void SoakFleet::runFor(std::chrono::milliseconds time)
{
    const auto until = Clock::now() + time;
    while (Clock::now() < until) {
        m_context.run_for(tickInterval);
        m_context.restart();
        tick();
    }
}

/// Whether clients are answered again: successes of a second by far outnumber the rest.
bool SoakFleet::isServedEverywhere()
{
    const SoakCounts before = m_world.counts;
    runFor(1s);
    const std::size_t succeeded = m_world.counts.succeeded - before.succeeded;
    const std::size_t rest
        = m_world.counts.refused + m_world.counts.inDoubt + m_world.counts.unanswered - before.refused - before.inDoubt - before.unanswered;
    const bool areAllUp = std::all_of(m_instances.begin(), m_instances.end(), [](const Instance &instance) {
        return instance.process && !instance.isStopping;
    });
    return areAllUp && succeeded > 100 && rest * 100 < succeeded;
}

SoakResult SoakFleet::run()
{
    for (Instance &instance : m_instances) {
        startInstance(instance);
    }
    runFor(startTime);
    for (int i = 0; i < m_options.clients; ++i) {
        std::make_shared<SoakClient>(m_world)->start();
    }
    runFor(m_options.faultsFor);
    healAll();
    SoakResult result;
    for (const auto until = Clock::now() + settleLimit; Clock::now() < until && !result.isServedAgain;) {
        result.isServedAgain = isServedEverywhere();
    }
    m_world.isOver = true;
    runFor(1s);
    m_auditor.finish();
    result.findings = m_auditor.findings();
    result.findings.insert(result.findings.end(), m_findings.begin(), m_findings.end());
    result.counts = m_world.counts;
    result.acknowledged = m_auditor.acknowledgedCommits();
    result.lost = m_auditor.lostCommits();
    result.storeCalls = m_store.calls();
    result.faults = m_faults;
    return result;
}

} // namespace rattanbeam::systemtests::soak
