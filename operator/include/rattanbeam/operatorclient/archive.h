#pragma once

#include "rattanbeam/decisions/configstore.h"
#include "rattanbeam/decisions/result.h"

#include <optional>
#include <string>
#include <vector>

namespace rattanbeam::operatorclient
{

/// All contracts and groups of a service as one text, so that it can be handed over: each object's INI text under a
/// line `### object KEY`.
std::string formatArchive(const std::vector<decisions::ConfigObject> &objects);

/// Reads an archive and checks every object in it; versions are not part of it.
decisions::Result<std::vector<decisions::ConfigObject>> parseArchive(const std::string &text);

/// Checks an object's text by the kind that its key names.
std::optional<decisions::ConfigError> checkObject(const std::string &key, const std::string &text);

/// Lines that differ, marked - for `before` and + for `after`.
std::string diffLines(const std::string &before, const std::string &after);

} // namespace rattanbeam::operatorclient
