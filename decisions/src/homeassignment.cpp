#include "rattanbeam/decisions/homeassignment.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <string>

namespace rattanbeam::decisions
{

namespace
{

using Domains = std::map<FailureDomain, DomainHomes>;

/// The seeker's own domain if it has live instances, else the next in rendezvous order that has.
FailureDomain servingDomain(const HomeSeeker &seeker, const Domains &domains)
{
    if (domains.contains(seeker.domain)) {
        return seeker.domain;
    }
    std::vector<InstanceId> names;
    names.reserve(domains.size());
    for (const auto &[domain, homes] : domains) {
        names.emplace_back(domain.text());
    }
    return FailureDomain(rendezvousOrder(seeker.domain.text(), names).front().text());
}

} // namespace

std::vector<InstanceId> rendezvousOrder(const std::string &key, std::vector<InstanceId> candidates)
{
    std::vector<std::pair<std::uint64_t, InstanceId>> scored;
    scored.reserve(candidates.size());
    for (InstanceId &candidate : candidates) {
        const std::uint64_t score = stableHash(key + '\n' + candidate.text());
        scored.emplace_back(score, std::move(candidate));
    }
    std::sort(scored.rbegin(), scored.rend());
    std::vector<InstanceId> order;
    order.reserve(scored.size());
    for (auto &[score, candidate] : scored) {
        order.push_back(std::move(candidate));
    }
    return order;
}

std::map<FailureDomain, DomainHomes> divideByDomain(const std::vector<HomeSeeker> &members, const std::vector<LiveInstance> &instances)
{
    Domains domains;
    for (const LiveInstance &instance : instances) {
        domains[instance.domain].instances.push_back(instance.id);
    }
    if (domains.empty()) {
        return domains;
    }
    for (const HomeSeeker &seeker : members) {
        domains.at(servingDomain(seeker, domains)).members.push_back(seeker.member);
    }
    for (auto &[name, domain] : domains) {
        std::sort(domain.instances.begin(), domain.instances.end());
        std::sort(domain.members.begin(), domain.members.end());
    }
    return domains;
}

std::map<MemberId, HomeOrder> assignDomain(const DomainHomes &domain, double loadFactor)
{
    std::map<MemberId, HomeOrder> assignment;
    const double mean = static_cast<double>(domain.members.size()) / static_cast<double>(domain.instances.size());
    const auto bound = static_cast<std::size_t>(std::ceil(mean * loadFactor));
    std::map<InstanceId, std::size_t> load;
    for (const MemberId &member : domain.members) {
        HomeOrder order = rendezvousOrder(member.text(), domain.instances);
        const auto home = std::find_if(order.begin(), order.end(), [&](const InstanceId &each) {
            return load[each] < bound;
        });
        std::rotate(order.begin(), home, home + 1);
        ++load[order.front()];
        // A copy, since a shortened vector keeps its room.
        const auto kept = static_cast<std::ptrdiff_t>(std::min(order.size(), mostHomes));
        assignment[member] = HomeOrder(order.begin(), order.begin() + kept);
    }
    return assignment;
}

std::map<MemberId, HomeOrder>
assignHomes(const std::vector<HomeSeeker> &members, const std::vector<LiveInstance> &instances, double loadFactor)
{
    std::map<MemberId, HomeOrder> all;
    for (const auto &[name, domain] : divideByDomain(members, instances)) {
        all.merge(assignDomain(domain, loadFactor));
    }
    return all;
}

} // namespace rattanbeam::decisions
