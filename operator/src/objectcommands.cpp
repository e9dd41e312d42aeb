#include "commands.h"

#include "rattanbeam/decisions/contract.h"
#include "rattanbeam/decisions/databasegroup.h"
#include "rattanbeam/operatorclient/archive.h"
#include "rattanbeam/operatorclient/connections.h"

#include <fstream>
#include <iostream>

namespace rattanbeam::operatorclient
{

namespace
{

const std::string platformSilent = "the platform does not answer";

bool isContract(const CommandLine &line)
{
    return line.words[0] == "contract";
}

std::string keyOf(const CommandLine &line, const std::string &name)
{
    return isContract(line) ? decisions::contractKey(decisions::CustomerId(name)) : decisions::groupKey(decisions::DatabaseName(name));
}

/// The object that a file describes, checked; nothing after a complaint.
std::optional<platform::v1::Object> objectFromFile(const CommandLine &line)
{
    const std::string &file = line.words[2];
    const auto text = readFile(file);
    if (!text) {
        return std::nullopt;
    }
    platform::v1::Object object;
    object.set_text(*text);
    if (isContract(line)) {
        const auto contract = decisions::parseContract(*text);
        if (!contract) {
            complain(ExitCode::Usage, contract.error().text(file));
            return std::nullopt;
        }
        object.set_key(decisions::contractKey(contract->customer()));
    } else {
        const auto group = decisions::parseDatabaseGroup(*text);
        if (!group) {
            complain(ExitCode::Usage, group.error().text(file));
            return std::nullopt;
        }
        object.set_key(decisions::groupKey(group->database));
    }
    return object;
}

void printObject(const CommandLine &line, const platform::v1::Object &object)
{
    if (line.isJson) {
        printJson(object);
    } else {
        std::cout << "# " << object.key() << " version " << object.version() << '\n' << object.text();
    }
}

std::uint64_t existingVersion(const platform::v1::Object &object)
{
    return object.deleted() ? 0 : object.version();
}

} // namespace

ExitCode applyObject(const CommandLine &line)
{
    const auto wanted = objectFromFile(line);
    if (!wanted) {
        return ExitCode::Usage;
    }
    PlatformSession platform(line.platform);
    const auto before = platform.read(wanted->key());
    if (!before) {
        return complain(ExitCode::Failed, platformSilent);
    }
    if (!before->deleted() && before->text() == wanted->text()) {
        printObject(line, *before);
        return ExitCode::Ok;
    }
    const auto written = platform.write(wanted->key(), wanted->text(), existingVersion(*before), false);
    if (!written) {
        return complain(ExitCode::Failed, platformSilent + "; the change may have taken effect, see 'contract show'");
    }
    if (!written->applied()) {
        std::cerr << diffLines(before->text(), written->object().text());
        return complain(ExitCode::Conflict,
                        wanted->key() + ": another change came first (version " + std::to_string(written->object().version())
                            + ", shown above)");
    }
    printObject(line, written->object());
    return ExitCode::Ok;
}

ExitCode showObject(const CommandLine &line)
{
    PlatformSession platform(line.platform);
    const auto object = platform.read(keyOf(line, line.words[2]));
    if (!object) {
        return complain(ExitCode::Failed, platformSilent);
    }
    if (object->deleted()) {
        return complain(ExitCode::Failed, object->key() + ": does not exist");
    }
    printObject(line, *object);
    return ExitCode::Ok;
}

ExitCode listObjects(const CommandLine &line)
{
    PlatformSession platform(line.platform);
    const auto objects = platform.list(keyOf(line, ""));
    if (!objects) {
        return complain(ExitCode::Failed, platformSilent);
    }
    for (const auto &object : *objects) {
        if (line.isJson) {
            printJson(object);
        } else {
            std::cout << object.key() << " version " << object.version() << '\n';
        }
    }
    return ExitCode::Ok;
}

ExitCode diffObject(const CommandLine &line)
{
    const auto wanted = objectFromFile(line);
    if (!wanted) {
        return ExitCode::Usage;
    }
    PlatformSession platform(line.platform);
    const auto before = platform.read(wanted->key());
    if (!before) {
        return complain(ExitCode::Failed, platformSilent);
    }
    std::cout << diffLines(before->text(), wanted->text());
    return ExitCode::Ok;
}

ExitCode deleteObject(const CommandLine &line)
{
    PlatformSession platform(line.platform);
    const std::string key = keyOf(line, line.words[2]);
    const auto before = platform.read(key);
    if (!before) {
        return complain(ExitCode::Failed, platformSilent);
    }
    if (before->deleted()) {
        return complain(ExitCode::Failed, key + ": does not exist");
    }
    const auto written = platform.write(key, "", before->version(), true);
    if (!written) {
        return complain(ExitCode::Failed, platformSilent);
    }
    if (!written->applied()) {
        return complain(ExitCode::Conflict, key + ": another change came first");
    }
    std::cout << key << " deleted at version " << written->object().version() << '\n';
    return ExitCode::Ok;
}

ExitCode exportService(const CommandLine &line)
{
    PlatformSession platform(line.platform);
    const auto objects = platform.list("");
    if (!objects) {
        return complain(ExitCode::Failed, platformSilent);
    }
    std::vector<decisions::ConfigObject> archived;
    for (const auto &object : *objects) {
        archived.push_back({object.key(), object.text(), 0, false});
    }
    std::ofstream stream(line.words[2]);
    stream << formatArchive(archived) << std::flush;
    if (!stream) {
        return complain(ExitCode::Failed, line.words[2] + ": cannot be written");
    }
    std::cout << archived.size() << " objects exported\n";
    return ExitCode::Ok;
}

ExitCode importService(const CommandLine &line)
{
    const auto text = readFile(line.words[2]);
    if (!text) {
        return ExitCode::Usage;
    }
    const auto objects = parseArchive(*text);
    if (!objects) {
        return complain(ExitCode::Usage, objects.error().text(line.words[2]));
    }
    PlatformSession platform(line.platform);
    for (const auto &object : *objects) {
        const auto written = platform.write(object.key, object.text, 0, false);
        if (!written) {
            return complain(ExitCode::Failed, platformSilent + "; import again, what is equal is passed over");
        }
        if (!written->applied() && written->object().text() != object.text) {
            return complain(ExitCode::Conflict, object.key + ": exists and differs");
        }
    }
    std::cout << objects->size() << " objects imported\n";
    return ExitCode::Ok;
}

} // namespace rattanbeam::operatorclient
