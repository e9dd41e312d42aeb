#include "rattanbeam/sessions/internal/directory.h"

#include "rattanbeam/kernel/logevent.h"

#include <algorithm>

/// Conversion of directories to and from the snapshots that instances exchange.
namespace rattanbeam::sessions::internal
{

using kernel::LogEvent;

namespace
{

void fillConfiguration(link::v1::Configuration &message, const FleetConfiguration &configuration)
{
    message.set_version(configuration.version);
    message.set_transaction_idle_ms(configuration.transactionIdleMs);
    for (const Route &route : configuration.routes) {
        auto *routeMessage = message.add_routes();
        routeMessage->set_database(route.database.text());
        routeMessage->set_service(route.service.text());
        routeMessage->set_consistency(static_cast<std::uint32_t>(route.consistency));
        routeMessage->set_rank(static_cast<std::uint32_t>(route.rank));
        routeMessage->set_timeout_ms(route.timeoutMs);
        routeMessage->set_objective_ms(route.objectiveMs);
        routeMessage->set_max_staleness_ms(route.stalenessLimitMs);
        routeMessage->set_authentication_exempt(route.isAuthenticationExempt);
    }
    for (const ServiceLimits &limits : configuration.services) {
        auto *limitsMessage = message.add_services();
        limitsMessage->set_service(limits.service.text());
        limitsMessage->set_max_connections(limits.maxConnections);
        limitsMessage->set_synchronous_replicas(limits.synchronousReplicas);
    }
    if (configuration.workspaces) {
        message.set_identifies_clients(true);
        for (const Workspace &workspace : *configuration.workspaces) {
            auto *workspaceMessage = message.add_workspaces();
            workspaceMessage->set_name(workspace.name.text());
            for (const std::string &key : workspace.keys) {
                workspaceMessage->add_keys(key);
            }
            workspaceMessage->set_rate_per_second(workspace.ratePerSecond);
            workspaceMessage->set_burst(workspace.burst);
        }
    }
}

FleetConfiguration configurationFrom(const link::v1::Configuration &message)
{
    FleetConfiguration configuration;
    configuration.version = message.version();
    configuration.transactionIdleMs = message.transaction_idle_ms();
    for (const auto &routeMessage : message.routes()) {
        Route route;
        route.database = decisions::DatabaseName(routeMessage.database());
        route.service = ServiceName(routeMessage.service());
        route.consistency = static_cast<Consistency>(std::min(routeMessage.consistency(), 2U));
        route.rank = static_cast<decisions::Rank>(std::min(routeMessage.rank(), 2U));
        route.timeoutMs = routeMessage.timeout_ms();
        route.objectiveMs = routeMessage.objective_ms();
        route.stalenessLimitMs = routeMessage.max_staleness_ms();
        route.isAuthenticationExempt = routeMessage.authentication_exempt();
        configuration.routes.push_back(route);
    }
    for (const auto &limitsMessage : message.services()) {
        configuration.services.push_back(
            {ServiceName(limitsMessage.service()), limitsMessage.max_connections(), limitsMessage.synchronous_replicas()});
    }
    if (message.identifies_clients()) {
        configuration.workspaces.emplace();
        for (const auto &workspaceMessage : message.workspaces()) {
            configuration.workspaces->push_back({WorkspaceName(workspaceMessage.name()),
                                                 {workspaceMessage.keys().begin(), workspaceMessage.keys().end()},
                                                 workspaceMessage.rate_per_second(),
                                                 workspaceMessage.burst()});
        }
    }
    return configuration;
}

void fillMember(link::v1::Member &message, const Record &record)
{
    const auto &member = std::get<MemberRecord>(record.value);
    message.set_id(member.id.text());
    message.set_service(member.service.text());
    message.set_address(member.address);
    message.set_domain(member.domain.text());
    message.set_slots(member.slots);
    message.set_leaving(member.isLeaving);
    message.set_says_primary(member.isRegisteredAsPrimary);
    message.set_incarnation(member.incarnation);
    message.set_revision(record.revision);
}

Record memberRecordFrom(const link::v1::Member &message)
{
    const MemberRecord member{MemberId(message.id()),
                              ServiceName(message.service()),
                              message.address(),
                              decisions::FailureDomain(message.domain()),
                              message.slots(),
                              message.leaving(),
                              message.says_primary(),
                              message.incarnation()};
    return {message.id(), message.revision(), false, member};
}

void fillInstance(link::v1::Instance &message, const Record &record)
{
    const auto &instance = std::get<InstanceRecord>(record.value);
    message.set_id(instance.id.text());
    message.set_address(instance.address);
    message.set_domain(instance.domain.text());
    message.set_incarnation(instance.incarnation);
    message.set_leaving(instance.isLeaving);
    message.set_processor_milli(instance.processorMilli);
    message.set_revision(record.revision);
}

Record instanceRecordFrom(const link::v1::Instance &message)
{
    const InstanceRecord instance{decisions::InstanceId(message.id()),
                                  message.address(),
                                  decisions::FailureDomain(message.domain()),
                                  message.incarnation(),
                                  message.leaving(),
                                  message.processor_milli()};
    return {message.id(), message.revision(), false, instance};
}

void fillTerm(link::v1::TermEntry &message, const Record &record)
{
    const auto &term = std::get<TermRecord>(record.value);
    message.set_service(term.service.text());
    message.set_generation(term.generation);
    message.set_primary(term.primary.text());
    for (const std::string &home : term.homes) {
        message.add_homes(home);
    }
    message.set_term(term.term);
    for (const MemberId &witness : term.witnesses) {
        message.add_witnesses(witness.text());
    }
    message.set_revision(record.revision);
}

Record termRecordFrom(const link::v1::TermEntry &message)
{
    TermRecord term{ServiceName(message.service()),
                    message.generation(),
                    MemberId(message.primary()),
                    std::vector<std::string>(message.homes().begin(), message.homes().end()),
                    message.term()};
    for (const std::string &witness : message.witnesses()) {
        term.witnesses.emplace_back(witness);
    }
    return {message.service(), message.revision(), false, term};
}

template<typename Messages, typename Convert>
std::vector<Record> recordsFrom(const Messages &messages, Convert convert)
{
    std::vector<Record> records;
    for (const auto &message : messages) {
        records.push_back(convert(message));
    }
    return records;
}

} // namespace

link::v1::Snapshot Directory::snapshot(const link::v1::SnapshotRequest &request) const
{
    link::v1::Snapshot snapshot;
    if (!isReady()) {
        return snapshot;
    }
    snapshot.set_known(true);
    snapshot.set_store_epoch(m_storeEpoch);
    const bool isFullRequest = !request.configuration() && !request.members() && !request.instances() && !request.terms();
    if (isFullRequest || request.configuration()) {
        fillConfiguration(*snapshot.mutable_configuration(), *m_configuration);
    }
    if (isFullRequest || request.members()) {
        snapshot.set_members_revision(m_members.revision);
        for (const auto &[name, record] : m_members.records) {
            fillMember(*snapshot.add_members(), record);
        }
    }
    if (isFullRequest || request.instances()) {
        snapshot.set_instances_revision(m_instances.revision);
        for (const auto &[name, record] : m_instances.records) {
            fillInstance(*snapshot.add_instances(), record);
        }
    }
    if ((isFullRequest || request.terms()) && m_terms.isLoaded) {
        snapshot.set_terms_revision(m_terms.revision);
        for (const auto &[name, record] : m_terms.records) {
            fillTerm(*snapshot.add_terms(), record);
        }
    }
    return snapshot;
}

void Directory::merge(const link::v1::Snapshot &snapshot)
{
    if (!snapshot.known()) {
        return;
    }
    storeEpochSeen(snapshot.store_epoch(), EventLoop::now(), "peer");
    if (snapshot.has_configuration()) {
        adoptConfiguration(configurationFrom(snapshot.configuration()), "peer");
    }
    const TimePoint noEvidence = decisions::distantPast; // a peer's records are no evidence of the present state of the store
    if (snapshot.members_revision() != 0) {
        applyList(m_members, recordsFrom(snapshot.members(), memberRecordFrom), snapshot.members_revision(), noEvidence);
    }
    if (snapshot.terms_revision() != 0) {
        applyList(m_terms, recordsFrom(snapshot.terms(), termRecordFrom), snapshot.terms_revision(), noEvidence);
    }
    if (snapshot.instances_revision() != 0) {
        applyList(m_instances, recordsFrom(snapshot.instances(), instanceRecordFrom), snapshot.instances_revision(), noEvidence);
    }
    LogEvent("snapshot-merged")
        .with("version", m_configuration ? m_configuration->version : 0)
        .with("members", snapshot.members_size())
        .with("instances", snapshot.instances_size())
        .with("terms", snapshot.terms_size());
    reportChange();
}

} // namespace rattanbeam::sessions::internal
