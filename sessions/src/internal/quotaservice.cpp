#include "rattanbeam/sessions/internal/quotaservice.h"

#include "rattanbeam/kernel/logevent.h"

#include <algorithm>
#include <set>
#include <utility>

namespace rattanbeam::sessions::internal
{

using decisions::Duration;
using decisions::InstanceId;
using decisions::TimePoint;
using decisions::session::InstanceRecord;
using decisions::session::QuotaDecision;
using decisions::session::QuotaMessage;
using decisions::session::QuotaOutcome;
using decisions::session::QuotaReply;
using decisions::session::QuotaRequest;
using decisions::session::QuotaVerdict;
using decisions::session::WorkspaceName;
using kernel::LogEvent;
using kernel::LogLevel;
using namespace std::chrono_literals;

namespace
{

// An instance that was removed may still spend its share while it is cut off from the store and does not know of its removal.
constexpr Duration instanceMemory = 60s;
constexpr Duration countInterval = 1s;
constexpr Duration refusalLogInterval = 1s;
constexpr std::size_t maxLoggedWorkspaces = 3; // in each interval; the others are summed up in one line
constexpr double slackPerAdvance = 2; // in a partition two instances may hold themselves for the first home of a service

link::v1::QuotaRequest toMessage(const InstanceId &self, const QuotaRequest &request)
{
    link::v1::QuotaRequest message;
    message.set_number(request.number);
    message.set_echo(request.echo);
    message.set_delegates(request.delegates);
    message.set_instance(self.text());
    message.set_instances(request.instances);
    message.set_run(request.run);
    for (const auto &ask : request.asks) {
        auto *added = message.add_asks();
        added->set_workspace(ask.workspace.text());
        added->set_needed(ask.needed);
        added->set_ahead(ask.ahead);
        added->set_held(ask.held);
        added->set_returned(ask.returned);
    }
    return message;
}

QuotaRequest fromMessage(const link::v1::QuotaRequest &message)
{
    QuotaRequest request{message.number(), message.echo(), message.delegates(), message.instances(), {}, message.run()};
    for (const auto &ask : message.asks()) {
        request.asks.push_back({WorkspaceName(ask.workspace()), ask.needed(), ask.ahead(), ask.held(), ask.returned()});
    }
    return request;
}

link::v1::QuotaReply toMessage(const QuotaReply &reply)
{
    link::v1::QuotaReply message;
    message.set_number(reply.number);
    message.set_stamp(reply.stamp);
    message.set_holds_share(reply.holdsShare);
    for (const auto &grant : reply.grants) {
        auto *added = message.add_grants();
        added->set_workspace(grant.workspace.text());
        added->set_tokens(grant.tokens);
        added->set_retry_after_ms(static_cast<std::uint32_t>(std::chrono::ceil<std::chrono::milliseconds>(grant.retryAfter).count()));
    }
    return message;
}

QuotaReply fromMessage(const link::v1::QuotaReply &message)
{
    QuotaReply reply{message.number(), message.stamp(), message.holds_share(), {}};
    for (const auto &grant : message.grants()) {
        reply.grants.push_back({WorkspaceName(grant.workspace()), grant.tokens(), std::chrono::milliseconds(grant.retry_after_ms())});
    }
    return reply;
}

} // namespace

QuotaService::QuotaService(const SessionSettings &settings, Directory &directory, PeerLinks &links, kernel::Metrics &metrics)
    : m_settings(settings)
    , m_directory(directory)
    , m_links(links)
    , m_metrics(metrics)
    , m_quotas(settings.instance, settings.quotaBound, EventLoop::now())
{}

QuotaService::Decision QuotaService::request(const WorkspaceName &workspace, TimePoint deadline)
{
    const TimePoint now = EventLoop::now();
    const Operation operation = ++m_lastOperation;
    const QuotaDecision decision = m_quotas.request(operation, workspace, deadline, now);
    if (decision.verdict == QuotaVerdict::Waiting) {
        m_waiting[operation].workspace = workspace;
    } else {
        countOutcome(workspace, decision.verdict == QuotaVerdict::Admitted);
    }
    sendMessages(now);
    return {decision.verdict, decision.retryAfter, operation};
}

void QuotaService::whenDecided(Operation operation, const std::string &entry, Callback callback)
{
    Waiting &waiting = m_waiting[operation];
    waiting.entry = entry;
    waiting.callback = std::move(callback);
    deliverOutcomes();
}

void QuotaService::entryLost(const std::string &entry)
{
    std::erase_if(m_waiting, [&](const auto &item) {
        if (item.second.entry != entry) {
            return false;
        }
        m_quotas.cancel(item.first);
        return true;
    });
}

void QuotaService::countOutcome(const WorkspaceName &workspace, bool isAdmitted)
{
    m_metrics.count(isAdmitted ? "quota_admitted" : "quota_refused");
    if (!isAdmitted) {
        ++m_refusals[workspace];
    }
}

void QuotaService::deliverOutcomes()
{
    for (const QuotaOutcome &outcome : m_quotas.takeOutcomes()) {
        const auto found = m_waiting.find(outcome.operation);
        if (found == m_waiting.end()) {
            continue;
        }
        const Waiting waiting = std::move(found->second);
        m_waiting.erase(found);
        countOutcome(waiting.workspace, outcome.isAdmitted);
        if (waiting.callback) {
            waiting.callback(outcome.isAdmitted, outcome.retryAfter);
        }
    }
}

void QuotaService::sendMessages(TimePoint now)
{
    for (const QuotaMessage &message : m_quotas.takeMessages(now)) {
        const auto address = m_addresses.find(message.pool);
        link::v1::Frame frame;
        *frame.mutable_quota_request() = toMessage(m_settings.instance, message.request);
        if (address == m_addresses.end() || !m_links.sendPeriodic(address->second, frame)) {
            m_quotas.unreachable(message.pool, now);
        }
    }
}

link::v1::QuotaReply QuotaService::handleRequest(const link::v1::QuotaRequest &message)
{
    return toMessage(m_quotas.handleRequest(InstanceId(message.instance()), fromMessage(message), EventLoop::now()));
}

void QuotaService::replyArrived(const std::string &address, const link::v1::QuotaReply &message)
{
    const auto pool = m_instancesByAddress.find(address);
    if (pool == m_instancesByAddress.end()) {
        return;
    }
    const TimePoint now = EventLoop::now();
    m_quotas.replyArrived(pool->second, fromMessage(message), now);
    deliverOutcomes();
    sendMessages(now);
}

void QuotaService::fleetChanged(const std::map<decisions::session::ServiceName, decisions::session::HomeRanking> &homes)
{
    if (!m_directory.isReady() || !m_directory.configuration()) {
        return;
    }
    const std::pair basis(m_directory.instancesDigest(), m_directory.configuration()->version);
    if (std::exchange(m_basis, basis) == basis) {
        return;
    }
    const TimePoint now = EventLoop::now();
    for (const auto &[instance, address] : m_addresses) {
        m_lastRegistered[instance] = now; // until this change
    }
    const std::vector<InstanceRecord> instances = m_directory.instances();
    m_addresses.clear();
    m_instancesByAddress.clear();
    InstanceRecord self;
    self.id = m_settings.instance;
    self.domain = m_settings.domain;
    for (const InstanceRecord &instance : instances) {
        m_addresses[instance.id] = instance.address;
        m_instancesByAddress[instance.address] = instance.id;
    }
    m_poolOrder.clear();
    for (const InstanceRecord &instance : decisions::session::planQuotaPools(self, homes, instances)) {
        m_poolOrder.push_back(instance.id);
    }
    const bool isFirstHome = std::any_of(homes.begin(), homes.end(), [&](const auto &item) {
        return !item.second.empty() && item.second.front().id == m_settings.instance;
    });
    m_quotas.setAdvances(isFirstHome && m_settings.quotaBound.slack >= slackPerAdvance * static_cast<double>(homes.size()));
    m_quotas.setLimits(decisions::session::quotaLimitsOf(*m_directory.configuration()), now);
    countInstances(now);
    deliverOutcomes();
}

void QuotaService::countInstances(TimePoint now)
{
    m_countedAt = now;
    for (const auto &[instance, address] : m_addresses) {
        m_lastRegistered[instance] = now;
    }
    std::erase_if(m_lastRegistered, [&](const auto &item) {
        return now - item.second > instanceMemory;
    });
    m_quotas.setFleet(m_poolOrder, static_cast<std::uint32_t>(m_lastRegistered.size()), m_addresses.contains(m_settings.instance), now);
}

void QuotaService::tick()
{
    const TimePoint now = EventLoop::now();
    if (m_quotas.isEnabled() && now - m_countedAt >= countInterval) {
        countInstances(now);
    }
    const auto pool = m_addresses.find(m_quotas.pool());
    if (pool != m_addresses.end() && pool->first != m_settings.instance && m_links.isUnreachable(pool->second)) {
        m_quotas.unreachable(pool->first, now);
    }
    m_quotas.tick(now);
    deliverOutcomes();
    sendMessages(now);
    logPool();
    logRefusals(now);
    const std::uint64_t tokens = m_quotas.tokensGranted();
    if (tokens != m_countedTokens) {
        m_metrics.count("quota_tokens_granted", tokens - std::exchange(m_countedTokens, tokens));
    }
}

void QuotaService::logPool()
{
    if (m_quotas.pool() == m_loggedPool) {
        return;
    }
    if (!m_loggedPool.isEmpty()) {
        LogEvent("quota-pool-lost").with("pool", m_loggedPool);
    }
    m_loggedPool = m_quotas.pool();
    if (!m_loggedPool.isEmpty()) {
        LogEvent("quota-pool-acquired").with("pool", m_loggedPool).with("instances", m_lastRegistered.size());
    }
}

void QuotaService::logRefusals(TimePoint now)
{
    if (m_refusals.empty() || now - m_refusalsLoggedAt < refusalLogInterval) {
        return;
    }
    m_refusalsLoggedAt = now;
    std::vector<std::pair<std::uint64_t, WorkspaceName>> refusals;
    for (const auto &[workspace, count] : std::exchange(m_refusals, {})) {
        refusals.emplace_back(count, workspace);
    }
    std::sort(refusals.rbegin(), refusals.rend());
    std::uint64_t others = 0;
    for (std::size_t i = 0; i < refusals.size(); ++i) {
        if (i < maxLoggedWorkspaces) {
            LogEvent("quota-refused").with("workspace", refusals[i].second).with("count", refusals[i].first);
        } else {
            others += refusals[i].first;
        }
    }
    if (others > 0) {
        LogEvent("quota-refused").with("workspace", "").with("count", others);
    }
}

} // namespace rattanbeam::sessions::internal
