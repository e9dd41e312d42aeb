#include "rattanbeam/kernel/settings.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <fstream>
#include <sstream>

namespace rattanbeam::kernel::test
{

namespace
{

using namespace std::chrono_literals;

const std::string key(64, 'b');
const std::string valid
    = "[instance]\nname=entry-a1\ndomain=a\nlisten=127.0.0.1:0\n[platform]\naddress=127.0.0.1:7000\n[tokens]\nkey=" + key + "\n";

std::string errorOf(const std::string &text)
{
    const auto settings = parseSettings(text);
    return settings ? "none" : settings.error().text("a1.ini");
}

} // namespace

TEST_CASE("Settings with only the needed keys take the defaults", "[settings]")
{
    const auto settings = parseSettings(valid);
    REQUIRE(settings);
    CHECK(settings->instance == decisions::InstanceId("entry-a1"));
    CHECK(settings->defaultTimeout == 5s);
    CHECK(settings->probeInterval == 100ms);
    CHECK(settings->experiment == ExperimentSettings{});
}

TEST_CASE("An error in the settings names file, section and key", "[settings]")
{
    CHECK(errorOf("[instance]\nname=x\n") == "a1.ini: [instance] domain: is missing");
    CHECK(errorOf(valid + "[limits]\ndrain=5\n") == "a1.ini: [limits] drain: '5' is not a time: write a whole number and ms, s or min");
    CHECK(errorOf(valid + "[limits]\ndrian=5s\n") == "a1.ini: [limits] drian: is not a known key");
    CHECK(errorOf(valid + "[intervals]\nexchange=900ms\n")
          == "a1.ini: [intervals] peer-silence: must be at least twice [intervals] exchange");
    CHECK(errorOf(valid + "[peers]\naddresses=nowhere\n") == "a1.ini: [peers] addresses: 'nowhere' is not an IP address and port");
    CHECK(errorOf(valid + "[log]\nlevel=loud\n") == "a1.ini: [log] level: 'loud' is not one of debug info warning error");
    CHECK(errorOf("[instance]\nname=x\nname=y\n").find("line 3") != std::string::npos);
}

TEST_CASE("Settings mutated anywhere are read or refused with their place, and never crash", "[settings]")
{
    rc::prop("for any changed bytes", [](const std::vector<std::pair<std::uint16_t, std::uint8_t>> &changes) {
        std::string text = valid;
        for (const auto &[at, byte] : changes) {
            text[at % text.size()] = static_cast<char>(byte);
        }
        const auto settings = parseSettings(text);
        if (!settings) {
            RC_ASSERT(!settings.error().message.empty());
        }
    });
}

TEST_CASE("The page on settings names exactly the keys that are known", "[settings]")
{
    std::ifstream page(RATTANBEAM_DOCS "/CONFIGURATION.md");
    REQUIRE(page);
    std::set<std::pair<std::string, std::string>> documented;
    std::string experiment;
    for (std::string line; std::getline(page, line);) {
        std::istringstream cells(line);
        std::string bar;
        std::string section;
        std::string key;
        if (cells >> bar >> section >> bar >> key && line.starts_with("| ") && section != "section") {
            documented.emplace(section, key);
        }
        experiment += line;
    }
    for (const auto &[section, key] : knownSettings()) {
        INFO(section << ' ' << key);
        // Those of measurements stand in one paragraph.
        CHECK((section == "experiment" ? experiment.find('`' + key + '`') != std::string::npos : documented.contains({section, key})));
    }
    for (const auto &[section, key] : documented) {
        INFO(section << ' ' << key);
        CHECK(knownSettings().contains({section, key}));
    }
}

} // namespace rattanbeam::kernel::test
