#include "commands.h"

#include <google/protobuf/util/json_util.h>

#include <fstream>
#include <iostream>
#include <sstream>
#include <vector>

namespace rattanbeam::operatorclient
{

namespace
{

/// One command: its words, how many words follow, what it needs, and its help.
struct Command {
    std::string group;
    std::string verb;
    std::size_t arguments;
    bool needsPlatform;
    bool needsInstance;
    ExitCode (*run)(const CommandLine &);
    std::string usage;
};

const std::vector<Command> &commands()
{
    static const std::vector<Command> all{
        {"contract", "apply", 1, true, false, applyObject, "contract apply FILE        create or change a contract"},
        {"contract", "show", 1, true, false, showObject, "contract show NAME         print a contract"},
        {"contract", "list", 0, true, false, listObjects, "contract list              customers and versions"},
        {"contract", "diff", 1, true, false, diffObject, "contract diff FILE         what apply would change"},
        {"contract", "delete", 1, true, false, deleteObject, "contract delete NAME       end a contract"},
        {"contract", "status", 1, true, false, showStatus, "contract status NAME       on how many instances each version is in force"},
        {"contract", "export", 1, true, false, exportService, "contract export FILE       write the whole service to a file"},
        {"contract", "import", 1, true, false, importService, "contract import FILE       create a service from such a file"},
        {"database", "apply", 1, true, false, applyObject, "database apply FILE        create or change a database group"},
        {"database", "show", 1, true, false, showObject, "database show NAME         print a database group"},
        {"database", "list", 0, true, false, listObjects, "database list              database groups and versions"},
        {"instance",
         "list",
         0,
         true,
         false,
         listInstances,
         "instance list              instances, as the platform lists them and as they answer"},
        {"instance", "show", 0, false, true, showOneInstance, "instance show              counters, latencies and members of one instance"},
        {"statement", "run", 1, false, true, runStatement, "statement run SQL          run a statement as a caller would"},
    };
    return all;
}

} // namespace

ExitCode complain(ExitCode code, const std::string &message)
{
    std::cerr << "rattanbeamctl: " << message << '\n';
    return code;
}

std::optional<std::string> readFile(const std::string &file)
{
    std::ifstream stream(file);
    if (!stream) {
        complain(ExitCode::Usage, file + ": cannot be read");
        return std::nullopt;
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

void printJson(const google::protobuf::Message &message)
{
    std::string json;
    google::protobuf::util::JsonPrintOptions options;
    options.always_print_primitive_fields = true;
    google::protobuf::util::MessageToJsonString(message, &json, options);
    std::cout << json << '\n';
}

std::string commandHelp()
{
    std::string help;
    for (const Command &command : commands()) {
        help += "  " + command.usage + '\n';
    }
    return help;
}

ExitCode runCommand(const CommandLine &line)
{
    if (line.words.size() < 2) {
        return complain(ExitCode::Usage, "a command is needed; see --help");
    }
    for (const Command &command : commands()) {
        if (command.group != line.words[0] || command.verb != line.words[1]) {
            continue;
        }
        if (line.words.size() != command.arguments + 2) {
            return complain(ExitCode::Usage, "usage: " + command.usage);
        }
        if (command.needsPlatform && line.platform.empty()) {
            return complain(ExitCode::Usage, "--platform IP:PORT is needed");
        }
        if (command.needsInstance && line.instance.empty()) {
            return complain(ExitCode::Usage, "--instance IP:PORT is needed");
        }
        return command.run(line);
    }
    return complain(ExitCode::Usage, "there is no command '" + line.words[0] + ' ' + line.words[1] + "'; see --help");
}

} // namespace rattanbeam::operatorclient
