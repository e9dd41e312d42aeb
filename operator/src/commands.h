#pragma once

#include "rattanbeam/operatorclient/commandline.h"

#include <google/protobuf/message.h>

#include <optional>
#include <string>

namespace rattanbeam::operatorclient
{

// Commands on the platform's objects.
ExitCode applyObject(const CommandLine &line);
ExitCode showObject(const CommandLine &line);
ExitCode listObjects(const CommandLine &line);
ExitCode diffObject(const CommandLine &line);
ExitCode deleteObject(const CommandLine &line);
ExitCode exportService(const CommandLine &line);
ExitCode importService(const CommandLine &line);

// Commands on instances.
ExitCode showStatus(const CommandLine &line);
ExitCode listInstances(const CommandLine &line);
ExitCode showOneInstance(const CommandLine &line);

ExitCode runStatement(const CommandLine &line);

/// Prints an error with the program's name, and returns the code.
ExitCode complain(ExitCode code, const std::string &message);

/// The whole file; nothing when it cannot be read, which is then reported.
std::optional<std::string> readFile(const std::string &file);

void printJson(const google::protobuf::Message &message);

} // namespace rattanbeam::operatorclient
