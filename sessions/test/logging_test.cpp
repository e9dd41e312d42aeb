// Guards against log events that are added, renamed or removed in the code without a change to the table in docs/LOGGING.md.
// The events are found by matching the calls in the source text.

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

const std::filesystem::path sourceRoot = RATTANBEAM_ROOT;

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream stream(path);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

void collectMatches(const std::string &text, const std::regex &pattern, std::set<std::string> &names)
{
    for (std::sregex_iterator match(text.begin(), text.end(), pattern), end; match != end; ++match) {
        names.insert((*match)[1]);
    }
}

std::set<std::string> loggedEvents()
{
    const std::regex directPattern(R"re(LogEvent(?: line)?\((?:\w+ \? )?"([a-z-]+)")re");
    const std::regex secondBranchPattern(R"re(LogEvent\([^;]*? \? "[a-z-]+" : "([a-z-]+)")re");
    const std::regex firstBranchPattern(R"re(LogEvent\([^;"]*? \? "([a-z-]+)" :)re");
    const std::regex reportCallPattern(R"re(report\(\s*\{"([a-z-]+)")re");
    std::set<std::string> names;
    for (const char *folder : {"sessions/src", "platform/src", "decisions/src/session"}) {
        for (const auto &entry : std::filesystem::recursive_directory_iterator(sourceRoot / folder)) {
            if (entry.path().extension() == ".cpp") {
                const std::string text = readFile(entry.path());
                for (const std::regex &pattern : {directPattern, secondBranchPattern, firstBranchPattern, reportCallPattern}) {
                    collectMatches(text, pattern, names);
                }
            }
        }
    }
    return names;
}

std::set<std::string> documentedEvents()
{
    std::set<std::string> names;
    std::istringstream lines(readFile(sourceRoot / "docs/LOGGING.md"));
    for (std::string line; std::getline(lines, line);) {
        if (line.rfind("| `", 0) == 0) {
            collectMatches(line.substr(0, line.find('|', 1)), std::regex("`([a-z-]+)`"), names);
        }
    }
    names.erase("log-lines-omitted"); // written by the log itself, not through LogEvent
    return names;
}

} // namespace

TEST_CASE("docs/LOGGING.md lists exactly the log events that the code writes", "[logging]")
{
    CHECK(documentedEvents() == loggedEvents());
}

} // namespace rattanbeam::sessions::test
