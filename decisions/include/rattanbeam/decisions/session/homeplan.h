#pragma once

#include "rattanbeam/decisions/session/fleetrecords.h"

#include <map>
#include <vector>

namespace rattanbeam::decisions::session
{

/// The instances that may be home to a service, best first.
using HomeRanking = std::vector<InstanceRecord>;

/// Ranks instances for each service by weighted rendezvous hashing. Processor shares weigh by their cube, since a home carries
/// all statements of its service; while instances suffice, no two services have the same first home. Leaving instances are left
/// out.
///
/// Instances with equal views compute equal plans.
std::map<ServiceName, HomeRanking> planHomes(const std::vector<ServiceName> &services, const std::vector<InstanceRecord> &instances);

/// Instances that follow the store for the others: the first homes, and more while these are few.
std::vector<InstanceRecord> planRelays(const std::map<ServiceName, HomeRanking> &homes, const std::vector<InstanceRecord> &instances);

/// The relays that `self` takes changes from, those of its own domain first.
std::vector<InstanceRecord> relaysOf(const InstanceRecord &self, const std::vector<InstanceRecord> &relays);

/// The relays that look after `instance`, first the one that does while it is alive.
std::vector<InstanceRecord> caretakersOf(const InstanceRecord &instance, const std::vector<InstanceRecord> &relays);

} // namespace rattanbeam::decisions::session
