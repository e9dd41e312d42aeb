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
    const HomeOrder *order = findIn(*m_homes, member);
    return order == nullptr ? none : *order;
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
    if (m_onlyHome.isEmpty()) {
        m_view.m_homes = std::make_shared<std::map<MemberId, HomeOrder>>(assignHomes(seekers, live, loadFactor));
        return;
    }
    auto homes = std::make_shared<std::map<MemberId, HomeOrder>>();
    for (const HomeSeeker &seeker : seekers) {
        (*homes)[seeker.member] = {m_onlyHome};
    }
    m_view.m_homes = homes;
}

} // namespace rattanbeam::decisions
