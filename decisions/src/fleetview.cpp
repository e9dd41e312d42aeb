#include "rattanbeam/decisions/fleetview.h"

#include <utility>

namespace rattanbeam::decisions
{

namespace
{

constexpr std::string_view contractPrefix = "contract/";
constexpr std::string_view groupPrefix = "group/";

template<typename Map, typename Key>
const typename Map::mapped_type *findOrNull(const Map &map, const Key &key)
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : &found->second;
}

std::string withoutPrefix(const std::string &key, std::string_view prefix)
{
    return key.substr(prefix.size());
}

} // namespace

const Contract *FleetView::contract(const CustomerId &customer) const
{
    return findOrNull(*m_contracts, customer);
}

const StoredGroup *FleetView::group(const DatabaseName &database) const
{
    return findOrNull(*m_groups, database);
}

const InstanceRecord *FleetView::instance(const InstanceId &id) const
{
    return findOrNull(m_instances, id);
}

const HomeOrder &FleetView::homes(const MemberId &member) const
{
    static const HomeOrder noHomes;
    for (const auto &domain : m_homes) {
        if (const HomeOrder *order = findOrNull(*domain, member)) {
            return *order;
        }
    }
    return noHomes;
}

bool FleetView::isHome(const InstanceId &instance, const MemberId &member) const
{
    const HomeOrder &order = homes(member);
    return !order.empty() && order.front() == instance;
}

std::optional<ConfigError> FleetBuilder::apply(const ConfigObject &object)
{
    if (object.key.starts_with(contractPrefix)) {
        const CustomerId customer(withoutPrefix(object.key, contractPrefix));
        if (object.deleted) {
            m_contractsChanged = m_contracts.erase(customer) > 0 || m_contractsChanged;
            return std::nullopt;
        }
        const auto contract = parseContract(object.text);
        if (!contract || contract->customer() != customer) {
            return contract ? ConfigError{"contract", "customer", "does not match the object's key"} : contract.error();
        }
        m_contracts[customer] = *contract;
        m_contractsChanged = true;
    } else if (object.key.starts_with(groupPrefix)) {
        const DatabaseName database(withoutPrefix(object.key, groupPrefix));
        if (object.deleted) {
            m_groups.erase(database);
            m_groupsChanged = true;
            m_homesChanged = true;
            return std::nullopt;
        }
        const auto group = parseDatabaseGroup(object.text);
        if (!group || group->database != database) {
            return group ? ConfigError{"group", "database", "does not match the object's key"} : group.error();
        }
        // Homes depend only on where the members are, which a promotion does not change.
        const auto previous = m_groups.find(database);
        m_homesChanged = m_homesChanged || previous == m_groups.end() || previous->second.group.members != group->members;
        m_groups[database] = {*group, object.version};
        m_groupsChanged = true;
    }
    return std::nullopt;
}

bool FleetBuilder::setInstances(const std::vector<InstanceRecord> &records)
{
    std::map<InstanceId, InstanceRecord> instances;
    for (const InstanceRecord &record : records) {
        instances[record.id] = record;
        // Heartbeats grow continuously; ignored here, they do not make the instances look changed.
        instances[record.id].heartbeat = 0;
    }
    if (instances == m_instances) {
        return false;
    }
    m_instances = std::move(instances);
    m_homesChanged = true;
    return true;
}

std::shared_ptr<const FleetView> FleetBuilder::view(std::uint64_t completeTo)
{
    if (std::exchange(m_contractsChanged, false)) {
        m_view.m_contracts = std::make_shared<std::map<CustomerId, Contract>>(m_contracts);
    }
    if (std::exchange(m_groupsChanged, false)) {
        m_view.m_groups = std::make_shared<std::map<DatabaseName, StoredGroup>>(m_groups);
    }
    if (std::exchange(m_homesChanged, false)) {
        assignAllHomes();
    }
    m_view.m_instances = m_instances;
    m_view.m_completeTo = completeTo;
    return std::make_shared<const FleetView>(m_view);
}

void FleetBuilder::assignAllHomes()
{
    std::vector<MemberToAssign> members;
    for (const auto &[database, stored] : m_groups) {
        for (const auto &[member, location] : stored.group.members) {
            members.push_back({member, location.domain});
        }
    }
    std::vector<LiveInstance> liveInstances;
    for (const auto &[id, record] : m_instances) {
        if (!record.isLeaving) {
            liveInstances.push_back({id, record.domain});
        }
    }
    m_view.m_homes.clear();
    if (!m_onlyHome.isEmpty()) {
        assignOnlyHome(members);
        return;
    }
    std::map<FailureDomain, AssignedDomain> assigned;
    for (const auto &[name, partition] : partitionByDomain(members, liveInstances)) {
        const auto previous = m_assignedDomains.find(name);
        const bool isUnchanged = previous != m_assignedDomains.end() && previous->second.partition == partition;
        auto homes = isUnchanged ? previous->second.homes
                                 : std::make_shared<const std::map<MemberId, HomeOrder>>(assignHomesInDomain(partition, loadFactor));
        m_view.m_homes.push_back(homes);
        assigned[name] = {partition, homes};
    }
    m_assignedDomains = std::move(assigned);
}

void FleetBuilder::assignOnlyHome(const std::vector<MemberToAssign> &members)
{
    auto homes = std::make_shared<std::map<MemberId, HomeOrder>>();
    for (const MemberToAssign &member : members) {
        (*homes)[member.member] = {m_onlyHome};
    }
    m_view.m_homes.push_back(homes);
}

} // namespace rattanbeam::decisions
