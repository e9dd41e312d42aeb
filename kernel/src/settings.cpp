#include "rattanbeam/kernel/settings.h"

#include "rattanbeam/decisions/contract.h"
#include "rattanbeam/decisions/inireader.h"

#include <cctype>
#include <sstream>

namespace rattanbeam::kernel
{

using decisions::IniReader;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t tokenKeyDigits = 64;
constexpr unsigned long mostPort = 65535;

bool isHexKey(const std::string &text)
{
    return text.size() == tokenKeyDigits && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

bool isAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0 || colon + 1 == text.size()) {
        return false;
    }
    const std::string host = text.substr(0, colon);
    const std::string port = text.substr(colon + 1);
    constexpr std::size_t mostDigits = 5;
    if (port.size() > mostDigits || port.find_first_not_of("0123456789") != std::string::npos) {
        return false;
    }
    return host.find_first_not_of("0123456789abcdef.:[]") == std::string::npos && std::stoul(port) <= mostPort;
}

void checkAddress(IniReader &reader, const std::string &section, const std::string &key, const std::string &address)
{
    if (!address.empty() && !isAddress(address)) {
        reader.fail(section, key, "'" + address + "' is not an IP address and port");
    }
}

void readInstance(IniReader &reader, Settings &settings)
{
    const std::string name = reader.requiredText("instance", "name");
    if (!name.empty() && !decisions::isValidName(name)) {
        reader.fail("instance", "name", "is not a name of 1 to 64 letters a-z, digits and hyphens");
    }
    settings.instance = decisions::InstanceId(name);
    settings.domain = decisions::FailureDomain(reader.requiredText("instance", "domain"));
    settings.listenAddress = reader.requiredText("instance", "listen");
    checkAddress(reader, "instance", "listen", settings.listenAddress);
    settings.threads = static_cast<std::uint32_t>(reader.integer("instance", "threads", {1, 64}, 2));
    settings.platformAddress = reader.requiredText("platform", "address");
    checkAddress(reader, "platform", "address", settings.platformAddress);
    std::istringstream peers(reader.text("peers", "addresses", ""));
    for (std::string peer; peers >> peer;) {
        checkAddress(reader, "peers", "addresses", peer);
        settings.peers.push_back(peer);
    }
}

void readTokens(IniReader &reader, Settings &settings)
{
    settings.tokenKey = reader.requiredText("tokens", "key");
    if (!settings.tokenKey.empty() && !isHexKey(settings.tokenKey)) {
        reader.fail("tokens", "key", "must be 64 lower-case hexadecimal digits");
    }
    settings.previousTokenKey = reader.text("tokens", "previous-key", "");
    if (!settings.previousTokenKey.empty() && !isHexKey(settings.previousTokenKey)) {
        reader.fail("tokens", "previous-key", "must be 64 lower-case hexadecimal digits");
    }
    if (!settings.tokenKey.empty() && settings.tokenKey == settings.previousTokenKey) {
        reader.fail("tokens", "previous-key", "is the same as key");
    }
}

void readLog(IniReader &reader, Settings &settings)
{
    const std::string level = reader.choice("log", "level", {"debug", "info", "warning", "error"}, "info");
    settings.logLevel = level == "debug"     ? LogLevel::Debug
                        : level == "warning" ? LogLevel::Warning
                        : level == "error"   ? LogLevel::Error
                                             : LogLevel::Info;
    settings.traceFile = reader.text("trace", "file", "");
    settings.traceEvery = static_cast<std::uint32_t>(reader.integer("trace", "every", {1, 1'000'000}, 100));
}

void readLimits(IniReader &reader, Settings &settings)
{
    settings.defaultTimeout = reader.duration("limits", "default-timeout", {10, 600'000}, 5s);
    settings.drainLimit = reader.duration("limits", "drain", {100, 600'000}, 30s);
    settings.transactionIdle = reader.duration("limits", "transaction-idle", {100, 600'000}, 10s);
    settings.queueWait[decisions::Rank::Urgent] = reader.duration("limits", "queue-wait-urgent", {1, 600'000}, 300ms);
    settings.queueWait[decisions::Rank::Interactive] = reader.duration("limits", "queue-wait-interactive", {1, 600'000}, 500ms);
    settings.queueWait[decisions::Rank::Batch] = reader.duration("limits", "queue-wait-batch", {1, 600'000}, 2s);
    settings.queueCapacity = static_cast<std::uint32_t>(reader.integer("limits", "queue-capacity", {1, 100'000}, 256));
    settings.maxStatementBytes = static_cast<std::uint32_t>(reader.integer("limits", "statement-bytes", {64, 4'000'000}, 1'000'000));
}

void readIntervals(IniReader &reader, Settings &settings)
{
    settings.exchangeInterval = reader.duration("intervals", "exchange", {10, 10'000}, 200ms);
    settings.probeInterval = reader.duration("intervals", "probe", {10, 10'000}, 100ms);
    settings.probeTimeout = reader.duration("intervals", "probe-timeout", {10, 10'000}, 200ms);
    settings.peerSilence = reader.duration("intervals", "peer-silence", {50, 60'000}, 1s);
    if (settings.peerSilence < 2 * settings.exchangeInterval) {
        reader.fail("intervals", "peer-silence", "must be at least twice [intervals] exchange");
    }
}

bool yesOrNo(IniReader &reader, const std::string &key, bool fallback)
{
    return reader.choice("experiment", key, {"yes", "no"}, fallback ? "yes" : "no") == "yes";
}

void readExperiment(IniReader &reader, ExperimentSettings &experiment)
{
    experiment.ownShare = yesOrNo(reader, "own-share", false);
    experiment.singleQueue = yesOrNo(reader, "single-queue", false);
    experiment.readsOnPrimary = yesOrNo(reader, "reads-on-primary", false);
    experiment.confirmWrites = yesOrNo(reader, "confirm-writes", true);
    experiment.replicaChoice
        = reader.choice("experiment", "replica-choice", {"power-of-two", "least-in-flight", "latency-score"}, "power-of-two");
    experiment.instances = static_cast<std::uint32_t>(reader.integer("experiment", "instances", {1, 1000}, 9));
}

Settings readAll(IniReader &reader)
{
    Settings settings;
    readInstance(reader, settings);
    readTokens(reader, settings);
    readLog(reader, settings);
    readLimits(reader, settings);
    readIntervals(reader, settings);
    readExperiment(reader, settings.experiment);
    return settings;
}

} // namespace

decisions::Result<Settings> parseSettings(const std::string &text)
{
    IniReader reader(text);
    const Settings settings = readAll(reader);
    if (const auto error = reader.finish()) {
        return *error;
    }
    return settings;
}

std::set<std::pair<std::string, std::string>> knownSettings()
{
    IniReader reader("");
    readAll(reader);
    return reader.queriedKeys();
}

} // namespace rattanbeam::kernel
