#pragma once

#include "rattanbeam/decisions/databasegroup.h"
#include "rattanbeam/decisions/identifiers.h"

#include <map>
#include <vector>

namespace rattanbeam::decisions
{

/// A live instance that may become the home of members.
struct LiveInstance {
    InstanceId id;
    FailureDomain domain;

    auto operator<=>(const LiveInstance &) const = default;
};

/// A member for which assignHomes() computes a home.
struct MemberToAssign {
    MemberId member;
    FailureDomain domain;

    auto operator<=>(const MemberToAssign &) const = default;
};

/// The instances for one member in order of preference: the first is its home, the others replace the home in this order
/// when it is unreachable. Truncated to maxHomes, because the order of a whole domain for every member would take most of
/// an instance's memory.
using HomeOrder = std::vector<InstanceId>;

/// Assigns each member a home among the live instances of its failure domain by rendezvous hashing (Thaler and
/// Ravishankar), with the bounded loads of Mirrokni, Thorup and Zadimoghaddam: no instance is home to more than
/// `loadFactor` times the mean number of members, rounded up. Members of a domain without live instances are assigned to
/// those of another domain. The result is empty when no instance is live.
///
/// Instances with equal views compute equal assignments. With unequal views two instances can be home to the same member;
/// the connection limit of the member then bounds what they send to it.
std::map<MemberId, HomeOrder>
assignHomes(const std::vector<MemberToAssign> &members, const std::vector<LiveInstance> &instances, double loadFactor);

/// The live instances of one domain and the members that they serve.
struct DomainPartition {
    std::vector<InstanceId> instances;
    std::vector<MemberId> members;

    auto operator<=>(const DomainPartition &) const = default;
};

/// Groups members and instances by the domain that serves them, each list sorted by name. The homes in one domain depend
/// on its partition alone, so that a change in one domain does not move the homes of another.
std::map<FailureDomain, DomainPartition> partitionByDomain(const std::vector<MemberToAssign> &members,
                                                           const std::vector<LiveInstance> &instances);

/// Assigns homes to the members of one domain.
std::map<MemberId, HomeOrder> assignHomesInDomain(const DomainPartition &partition, double loadFactor);

/// Maximum number of instances in a HomeOrder.
inline constexpr std::size_t maxHomes = 4;

/// Sorts `candidates` by the hash of `key` and their name, highest first (rendezvous hashing). Removing a candidate leaves
/// the order of the others unchanged.
std::vector<InstanceId> rendezvousOrder(const std::string &key, std::vector<InstanceId> candidates);

} // namespace rattanbeam::decisions
