// Randomized fault soak of the sessions interface: rattanbeam-soak --seed 7 --seconds 30 --folder /tmp/soak

#include "rattanbeam/systemtests/soak/soakfleet.h"

#include <iostream>
#include <map>
#include <string>

#include <popt.h>

namespace
{

constexpr int exitBroken = 1;
constexpr int exitUsage = 2;

} // namespace

int main(int argc, const char **argv)
{
    int seed = 1;
    int seconds = 20;
    int clients = 24;
    int workspaces = 0;
    char *folder = nullptr;
    char *daemon = nullptr;
    const poptOption table[] = {{"seed", 0, POPT_ARG_INT, &seed, 0, "Seed of the faults and requests", "NUMBER"},
                                {"seconds", 0, POPT_ARG_INT, &seconds, 0, "How long faults come", "NUMBER"},
                                {"clients", 0, POPT_ARG_INT, &clients, 0, "Clients at once", "NUMBER"},
                                {"workspaces", 0, POPT_ARG_INT, &workspaces, 0, "Workspaces of the clients' keys; 0 for no keys", "NUMBER"},
                                {"folder", 0, POPT_ARG_STRING, &folder, 0, "Where settings and logs are kept", "FOLDER"},
                                {"daemon", 0, POPT_ARG_STRING, &daemon, 0, "The program under test", "FILE"},
                                POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("rattanbeam-soak", argc, argv, table, 0);
    const int end = poptGetNextOpt(context);
    const bool isUsable = end == -1 && poptPeekArg(context) == nullptr && seconds > 0 && clients > 0 && clients <= 500 && workspaces >= 0
                          && workspaces <= 500;
    poptFreeContext(context);
    if (!isUsable) {
        std::cerr << "rattanbeam-soak: see --help\n";
        return exitUsage;
    }
    rattanbeam::systemtests::soak::SoakOptions options;
    options.seed = static_cast<std::uint32_t>(seed);
    options.faultsFor = std::chrono::seconds(seconds);
    options.clients = clients;
    options.workspaces = workspaces;
    options.daemon = daemon == nullptr ? RATTANBEAM_DAEMON : daemon;
    options.directory = folder == nullptr ? "soak-" + std::to_string(seed) : folder;
    const auto result = rattanbeam::systemtests::soak::SoakFleet(options).run();
    for (const std::string &fault : result.faults) {
        std::cout << "fault " << fault << '\n';
    }
    for (const std::string &finding : result.findings) {
        std::cout << "finding " << finding << '\n';
    }
    std::cout << "seed=" << seed << " succeeded=" << result.counts.succeeded << " refused=" << result.counts.refused
              << " in_doubt=" << result.counts.inDoubt << " unanswered=" << result.counts.unanswered
              << " commits_acknowledged=" << result.acknowledged << " commits_lost=" << result.lost << " store_calls=" << result.storeCalls
              << " findings=" << result.findings.size() << " served_again=" << (result.isServedAgain ? "true" : "false") << '\n';
    return result.findings.empty() && result.isServedAgain ? 0 : exitBroken;
}
