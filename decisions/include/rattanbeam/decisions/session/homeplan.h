#pragma once

#include "rattanbeam/decisions/session/fleetrecords.h"

#include <map>
#include <vector>

namespace rattanbeam::decisions::session
{

/// The instances that may be a service's home, most preferred first; at most 16, so that a plan's size does not grow with the fleet.
using HomeRanking = std::vector<InstanceRecord>;

/// Ranks the instances for each service by weighted rendezvous hashing. An instance's weight is the cube of its processor share, so
/// that a weak instance rarely becomes a home, which handles all statements of its service. No two services share their first home
/// unless there are more services than instances. Leaving instances are excluded.
///
/// The result depends only on the arguments, so that instances with equal views compute equal plans.
std::map<ServiceName, HomeRanking> planHomes(const std::vector<ServiceName> &services, const std::vector<InstanceRecord> &instances);

/// The relays, which watch the store on behalf of the other instances: all first homes, and further instances while there are
/// fewer than three.
std::vector<InstanceRecord> planRelays(const std::map<ServiceName, HomeRanking> &homes, const std::vector<InstanceRecord> &instances);

/// The relays from which `self` receives changes, at most four: up to two of its own failure domain, then those of other domains,
/// then the rest of its own.
std::vector<InstanceRecord> relaysOf(const InstanceRecord &self, const std::vector<InstanceRecord> &relays);

/// The instances that may hold the pool of workspace quotas, most preferred first: six that are equal for the whole fleet, then two of the
/// failure domain of `self` for the case that it is cut off. First homes come last, since they carry the statements of their services.
std::vector<InstanceRecord>
planQuotaPools(const InstanceRecord &self, const std::map<ServiceName, HomeRanking> &homes, const std::vector<InstanceRecord> &instances);

/// The relays that monitor whether `instance` is alive, in order: each one is responsible only while all before it are down.
std::vector<InstanceRecord> monitorsOf(const InstanceRecord &instance, const std::vector<InstanceRecord> &relays);

} // namespace rattanbeam::decisions::session
