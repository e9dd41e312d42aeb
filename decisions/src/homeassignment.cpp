#include "rattanbeam/decisions/homeassignment.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <string>

namespace rattanbeam::decisions
{

namespace
{

struct DomainLoad {
    std::vector<InstanceId> instances;
    std::size_t membersHere = 0;
};

using DomainLoads = std::map<FailureDomain, DomainLoad>;

/// The seeker's own domain if it has live instances, else the next in rendezvous order that has.
FailureDomain servingDomain(const HomeSeeker &seeker, const DomainLoads &domains)
{
    if (domains.contains(seeker.domain)) {
        return seeker.domain;
    }
    std::vector<InstanceId> names;
    for (const auto &[domain, load] : domains) {
        names.emplace_back(domain.text());
    }
    return FailureDomain(rendezvousOrder(seeker.domain.text(), names).front().text());
}

std::size_t loadBound(const DomainLoad &domain, double loadFactor)
{
    const double mean = static_cast<double>(domain.membersHere) / static_cast<double>(domain.instances.size());
    return static_cast<std::size_t>(std::ceil(mean * loadFactor));
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

std::map<MemberId, HomeOrder>
assignHomes(const std::vector<HomeSeeker> &members, const std::vector<LiveInstance> &instances, double loadFactor)
{
    std::map<MemberId, HomeOrder> assignment;
    DomainLoads domains;
    for (const LiveInstance &instance : instances) {
        domains[instance.domain].instances.push_back(instance.id);
    }
    if (domains.empty()) {
        return assignment;
    }
    std::map<MemberId, FailureDomain> serving;
    for (const HomeSeeker &seeker : members) {
        const FailureDomain domain = servingDomain(seeker, domains);
        serving[seeker.member] = domain;
        ++domains[domain].membersHere;
    }
    std::map<InstanceId, std::size_t> load;
    for (const auto &[member, domainName] : serving) {
        const DomainLoad &domain = domains[domainName];
        const std::size_t bound = loadBound(domain, loadFactor);
        HomeOrder order = rendezvousOrder(member.text(), domain.instances);
        const auto home = std::find_if(order.begin(), order.end(), [&](const InstanceId &each) {
            return load[each] < bound;
        });
        std::rotate(order.begin(), home, home + 1);
        ++load[order.front()];
        assignment[member] = std::move(order);
    }
    return assignment;
}

} // namespace rattanbeam::decisions
