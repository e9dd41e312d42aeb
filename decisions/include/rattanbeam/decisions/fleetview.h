#pragma once

#include "rattanbeam/decisions/configstore.h"
#include "rattanbeam/decisions/contract.h"
#include "rattanbeam/decisions/databasegroup.h"
#include "rattanbeam/decisions/homeassignment.h"
#include "rattanbeam/decisions/membership.h"
#include "rattanbeam/decisions/promotion.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace rattanbeam::decisions
{

/// An immutable snapshot of everything that an instance knows about the fleet: contracts, groups, instances and homes.
class FleetView
{
public:
    const Contract *contract(const CustomerId &customer) const;
    const StoredGroup *group(const DatabaseName &database) const;
    const InstanceRecord *instance(const InstanceId &id) const;
    /// The home of `member`, followed by the instances that replace it when it is unreachable, in order of preference.
    /// Empty for an unknown member, and while no instance is known to be live.
    const HomeOrder &homes(const MemberId &member) const;
    bool isHome(const InstanceId &instance, const MemberId &member) const;

    const std::map<CustomerId, Contract> &contracts() const
    {
        return *m_contracts;
    }
    const std::map<DatabaseName, StoredGroup> &groups() const
    {
        return *m_groups;
    }
    const std::map<InstanceId, InstanceRecord> &instances() const
    {
        return m_instances;
    }
    /// The configuration version up to which this view includes every change.
    std::uint64_t completeTo() const
    {
        return m_completeTo;
    }

private:
    friend class FleetBuilder;

    std::shared_ptr<const std::map<CustomerId, Contract>> m_contracts = std::make_shared<std::map<CustomerId, Contract>>();
    std::shared_ptr<const std::map<DatabaseName, StoredGroup>> m_groups = std::make_shared<std::map<DatabaseName, StoredGroup>>();
    /// One map for each domain with live instances, so that a change in one domain does not copy the maps of the others.
    std::vector<std::shared_ptr<const std::map<MemberId, HomeOrder>>> m_homes;
    std::map<InstanceId, InstanceRecord> m_instances;
    std::uint64_t m_completeTo = 0;
};

/// Builds FleetViews from changes of the configuration and of the instances; parses and reassigns only what changed.
///
///     builder.apply(object);
///     builder.setInstances(membership.liveAndLeaving(now));
///     publish(builder.view(completeTo));
class FleetBuilder
{
public:
    /// An instance may be home to at most this many times the mean number of members in its domain, rounded up.
    static constexpr double loadFactor = 1.25;

    /// Applies a changed or deleted object of the platform. An object that cannot be parsed is ignored, so that the
    /// previous version stays in force; the returned error says why.
    std::optional<ConfigError> apply(const ConfigObject &object);

    /// Replaces the known instances; true if they differ from the previous ones. Leaving instances stay reachable for the
    /// requests that they finish, but are home to no member.
    bool setInstances(const std::vector<InstanceRecord> &records);

    /// Makes this instance the home of every member. For the experiment that compares shared homes with instances that each use a
    /// fixed share of every member's connections; the caller sets that share.
    void setOnlyHome(const InstanceId &self)
    {
        m_onlyHome = self;
    }

    /// The current view, in which every configuration change up to `completeTo` is included.
    std::shared_ptr<const FleetView> view(std::uint64_t completeTo);

private:
    /// The homes of one domain with the input that they were computed from, to be reused while the input is the same.
    struct AssignedDomain {
        DomainPartition partition;
        std::shared_ptr<const std::map<MemberId, HomeOrder>> homes;
    };

    void assignAllHomes();
    void assignOnlyHome(const std::vector<MemberToAssign> &members);

    std::map<CustomerId, Contract> m_contracts;
    std::map<DatabaseName, StoredGroup> m_groups;
    std::map<InstanceId, InstanceRecord> m_instances;
    std::map<FailureDomain, AssignedDomain> m_assignedDomains;
    InstanceId m_onlyHome;
    FleetView m_view;
    bool m_contractsChanged = false;
    bool m_groupsChanged = false;
    bool m_homesChanged = false;
};

} // namespace rattanbeam::decisions
