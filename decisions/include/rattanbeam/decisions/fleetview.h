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

/// All that an instance knows of the fleet, as one immutable value: contracts, groups, live instances and homes.
class FleetView
{
public:
    const Contract *contract(const CustomerId &customer) const;
    const StoredGroup *group(const DatabaseName &database) const;
    const InstanceRecord *instance(const InstanceId &id) const;
    /// The home of `member` and its stand-ins, best first; empty when nobody is known to be alive.
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
    std::uint64_t completeTo() const
    {
        return m_completeTo;
    }

private:
    friend class FleetBuilder;

    std::shared_ptr<const std::map<CustomerId, Contract>> m_contracts = std::make_shared<std::map<CustomerId, Contract>>();
    std::shared_ptr<const std::map<DatabaseName, StoredGroup>> m_groups = std::make_shared<std::map<DatabaseName, StoredGroup>>();
    /// By serving domain, so that a change in one domain copies nothing of the others.
    std::vector<std::shared_ptr<const std::map<MemberId, HomeOrder>>> m_homes;
    std::map<InstanceId, InstanceRecord> m_instances;
    std::uint64_t m_completeTo = 0;
};

/// Keeps a FleetView up to date; only what changed is read again.
///
///     builder.apply(object);
///     builder.setInstances(membership.recent(now));
///     publish(builder.view());
class FleetBuilder
{
public:
    /// Homes may hold this many times the mean number of members.
    static constexpr double loadFactor = 1.25;

    /// Takes a changed object. An object that cannot be read leaves what was known, and returns why.
    std::optional<ConfigError> apply(const ConfigObject &object);

    /// True if the instances changed. Leaving ones are still reached for what they finish, but are home to nothing.
    bool setInstances(const std::vector<InstanceRecord> &recent);

    /// Makes this instance the home of every member, each with its own share: the baseline of measurements.
    void setOnlyHome(const InstanceId &self)
    {
        m_onlyHome = self;
    }

    std::shared_ptr<const FleetView> view(std::uint64_t completeTo);

private:
    struct AssignedDomain {
        DomainHomes input;
        std::shared_ptr<const std::map<MemberId, HomeOrder>> homes;
    };

    void assign();
    void assignOnlyHome(const std::vector<HomeSeeker> &seekers);

    std::map<CustomerId, Contract> m_contracts;
    std::map<DatabaseName, StoredGroup> m_groups;
    std::map<InstanceId, InstanceRecord> m_instances;
    std::map<FailureDomain, AssignedDomain> m_assigned;
    InstanceId m_onlyHome;
    FleetView m_view;
    bool m_contractsChanged = false;
    bool m_groupsChanged = false;
    bool m_homesChanged = false;
};

} // namespace rattanbeam::decisions
