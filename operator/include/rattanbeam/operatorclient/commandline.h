#pragma once

#include <optional>
#include <string>
#include <vector>

namespace rattanbeam::operatorclient
{

/// Exit codes of rattanbeamctl; docs/OPERATING.md lists them.
enum class ExitCode {
    Ok = 0,
    Failed = 1, ///< Something could not be reached or does not exist.
    Usage = 2, ///< Wrong command line, or input that is not valid.
    Conflict = 3, ///< Another operator's change came first.
    NotRun = 4, ///< A statement was refused and did not run.
    MayHaveRun = 5, ///< A statement may have run.
};

/// What the command line said.
struct CommandLine {
    std::vector<std::string> words;
    std::string platform;
    std::string instance;
    bool isJson = false;
    bool showVersion = false;

    std::string customer;
    std::string credential;
    std::string database;
    std::string rank = "interactive";
    bool isWrite = false;
    int maxAgeMs = 0;
    int timeoutMs = 0;
    std::string sessionFile;
    std::string requestId;

    auto operator<=>(const CommandLine &) const = default;
};

/// Nothing when the command line is wrong; the reason is then on standard error.
std::optional<CommandLine> parseCommandLine(int argc, const char **argv);

/// Runs a command.
ExitCode runCommand(const CommandLine &line);

/// The commands, one line each.
std::string commandHelp();

} // namespace rattanbeam::operatorclient
