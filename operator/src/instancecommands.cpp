#include "commands.h"

#include "rattanbeam/decisions/databasegroup.h"
#include "rattanbeam/operatorclient/connections.h"

#include <iostream>
#include <map>

namespace rattanbeam::operatorclient
{

namespace
{
const std::string platformSilent = "the platform does not answer";
}

ExitCode showStatus(const CommandLine &line)
{
    PlatformSession platform(line.platform);
    const std::string key = decisions::contractKey(decisions::CustomerId(line.words[2]));
    const auto object = platform.read(key);
    const auto instances = platform.instances();
    if (!object || !instances) {
        return complain(ExitCode::Failed, platformSilent);
    }
    std::map<std::uint64_t, int> countByVersion;
    int silent = 0;
    for (const auto &instance : instances->instances()) {
        const auto shown = showInstance(instance.address(), key);
        if (shown) {
            ++countByVersion[shown->object().version()];
        } else {
            ++silent;
        }
    }
    std::cout << key << " accepted version " << object->version() << '\n';
    for (const auto &[version, count] : countByVersion) {
        std::cout << "version " << version << " in force on " << count << " instances\n";
    }
    std::cout << "no answer from " << silent << " listed instances\n";
    return ExitCode::Ok;
}

ExitCode listInstances(const CommandLine &line)
{
    PlatformSession platform(line.platform);
    const auto instances = platform.instances();
    if (!instances) {
        return complain(ExitCode::Failed, platformSilent);
    }
    if (line.isJson) {
        printJson(*instances);
        return ExitCode::Ok;
    }
    for (const auto &instance : instances->instances()) {
        const auto shown = showInstance(instance.address(), "");
        const std::string state = !shown ? "silent" : shown->draining() ? "leaving" : "live";
        std::cout << instance.name() << ' ' << instance.address() << " domain=" << instance.domain() << " state=" << state;
        if (shown) {
            std::cout << " config=" << shown->complete_to();
        }
        std::cout << '\n';
    }
    return ExitCode::Ok;
}

ExitCode showOneInstance(const CommandLine &line)
{
    const auto shown = showInstance(line.instance, "");
    if (!shown) {
        return complain(ExitCode::Failed, line.instance + " does not answer");
    }
    if (line.isJson) {
        printJson(*shown);
        return ExitCode::Ok;
    }
    std::cout << "instance " << shown->instance() << " domain=" << shown->domain() << " config=" << shown->complete_to()
              << " draining=" << (shown->draining() ? "yes" : "no") << '\n';
    for (const auto &member : shown->members()) {
        const auto &status = member.status();
        std::cout << "member " << status.member() << " database=" << member.database() << " term=" << status.term()
                  << " primary=" << (status.primary() ? "yes" : "no") << " held=" << status.held().position()
                  << " applied=" << status.applied() << " data_age_ms=" << member.data_age_ms() << " queued=" << member.queued() << '\n';
    }
    for (const auto &counter : shown->counters()) {
        std::cout << "counter " << counter.name() << ' ' << counter.value() << '\n';
    }
    for (const auto &latency : shown->latencies()) {
        std::cout << "latency " << latency.name() << " count=" << latency.count() << " p50_us=" << latency.p50_us()
                  << " p99_us=" << latency.p99_us() << '\n';
    }
    return ExitCode::Ok;
}

} // namespace rattanbeam::operatorclient
