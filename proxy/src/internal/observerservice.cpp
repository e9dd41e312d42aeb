#include "rattanbeam/proxy/internal/observerservice.h"

#include "rattanbeam/kernel/logevent.h"
#include "rattanbeam/protocol/conversions.h"

namespace rattanbeam::proxy::internal
{

using decisions::DatabaseName;
using decisions::GroupObserver;
using decisions::MemberId;

namespace
{

constexpr std::chrono::milliseconds orderTimeout{500}; // for fence, promote and follow
constexpr std::chrono::milliseconds platformTimeout{1000};
constexpr std::chrono::seconds standInHold{3};

std::optional<decisions::StoredGroup> toStoredGroup(const decisions::ConfigObject &object)
{
    const auto group = decisions::parseDatabaseGroup(object.text);
    if (object.deleted || !group) {
        return std::nullopt;
    }
    return decisions::StoredGroup{*group, object.version};
}

} // namespace

ObserverService::ObserverService(caf::actor_config &config, ServiceContextPtr context)
    : caf::event_based_actor(config), m_context(std::move(context))
{}

caf::behavior ObserverService::make_behavior()
{
    send(this, TimerTick{});
    return {
        [this](const TimerTick &) {
            tick();
            delayed_send(this, m_context->settings.probeInterval, TimerTick{});
        },
        [this](const FleetChanged &message) {
            fleetChanged(message.fleet);
        },
        [this](const PeerReports &message) {
            peerReported(message);
        },
        [this](const ProbeEnded &message) {
            probeEnded(message);
        },
        [this](const HandoverReady &message) {
            for (auto &[database, observer] : m_observers) {
                if (observer.ownMembers().contains(message.member)) {
                    perform(database, observer.handoverReady(message.member, currentTime()));
                }
            }
        },
        [this](const ObserveMember &message) {
            observeMember(message.member);
        },
        [this](const HomeLoad &message) {
            for (auto &[database, observer] : m_observers) {
                if (observer.ownMembers().contains(message.member)) {
                    observer.setLoad(message.member, message.queued, message.latency);
                }
            }
        },
        [this](const FenceEnded &message) {
            const auto found = m_observers.find(message.database);
            if (found != m_observers.end()) {
                perform(message.database,
                        found->second.fenceAnswered(message.attempt, message.member, message.accepted, message.status.held, currentTime()));
            }
        },
        [this](const PromoteEnded &message) {
            const auto found = m_observers.find(message.database);
            if (found != m_observers.end()) {
                perform(message.database, found->second.promoteAnswered(message.attempt, message.member, message.accepted, currentTime()));
            }
        },
        [this](const GroupWritten &message) {
            groupWritten(message);
        },
        [this](const GroupRead &message) {
            groupRead(message);
        },
        [](const DrainStarted &) {},
    };
}

void ObserverService::observeMember(const MemberId &member)
{
    const bool isNew = !m_standIns.contains(member);
    m_standIns[member] = currentTime() + standInHold;
    if (isNew && m_fleet) {
        fleetChanged(m_fleet);
        tick();
    }
}

void ObserverService::groupWritten(const GroupWritten &message)
{
    const auto found = m_observers.find(message.database);
    if (found == m_observers.end()) {
        return;
    }
    const auto stored = message.outcome ? toStoredGroup(message.outcome->object) : std::nullopt;
    if (!stored) {
        perform(message.database, found->second.writeUnanswered(message.attempt, currentTime()));
        return;
    }
    learnObject(message.outcome->object);
    perform(message.database, found->second.writeAnswered(message.attempt, message.outcome->isApplied, *stored, currentTime()));
}

void ObserverService::groupRead(const GroupRead &message)
{
    const auto found = m_observers.find(message.database);
    const auto stored = message.object ? toStoredGroup(*message.object) : std::nullopt;
    if (found != m_observers.end() && stored) {
        learnObject(*message.object);
        perform(message.database, found->second.readAnswered(message.attempt, *stored, currentTime()));
    }
}

/// A single object says nothing of the changes before it.
void ObserverService::learnObject(const decisions::ConfigObject &object)
{
    send(m_context->registry.find(stateServiceName), ConfigArrived{{UINT64_MAX, 0, {object}}});
}

void ObserverService::tick()
{
    std::erase_if(m_standIns, [at = currentTime()](const auto &each) {
        return each.second <= at;
    });
    for (auto &[database, observer] : m_observers) {
        perform(database, observer.tick(currentTime()));
    }
    reportState(false);
}

std::set<MemberId> ObserverService::ownMembersOf(const decisions::DatabaseGroup &group) const
{
    std::set<MemberId> members;
    for (const auto &[member, place] : group.members) {
        if (m_fleet->isHome(m_context->settings.instance, member) || m_standIns.contains(member)) {
            members.insert(member);
        }
    }
    return members;
}

void ObserverService::fleetChanged(const std::shared_ptr<const decisions::FleetView> &fleet)
{
    m_fleet = fleet;
    std::erase_if(m_observers, [&](const auto &each) {
        const auto *stored = fleet->group(each.first);
        return stored == nullptr || ownMembersOf(stored->group).empty();
    });
    for (const auto &[database, stored] : fleet->groups()) {
        const std::set<MemberId> own = ownMembersOf(stored.group);
        if (own.empty()) {
            continue;
        }
        if (!m_observers.contains(database)) {
            const std::string prefix = m_context->settings.instance.text() + '-' + std::to_string(m_context->incarnation);
            m_observers.emplace(database, GroupObserver({.domain = m_context->settings.domain, .attemptPrefix = prefix}, stored));
        }
        perform(database, m_observers.at(database).groupChanged(stored, own, currentTime()));
    }
}

void ObserverService::peerReported(const PeerReports &reports)
{
    for (const auto &report : reports.message->members()) {
        const auto found = m_observers.find(DatabaseName(report.database()));
        if (found != m_observers.end()) {
            const MemberId member(report.status().member());
            found->second.peerObservationReceived(member, protocol::toMemberObservation(report, reports.receivedAt));
        }
    }
    for (const auto &suspicion : reports.message->suspicions()) {
        const DatabaseName database(suspicion.database());
        const auto found = m_observers.find(database);
        if (found != m_observers.end()) {
            const decisions::FailureDomain domain(suspicion.domain());
            perform(database, found->second.peerSuspicionReceived(domain, suspicion.term(), suspicion.suspected(), currentTime()));
        }
    }
}

void ObserverService::probeEnded(const ProbeEnded &message)
{
    const auto found = m_observers.find(message.database);
    if (found == m_observers.end()) {
        return;
    }
    const decisions::ObserverActions actions
        = found->second.probeEnded(message.member, message.isFresh, message.askedAt, message.status, currentTime());
    if (message.status) {
        tellHome(found->second, message.member);
    }
    perform(message.database, actions);
}

void ObserverService::perform(const DatabaseName &database, const decisions::ObserverActions &actions)
{
    for (const auto &action : actions) {
        const auto found = m_observers.find(database);
        if (found == m_observers.end()) {
            return;
        }
        std::visit(
            [&](const auto &each) {
                performOne(found->second, each);
            },
            action);
    }
}

std::string ObserverService::addressOf(const GroupObserver &observer, const MemberId &member) const
{
    const auto &members = observer.stored().group.members;
    const auto found = members.find(member);
    return found == members.end() ? std::string() : found->second.address;
}

void ObserverService::performOne(const GroupObserver &observer, const decisions::ProbeMember &probe)
{
    const caf::actor service(this);
    const auto askedAt = currentTime();
    const auto callback = [service, askedAt, database = observer.stored().group.database, probe](const backend::v1::MemberStatus *status) {
        const auto value = status == nullptr ? std::nullopt : std::optional(protocol::toMemberStatus(*status));
        caf::anon_send(service, ProbeEnded{database, probe.member, probe.isOnNewConnection, askedAt, value});
    };
    const auto deadline = askedAt + m_context->settings.probeTimeout;
    if (probe.isOnNewConnection) {
        m_context->members.statusOnNewConnection(addressOf(observer, probe.member), deadline, callback);
    } else {
        m_context->members.status(addressOf(observer, probe.member), deadline, callback);
    }
}

void ObserverService::performOne(const GroupObserver &observer, const decisions::FollowPrimary &follow)
{
    m_context->members.follow(addressOf(observer, follow.member),
                              follow.term,
                              addressOf(observer, follow.primary),
                              currentTime() + orderTimeout,
                              [](const backend::v1::MemberReply * /*reply*/) {});
}

void ObserverService::performOne(const GroupObserver &observer, const decisions::NotifyPeers & /*tell*/)
{
    kernel::LogEvent(observer.suspicion().isSuspectedLocally() ? "primary-suspected" : "primary-trusted", kernel::LogLevel::Warning)
        .with("database", observer.stored().group.database)
        .with("member", observer.stored().group.primary)
        .with("term", observer.suspicion().term());
    reportState(true);
}

void ObserverService::performOne(const GroupObserver & /*observer*/, const decisions::PauseMember &hold)
{
    kernel::LogEvent(hold.isPaused ? "handover-started" : "handover-ended").with("member", hold.member);
    send(m_context->registry.find(homeServiceName), HandoverChanged{hold.member, hold.isPaused});
}

void ObserverService::performOne(const GroupObserver &observer, const decisions::ReportPromotion &report)
{
    kernel::LogEvent("promotion")
        .with("database", observer.stored().group.database)
        .with("phase", report.phase)
        .with("term", report.term)
        .with("primary", report.primary);
    m_context->metrics.count("promotion.phases");
}

void ObserverService::performOne(const GroupObserver &observer, const decisions::WriteGroup &write)
{
    m_context->metrics.count("platform.write");
    const caf::actor service(this);
    const DatabaseName database = observer.stored().group.database;
    const decisions::ConfigObject object{decisions::groupKey(database), decisions::formatDatabaseGroup(write.group), 0, false};
    m_context->platform->write(object,
                               write.expectedVersion,
                               currentTime() + platformTimeout,
                               [service, database, attempt = write.group.attempt](const std::optional<PlatformWrite> &outcome) {
                                   caf::anon_send(service, GroupWritten{database, attempt, outcome});
                               });
}

void ObserverService::performOne(const GroupObserver &observer, const decisions::ReadGroup & /*read*/)
{
    m_context->metrics.count("platform.read");
    const caf::actor service(this);
    const DatabaseName database = observer.stored().group.database;
    m_context->platform->read(
        decisions::groupKey(database),
        currentTime() + platformTimeout,
        [service, database, attempt = observer.latestAttempt()](const std::optional<decisions::ConfigObject> &object) {
            caf::anon_send(service, GroupRead{database, attempt, object});
        });
}

void ObserverService::performOne(const GroupObserver &observer, const decisions::FenceMember &fence)
{
    const caf::actor service(this);
    const DatabaseName database = observer.stored().group.database;
    m_context->members.fence(addressOf(observer, fence.member),
                             fence,
                             currentTime() + orderTimeout,
                             [service, database, fence](const backend::v1::MemberReply *reply) {
                                 if (reply != nullptr) {
                                     const auto status = protocol::toMemberStatus(reply->status());
                                     caf::anon_send(service, FenceEnded{database, fence.attempt, fence.member, reply->accepted(), status});
                                 }
                             });
}

void ObserverService::performOne(const GroupObserver &observer, const decisions::PromoteMember &promote)
{
    const caf::actor service(this);
    const DatabaseName database = observer.stored().group.database;
    m_context->members.promote(addressOf(observer, promote.member),
                               promote,
                               currentTime() + orderTimeout,
                               [service, database, promote](const backend::v1::MemberReply *reply) {
                                   if (reply != nullptr) {
                                       caf::anon_send(service, PromoteEnded{database, promote.attempt, promote.member, reply->accepted()});
                                   }
                               });
}

void ObserverService::tellHome(const GroupObserver &observer, const MemberId &seen)
{
    const auto *observation = observer.view().find(seen);
    if (observation == nullptr) {
        return;
    }
    const auto group = std::make_shared<const decisions::GroupView>(observer.view());
    for (const MemberId &own : observer.ownMembers()) {
        send(m_context->registry.find(homeServiceName), MemberObserved{own, seen, *observation, group});
    }
}

void ObserverService::reportState(bool isUrgent)
{
    OwnReports reports{{}, {}, isUrgent};
    for (const auto &[database, observer] : m_observers) {
        for (const MemberId &member : observer.ownMembers()) {
            if (const auto *observation = observer.view().find(member)) {
                reports.members.push_back(protocol::fromMemberObservation(database.text(), member, *observation, currentTime()));
            }
        }
        peer::v1::Suspicion suspicion;
        suspicion.set_database(database.text());
        suspicion.set_term(observer.suspicion().term());
        suspicion.set_domain(m_context->settings.domain.text());
        suspicion.set_suspected(observer.suspicion().isSuspectedLocally());
        reports.suspicions.push_back(suspicion);
    }
    send(m_context->registry.find(stateServiceName), reports);
}

} // namespace rattanbeam::proxy::internal
