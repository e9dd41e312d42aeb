#include "rattanbeam/decisions/session/homeplan.h"

#include "rattanbeam/decisions/homeassignment.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <string>
#include <tuple>
#include <utility>

namespace rattanbeam::decisions::session
{

namespace
{

constexpr std::size_t leastRelays = 3;
constexpr std::size_t relaysForOne = 4;
constexpr std::ptrdiff_t nearRelays = 2;

/// Spreads a difference in few bits over all of them, as MurmurHash3 does at its end.
std::uint64_t mixed(std::uint64_t hash)
{
    hash = (hash ^ (hash >> 33U)) * 0xff51afd7ed558ccdU;
    hash = (hash ^ (hash >> 33U)) * 0xc4ceb9fe1a85ec53U;
    return hash ^ (hash >> 33U);
}

/// Smaller is better. The smallest of independent exponential variables falls on each candidate in proportion to its weight.
double weightedRank(const std::string &key, const InstanceRecord &instance)
{
    const double uniform
        = (static_cast<double>(mixed(stableHash(key + '\n' + instance.id.text())) >> 11U) + 1) / 9007199254740993.0; // 2^53 + 1
    const double share = std::max(1U, instance.processorMilli);
    return -std::log(uniform) / (share * share * share);
}

HomeRanking rank(const std::string &key, const std::vector<InstanceRecord> &instances)
{
    std::vector<std::pair<double, const InstanceRecord *>> ranked;
    for (const InstanceRecord &instance : instances) {
        if (!instance.isLeaving) {
            ranked.emplace_back(weightedRank(key, instance), &instance);
        }
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto &left, const auto &right) {
        return std::tie(left.first, left.second->id) < std::tie(right.first, right.second->id);
    });
    HomeRanking ranking;
    for (const auto &[value, instance] : ranked) {
        ranking.push_back(*instance);
    }
    return ranking;
}

} // namespace

std::map<ServiceName, HomeRanking> planHomes(const std::vector<ServiceName> &services, const std::vector<InstanceRecord> &instances)
{
    std::map<ServiceName, HomeRanking> plan;
    std::set<InstanceId> taken;
    for (const ServiceName &service : std::set<ServiceName>(services.begin(), services.end())) {
        HomeRanking ranking = rank(service.text(), instances);
        const auto free = std::find_if(ranking.begin(), ranking.end(), [&](const InstanceRecord &instance) {
            return !taken.contains(instance.id);
        });
        if (free != ranking.end()) {
            std::rotate(ranking.begin(), free, free + 1);
        }
        if (!ranking.empty()) {
            taken.insert(ranking.front().id);
        }
        plan[service] = std::move(ranking);
    }
    return plan;
}

std::vector<InstanceRecord> planRelays(const std::map<ServiceName, HomeRanking> &homes, const std::vector<InstanceRecord> &instances)
{
    std::map<InstanceId, InstanceRecord> relays;
    for (const auto &[service, ranking] : homes) {
        if (!ranking.empty()) {
            relays.emplace(ranking.front().id, ranking.front());
        }
    }
    for (const InstanceRecord &instance : rank("relays", instances)) {
        if (relays.size() < leastRelays) {
            relays.emplace(instance.id, instance);
        }
    }
    std::vector<InstanceRecord> planned;
    planned.reserve(relays.size());
    for (const auto &[id, relay] : relays) {
        planned.push_back(relay);
    }
    return planned;
}

std::vector<InstanceRecord> relaysOf(const InstanceRecord &self, const std::vector<InstanceRecord> &relays)
{
    std::vector<InstanceRecord> order = rank(self.id.text(), relays);
    std::erase_if(order, [&](const InstanceRecord &relay) {
        return relay.id == self.id;
    });
    const auto foreign = std::stable_partition(order.begin(), order.end(), [&](const InstanceRecord &relay) {
        return relay.domain == self.domain;
    });
    // Some of other domains, so that a cut of this one shows.
    std::rotate(std::min(order.begin() + nearRelays, foreign), foreign, order.end());
    order.resize(std::min(order.size(), relaysForOne));
    return order;
}

std::vector<InstanceRecord> caretakersOf(const InstanceRecord &instance, const std::vector<InstanceRecord> &relays)
{
    std::vector<InstanceRecord> order = rank("caretakers of " + instance.id.text(), relays);
    std::erase_if(order, [&](const InstanceRecord &relay) {
        return relay.id == instance.id;
    });
    return order;
}

} // namespace rattanbeam::decisions::session
