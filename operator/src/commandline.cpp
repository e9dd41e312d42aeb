#include "rattanbeam/operatorclient/commandline.h"

#include <popt.h>

#include <iostream>
#include <map>

namespace rattanbeam::operatorclient
{

namespace
{

/// Texts that popt fills in; null where the option was not given.
struct GivenTexts {
    char *platform = nullptr;
    char *instance = nullptr;
    char *output = nullptr;
    char *customer = nullptr;
    char *credential = nullptr;
    char *database = nullptr;
    char *rank = nullptr;
    char *sessionFile = nullptr;
    char *requestId = nullptr;
};

std::string textOr(const char *given, const std::string &fallback)
{
    return given == nullptr ? fallback : std::string(given);
}

} // namespace

std::optional<CommandLine> parseCommandLine(int argc, const char **argv)
{
    GivenTexts given;
    CommandLine line;
    int isRead = 0;
    int isWrite = 0;
    int showVersion = 0;
    const poptOption table[]
        = {{"platform", '\0', POPT_ARG_STRING, &given.platform, 0, "address of the platform's object API", "IP:PORT"},
           {"instance", '\0', POPT_ARG_STRING, &given.instance, 0, "address of an instance", "IP:PORT"},
           {"output", '\0', POPT_ARG_STRING, &given.output, 0, "text or json", "FORM"},
           {"version", '\0', POPT_ARG_NONE, &showVersion, 0, "print the version and stop", nullptr},
           {"customer", '\0', POPT_ARG_STRING, &given.customer, 0, "statement run: the customer", "NAME"},
           {"credential", '\0', POPT_ARG_STRING, &given.credential, 0, "statement run: its credential", "TEXT"},
           {"database", '\0', POPT_ARG_STRING, &given.database, 0, "statement run: the database", "NAME"},
           {"rank", '\0', POPT_ARG_STRING, &given.rank, 0, "statement run: urgent, interactive or batch", "RANK"},
           {"read", '\0', POPT_ARG_NONE, &isRead, 0, "statement run: the statement only reads (default)", nullptr},
           {"write", '\0', POPT_ARG_NONE, &isWrite, 0, "statement run: the statement writes", nullptr},
           {"max-age", '\0', POPT_ARG_INT, &line.maxAgeMs, 0, "statement run: oldest data accepted, in milliseconds", "MS"},
           {"timeout", '\0', POPT_ARG_INT, &line.timeoutMs, 0, "statement run: time for the whole request, in milliseconds", "MS"},
           {"session-file", '\0', POPT_ARG_STRING, &given.sessionFile, 0, "statement run: file that keeps the session token", "FILE"},
           {"request-id", '\0', POPT_ARG_STRING, &given.requestId, 0, "statement run: idempotency key", "ID"},
           POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("rattanbeamctl", argc, argv, table, 0);
    const std::string help = "[OPTIONS] COMMAND\n\nCommands:\n" + commandHelp() + "\nOptions:";
    poptSetOtherOptionHelp(context, help.c_str());
    const int code = poptGetNextOpt(context);
    if (code < -1) {
        std::cerr << "rattanbeamctl: " << poptBadOption(context, 0) << ": " << poptStrerror(code) << '\n';
        poptFreeContext(context);
        return std::nullopt;
    }
    for (const char *word = poptGetArg(context); word != nullptr; word = poptGetArg(context)) {
        line.words.emplace_back(word);
    }
    poptFreeContext(context);
    const std::string output = textOr(given.output, "text");
    if ((output != "text" && output != "json") || (isRead != 0 && isWrite != 0) || line.maxAgeMs < 0 || line.timeoutMs < 0) {
        std::cerr << "rattanbeamctl: --output is text or json, --read excludes --write, and times are not negative\n";
        return std::nullopt;
    }
    line.isJson = output == "json";
    line.showVersion = showVersion != 0;
    line.isWrite = isWrite != 0;
    line.platform = textOr(given.platform, "");
    line.instance = textOr(given.instance, "");
    line.customer = textOr(given.customer, "");
    line.credential = textOr(given.credential, "");
    line.database = textOr(given.database, "");
    line.rank = textOr(given.rank, line.rank);
    line.sessionFile = textOr(given.sessionFile, "");
    line.requestId = textOr(given.requestId, "");
    return line;
}

} // namespace rattanbeam::operatorclient
