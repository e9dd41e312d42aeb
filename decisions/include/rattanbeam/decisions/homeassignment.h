#pragma once

#include "rattanbeam/decisions/databasegroup.h"
#include "rattanbeam/decisions/identifiers.h"

#include <map>
#include <vector>

namespace rattanbeam::decisions
{

/// A live instance that may be home to members.
struct LiveInstance {
    InstanceId id;
    FailureDomain domain;

    auto operator<=>(const LiveInstance &) const = default;
};

/// A member that needs a home.
struct HomeSeeker {
    MemberId member;
    FailureDomain domain;

    auto operator<=>(const HomeSeeker &) const = default;
};

/// Instances for one member, best first: the first is its home, the others stand in for it in this order. Only the first
/// few are kept, since the order of a whole domain for every member would take most of an instance's memory.
using HomeOrder = std::vector<InstanceId>;

/// Gives each member a home among the live instances of its failure domain by rendezvous hashing (Thaler and
/// Ravishankar), with the bound on load of Mirrokni, Thorup and Zadimoghaddam: no instance is home to more than
/// `loadFactor` times the mean, rounded up. A domain without live instances borrows those of the next domain.
///
/// Instances with equal views compute equal assignments; unequal views are caught by the members' connection caps.
std::map<MemberId, HomeOrder>
assignHomes(const std::vector<HomeSeeker> &members, const std::vector<LiveInstance> &instances, double loadFactor);

/// The members that one domain's instances serve.
struct DomainHomes {
    std::vector<InstanceId> instances;
    std::vector<MemberId> members;

    auto operator<=>(const DomainHomes &) const = default;
};

/// Divides members and instances by serving domain, each sorted by name. Homes of one domain depend on its part alone, so
/// that a change in one domain leaves the others' homes as they are.
std::map<FailureDomain, DomainHomes> divideByDomain(const std::vector<HomeSeeker> &members, const std::vector<LiveInstance> &instances);

/// Homes for the members of one domain.
std::map<MemberId, HomeOrder> assignDomain(const DomainHomes &domain, double loadFactor);

/// Instances kept in a HomeOrder.
inline constexpr std::size_t mostHomes = 4;

/// `candidates` in rendezvous order for `key`.
std::vector<InstanceId> rendezvousOrder(const std::string &key, std::vector<InstanceId> candidates);

} // namespace rattanbeam::decisions
