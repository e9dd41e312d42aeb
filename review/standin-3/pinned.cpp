// A member runs part of its requests and answers them with FAILED; see review/12/claim.txt.
// usage: pinned FOLDER RECORD TROUBLE
#include "world.h"

#include <iostream>

using namespace world;

namespace
{

constexpr std::int64_t troubleAt = 8000;
constexpr std::int64_t troubleEnd = troubleAt + 6500;
constexpr std::int64_t endAt = troubleEnd + 2000;
constexpr double failingShare = 0.45;

using Values = std::map<std::string, std::string>;

/// The even clients have short sessions, each with a value of its own; the others keep theirs, with the values below.
constexpr std::size_t clientCount = 10;
constexpr int shortSession = 6; // statements
const Values noValues;
const Values language = {{"idioma", "es"}};

std::map<std::string, Values> g_acknowledged; // by the id of a statement: the values of its session when it was sent
int g_served = 0;
int g_failed = 0;

void play(std::size_t number, std::uint16_t front, const std::string &database)
{
    const std::string client = "u" + std::to_string(number);
    Session session(client, front, database);
    const bool isShort = number % 2 == 0;
    Values acknowledged;
    for (int round = 0; nowMs() < endAt; ++round) {
        if (isShort && round % shortSession == 0) {
            session.disconnect();
        }
        if (!session.isConnected()) {
            acknowledged.clear();
            const Values wanted = isShort ? Values{{"traza", client + '-' + std::to_string(round)}} : number % 4 == 1 ? noValues : language;
            if (!session.connect()) {
                sleepMs(200);
                continue;
            }
            for (const auto &[name, value] : wanted) {
                if (session.ask(newId(), "SET " + name + ' ' + value).isSuccess()) {
                    acknowledged[name] = value;
                }
            }
        }
        const std::string id = newId();
        {
            const Lock lock(g_mutex);
            g_acknowledged[id] = acknowledged;
        }
        const bool isWrite = round % 4 == 0;
        const Answer answer = session.ask(id, (isWrite ? "WRITE " : "READ ") + std::to_string(round % 50) + (isWrite ? " cubos" : ""));
        {
            const Lock lock(g_mutex);
            ++(answer.isSuccess() ? g_served : g_failed);
        }
        sleepMs(40);
    }
}

std::string textOf(const Values &values)
{
    std::string text;
    for (const auto &[name, value] : values) {
        text += (text.empty() ? "" : ",") + name + '=' + value;
    }
    return '{' + text + '}';
}

} // namespace

int main(int, char **argv)
{
    const std::string folder = argv[1];
    g_record.open(argv[2]);
    const bool isTrouble = std::string(argv[3]) != "0";
    Store store;
    Group group(store, "tiza-db");
    for (const auto &[id, zone] : std::vector<std::pair<std::string, std::string>>{{"i-01", "za"}, {"i-02", "zb"}, {"i-03", "zc"}}) {
        Member &member = group.add(id, zone);
        for (int at = 0; at < 20; ++at) {
            member.log.push_back({3, {"w" + std::to_string(at)}, -1000});
        }
        member.applied = member.log.size();
        member.isPrimary = id == "i-01";
    }
    std::vector<std::string> broken;
    group.ran = [&](const Run &run) {
        const auto found = g_acknowledged.find(run.id);
        if (found != g_acknowledged.end() && found->second != run.values) {
            broken.push_back(run.id);
            note("PINNED broken: " + run.id + " runs with values " + textOf(run.values) + ", acknowledged to its client are "
                 + textOf(found->second));
        }
    };
    std::uint16_t promotionPort = 0;
    serve(listenOn(promotionPort), [&](int fd) {
        LineReader lines(fd);
        while (auto question = readQuestion(lines)) {
            sendAnswer(fd, group.promote(*question));
        }
    });
    const auto route = [](const std::string &host, const std::string &type, int priority) {
        return json{{"name", host},
                    {"host", host},
                    {"service", "tiza-db"},
                    {"type", type},
                    {"timeoutMs", 800},
                    {"objectiveMs", 200},
                    {"priority", priority},
                    {"maxStalenessMs", type == "primary" ? 0 : 2500}};
    };
    store.put("config",
              "main",
              {{"version", 1},
               {"routes", {route("pedidos", "primary", 0), route("listas", "read_your_writes", 1)}},
               {"services", {{{"name", "tiza-db"}, {"maxConns", Group::maxConnections}, {"syncReplicas", 0}}}},
               {"limits", {{"txIdleMs", 3000}}}});
    group.start();
    Fleet fleet(store, promotionPort, folder);
    fleet.add("edge-za-1", "za");
    fleet.add("edge-zb-1", "zb");
    fleet.add("edge-zc-1", "zc");
    fleet.start();
    if (!fleet.awaitReady(6000)) {
        std::cout << "the instances are not ready\n";
        return 2;
    }
    sleepUntilMs(6500);
    std::vector<std::thread> clients;
    for (std::size_t number = 0; number < clientCount; ++number) {
        clients.emplace_back(play, number, fleet.instances[number % 3].front, number < 6 ? "pedidos" : "listas");
    }
    sleepUntilMs(troubleAt);
    const auto setGrey = [&](double share) {
        const Lock lock(g_mutex);
        group.find("i-01")->greyShare = isTrouble ? share : 0;
        note(isTrouble ? "member i-01 fails share " + std::to_string(share) + " of its requests" : "no disruption");
    };
    setGrey(failingShare);
    sleepUntilMs(troubleEnd);
    setGrey(0);
    for (std::thread &client : clients) {
        client.join();
    }
    fleet.stop();
    const Lock lock(g_mutex);
    const std::string result = "served " + std::to_string(g_served) + ", not served " + std::to_string(g_failed) + ", PINNED broken "
                               + std::to_string(broken.size()) + " times";
    note(result);
    g_record.flush();
    std::cout << result << std::endl;
    std::_Exit(g_served == 0 ? 2 : broken.empty() ? 0 : 1);
}
