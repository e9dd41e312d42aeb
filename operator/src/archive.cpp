#include "rattanbeam/operatorclient/archive.h"

#include "rattanbeam/decisions/contract.h"
#include "rattanbeam/decisions/databasegroup.h"

#include <algorithm>
#include <set>
#include <sstream>

namespace rattanbeam::operatorclient
{

using decisions::ConfigError;
using decisions::ConfigObject;

namespace
{

constexpr std::string_view objectMark = "### object ";

std::vector<std::string> linesOf(const std::string &text)
{
    std::vector<std::string> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
        lines.push_back(line);
    }
    return lines;
}

} // namespace

std::string formatArchive(const std::vector<ConfigObject> &objects)
{
    std::string text;
    for (const ConfigObject &object : objects) {
        text += std::string(objectMark) + object.key + '\n' + object.text;
        text += object.text.ends_with('\n') ? "" : "\n";
    }
    return text;
}

decisions::Result<std::vector<ConfigObject>> parseArchive(const std::string &text)
{
    std::vector<ConfigObject> objects;
    std::set<std::string> keys;
    for (const std::string &line : linesOf(text)) {
        if (line.starts_with(objectMark)) {
            const std::string key = line.substr(objectMark.size());
            if (!keys.insert(key).second) {
                return ConfigError{key, "", "stands in the archive twice"};
            }
            objects.push_back({key, "", 0, false});
        } else if (!objects.empty()) {
            objects.back().text += line + '\n';
        } else if (!line.empty()) {
            return ConfigError{"", "", "does not start with '### object KEY'"};
        }
    }
    for (const ConfigObject &object : objects) {
        if (const auto error = checkObject(object.key, object.text)) {
            return ConfigError{object.key, error->key, error->text("object")};
        }
    }
    return objects;
}

std::optional<ConfigError> checkObject(const std::string &key, const std::string &text)
{
    if (key.starts_with("contract/")) {
        const auto contract = decisions::parseContract(text);
        if (!contract) {
            return contract.error();
        }
        return decisions::contractKey(contract->customer()) == key
                   ? std::nullopt
                   : std::optional(ConfigError{"contract", "customer", "does not match the object's key"});
    }
    if (key.starts_with("group/")) {
        const auto group = decisions::parseDatabaseGroup(text);
        if (!group) {
            return group.error();
        }
        return decisions::groupKey(group->database) == key
                   ? std::nullopt
                   : std::optional(ConfigError{"group", "database", "does not match the object's key"});
    }
    return ConfigError{"", key, "is not a contract or group"};
}

std::string diffLines(const std::string &before, const std::string &after)
{
    const std::vector<std::string> old = linesOf(before);
    const std::vector<std::string> now = linesOf(after);
    // Longest common subsequence; objects are short.
    std::vector<std::vector<std::size_t>> common(old.size() + 1, std::vector<std::size_t>(now.size() + 1, 0));
    for (std::size_t i = old.size(); i-- > 0;) {
        for (std::size_t j = now.size(); j-- > 0;) {
            common[i][j] = old[i] == now[j] ? common[i + 1][j + 1] + 1 : std::max(common[i + 1][j], common[i][j + 1]);
        }
    }
    std::string text;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < old.size() || j < now.size()) {
        if (i < old.size() && j < now.size() && old[i] == now[j]) {
            ++i;
            ++j;
        } else if (j == now.size() || (i < old.size() && common[i + 1][j] >= common[i][j + 1])) {
            text += "- " + old[i++] + '\n';
        } else {
            text += "+ " + now[j++] + '\n';
        }
    }
    return text;
}

} // namespace rattanbeam::operatorclient
