// The table of docs/LOGGING.md names exactly the events that the code writes.

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

namespace rattanbeam::sessions::test
{

namespace
{

const std::filesystem::path root = RATTANBEAM_ROOT;

std::string textOf(const std::filesystem::path &path)
{
    std::ifstream stream(path);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

void collect(const std::string &text, const std::regex &pattern, std::set<std::string> &names)
{
    for (std::sregex_iterator found(text.begin(), text.end(), pattern), end; found != end; ++found) {
        names.insert((*found)[1]);
    }
}

std::set<std::string> writtenEvents()
{
    const std::regex direct(R"re(LogEvent(?: line)?\((?:\w+ \? )?"([a-z-]+)")re");
    const std::regex alternative(R"re(LogEvent\([^;]*? \? "[a-z-]+" : "([a-z-]+)")re");
    const std::regex chosen(R"re(LogEvent\([^;"]*? \? "([a-z-]+)" :)re");
    const std::regex reported(R"re(report\(\s*\{"([a-z-]+)")re");
    std::set<std::string> names;
    for (const char *folder : {"sessions/src", "platform/src", "decisions/src/session"}) {
        for (const auto &entry : std::filesystem::recursive_directory_iterator(root / folder)) {
            if (entry.path().extension() == ".cpp") {
                const std::string text = textOf(entry.path());
                for (const std::regex &pattern : {direct, alternative, chosen, reported}) {
                    collect(text, pattern, names);
                }
            }
        }
    }
    return names;
}

std::set<std::string> documentedEvents()
{
    std::set<std::string> names;
    std::istringstream lines(textOf(root / "docs/LOGGING.md"));
    for (std::string line; std::getline(lines, line);) {
        if (line.rfind("| `", 0) == 0) {
            collect(line.substr(0, line.find('|', 1)), std::regex("`([a-z-]+)`"), names);
        }
    }
    names.erase("log-lines-omitted"); // written by the log itself
    return names;
}

} // namespace

TEST_CASE("docs/LOGGING.md names the events that are written, and no others", "[logging]")
{
    CHECK(documentedEvents() == writtenEvents());
}

} // namespace rattanbeam::sessions::test
