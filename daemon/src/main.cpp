// rattanbeamd: one instance of the proxy.

#include "rattanbeam/kernel/logevent.h"
#include "rattanbeam/kernel/settings.h"
#include "rattanbeam/platform/sessiondaemon.h"
#include "rattanbeam/proxy/instance.h"
#include "rattanbeam/sessions/sessionsettings.h"

#include <popt.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

namespace
{

constexpr const char *settingsVariable = "RATTANBEAM_SETTINGS"; // names the file when --config does not
constexpr int exitSettings = 2;
constexpr int exitFailure = 1;
constexpr int exitCut = 3;

struct Arguments {
    std::string configFile;
    bool onlyCheck = false;
    bool showVersion = false;
    /// Settings for keys that the file does not set.
    std::vector<std::string> defaults;
};

/// Nothing when the command line is wrong; the reason is then printed.
std::optional<Arguments> parseArguments(int argc, const char **argv)
{
    char *file = nullptr;
    int onlyCheck = 0;
    int showVersion = 0;
    const char **defaults = nullptr;
    const poptOption table[] = {{"config", 'c', POPT_ARG_STRING, &file, 0, "settings of this instance", "FILE.ini"},
                                {"check-config", '\0', POPT_ARG_NONE, &onlyCheck, 0, "check the settings and stop", nullptr},
                                {"default",
                                 '\0',
                                 POPT_ARG_ARGV,
                                 &defaults,
                                 0,
                                 "setting for a key that the file does not set (sessions interface)",
                                 "SECTION.KEY=VALUE"},
                                {"version", '\0', POPT_ARG_NONE, &showVersion, 0, "print the version and stop", nullptr},
                                POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("rattanbeamd", argc, argv, table, 0);
    const int code = poptGetNextOpt(context);
    if (code < -1) {
        std::cerr << "rattanbeamd: " << poptBadOption(context, 0) << ": " << poptStrerror(code) << '\n';
    }
    poptFreeContext(context);
    if (code < -1) {
        return std::nullopt;
    }
    const char *fromEnvironment = std::getenv(settingsVariable);
    const std::string fallback = fromEnvironment == nullptr ? "" : fromEnvironment;
    Arguments arguments{file == nullptr ? fallback : file, onlyCheck != 0, showVersion != 0, {}};
    for (const char **setting = defaults; setting != nullptr && *setting != nullptr; ++setting) {
        arguments.defaults.emplace_back(*setting);
    }
    return arguments;
}

std::optional<std::string> readFile(const std::string &file)
{
    std::ifstream stream(file);
    if (!stream) {
        std::cerr << file << ": cannot be read\n";
        return std::nullopt;
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

/// Prints why the settings cannot be used.
template<typename Settings>
bool isUsable(const rattanbeam::decisions::Result<Settings> &settings, const std::string &file)
{
    if (!settings) {
        std::cerr << settings.error().text(file) << '\n';
    }
    return static_cast<bool>(settings);
}

/// Signals that ask for a graceful stop are blocked in all threads and awaited here.
sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

int runStatements(const Arguments &arguments, const std::string &text)
{
    const auto settings = rattanbeam::kernel::parseSettings(text);
    if (!isUsable(settings, arguments.configFile)) {
        return exitSettings;
    }
    if (arguments.onlyCheck) {
        std::cout << arguments.configFile << ": ok\n";
        return 0;
    }
    const sigset_t signals = blockStopSignals();
    rattanbeam::kernel::startLog(settings->logLevel, settings->instance.text());
    rattanbeam::proxy::Instance instance(*settings);
    if (!instance.start()) {
        return exitFailure;
    }
    int received = 0;
    sigwait(&signals, &received);
    return instance.drain() ? 0 : exitCut;
}

int runSessions(const Arguments &arguments, const std::string &text)
{
    const auto settings = rattanbeam::sessions::parseSessionSettings(text, arguments.defaults);
    if (!isUsable(settings, arguments.configFile)) {
        return exitSettings;
    }
    if (arguments.onlyCheck) {
        std::cout << arguments.configFile << ": ok\n";
        return 0;
    }
    rattanbeam::kernel::startBoundedLog(settings->logLevel, settings->instance.text(), settings->logLinesPerSecond);
    return rattanbeam::platform::runSessionDaemon(*settings, arguments.configFile);
}

} // namespace

int main(int argc, const char **argv)
{
    const auto arguments = parseArguments(argc, argv);
    if (!arguments) {
        return exitSettings;
    }
    if (arguments->showVersion) {
        std::cout << "rattanbeamd " << RATTANBEAM_VERSION << '\n';
        return 0;
    }
    if (arguments->configFile.empty()) {
        std::cerr << "rattanbeamd: --config FILE.ini is needed\n";
        return exitSettings;
    }
    const auto text = readFile(arguments->configFile);
    if (!text) {
        return exitSettings;
    }
    return rattanbeam::sessions::selectsSessionsInterface(*text) ? runSessions(*arguments, *text) : runStatements(*arguments, *text);
}
