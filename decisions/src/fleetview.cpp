#include "rattanbeam/decisions/fleetview.h"

#include <utility>

namespace rattanbeam::decisions
{

namespace
{

constexpr std::string_view contractPrefix = "contract/";
constexpr std::string_view groupPrefix = "group/";

template<typename Map, typename Key>
const typename Map::mapped_type *findIn(const Map &map, const Key &key)
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : &found->second;
}

std::string afterPrefix(const std::string &key, std::string_view prefix)
{
    return key.substr(prefix.size());
}

} // namespace

const Contract *FleetView::contract(const CustomerId &customer) const
{
    return findIn(*m_contracts, customer);
}

const StoredGroup *FleetView::group(const DatabaseName &database) const
{
    return findIn(*m_groups, database);
}

const InstanceRecord *FleetView::instance(const InstanceId &id) const
{
    return findIn(m_instances, id);
}

const HomeOrder &FleetView::homes(const MemberId &member) const
{
    static const HomeOrder none;
    for (const auto &domain : m_homes) {
        if (const HomeOrder *order = findIn(*domain, member)) {
            return *order;
        }
    }
    return none;
}

bool FleetView::isHome(const InstanceId &instance, const MemberId &member) const
{
    const HomeOrder &order = homes(member);
    return !order.empty() && order.front() == instance;
}

std::optional<ConfigError> FleetBuilder::apply(const ConfigObject &object)
{
    if (object.key.starts_with(contractPrefix)) {
        const CustomerId customer(afterPrefix(object.key, contractPrefix));
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
        const DatabaseName database(afterPrefix(object.key, groupPrefix));
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
        // A promotion changes no place, and so no home.
        const auto known = m_groups.find(database);
        m_homesChanged = m_homesChanged || known == m_groups.end() || known->second.group.members != group->members;
        m_groups[database] = {*group, object.version};
        m_groupsChanged = true;
    }
    return std::nullopt;
}

bool FleetBuilder::setInstances(const std::vector<InstanceRecord> &recent)
{
    std::map<InstanceId, InstanceRecord> instances;
    for (const InstanceRecord &record : recent) {
        instances[record.id] = record;
        // Heartbeats grow all the time and change no decision.
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
        assign();
    }
    m_view.m_instances = m_instances;
    m_view.m_completeTo = completeTo;
    return std::make_shared<const FleetView>(m_view);
}

void FleetBuilder::assign()
{
    std::vector<HomeSeeker> seekers;
    for (const auto &[database, stored] : m_groups) {
        for (const auto &[member, place] : stored.group.members) {
            seekers.push_back({member, place.domain});
        }
    }
    std::vector<LiveInstance> live;
    for (const auto &[id, record] : m_instances) {
        if (!record.leaving) {
            live.push_back({id, record.domain});
        }
    }
    m_view.m_homes.clear();
    if (!m_onlyHome.isEmpty()) {
        assignOnlyHome(seekers);
        return;
    }
    std::map<FailureDomain, AssignedDomain> assigned;
    for (const auto &[name, input] : divideByDomain(seekers, live)) {
        const auto before = m_assigned.find(name);
        const bool isSame = before != m_assigned.end() && before->second.input == input;
        auto homes = isSame ? before->second.homes : std::make_shared<const std::map<MemberId, HomeOrder>>(assignDomain(input, loadFactor));
        m_view.m_homes.push_back(homes);
        assigned[name] = {input, homes};
    }
    m_assigned = std::move(assigned);
}

void FleetBuilder::assignOnlyHome(const std::vector<HomeSeeker> &seekers)
{
    auto homes = std::make_shared<std::map<MemberId, HomeOrder>>();
    for (const HomeSeeker &seeker : seekers) {
        (*homes)[seeker.member] = {m_onlyHome};
    }
    m_view.m_homes.push_back(homes);
}

} // namespace rattanbeam::decisions
