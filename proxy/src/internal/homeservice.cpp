#include "rattanbeam/proxy/internal/homeservice.h"

#include "homeoperations.h"
#include "rattanbeam/kernel/logevent.h"
#include "rattanbeam/protocol/conversions.h"
#include "rattanbeam/proxy/internal/tokensealer.h"

#include <algorithm>

namespace rattanbeam::proxy::internal
{

using decisions::DatabaseName;
using decisions::ErrorCode;
using decisions::MemberId;
using decisions::Outcome;

namespace
{

constexpr std::chrono::milliseconds busyTick{10}; // while requests wait here
constexpr std::chrono::milliseconds idleTick{100};
constexpr std::chrono::milliseconds loadReportInterval{100};
constexpr std::chrono::seconds standInIdle{5};
constexpr double latencySmoothing = 0.1;

/// Connections of a member that only stand-ins of its home use.
std::uint32_t reservedConnections(std::uint32_t connections)
{
    return connections < 4 ? 0 : std::max(1U, connections / 8);
}

decisions::TransactionId toTransactionId(const std::string &text)
{
    return text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
}

} // namespace

HomeService::HomeService(caf::actor_config &config, ServiceContextPtr context)
    : caf::event_based_actor(config), m_context(std::move(context))
{}

caf::behavior HomeService::make_behavior()
{
    send(this, TimerTick{});
    return {
        [this](const TimerTick &) {
            tick();
            delayed_send(this, m_context->homeRequests > 0 ? busyTick : idleTick, TimerTick{});
        },
        [this](const FleetChanged &message) {
            fleetChanged(message.fleet);
        },
        [this](const ForwardArrived &message) {
            forwardArrived(message);
        },
        [this](const ConnectionOpened &message) {
            const auto home = m_homes.find(message.member);
            if (home == m_homes.end() || !home->second.connections.contains(message.connection)) {
                return;
            }
            Connection &connection = home->second.connections.at(message.connection);
            connection.isOpen = true;
            connection.span.finish();
            perform(home->second, home->second.decisions->connectionOpened(message.connection, currentTime()));
        },
        [this](const ConnectionAnswered &message) {
            answered(message);
        },
        [this](const ConnectionEnded &message) {
            connectionEnded(message);
        },
        [this](const HeldAnswered &message) {
            const auto home = m_homes.find(message.member);
            if (home == m_homes.end()) {
                return;
            }
            const auto status = message.status.value_or(decisions::MemberStatus{});
            const std::uint64_t held = status.isFollowing || status.isPrimary ? status.held.position : 0;
            perform(home->second, home->second.decisions->heldPositionReported(message.other, status.term, held, currentTime()));
        },
        [this](const MemberObserved &message) {
            const auto home = m_homes.find(message.member);
            if (home == m_homes.end()) {
                return;
            }
            home->second.group = message.group;
            const auto &observation = message.observation;
            perform(home->second,
                    message.member == message.seen
                        ? home->second.decisions->memberStatusReceived(observation.status, observation.completeAsOf, currentTime())
                        : home->second.decisions->otherStatusReceived(message.seen, observation.status, currentTime()));
        },
        [this](const HandoverChanged &message) {
            const auto home = m_homes.find(message.member);
            if (home != m_homes.end()) {
                home->second.isHeld = message.isUnderWay;
                home->second.decisions->setHandover(message.isUnderWay);
            } else if (message.isUnderWay) {
                send(m_context->registry.find(observerServiceName), HandoverReady{message.member});
            }
        },
        [this](const DrainStarted &) {
            m_draining = true;
        },
    };
}

void HomeService::tick()
{
    const auto at = currentTime();
    const bool reportsLoad = m_nextLoadReport <= at;
    if (reportsLoad) {
        m_nextLoadReport = at + loadReportInterval;
    }
    for (auto &each : m_homes) {
        const MemberId &member = each.first;
        Home &home = each.second;
        std::vector<decisions::ConnectionId> late;
        for (const auto &[id, connection] : home.connections) {
            if (!connection.isOpen && connection.openDeadline <= at) {
                late.push_back(id);
            }
        }
        for (const decisions::ConnectionId id : late) {
            connectionEnded({member, id});
        }
        perform(home, home.decisions->tick(at));
        if (reportsLoad) {
            reportLoad(home);
        }
        if (home.isHeld && home.decisions->isQuiet()) {
            send(m_context->registry.find(observerServiceName), HandoverReady{member});
        }
    }
    std::uint64_t transactions = 0;
    for (const auto &[member, home] : m_homes) {
        transactions += home.decisions->openTransactions();
    }
    m_context->openTransactions = transactions;
    std::erase_if(m_homes, [&](const auto &each) {
        const Home &home = each.second;
        const bool isWanted = m_fleet && m_fleet->isHome(m_context->settings.instance, home.member);
        const bool isIdle = home.works.empty() && home.decisions->isQuiet();
        return !isWanted && isIdle && (!home.isStandIn || home.lastUsed + standInIdle <= at);
    });
}

void HomeService::fleetChanged(const std::shared_ptr<const decisions::FleetView> &fleet)
{
    m_fleet = fleet;
    for (auto &[member, home] : m_homes) {
        const auto *stored = fleet->group(home.database);
        const bool isHome = fleet->isHome(m_context->settings.instance, member);
        const std::string address = addressOf(home.database, member);
        if (address.empty() || (!isHome && !home.isStandIn)) {
            perform(home, home.decisions->drainToNewHome(currentTime()));
            continue;
        }
        // A replaced server has a new address; open connections are kept as long as they last.
        home.address = address;
        home.isStandIn = !isHome;
        home.decisions->setLimits(limitsFor(stored->group, home.isStandIn));
        if (stored->group.hasPrimary()) {
            perform(home, home.decisions->termPublished(stored->group.term, currentTime()));
        }
    }
    for (const auto &[database, stored] : fleet->groups()) {
        for (const auto &[member, place] : stored.group.members) {
            if (fleet->isHome(m_context->settings.instance, member) && !m_homes.contains(member)) {
                openHome(database, member, false);
            }
        }
    }
}

HomeService::Home *HomeService::openHome(const DatabaseName &database, const MemberId &member, bool isStandIn)
{
    const auto &group = m_fleet->group(database)->group;
    Home &home = m_homes[member];
    home.member = member;
    home.database = database;
    home.address = group.members.at(member).address;
    home.isStandIn = isStandIn;
    home.lastUsed = currentTime();
    constexpr unsigned sequenceBits = 20; // transactions of one incarnation before numbers could meet those of the next
    const decisions::TransactionId seed = m_context->incarnation << sequenceBits;
    home.decisions = std::make_unique<decisions::MemberHome>(limitsFor(group, isStandIn), seed);
    kernel::LogEvent("home-taken").with("member", member).with("database", database).with("stand_in", isStandIn);
    return &home;
}

decisions::PerRank<std::uint32_t> HomeService::weightsFor(const DatabaseName &database) const
{
    // Several contracts on one database share its slots: the mean of their weights, each counted once.
    decisions::PerRank<std::uint32_t> sum;
    std::uint32_t contracts = 0;
    for (const auto &[customer, contract] : m_fleet->contracts()) {
        if (!contract.databases().contains(database)) {
            continue;
        }
        ++contracts;
        for (const decisions::Rank rank : decisions::allRanks) {
            sum[rank] += contract.weights()[rank];
        }
    }
    for (const decisions::Rank rank : decisions::allRanks) {
        sum[rank] = contracts == 0 ? 0 : sum[rank] / contracts;
    }
    return sum;
}

decisions::HomeLimits HomeService::limitsFor(const decisions::DatabaseGroup &group, bool isStandIn) const
{
    const kernel::ExperimentSettings &experiment = m_context->settings.experiment;
    decisions::HomeLimits limits;
    limits.queue.slots = group.slots;
    limits.queue.capacity = m_context->settings.queueCapacity;
    limits.queue.weights = weightsFor(group.database);
    for (const decisions::Rank rank : decisions::allRanks) {
        // The baseline's single queue is bounded by its length only.
        limits.queue.maxExpectedWait[rank] = experiment.singleQueue ? decisions::Duration::zero() : m_context->settings.queueWait[rank];
    }
    limits.transactionIdle = m_context->settings.transactionIdle;
    limits.confirmationsNeeded = experiment.confirmWrites ? group.majority() - 1 : 0;
    const std::uint32_t reserved = reservedConnections(group.connections);
    limits.connections = isStandIn ? std::max(1U, reserved) : group.connections - reserved;
    if (experiment.ownShare) {
        limits.connections = std::max(1U, group.connections / experiment.instances);
    }
    return limits;
}

std::string HomeService::addressOf(const DatabaseName &database, const MemberId &member) const
{
    const auto *stored = m_fleet->group(database);
    if (stored == nullptr) {
        return {};
    }
    const auto place = stored->group.members.find(member);
    return place == stored->group.members.end() ? std::string() : place->second.address;
}

std::size_t HomeService::connectionLimit(const decisions::CustomerId &customer, const DatabaseName &database) const
{
    const auto *contract = m_fleet->contract(customer);
    if (contract == nullptr) {
        return 1;
    }
    const auto terms = contract->databases().find(database);
    return terms == contract->databases().end() ? 1 : terms->second.connections;
}

HomeService::Home *HomeService::findHome(const peer::v1::ForwardRequest &request)
{
    const MemberId member(request.member());
    const auto found = m_homes.find(member);
    const bool isHome = m_fleet && m_fleet->isHome(m_context->settings.instance, member);
    const bool continues = !request.transaction().empty();
    if (found != m_homes.end() && (isHome || continues || (request.substitute() && found->second.isStandIn))) {
        return &found->second;
    }
    const auto *stored = m_fleet ? m_fleet->group(DatabaseName(request.database())) : nullptr;
    if (stored == nullptr || !stored->group.members.contains(member) || !request.substitute() || m_draining) {
        return nullptr;
    }
    if (found != m_homes.end()) {
        found->second.isStandIn = true;
        return &found->second;
    }
    return openHome(stored->group.database, member, true);
}

void HomeService::refuse(const ForwardArrived &message, ErrorCode code)
{
    peer::v1::ForwardReply reply;
    *reply.mutable_status() = protocol::fromOutcome(Outcome::refusal(code), currentTime());
    message.responder->answer(reply);
}

void HomeService::forwardArrived(const ForwardArrived &message)
{
    const peer::v1::ForwardRequest &request = *message.request;
    Home *home = findHome(request);
    const auto rank = protocol::toRank(request.rank());
    if (home == nullptr || !rank) {
        refuse(message, home == nullptr ? ErrorCode::NotHome : ErrorCode::MalformedRequest);
        return;
    }
    home->lastUsed = currentTime();
    if (home->isStandIn) {
        send(m_context->registry.find(observerServiceName), ObserveMember{home->member});
    }
    decisions::HomeRequest wanted;
    wanted.id = ++m_lastWork;
    wanted.operation = toHomeOperation(request);
    wanted.isWrite = request.access() == caller::v1::WRITE;
    wanted.rank = m_context->settings.experiment.singleQueue ? decisions::Rank::Urgent : *rank;
    wanted.customer = decisions::CustomerId(request.customer());
    wanted.deadline = message.deadline;
    wanted.maxAge = std::chrono::milliseconds(request.max_age_ms());
    wanted.maxWait = std::chrono::milliseconds(request.max_wait_ms());
    wanted.transaction = toTransactionId(request.transaction());
    wanted.connectionLimit = connectionLimit(wanted.customer, home->database);
    if (request.has_required()) {
        wanted.required = protocol::toLogPosition(request.required());
    }
    ++m_context->homeRequests;
    Work &work = home->works[wanted.id];
    work.request = message.request;
    work.responder = message.responder;
    work.arrivedAt = currentTime();
    work.hop = m_context->tracing->startSpan("home", request.trace_context());
    work.hop.tag("member", home->member.text());
    work.phase = m_context->tracing->startSpan("queue", work.hop.context());
    perform(*home, home->decisions->requestArrived(wanted, currentTime()));
}

void HomeService::answered(const ConnectionAnswered &message)
{
    const auto found = m_homes.find(message.member);
    if (found == m_homes.end() || !found->second.connections.contains(message.connection)) {
        return;
    }
    Home &home = found->second;
    const auto work = home.works.find(message.frame->correlation());
    const auto at = currentTime();
    if (work != home.works.end()) {
        work->second.answer = message.frame;
        work->second.phase = m_context->tracing->startSpan("confirmation", work->second.hop.context());
        home.latency += std::chrono::duration_cast<decisions::Duration>((at - work->second.sentAt - home.latency) * latencySmoothing);
    }
    const decisions::MemberAnswer answer{protocol::toOutcome(message.frame->status(), at), protocol::toLogPosition(message.frame->at())};
    perform(home, home.decisions->answered(message.connection, message.frame->correlation(), answer, at));
}

void HomeService::connectionEnded(const ConnectionEnded &message)
{
    const auto found = m_homes.find(message.member);
    if (found == m_homes.end()) {
        return;
    }
    Home &home = found->second;
    const auto connection = home.connections.find(message.connection);
    if (connection == home.connections.end()) {
        return;
    }
    const bool wasOpen = connection->second.isOpen;
    home.connections.erase(connection);
    m_context->metrics.count(wasOpen ? "connections.lost" : "connections.failed");
    perform(home,
            wasOpen ? home.decisions->connectionClosed(message.connection, currentTime())
                    : home.decisions->connectionFailed(message.connection, currentTime()));
}

void HomeService::reportLoad(const Home &home)
{
    const auto queued = static_cast<std::uint32_t>(home.decisions->waiting());
    send(m_context->registry.find(observerServiceName), HomeLoad{home.member, queued, home.latency});
}

} // namespace rattanbeam::proxy::internal
