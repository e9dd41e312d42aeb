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

constexpr std::size_t maxRankedHomes = 16;
constexpr std::size_t minRelays = 3;
constexpr std::size_t maxRelaysPerInstance = 4;
constexpr std::ptrdiff_t preferredSameDomainRelays = 2; // relays of other domains come next
constexpr std::size_t fleetQuotaPools = 6;
constexpr std::size_t domainQuotaPools = 2; // in addition, so that a domain that is cut off has a pool

/// Finalizer of MurmurHash3, which lets each input bit affect all output bits.
std::uint64_t finalizeHash(std::uint64_t hash)
{
    hash = (hash ^ (hash >> 33U)) * 0xff51afd7ed558ccdU;
    hash = (hash ^ (hash >> 33U)) * 0xc4ceb9fe1a85ec53U;
    return hash ^ (hash >> 33U);
}

/// The instance with the lowest score wins. Scores are exponentially distributed with the instance's weight as their rate, so each
/// instance wins with a probability in proportion to its weight.
double rendezvousScore(const std::string &key, const InstanceRecord &instance)
{
    const double uniform
        = (static_cast<double>(finalizeHash(stableHash(key + '\n' + instance.id.text())) >> 11U) + 1) / 9007199254740993.0; // 2^53 + 1
    const double processorShare = std::max(1U, instance.processorMilli);
    return -std::log(uniform) / (processorShare * processorShare * processorShare);
}

struct ScoredInstance {
    double score = 0;
    const InstanceRecord *instance = nullptr;

    bool operator<(const ScoredInstance &other) const
    {
        return std::tie(score, instance->id) < std::tie(other.score, other.instance->id);
    }
};

std::vector<ScoredInstance> scoreInstances(const std::string &key, const std::vector<InstanceRecord> &instances)
{
    std::vector<ScoredInstance> scored;
    scored.reserve(instances.size());
    for (const InstanceRecord &instance : instances) {
        if (!instance.isLeaving) {
            scored.push_back({rendezvousScore(key, instance), &instance});
        }
    }
    return scored;
}

/// Copies the `count` best instances in order; those of a large fleet that come later are never asked.
HomeRanking bestInstances(std::vector<ScoredInstance> scored, std::size_t count)
{
    const auto end = scored.begin() + static_cast<std::ptrdiff_t>(std::min(count, scored.size()));
    std::partial_sort(scored.begin(), end, scored.end());
    HomeRanking ranking;
    ranking.reserve(std::min(count, scored.size()));
    for (auto each = scored.begin(); each != end; ++each) {
        ranking.push_back(*each->instance);
    }
    return ranking;
}

HomeRanking rankInstances(const std::string &key, const std::vector<InstanceRecord> &instances)
{
    return bestInstances(scoreInstances(key, instances), instances.size());
}

} // namespace

std::map<ServiceName, HomeRanking> planHomes(const std::vector<ServiceName> &services, const std::vector<InstanceRecord> &instances)
{
    std::map<ServiceName, HomeRanking> plan;
    std::set<InstanceId> firstHomes;
    for (const ServiceName &service : std::set<ServiceName>(services.begin(), services.end())) {
        std::vector<ScoredInstance> scored = scoreInstances(service.text(), instances);
        auto first = scored.end();
        for (auto each = scored.begin(); each != scored.end(); ++each) {
            if (!firstHomes.contains(each->instance->id) && (first == scored.end() || *each < *first)) {
                first = each;
            }
        }
        if (first != scored.end()) {
            first->score = -1; // goes before all others
        }
        plan[service] = bestInstances(std::move(scored), maxRankedHomes);
        if (!plan[service].empty()) {
            firstHomes.insert(plan[service].front().id);
        }
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
    for (const InstanceRecord &instance : rankInstances("relays", instances)) {
        if (relays.size() < minRelays) {
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
    std::vector<InstanceRecord> ranked = rankInstances(self.id.text(), relays);
    std::erase_if(ranked, [&](const InstanceRecord &relay) {
        return relay.id == self.id;
    });
    const auto otherDomains = std::stable_partition(ranked.begin(), ranked.end(), [&](const InstanceRecord &relay) {
        return relay.domain == self.domain;
    });
    // Relays of other domains are included so that a partition of this domain from the others is noticed.
    std::rotate(std::min(ranked.begin() + preferredSameDomainRelays, otherDomains), otherDomains, ranked.end());
    ranked.resize(std::min(ranked.size(), maxRelaysPerInstance));
    return ranked;
}

std::vector<InstanceRecord>
planQuotaPools(const InstanceRecord &self, const std::map<ServiceName, HomeRanking> &homes, const std::vector<InstanceRecord> &instances)
{
    std::set<InstanceId> firstHomes;
    for (const auto &[service, ranking] : homes) {
        if (!ranking.empty()) {
            firstHomes.insert(ranking.front().id);
        }
    }
    std::vector<InstanceRecord> ranked = rankInstances("quota pools", instances);
    std::stable_partition(ranked.begin(), ranked.end(), [&](const InstanceRecord &instance) {
        return !firstHomes.contains(instance.id);
    });
    std::vector<InstanceRecord> pools;
    std::size_t ofOwnDomain = 0;
    for (const InstanceRecord &instance : ranked) {
        const bool isTakenForDomain = instance.domain == self.domain && ofOwnDomain < domainQuotaPools;
        if (pools.size() < fleetQuotaPools) {
            pools.push_back(instance);
        } else if (isTakenForDomain) {
            pools.push_back(instance);
            ++ofOwnDomain;
        }
    }
    return pools;
}

std::vector<InstanceRecord> monitorsOf(const InstanceRecord &instance, const std::vector<InstanceRecord> &relays)
{
    // The text is part of the hash key: all instances must use the same one.
    std::vector<InstanceRecord> ranked = rankInstances("caretakers of " + instance.id.text(), relays);
    std::erase_if(ranked, [&](const InstanceRecord &relay) {
        return relay.id == instance.id;
    });
    return ranked;
}

} // namespace rattanbeam::decisions::session
