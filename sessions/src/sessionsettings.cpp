#include "rattanbeam/sessions/sessionsettings.h"

#include "rattanbeam/decisions/inireader.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <sstream>

namespace rattanbeam::sessions
{

using decisions::IniReader;
using namespace std::chrono_literals;

namespace
{

bool isAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    return colon != std::string::npos && colon > 0 && colon + 1 < text.size() && text.find_first_not_of("0123456789.", 0) == colon
           && text.find_first_not_of("0123456789", colon + 1) == std::string::npos;
}

std::string readAddress(IniReader &reader, const std::string &section, const std::string &key, bool isRequired)
{
    std::string text = isRequired ? reader.requiredText(section, key) : reader.text(section, key, "");
    if (!text.empty() && !isAddress(text)) {
        reader.fail(section, key, "'" + text + "' is not an IP address and port");
    }
    return text;
}

std::vector<std::string> readAddresses(IniReader &reader, const std::string &section, const std::string &key)
{
    std::vector<std::string> addresses;
    std::istringstream stream(reader.text(section, key, ""));
    for (std::string address; std::getline(stream, address, ',');) {
        if (!address.empty() && !isAddress(address)) {
            reader.fail(section, key, "'" + address + "' is not an IP address and port");
        }
        if (!address.empty()) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

/// A number of the section `quotas`, from 0 to `maxValue`.
double readQuotaNumber(IniReader &reader, const std::string &key, double maxValue, const std::string &defaultValue = "0")
{
    const std::string text = reader.text("quotas", key, defaultValue);
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || !(value >= 0) || value > maxValue) {
        reader.fail("quotas", key, "'" + text + "' is not a number from 0 to " + std::to_string(static_cast<std::uint64_t>(maxValue)));
        return 0;
    }
    return value;
}

/// Thousandths of a core: the share of a core, such as 0.25, times the relative speed of the core.
std::uint32_t readProcessorMilli(IniReader &reader)
{
    constexpr double maxValue = 1024;
    double cores = 1;
    for (const char *key : {"processor-share", "processor-speed"}) {
        const std::string text = reader.text("limits", key, "1");
        double value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || end != text.data() + text.size() || !(value > 0) || value > maxValue) {
            reader.fail("limits", key, "'" + text + "' is not a number greater than 0 and at most 1024");
            return 1000;
        }
        cores *= value;
    }
    return static_cast<std::uint32_t>(std::max(1.0, std::round(cores * 1000)));
}

/// Limits on clients. The defaults of memory and descriptors are those of a small server; the platform names the machine's own.
void readClientLimits(IniReader &reader, SessionSettings &settings)
{
    constexpr std::int64_t mebibyte = 1 << 20;
    const std::int64_t memory = reader.integer("limits", "memory", {64, mebibyte}, 1024);
    const auto defaultMemory = static_cast<std::int64_t>(decisions::session::defaultClientBytes(static_cast<std::size_t>(memory)));
    const std::int64_t clientMemory = reader.integer("limits", "client-memory", {8, mebibyte}, defaultMemory);
    if (clientMemory >= memory) {
        reader.fail("limits", "client-memory", "has to be less than memory, which is " + std::to_string(memory));
    }
    settings.clientBytes = static_cast<std::size_t>(clientMemory * mebibyte);
    settings.descriptors = static_cast<std::uint32_t>(reader.integer("limits", "descriptors", {256, mebibyte}, 8192));
    decisions::session::deriveLimits(settings.clients, settings.clientBytes, settings.descriptors);
    const auto readAhead = static_cast<std::int64_t>(settings.clients.readAheadBytes / 1024);
    settings.clients.readAheadBytes
        = static_cast<std::size_t>(reader.integer("limits", "connection-memory", {64, mebibyte}, readAhead)) * 1024;
    settings.clients.maxStatementsAhead = static_cast<std::size_t>(
        reader.integer("limits", "statements-ahead", {1, 1024}, static_cast<std::int64_t>(settings.clients.maxStatementsAhead)));
    settings.clients.setupTimeout = reader.duration("limits", "setup-timeout", {100, 600'000}, settings.clients.setupTimeout);
    settings.clients.messageTimeout = reader.duration("limits", "message-timeout", {100, 600'000}, settings.clients.messageTimeout);
    settings.clients.answerTimeout = reader.duration("limits", "answer-timeout", {100, 600'000}, settings.clients.answerTimeout);
}

} // namespace

decisions::Result<SessionSettings> parseSessionSettings(const std::string &text, const std::vector<std::string> &defaults)
{
    IniReader reader(text);
    for (const std::string &setting : defaults) {
        reader.addDefault(setting);
    }
    SessionSettings settings;
    reader.choice("interface", "kind", {"sessions"}, "sessions");
    settings.instance = decisions::InstanceId(reader.requiredText("instance", "name"));
    settings.domain = decisions::FailureDomain(reader.requiredText("instance", "domain"));
    settings.ip = reader.requiredText("instance", "ip");
    settings.frontAddress = readAddress(reader, "listen", "front", true);
    settings.readinessAddress = readAddress(reader, "listen", "readiness", true);
    settings.peerAddress = readAddress(reader, "listen", "peers", true);
    const auto metricsPort = reader.integer("listen", "metrics-port", {0, 65535}, 0);
    settings.metricsAddress = metricsPort == 0 ? std::string() : settings.ip + ':' + std::to_string(metricsPort);
    settings.seeds = readAddresses(reader, "peers", "seeds");
    settings.storeAddress = readAddress(reader, "platform", "store", true);
    settings.promotionAddress = readAddress(reader, "platform", "promotions", false);
    settings.grace = reader.duration("limits", "grace", {500, 600'000}, 6s);
    settings.configurationBound = reader.duration("limits", "configuration-bound", {500, 600'000}, 3s);
    settings.processorMilli = readProcessorMilli(reader);
    readClientLimits(reader, settings);
    settings.quotaBound.window
        = std::chrono::milliseconds(static_cast<std::int64_t>(readQuotaNumber(reader, "window-seconds", 600, "5") * 1000));
    if (settings.quotaBound.window < 1s) {
        reader.fail("quotas", "window-seconds", "must be at least 1");
    }
    settings.quotaBound.tolerance = readQuotaNumber(reader, "tolerance", 10);
    settings.quotaBound.slack = readQuotaNumber(reader, "slack", 1e6);
    settings.isPaceEnabled = reader.choice("pace", "enabled", {"on", "off"}, "on") == "on";
    const std::string level = reader.choice("log", "level", {"debug", "info", "warning", "error"}, "info");
    settings.logLevel = level == "debug"     ? kernel::LogLevel::Debug
                        : level == "warning" ? kernel::LogLevel::Warning
                        : level == "error"   ? kernel::LogLevel::Error
                                             : kernel::LogLevel::Info;
    settings.logLinesPerSecond = static_cast<std::uint32_t>(reader.integer("log", "lines-per-second", {1, 100'000}, 200));
    if (const auto error = reader.finish()) {
        return *error;
    }
    return settings;
}

bool selectsSessionsInterface(const std::string &text)
{
    IniReader reader(text);
    return reader.choice("interface", "kind", {"statements", "sessions"}, "statements") == "sessions";
}

} // namespace rattanbeam::sessions
