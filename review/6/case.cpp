// LOST: with syncReplicas 1, a replica that only the primary reaches holds acknowledged commits, and another one is promoted.

#include "../standin-2/world.h"

#include <atomic>
#include <set>

using namespace review;

int main(int, char **argv)
{
    Record record(argv[1]);
    std::mutex mutex;
    std::map<std::string, LogEntry> commits; // by request
    Member::Hooks hooks;
    hooks.syncReplicas = 1;
    hooks.committed = [&](const std::string &, const std::string &id, const LogEntry &entry) {
        const std::lock_guard lock(mutex);
        commits[id] = entry;
    };
    World world(record, "ledger", {"m-1", "m-2", "m-3"}, hooks);
    world.store().put("config",
                      "main",
                      {{"version", 3},
                       {"routes",
                        {{{"host", "orders"},
                          {"service", "ledger"},
                          {"type", "primary"},
                          {"priority", 0},
                          {"timeoutMs", 800},
                          {"objectiveMs", 100},
                          {"maxStalenessMs", 0}}}},
                       {"services", {{{"name", "ledger"}, {"maxConns", 16}, {"syncReplicas", 1}}}},
                       {"limits", {{"txIdleMs", 3000}}}});
    const std::vector<std::string> names{"a-1", "b-1", "c-1"};
    for (const std::string &name : names) {
        world.addInstance({name, name.substr(0, 1)});
    }
    world.run();
    for (const std::string &name : names) {
        world.startInstance(name);
    }
    std::this_thread::sleep_for(10s); // traffic starts 10 s after the machines do
    for (const std::string &name : names) {
        if (!world.awaitService(name, "orders", "READ one")) {
            record.line("not served at " + name);
            return exitNotRun;
        }
    }
    std::atomic<bool> isOver{false};
    std::set<std::string> acknowledged;
    std::vector<std::thread> clients;
    for (const std::string &name : names) {
        clients.emplace_back([&, name] {
            int sent = 0;
            while (!isOver) {
                try {
                    Client client(world.front(name));
                    if (client.ask("SETUP orders client").rfind("READY", 0) != 0) {
                        std::this_thread::sleep_for(100ms);
                        continue;
                    }
                    while (!isOver) {
                        const std::string id = name + '-' + std::to_string(++sent);
                        const std::string answer = client.ask("QUERY " + id + " WRITE item " + id);
                        const bool isSuccess = answer.rfind("DONE ", 0) == 0;
                        record.line("client id=" + id
                                    + " WRITE is answered: " + (answer.empty() ? "nothing" : answer.substr(0, answer.find('\r'))));
                        if (isSuccess) {
                            const std::lock_guard lock(mutex);
                            acknowledged.insert(id);
                        }
                        if (answer.empty()) {
                            break;
                        }
                        std::this_thread::sleep_for(50ms);
                    }
                } catch (const std::exception &) {
                    std::this_thread::sleep_for(100ms);
                }
            }
        });
    }
    std::this_thread::sleep_for(4s);
    if (isTroubled()) {
        // ONLY=cut and ONLY=deaf leave the other disruption out.
        const std::string only = std::getenv("ONLY") == nullptr ? "" : std::getenv("ONLY");
        if (only != "deaf") {
            world.cutMemberOff("m-3");
        }
        std::this_thread::sleep_for(9s);
        if (only != "cut") {
            world.setDeaf("m-2");
        }
        std::this_thread::sleep_for(1s);
        world.onThread([&] {
            for (const auto &[key, object] : world.store().copy().objects) {
                if (key.first == "rattanbeam-terms") {
                    record.line("term record of " + key.second + ": " + object.at("spec").dump());
                }
            }
        });
        world.crashMember("m-1");
        std::this_thread::sleep_for(2s); // the end of the cut: 12 s
    } else {
        std::this_thread::sleep_for(12s);
    }
    isOver = true;
    for (std::thread &client : clients) {
        client.join();
    }
    std::vector<std::string> lost;
    std::string leader;
    world.onThread([&] {
        leader = world.group().leader();
        const std::lock_guard lock(mutex);
        for (const std::string &id : acknowledged) {
            if (!world.group().survives(commits.at(id))) {
                lost.push_back(id);
            }
        }
    });
    record.line("primary at the end: " + (leader.empty() ? "none" : leader) + ", acknowledged writes: "
                + std::to_string(acknowledged.size()) + ", of these not in the log of the latest primary: " + std::to_string(lost.size()));
    for (const std::string &id : lost) {
        record.line("acknowledged and lost: " + id);
    }
    if (!lost.empty()) {
        record.line("rule LOST is broken");
        return exitBroken;
    }
    record.line("held");
    return exitHeld;
}
