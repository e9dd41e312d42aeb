#include "rattanbeam/decisions/homeassignment.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <string>

namespace rattanbeam::decisions
{

namespace
{

using DomainPartitions = std::map<FailureDomain, DomainPartition>;

/// The member's own domain if it has live instances, otherwise the first domain in rendezvous order that has.
FailureDomain servingDomain(const MemberToAssign &member, const DomainPartitions &partitions)
{
    if (partitions.contains(member.domain)) {
        return member.domain;
    }
    std::vector<InstanceId> names;
    names.reserve(partitions.size());
    for (const auto &[domain, partition] : partitions) {
        names.emplace_back(domain.text());
    }
    return FailureDomain(rendezvousOrder(member.domain.text(), names).front().text());
}

} // namespace

std::vector<InstanceId> rendezvousOrder(const std::string &key, std::vector<InstanceId> candidates)
{
    std::vector<std::pair<std::uint64_t, InstanceId>> candidatesByScore;
    candidatesByScore.reserve(candidates.size());
    for (InstanceId &candidate : candidates) {
        const std::uint64_t score = stableHash(key + '\n' + candidate.text());
        candidatesByScore.emplace_back(score, std::move(candidate));
    }
    std::sort(candidatesByScore.rbegin(), candidatesByScore.rend());
    std::vector<InstanceId> order;
    order.reserve(candidatesByScore.size());
    for (auto &[score, candidate] : candidatesByScore) {
        order.push_back(std::move(candidate));
    }
    return order;
}

std::map<FailureDomain, DomainPartition> partitionByDomain(const std::vector<MemberToAssign> &members,
                                                           const std::vector<LiveInstance> &instances)
{
    DomainPartitions partitions;
    for (const LiveInstance &instance : instances) {
        partitions[instance.domain].instances.push_back(instance.id);
    }
    if (partitions.empty()) {
        return partitions;
    }
    for (const MemberToAssign &member : members) {
        partitions.at(servingDomain(member, partitions)).members.push_back(member.member);
    }
    for (auto &[name, partition] : partitions) {
        std::sort(partition.instances.begin(), partition.instances.end());
        std::sort(partition.members.begin(), partition.members.end());
    }
    return partitions;
}

std::map<MemberId, HomeOrder> assignHomesInDomain(const DomainPartition &partition, double loadFactor)
{
    std::map<MemberId, HomeOrder> assignment;
    const double mean = static_cast<double>(partition.members.size()) / static_cast<double>(partition.instances.size());
    const auto maxLoad = static_cast<std::size_t>(std::ceil(mean * loadFactor));
    std::map<InstanceId, std::size_t> load;
    for (const MemberId &member : partition.members) {
        HomeOrder order = rendezvousOrder(member.text(), partition.instances);
        const auto home = std::find_if(order.begin(), order.end(), [&](const InstanceId &each) {
            return load[each] < maxLoad;
        });
        std::rotate(order.begin(), home, home + 1);
        ++load[order.front()];
        // Copied, because a vector that is shortened in place keeps its capacity.
        const auto keptCount = static_cast<std::ptrdiff_t>(std::min(order.size(), maxHomes));
        assignment[member] = HomeOrder(order.begin(), order.begin() + keptCount);
    }
    return assignment;
}

std::map<MemberId, HomeOrder>
assignHomes(const std::vector<MemberToAssign> &members, const std::vector<LiveInstance> &instances, double loadFactor)
{
    std::map<MemberId, HomeOrder> homes;
    for (const auto &[name, partition] : partitionByDomain(members, instances)) {
        homes.merge(assignHomesInDomain(partition, loadFactor));
    }
    return homes;
}

} // namespace rattanbeam::decisions
