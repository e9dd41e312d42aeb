// A home that is cut off from the store and from the other instances, in front of a primary that is cut off from its replicas, while a new
// replica has joined; see review/11/claim.txt.
// usage: stale FOLDER RECORD TROUBLE
#include "world.h"

#include <iostream>

using namespace world;

namespace
{

constexpr std::int64_t cutAt = 8000; // edge-za-1 loses the store and the other instances
constexpr std::int64_t joinAt = cutAt + 300; // the new replica starts
constexpr std::int64_t primaryCutAt = cutAt + 600; // the primary loses its replicas and three of five instances
constexpr std::int64_t primaryCutEnd = primaryCutAt + 7000;
constexpr std::int64_t cutEnd = cutAt + 12000;
constexpr std::int64_t endAt = cutEnd + 2000;

struct Acknowledged {
    std::string id;
    std::int64_t at;
    std::string client;
};

std::vector<Acknowledged> g_commits; // writes of which a client was told that they are done
struct ServedRead {
    std::string client;
    std::int64_t sentAt;
    Run run;
};

std::map<std::string, Run> g_runs; // the last run of each statement
std::vector<ServedRead> g_reads;
int g_served = 0;
int g_refused = 0;

std::string neighbourOfHome(Store &store)
{
    const std::string process = store.find("rattanbeam-terms", "tiza-db").at("spec").at("homes").at(0);
    std::string name = process.substr(0, process.find('/'));
    name.back() = name.back() == '1' ? '2' : '1';
    return name;
}

/// The reads that ran on a log that lacks a write which was acknowledged before they were sent. Writes that the promotion rolled back,
/// and those of a replaced primary, do not count: only those that the latest primary has.
int countStaleReads(Group &group)
{
    std::set<std::string> kept;
    for (const Entry &entry : group.leader()->log) {
        kept.insert(entry.writes.begin(), entry.writes.end());
    }
    int broken = 0;
    for (const ServedRead &read : g_reads) {
        const auto missing = std::find_if(g_commits.begin(), g_commits.end(), [&](const Acknowledged &commit) {
            return commit.at < read.sentAt && kept.contains(commit.id) && !read.run.log.contains(commit.id);
        });
        if (missing != g_commits.end()) {
            ++broken;
            note("STALE broken: read " + read.run.id + " of " + read.client + ", sent at " + std::to_string(read.sentAt) + ", ran at "
                 + read.run.member + " on a log without write " + missing->id + ", which was acknowledged to " + missing->client + " at "
                 + std::to_string(missing->at));
        }
    }
    return broken;
}

/// Reads and writes by turns on a route of type `primary`.
void play(const std::string &client, std::uint16_t front)
{
    Session session(client, front, "pedidos");
    for (int round = 0; nowMs() < endAt; ++round) {
        if (!session.isConnected() && !session.connect()) {
            sleepMs(200);
            continue;
        }
        const std::string id = newId();
        const bool isWrite = round % 3 == 0;
        const Answer answer = session.ask(id, isWrite ? "WRITE 7 cubos" : "READ 7");
        const Lock lock(g_mutex);
        ++(answer.isSuccess() ? g_served : g_refused);
        if (!answer.isSuccess()) {
            sleepMs(20);
            continue;
        }
        if (isWrite) {
            g_commits.push_back({id, answer.answeredAt, client});
            continue;
        }
        const Run &run = g_runs.at(id);
        g_reads.push_back({client, answer.sentAt, run});
        sleepMs(20);
    }
}

} // namespace

int main(int, char **argv)
{
    const std::string folder = argv[1];
    g_record.open(argv[2]);
    const bool isTrouble = std::string(argv[3]) != "0";
    Store store;
    Group group(store, "tiza-db");
    const auto addMember = [&](const std::string &id, const std::string &zone, std::size_t entries) -> Member & {
        Member &member = group.add(id, zone);
        for (std::size_t at = 0; at < entries; ++at) {
            member.log.push_back({3, {"w" + std::to_string(at)}, -1000});
        }
        member.applied = member.log.size();
        return member;
    };
    Member &primary = addMember("i-44", "za", 20);
    primary.isPrimary = true;
    addMember("i-52", "zb", 20);
    addMember("i-67", "zc", 20);
    group.ran = [&](const Run &run) {
        g_runs[run.id] = run;
    };
    std::uint16_t promotionPort = 0;
    serve(listenOn(promotionPort), [&](int fd) {
        LineReader lines(fd);
        while (auto question = readQuestion(lines)) {
            sendAnswer(fd, group.promote(*question));
        }
    });
    store.put("config",
              "main",
              {{"version", 1},
               {"routes",
                {{{"name", "pedidos"},
                  {"host", "pedidos"},
                  {"service", "tiza-db"},
                  {"type", "primary"},
                  {"timeoutMs", 800},
                  {"objectiveMs", 100},
                  {"priority", 0}}}},
               {"services", {{{"name", "tiza-db"}, {"maxConns", Group::maxConnections}, {"syncReplicas", 0}}}},
               {"limits", {{"txIdleMs", 3000}}}});
    group.start();
    Fleet fleet(store, promotionPort, folder);
    fleet.add("edge-za-1", "za");
    fleet.add("edge-zb-1", "zb");
    fleet.add("edge-zb-2", "zb");
    fleet.add("edge-zc-1", "zc");
    fleet.add("edge-zc-2", "zc");
    fleet.start();
    if (!fleet.awaitReady(6000)) {
        std::cout << "the instances are not ready\n";
        return 2;
    }
    sleepUntilMs(6500);
    std::vector<std::thread> clients;
    for (const Instance &instance : fleet.instances) {
        clients.emplace_back(play, "at-" + instance.name, instance.front);
    }
    sleepUntilMs(cutAt);
    if (isTrouble) {
        note("edge-za-1 is cut off from the store and from the other instances");
        fleet.setCutOff("edge-za-1", true);
    }
    sleepUntilMs(joinAt);
    {
        const Lock lock(g_mutex);
        Member &joined = addMember("i-3b", "zc", 0);
        joined.log = primary.log;
        joined.applied = joined.log.size();
        note("member i-3b starts; i-67 will leave");
    }
    sleepUntilMs(joinAt + 1000);
    {
        const Lock lock(g_mutex);
        group.find("i-67")->isDraining = true;
        group.registerMember(*group.find("i-67"));
        note("member i-67 reports draining");
    }
    sleepUntilMs(primaryCutAt);
    if (isTrouble) {
        const Lock lock(g_mutex);
        primary.isCutFromGroup = true;
        primary.cutCallers = {"edge-zb-1", "edge-zb-2", "edge-zc-1", "edge-zc-2"};
        // The neighbour of the service's home still reaches the primary, so that three of five instances do not.
        primary.cutCallers.erase(neighbourOfHome(store));
        std::string cut;
        for (const std::string &caller : primary.cutCallers) {
            cut += ' ' + caller;
        }
        note("i-44 is cut off from the other members and from" + cut);
    }
    sleepUntilMs(primaryCutEnd);
    if (isTrouble) {
        const Lock lock(g_mutex);
        note("the cut of i-44 ends");
        primary.isCutFromGroup = false;
        primary.cutCallers.clear();
    }
    sleepUntilMs(cutEnd);
    if (isTrouble) {
        note("the cut of edge-za-1 ends");
        fleet.setCutOff("edge-za-1", false);
    }
    for (std::thread &client : clients) {
        client.join();
    }
    fleet.stop();
    const Lock lock(g_mutex);
    const int broken = countStaleReads(group);
    const std::string result = "served " + std::to_string(g_served) + ", not served " + std::to_string(g_refused) + ", STALE broken "
                               + std::to_string(broken) + " times";
    note(result);
    g_record.flush();
    std::cout << result << std::endl;
    std::_Exit(g_served == 0 ? 2 : broken == 0 ? 0 : 1);
}
