#include "rattanbeam/decisions/configstore.h"

#include "schedules.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <array>
#include <deque>

namespace rattanbeam::decisions::test
{

TEST_CASE("Copies of the configuration never revert and converge, whatever order changes arrive in", "[config]")
{
    rc::prop("for any schedule of writes, late answers and exchanges", [] {
        ConfigStore platform;
        std::array<ConfigStore, 4> copies;
        std::deque<std::pair<std::size_t, ConfigChanges>> messagesInTransit;
        std::uint64_t version = 0;
        for (const std::uint32_t choice : *rattanbeam::test::scheduleChoices(300)) {
            const std::uint32_t randomBits = choice / 8;
            const std::size_t requester = randomBits % copies.size();
            const std::size_t responder = randomBits / 4 % copies.size();
            const std::size_t maxObjects = 1 + randomBits / 16 % 4;
            const std::array<ConfigStore, 4> before = copies;
            switch (choice % 8) {
            case 0:
            case 1: {
                const std::string key = "contract/" + std::to_string(randomBits % 5);
                ++version;
                platform.merge({version - 1, version, {{key, std::to_string(version), version, randomBits / 8 % 4 == 0}}});
                break;
            }
            case 2:
                messagesInTransit.emplace_back(requester, platform.changesAfter(copies[requester].completeTo(), maxObjects));
                break;
            case 3:
            case 4:
                messagesInTransit.emplace_back(requester, copies[responder].changesAfter(copies[requester].completeTo(), maxObjects));
                break;
            default:
                if (!messagesInTransit.empty()) {
                    // Messages arrive in any order, and some of them twice.
                    const auto [receiver, changes] = messagesInTransit[randomBits % messagesInTransit.size()];
                    copies[receiver].merge(changes);
                    if (randomBits % 3 != 0) {
                        messagesInTransit.erase(messagesInTransit.begin()
                                                + static_cast<std::ptrdiff_t>(randomBits % messagesInTransit.size()));
                    }
                }
                break;
            }
            for (std::size_t i = 0; i < copies.size(); ++i) {
                RC_ASSERT(copies[i].completeTo() >= before[i].completeTo());
                for (const auto &[key, object] : before[i].objects()) {
                    RC_ASSERT(copies[i].objects().at(key).version >= object.version);
                }
                // A copy includes every change up to its completeTo: the platform's latest version of each key, unless that
                // version is newer.
                for (const auto &[key, object] : platform.objects()) {
                    if (object.version <= copies[i].completeTo()) {
                        RC_ASSERT(copies[i].objects().contains(key));
                        RC_ASSERT(copies[i].objects().at(key).version >= object.version);
                    }
                }
            }
        }
        // Exchanges along a chain, whose first copy reads from the platform, reach all copies.
        for (int round = 0; round < 400; ++round) {
            copies[0].merge(platform.changesAfter(copies[0].completeTo(), 2));
            for (std::size_t i = 1; i < copies.size(); ++i) {
                copies[i].merge(copies[i - 1].changesAfter(copies[i].completeTo(), 2));
            }
        }
        for (const ConfigStore &copy : copies) {
            RC_ASSERT(copy.objects() == platform.objects());
        }
    });
}

TEST_CASE("Without versions a late answer reverts a change", "[config]")
{
    // Counterexample without the comparison of versions: the object that arrives last wins.
    std::map<std::string, ConfigObject> copy;
    const ConfigObject older{"contract/tiza", "old", 1, false};
    const ConfigObject newer{"contract/tiza", "new", 2, false};
    copy[newer.key] = newer;
    copy[older.key] = older;
    CHECK(copy.at("contract/tiza").text == "old");

    ConfigStore store;
    store.merge({1, 2, {newer}});
    CHECK(store.merge({0, 1, {older}}).empty());
    CHECK(store.find("contract/tiza")->text == "new");
}

TEST_CASE("A deleted object stays deleted when an old copy of it arrives late", "[config]")
{
    ConfigStore store;
    store.merge({0, 1, {{"contract/tiza", "text", 1, false}}});
    store.merge({1, 2, {{"contract/tiza", "", 2, true}}});
    store.merge({0, 1, {{"contract/tiza", "text", 1, false}}});
    CHECK(store.find("contract/tiza") == nullptr);
}

} // namespace rattanbeam::decisions::test
