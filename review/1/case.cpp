// Case 1: an instance restarts, and its zone is cut off within a second. See claim.txt.
#include "../standin/cast.h"
#include "../standin/fleet.h"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <sstream>

namespace
{

using namespace review;

/// The home of the service is the instance of zone a, its substitute is in zone b, and zone b has no relay.
Cast choose()
{
    return chooseNames({"zone-a", "zone-b", "zone-b", "zone-c", "zone-c"}, [](const auto &ranking, const auto &relays) {
        const bool hasRelayInB = std::any_of(relays.begin(), relays.end(), [](const auto &relay) {
            return relay.domain.text() == "zone-b";
        });
        return ranking[0].domain.text() == "zone-a" && ranking[1].domain.text() == "zone-b" && !hasRelayInB;
    });
}

std::size_t linesWith(const std::string &text, const std::string &first, const std::string &second)
{
    std::size_t count = 0;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        count += line.find(first) != std::string::npos && line.find(second) != std::string::npos ? 1 : 0;
    }
    return count;
}

int run(Journal &journal)
{
    const Cast cast = choose();
    DeploymentOptions options;
    options.instances = cast.instances;
    options.service = cast.service;
    Deployment deployment(journal, options);
    Instance &home = deployment.instance(cast.home);
    Instance &substitute = deployment.instance(cast.substitute);
    journal.note("home " + home.name + ", its substitute " + substitute.name + ", primary m-1 in zone-a");
    for (Instance &instance : deployment.instances()) {
        deployment.start(instance);
    }
    const bool areUp = deployment.runUntil(
        [&] {
            return std::all_of(deployment.instances().begin(), deployment.instances().end(), [&](const Instance &instance) {
                return deployment.isListening(instance);
            });
        },
        10s);
    if (!areUp) {
        return 2;
    }
    deployment.runFor(6s);
    const auto near = std::make_shared<Client>(deployment, journal, "near", home.front()); // enters in zone a
    near->start();
    if (!deployment.runUntil(
            [&] {
                return near->outcomes().succeeded > 20;
            },
            10s)) {
        return 2;
    }
    deployment.runFor(1s);
    if (hasTrouble()) {
        // First disruption: the process of zone a is killed, and starts again 1 to 3 s later, while its peers wait before their next
        // attempt to reach it.
        journal.note("DISRUPTION 1: kill of " + home.name);
        deployment.kill(home);
        deployment.runFor(1s);
        const auto attempts = linesWith(deployment.log(substitute), "event=peer-lost", home.peers());
        deployment.runUntil(
            [&] {
                return linesWith(deployment.log(substitute), "event=peer-lost", home.peers()) > attempts;
            },
            2s);
        deployment.start(home);
    }
    const auto before = near->outcomes().succeeded;
    if (!deployment.runUntil(
            [&] {
                return near->outcomes().succeeded >= before + 6;
            },
            5s)) {
        return 2;
    }
    journal.note("clients of zone a are served by " + home.name);
    const auto far = std::make_shared<Client>(deployment, journal, "far", substitute.front()); // enters in zone b
    far->start();
    deployment.runUntil(
        [&] {
            return far->outcomes().succeeded >= 2;
        },
        200ms);
    if (hasTrouble()) {
        // Second disruption: zone a, with the home and the primary, is cut off from the other zones and the store. Cuts are resets.
        journal.note("DISRUPTION 2: zone a is cut off (reset)");
        deployment.store().setMode(home.storeDoor, StoreMode::Resets);
        deployment.proxy("m-2").cut(home.name);
        deployment.proxy("m-3").cut(home.name);
        for (const Instance &instance : deployment.instances()) {
            if (instance.zone != "zone-a") {
                deployment.proxy("m-1").cut(instance.name);
            }
        }
        deployment.group().member("m-1").isDeaf = true;
    }
    deployment.runFor(5s);
    near->stop();
    far->stop();
    deployment.auditor().finish();
    std::size_t stale = 0;
    for (const std::string &finding : deployment.auditor().findings()) {
        journal.note("FINDING   " + finding);
        std::cout << finding << '\n';
        stale += finding.rfind("rule=STALE", 0) == 0 ? 1 : 0;
    }
    const auto counts = [](const Outcomes &outcomes) {
        return std::to_string(outcomes.succeeded) + " of " + std::to_string(outcomes.sent) + " statements succeeded";
    };
    journal.note("near: " + counts(near->outcomes()) + "; far: " + counts(far->outcomes()));
    journal.note("stale reads: " + std::to_string(stale));
    if (!hasTrouble()) {
        return deployment.auditor().findings().empty() && far->outcomes().succeeded > 20 ? 0 : 1;
    }
    return stale > 0 ? 1 : 0;
}

} // namespace

int main()
{
    std::signal(SIGPIPE, SIG_IGN);
    Journal journal("review/1/record.txt");
    try {
        const int code = run(journal);
        journal.note(code == 1 ? "STALE is broken" : code == 0 ? "held" : "the case could not run");
        return code;
    } catch (const std::exception &error) {
        journal.note(std::string("the case could not run: ") + error.what());
        std::cerr << error.what() << '\n';
        return 2;
    }
}
